package citronpoison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxRecords is the maximum number of records. Suspects are dropped first, then the
	// records that have not changed for longest.
	MaxRecords = 256
	// maxCrashes is the number of crashes that are kept for detection, for crashTTL. The
	// oldest is dropped first.
	maxCrashes = 48
	crashTTL   = 10 * time.Minute
	// provenTTL is how long a node remembers that a request has run successfully with a
	// part, and maxProven the number of parts that it remembers.
	provenTTL = time.Minute
	maxProven = 8192
	// gossipTTL is how long a change of a record counts as recent, and maxRecent the
	// maximum number of recent records in one message.
	gossipTTL = 2 * time.Second
	maxRecent = 16
	// claimInterval is the shortest time between two requests of a node that are admitted as
	// the same trial. A claim may fail because the store does not answer.
	claimInterval = 2 * time.Second
	// minRetryAfter is the shortest time after which a refused request may be sent again.
	minRetryAfter = time.Second
)

// Ledger holds what a node knows of the parts that crash engines.
type Ledger struct {
	clock citronclock.Clock
	size  atomic.Int64

	mu      sync.Mutex
	records map[Part]entry
	// proven holds the start of the last successful run with each part.
	proven *simplelru.LRU[Part, time.Time]
	// unsent are the crashes that this node has not yet reported to the detecting nodes.
	unsent map[uint64]Crash
	// crashes are those that other nodes, or this one, have reported, sorted by time.
	crashes []Crash
	// detectAt is when the detection has to run next, zero if it need not.
	detectAt time.Time
	// onCrash is called when there are crashes to report, and onChange when a record has
	// changed.
	onCrash, onChange func()
}

// entry is a record with the local state of this node.
type entry struct {
	Record
	changedAt time.Time
	// offeredAt is when this node last admitted a request as a trial.
	offeredAt time.Time
	// unsaved reports that this node changed the record and has not yet saved it.
	unsaved bool
}

// New returns an empty ledger.
func New(clock citronclock.Clock) *Ledger {
	proven, _ := simplelru.NewLRU[Part, time.Time](maxProven, nil) // fails only for a size below 1
	return &Ledger{clock: clock, records: map[Part]entry{}, proven: proven, unsent: map[uint64]Crash{}, onCrash: func() {}, onChange: func() {}}
}

// OnCrash sets the function that is called when there are crashes to report (TakeUnsent),
// and OnChange the one that is called when a record has changed. Both must be called before
// the ledger is used.
func (l *Ledger) OnCrash(f func()) { l.onCrash = f }

// OnChange is described at OnCrash.
func (l *Ledger) OnChange(f func()) { l.onChange = f }

// Empty reports whether the ledger has no records.
func (l *Ledger) Empty() bool { return l.size.Load() == 0 }

// Verdict says whether a request may be sent to an engine. It is one of Admitted, Trial and
// Refused.
type Verdict interface{ verdict() }

// Admitted admits a request.
type Admitted struct{}

// Trial admits a request if no other node has begun trial N of the part. The first node to
// claim the trial begins it with BeginTrial.
type Trial struct {
	Part       Part
	Generation int
	N          int
	// Refused applies if another node has begun the trial.
	Refused Refused
}

// Refused rejects a request because of a part of its prompt.
type Refused struct {
	Part Part
	// RetryAfter is the time until the next trial of the part.
	RetryAfter time.Duration
	Crashes    int
}

func (Admitted) verdict() {}
func (Trial) verdict()    {}
func (Refused) verdict()  {}

