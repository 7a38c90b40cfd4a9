package citronpart

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronpoison"
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
	records map[citronpoison.Part]entry
	// proven holds the start of the last successful run with each part.
	proven *simplelru.LRU[citronpoison.Part, time.Time]
	// unsent are the crashes that this node has not yet reported to the detecting nodes.
	unsent map[uint64]citronpoison.Crash
	// crashes are those that other nodes, or this one, have reported, sorted by time.
	crashes []citronpoison.Crash
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
	proven, _ := simplelru.NewLRU[citronpoison.Part, time.Time](maxProven, nil) // fails only for a size below 1
	return &Ledger{clock: clock, records: map[citronpoison.Part]entry{}, proven: proven, unsent: map[uint64]citronpoison.Crash{}, onCrash: func() {}, onChange: func() {}}
}

// OnCrash sets the function that is called when there are crashes to report (TakeUnsent),
// and OnChange the one that is called when a record has changed. Both must be called before
// the ledger is used.
func (l *Ledger) OnCrash(f func()) { l.onCrash = f }

// OnChange is described at OnCrash.
func (l *Ledger) OnChange(f func()) { l.onChange = f }

// Empty reports whether the ledger has no records.
func (l *Ledger) Empty() bool { return l.size.Load() == 0 }

// RecordSuccess records that a request has run successfully since start. It returns the
// quarantined parts that are released as a result.
func (l *Ledger) RecordSuccess(parts []citronpoison.Part, start time.Time) []citronpoison.Part {
	if len(parts) == 0 {
		return nil
	}
	var released []citronpoison.Part
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
func (l *Ledger) RecordCrash(engine uint64, r citronpoison.Run) {
	if len(r.Parts) == 0 {
		return
	}
	r.Parts = r.Parts[:min(len(r.Parts), citronpoison.MaxParts)]
	l.mu.Lock()
	c := citronpoison.Crash{Engine: engine, At: l.clock.Now(), Runs: []citronpoison.Run{r}}
	for _, p := range r.Parts {
		if at, ok := l.proven.Peek(p); ok && c.At.Sub(at) < provenTTL {
			c.Proven = append(c.Proven, p)
		}
	}
	if known, ok := l.unsent[engine]; ok {
		c = known.Merged(c)
	}
	l.unsent[engine] = c
	l.mu.Unlock()
	l.onCrash()
}

// TakeUnsent returns the crashes that this node has not reported yet.
func (l *Ledger) TakeUnsent() []citronpoison.Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Collect(maps.Values(l.unsent))
	clear(l.unsent)
	return out
}

// AddCrashes adds crashes that a node has reported, for Detect.
func (l *Ledger) AddCrashes(reported []citronpoison.Crash) error {
	now := l.clock.Now()
	for _, c := range reported {
		if age := now.Sub(c.At); age < 0 || age > maxCrashReport || len(c.Runs) > citronpoison.MaxRuns || len(c.Proven) > citronpoison.MaxRuns*citronpoison.MaxParts {
			return errors.Newf("crash has age %v and %d runs, want 0 to %v and at most %d", age, len(c.Runs), maxCrashReport, citronpoison.MaxRuns)
		}
		for _, r := range c.Runs {
			if len(r.Parts) > citronpoison.MaxParts {
				return errors.Newf("run has %d parts, want at most %d", len(r.Parts), citronpoison.MaxParts)
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range reported {
		if i := slices.IndexFunc(l.crashes, func(known citronpoison.Crash) bool { return known.Same(c) }); i >= 0 {
			l.crashes[i] = l.crashes[i].Merged(c)
			continue
		}
		l.crashes = append(l.crashes, c)
	}
	slices.SortStableFunc(l.crashes, func(a, b citronpoison.Crash) int { return a.At.Compare(b.At) })
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
	l.crashes = slices.DeleteFunc(l.crashes, func(c citronpoison.Crash) bool { return now.Sub(c.At) > crashTTL })
	e := l.evidence()
	l.detectAt = e.Settled(now)
	found, suspects := e.Detect(now)
	var quarantined []Record
	for _, f := range found {
		l.set(l.records[f.Part].Record.withPart(f.Part).WithFinding(f, now), true)
		if r := l.records[f.Part].Record; r.State == Quarantined {
			quarantined = append(quarantined, r)
		}
	}
	changed := len(found) > 0
	for _, s := range suspects {
		if known, ok := l.records[s.Part]; !ok || known.State == Released {
			r := known.withPart(s.Part).withState(Suspect, now)
			r.LastCrash = s.LastCrash
			l.set(r, false)
			changed = true
		}
	}
	changed = l.updateQuarantined() || changed
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
	return quarantined
}

// withPart returns the record with its part set.
func (r Record) withPart(p citronpoison.Part) Record {
	r.Part = p
	return r
}

// evidence returns what the detection is based on. The caller must hold l.mu.
func (l *Ledger) evidence() citronpoison.Evidence {
	e := citronpoison.Evidence{Crashes: l.crashes, Succeeded: map[citronpoison.Part]time.Time{}, Known: map[citronpoison.Part]bool{}}
	for p, r := range l.records {
		switch {
		case r.State == Quarantined:
			e.Known[p] = true
		case !r.RanAt.IsZero():
			e.Succeeded[p] = r.RanAt
		}
	}
	return e
}

// updateQuarantined applies the crashes to the parts that are quarantined already: engines that
// crashed under them since, and customers. A part is quarantined for all customers if engines
// have crashed under requests of another one than those that led to the quarantine. The caller
// must hold l.mu.
func (l *Ledger) updateQuarantined() bool {
	changed := false
	for p, known := range l.records {
		if known.State != Quarantined {
			continue
		}
		next := known.Record
		next.Engines = union(next.Engines, citronpoison.EnginesUnder(l.crashes, p))
		if !known.concernsOnly(l.crashes) {
			next.Customer = citronpoison.AllCustomers
		}
		if !next.same(known.Record) {
			l.set(next, true)
			changed = true
		}
	}
	return changed
}

// concernsOnly reports whether no crash under the part was one of another customer.
func (r Record) concernsOnly(crashes []citronpoison.Crash) bool {
	for _, c := range crashes {
		for _, run := range c.Runs {
			if slices.Contains(run.Parts, r.Part) && !r.concerns(run.Customer) {
				return false
			}
		}
	}
	return true
}

// CrashedEngines returns the engines, by their starts, that crashed under quarantined parts.
func (l *Ledger) CrashedEngines() []uint64 {
	var out []uint64
	for _, r := range l.selectRecords(func(e entry) bool { return e.State == Quarantined }) {
		out = append(out, r.Engines...)
	}
	return out
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
	maps.DeleteFunc(l.records, func(_ citronpoison.Part, e entry) bool { return e.expired(now) })
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