// Check returns the verdict on a request with a part that is quarantined for its customer, and
// false if it has none.
func (l *Ledger) Check(customer uint64, parts []Part) (Refused, bool) {
	if l.Empty() {
		return Refused{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.refusing(customer, parts)
	if len(refused) == 0 {
		return Refused{}, false
	}
	return l.verdict(customer, refused), true
}

// Admit decides whether a request may be sent. Unlike Check, it may admit the request as a
// trial.
func (l *Ledger) Admit(customer uint64, parts []Part) Verdict {
	if l.Empty() {
		return Admitted{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.refusing(customer, parts)
	if len(refused) == 0 {
		return Admitted{}
	}
	v, now := l.verdict(customer, refused), l.clock.Now()
	e := refused[0]
	if len(refused) > 1 || now.Before(e.nextTrial(customer)) || now.Sub(e.offeredAt) < claimInterval {
		return v
	}
	e.offeredAt = now
	l.records[e.Part] = e
	return Trial{Part: e.Part, Generation: e.Generation, N: e.Trials + 1, Refused: v}
}

// refusing returns the records because of which a request is refused. The caller must hold
// l.mu.
func (l *Ledger) refusing(customer uint64, parts []Part) []entry {
	var out []entry
	for _, p := range parts {
		if e, ok := l.records[p]; ok && e.refuses(customer) && !e.expired(l.clock.Now()) {
			out = append(out, e)
		}
	}
	return out
}

// verdict returns the verdict for the part whose next trial is the last to come.
func (l *Ledger) verdict(customer uint64, refused []entry) Refused {
	last := slices.MaxFunc(refused, func(a, b entry) int { return a.nextTrial(customer).Compare(b.nextTrial(customer)) })
	return Refused{Part: last.Part, RetryAfter: max(minRetryAfter, last.nextTrial(customer).Sub(l.clock.Now())), Crashes: last.Crashes}
}

// BeginTrial records that a trial has begun, at this node or at another.
func (l *Ledger) BeginTrial(t Trial) {
	l.mu.Lock()
	e, ok := l.records[t.Part]
	changed := ok && e.Generation == t.Generation && e.Trials < t.N
	if changed {
		l.set(e.WithTrial(t.N, l.clock.Now()), true)
	}
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
}

// RecordSuccess records that a request has run successfully since start. It returns the
// quarantined parts that are released as a result.
func (l *Ledger) RecordSuccess(parts []Part, start time.Time) []Part {
	if len(parts) == 0 {
		return nil
	}
	var released []Part
	changed := false
	l.mu.Lock()
	for _, p := range parts {
		if last, ok := l.proven.Get(p); !ok || start.After(last) {
			l.proven.Add(p, start)
		}
		e, ok := l.records[p]
		if ok && e.State != Released && start.After(e.LastCrash) {
			l.release(e.Record, start)
			changed = true
			if e.State == Quarantined {
				released = append(released, p)
			}
		}
	}
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
	return released
}

// release records that a part has been shown to be harmless. The caller must hold l.mu.
func (l *Ledger) release(r Record, start time.Time) {
	wasQuarantined := r.State == Quarantined
	r = r.withState(Released, l.clock.Now())
	r.RanAt = start
	l.set(r, wasQuarantined)
	l.detectAt = l.clock.Now()
}

// RecordCrash records that an engine ended under a run before its request had run
// successfully.
func (l *Ledger) RecordCrash(engine uint64, r Run) {
	if len(r.Parts) == 0 {
		return
	}
	r.Parts = r.Parts[:min(len(r.Parts), maxParts)]
	l.mu.Lock()
	c := Crash{Engine: engine, At: l.clock.Now(), Runs: []Run{r}}
	for _, p := range r.Parts {
		if at, ok := l.proven.Peek(p); ok && c.At.Sub(at) < provenTTL {
			c.Proven = append(c.Proven, p)
		}
	}
	if known, ok := l.unsent[engine]; ok {
		c = known.merged(c)
	}
	l.unsent[engine] = c
	l.mu.Unlock()
	l.onCrash()
}

// TakeUnsent returns the crashes that this node has not reported yet.
func (l *Ledger) TakeUnsent() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Collect(maps.Values(l.unsent))
	clear(l.unsent)
	return out
}

// AddCrashes adds crashes that a node has reported, for Detect.
func (l *Ledger) AddCrashes(reported []Crash) error {
	now := l.clock.Now()
	for _, c := range reported {
		if age := now.Sub(c.At); age < 0 || age > maxCrashReport || len(c.Runs) > maxRuns || len(c.Proven) > maxRuns*maxParts {
			return errors.Newf("crash has age %v and %d runs, want 0 to %v and at most %d", age, len(c.Runs), maxCrashReport, maxRuns)
		}
		for _, r := range c.Runs {
			if len(r.Parts) > maxParts {
				return errors.Newf("run has %d parts, want at most %d", len(r.Parts), maxParts)
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range reported {
		if i := slices.IndexFunc(l.crashes, func(known Crash) bool { return known.Engine == c.Engine }); i >= 0 {
			l.crashes[i] = l.crashes[i].merged(c)
			continue
		}
		l.crashes = append(l.crashes, c)
	}
	slices.SortStableFunc(l.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	l.crashes = slices.Clone(l.crashes[max(0, len(l.crashes)-maxCrashes):])
	if len(reported) > 0 {
		l.detectAt = now
	}
	return nil
}

// Detect looks for parts that crash engines in the crashes that were reported, and returns
// the records of those that are quarantined as a result. It does nothing if there is no new
// evidence.
func (l *Ledger) Detect() []Record {
	l.mu.Lock()
	now := l.clock.Now()
	if l.detectAt.IsZero() || now.Before(l.detectAt) {
		l.mu.Unlock()
		return nil
	}
	l.detectAt = time.Time{}
	l.crashes = slices.DeleteFunc(l.crashes, func(c Crash) bool { return now.Sub(c.At) > crashTTL })
	for _, c := range l.crashes {
		if settled := c.At.Add(settleTime); settled.After(now) {
			l.detectAt = settled // crashes are sorted: this one settles first
			break
		}
	}
	e := l.evidence()
	found, suspects := detect(e, now)
	var quarantined []Record
	for _, f := range found {
		l.set(l.records[f.Part].Record.withPart(f.Part).WithFinding(f, now), true)
		if r := l.records[f.Part].Record; r.State == Quarantined {
			quarantined = append(quarantined, r)
		}
	}
	changed := len(found) > 0
	for _, p := range suspects {
		if r, ok := l.records[p]; !ok || r.State == Released {
			s := r.Record.withPart(p).withState(Suspect, now)
			s.LastCrash = e.lastCrash(p)
			l.set(s, false)
			changed = true
		}
	}
	changed = l.widen() || changed
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
	return quarantined
}

// withPart returns the record with its part set.
func (r Record) withPart(p Part) Record {
	r.Part = p
	return r
}

// evidence returns what the detection is based on. The caller must hold l.mu.
func (l *Ledger) evidence() evidence {
	e := evidence{crashes: l.crashes, succeeded: map[Part]time.Time{}, known: map[Part]bool{}}
	for p, r := range l.records {
		switch {
		case r.State == Quarantined:
			e.known[p] = true
		case !r.RanAt.IsZero():
			e.succeeded[p] = r.RanAt
		}
	}
	return e
}

// lastCrash returns the time of the last crash that a part could have caused.
func (e evidence) lastCrash(p Part) time.Time {
	for _, c := range slices.Backward(e.crashes) {
		if c.hasAny(map[Part]bool{p: true}) {
			return c.At
		}
	}
	return time.Time{}
}

// widen has parts quarantined for all customers if engines have crashed under requests of
// another customer than those that led to the quarantine. The caller must hold l.mu.
func (l *Ledger) widen() bool {
	changed := false
	for _, c := range l.crashes {
		for _, r := range c.Runs {
			for _, p := range r.Parts {
				known, ok := l.records[p]
				if !ok || known.State != Quarantined || known.Customer == AllCustomers || known.Customer == r.Customer {
					continue
				}
				wider := known.Record
				wider.Customer = AllCustomers
				l.set(wider, true)
				changed = true
			}
		}
	}
	return changed
}

// set stores a record that has changed. unsaved reports that this node has to save it. A part
// is released at once if this node knows a run that shows it to be harmless. The caller must
// hold l.mu.
func (l *Ledger) set(r Record, unsaved bool) {
	if start, ok := l.proven.Peek(r.Part); ok && r.State != Released && start.After(r.LastCrash) {
		l.release(r, start)
		return
	}
	known := l.records[r.Part]
	e := entry{Record: r, changedAt: l.clock.Now(), unsaved: unsaved || known.unsaved}
	if known.Generation == r.Generation {
		e.offeredAt = known.offeredAt
	}
	l.records[r.Part] = e
	l.prune()
	l.size.Store(int64(len(l.records)))
}

// prune drops records that have expired, and others if there are too many. The caller must
// hold l.mu.
func (l *Ledger) prune() {
	if len(l.records) <= MaxRecords {
		return
	}
	now := l.clock.Now()
	maps.DeleteFunc(l.records, func(_ Part, e entry) bool { return e.expired(now) })
	if len(l.records) <= MaxRecords {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(l.records)), func(a, b entry) int {
		return cmp.Or(compareBool(a.State == Quarantined, b.State == Quarantined), a.changedAt.Compare(b.changedAt), cmp.Compare(a.Part, b.Part))
	})
	delete(l.records, oldest.Part)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Merge merges records that another node sent or that were saved. It returns those of the
// parts that are quarantined or released on this node as a result.
func (l *Ledger) Merge(received []Record) ([]Record, error) {
	if len(received) > MaxRecords {
		return nil, errors.Newf("message has %d records of prompt parts, at most %d are allowed", len(received), MaxRecords)
	}
	now := l.clock.Now()
	for _, r := range received {
		if err := r.validate(now); err != nil {
			return nil, err
		}
	}
	var moved []Record
	changed := false
	l.mu.Lock()
	for _, r := range received {
		known, ok := l.records[r.Part]
		next := r
		if ok {
			next = known.Merged(r)
		}
		if ok && next.same(known.Record) {
			continue
		}
		l.set(next, false)
		changed = true
		l.detectAt = now
		if stored := l.records[r.Part].Record; (stored.State == Quarantined) != (known.State == Quarantined) {
			moved = append(moved, stored)
		}
	}
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
	return moved, nil
}

// validate returns an error if no healthy node has such a record.
func (r Record) validate(now time.Time) error {
	switch age := now.Sub(r.Since); {
	case r.State < Suspect || r.State > Released:
		return errors.Newf("record of a prompt part has state %d", r.State)
	case r.Generation < 1 || r.Generation > maxGeneration || r.Trials < 0 || r.Trials > maxTrials || r.Crashes < 0:
		return errors.Newf("record of a prompt part has generation %d, %d trials and %d crashes", r.Generation, r.Trials, r.Crashes)
	case age < 0 || age > maxRecordAge:
		return errors.Newf("record of a prompt part has age %v, want 0 to %v", age, maxRecordAge)
	}
	return nil
}

// Recent returns the records that have changed recently and that other nodes may not have
// received yet.
func (l *Ledger) Recent() []Record {
	now := l.clock.Now()
	out := l.selectRecords(func(e entry) bool { return now.Sub(e.changedAt) < gossipTTL })
	return out[:min(len(out), maxRecent)]
}

// All returns the records that all nodes have to agree on: those of parts that are or were
// quarantined, unless they have expired.
func (l *Ledger) All() []Record {
	now := l.clock.Now()
	return l.selectRecords(func(e entry) bool { return e.Crashes > 0 && !e.expired(now) })
}

// Unsaved returns the records that this node has changed and not saved yet.
func (l *Ledger) Unsaved() []Record {
	return l.selectRecords(func(e entry) bool { return e.unsaved })
}

// MarkSaved marks a record as saved, unless it has changed since.
func (l *Ledger) MarkSaved(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.records[r.Part]; ok && e.same(r) {
		e.unsaved = false
		l.records[r.Part] = e
	}
}

// InvalidateSaved marks the quarantined parts as not saved, because the storage may have
// lost them.
func (l *Ledger) InvalidateSaved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, e := range l.records {
		e.unsaved = e.unsaved || e.State == Quarantined
		l.records[p] = e
	}
}

// Quarantined returns the number of quarantined parts.
func (l *Ledger) Quarantined() int {
	return len(l.selectRecords(func(e entry) bool { return e.State == Quarantined }))
}

// selectRecords returns the matching records: quarantined ones first, then those that
// changed last.
func (l *Ledger) selectRecords(match func(entry) bool) []Record {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var selected []entry
	for _, e := range l.records {
		if match(e) {
			selected = append(selected, e)
		}
	}
	slices.SortFunc(selected, func(a, b entry) int {
		return cmp.Or(compareBool(b.State == Quarantined, a.State == Quarantined), b.changedAt.Compare(a.changedAt), cmp.Compare(a.Part, b.Part))
	})
	var out []Record
	for _, e := range selected {
		out = append(out, e.Record)
	}
	return out
}

// Checksum returns a checksum of the records that All returns, and zero if there are none.
func (l *Ledger) Checksum() uint64 {
	var sum uint64
	var text []byte
	for _, r := range l.All() {
		text = text[:0]
		for _, n := range []uint64{uint64(r.Part), uint64(r.State), uint64(r.Generation), r.Customer, uint64(r.Crashes), uint64(r.Trials)} {
			text = binary.LittleEndian.AppendUint64(text, n)
		}
		sum += xxhash.Sum64(text)
	}
	return sum
}
