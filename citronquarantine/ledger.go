package citronquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// mostRecords bounds the ledger. Records of the fewest crashes are dropped
	// first, the oldest of them before others.
	mostRecords = 1024
	// MaxGossipRecords is how many records nodes tell each other at once.
	MaxGossipRecords = 64
	// gossipTTL is how long a change is news to other nodes, and maxRecentRecords how many
	// changes are told as news. Eight engines that end at once leave hundreds of
	// records of one crash: told whole, again and again, they take the links of a
	// large fleet.
	gossipTTL        = 2 * time.Second
	maxRecentRecords = 8
	// summaryFor is how long forgotten records may be told still.
	summaryFor = 10 * time.Second
	// trialRetry is when a request may ask again while another of the same
	// fingerprint is on trial.
	trialRetry = time.Second
	// openSpread is the time over which nodes let a request through that was
	// barred. The first that does learns whether it crashes engines still, and
	// tells the others.
	openSpread = 30 * time.Second
)

// Entry is the record of one request.
type Entry struct {
	Print Print
	Record
}

// Ledger is what a node knows of requests that crash engines, by its own runs
// and from other nodes.
type Ledger struct {
	node  string
	clock citronclock.Clock
	size  atomic.Int64

	mu      sync.Mutex
	entries map[Print]*entry
	changed func()
	// summary is what other nodes are told, nil after a change.
	summary *summary
}

// summary is what All and Sum return.
type summary struct {
	at  time.Time
	all []Entry
	sum uint64
}

// entry is a record with what this node does with it.
type entry struct {
	Record
	// changedAt is when this node last learned something of the request.
	changedAt time.Time
	onTrial   bool
	// own: this node saw the last crash, and keeps the record where it lasts;
	// saved is what it has kept.
	own   bool
	saved Record
}

// New returns an empty ledger of the node with a name.
func New(node string, clock citronclock.Clock) *Ledger {
	return &Ledger{node: node, clock: clock, entries: map[Print]*entry{}, changed: func() {}}
}

// Notify has f called when there is news for other nodes. It is set before the
// ledger is used.
func (l *Ledger) Notify(f func()) { l.changed = f }

// Empty reports whether no request has a crash count.
func (l *Ledger) Empty() bool { return l.size.Load() == 0 }

// Admit asks whether a request may run.
func (l *Ledger) Admit(p Print) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(p)
	if e == nil || e.Standing() < barAt-1 {
		return Free{}
	}
	if left := l.openAt(p, e.Record).Sub(l.clock.Now()); left > 0 {
		return Barred{Left: left, Crashes: e.Standing()}
	}
	if e.onTrial {
		return Barred{Left: trialRetry, Crashes: e.Standing()}
	}
	e.onTrial = true
	return Trial{End: func() { l.endTrial(p) }}
}

// Blocked reports for how long a request may not run, which was let through before.
func (l *Ledger) Blocked(p Print) (time.Duration, bool) {
	if l.Empty() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(p)
	if e == nil {
		return 0, false
	}
	left := l.openAt(p, e.Record).Sub(l.clock.Now())
	return left, left > 0
}

// Suspect reports whether one more crash would bar the request, or it is barred.
func (l *Ledger) Suspect(p Print) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(p)
	return e != nil && e.Standing() >= barAt-1
}

// openAt is when this node lets the request through again, zero if it does.
func (l *Ledger) openAt(p Print, r Record) time.Time {
	until := r.barredUntil()
	if until.IsZero() {
		return until
	}
	draw := xxhash.Sum64String(l.node + p.String())
	return until.Add(time.Duration(draw % uint64(openSpread)))
}

func (l *Ledger) endTrial(p Print) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[p]; e != nil {
		e.onTrial = false
	}
}

// Crashed notes that an engine, by the ID of its start, ended under a run of the
// request that had begun a moment before. It returns the crash record of the
// request now, and whether this is news.
func (l *Ledger) Crashed(p Print, engine string, began time.Time) (r Record, news bool) {
	l.mu.Lock()
	e := l.find(p)
	var known Record
	if e != nil {
		known = e.Record
	}
	crash := Record{}.WithCrash(Crash{Engine: known.keyOf(engine, began), At: l.clock.Now()})
	news = e == nil || !e.WithAll(crash).equal(e.Record)
	if news {
		e = l.put(p, crash)
		e.own = true
	}
	r = e.Record
	l.mu.Unlock()
	if news && r.weighty() {
		l.changed() // one crash alone is told with other news
	}
	return r, news
}

// Succeeded notes that the request has run well.
func (l *Ledger) Succeeded(p Print) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	e := l.find(p)
	news := e != nil && e.Standing() > 0
	if news {
		l.set(e, e.WithRefuted())
	}
	urgent := news && e.weighty()
	l.mu.Unlock()
	if urgent {
		l.changed()
	}
}

// Dirty returns the records that this node has to keep where they last: those of
// requests that were barred after a crash that it saw, as long as they change.
func (l *Ledger) Dirty() []Entry {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told(func(e *entry) bool {
		kept := len(e.saved.crashes) > 0
		return e.own && (kept || e.Standing() >= barAt) && !e.saved.equal(e.Record)
	})
}

// InvalidateSaved notes that what was kept may be lost.
func (l *Ledger) InvalidateSaved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		e.saved = Record{}
	}
}

// MarkSaved notes that a record is kept.
func (l *Ledger) MarkSaved(x Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[x.Print]; e != nil {
		e.saved = x.Record
	}
}

// Learn takes what another node tells, and returns the requests that are barred
// here by that. Other nodes are told of what is new.
func (l *Ledger) Learn(told []Entry) ([]Entry, error) {
	if err := l.check(told); err != nil {
		return nil, err
	}
	l.mu.Lock()
	var barred []Entry
	news := false
	for _, t := range told {
		before := 0
		if e := l.find(t.Print); e != nil {
			before = e.Standing()
			if e.WithAll(t.Record).equal(e.Record) {
				continue
			}
		}
		after := l.put(t.Print, t.Record).Record
		news = news || after.weighty()
		if before < barAt && after.Standing() >= barAt {
			barred = append(barred, Entry{t.Print, after})
		}
	}
	l.mu.Unlock()
	if news {
		l.changed()
	}
	return barred, nil
}

// check refuses invalid messages as a whole.
func (l *Ledger) check(told []Entry) error {
	if len(told) > MaxGossipRecords {
		return errors.Newf("%d records at once", len(told))
	}
	now := l.clock.Now()
	for _, t := range told {
		if n := len(t.crashes); n == 0 || n > MostCrashes {
			return errors.Newf("record of %d crashes", n)
		}
		for _, c := range t.crashes {
			if age := now.Sub(c.At); age < 0 || age > OldestCrash {
				return errors.Newf("crash %v ago", age)
			}
		}
	}
	return nil
}

// Recent returns what other nodes may not have heard yet.
func (l *Ledger) Recent() []Entry {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	recent := l.told(func(e *entry) bool { return now.Sub(e.changedAt) < gossipTTL })
	return recent[:min(len(recent), maxRecentRecords)]
}

// All returns what a node is told that knows something else: the records that bar a
// request, or would with one more crash, and those that did.
func (l *Ledger) All() []Entry { return l.summarize().all }

// Sum is a checksum of what All returns, zero of nothing. Nodes that know the same
// have the same, whenever they heard of it.
func (l *Ledger) Sum() uint64 { return l.summarize().sum }

func (l *Ledger) summarize() summary {
	if l.Empty() {
		return summary{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.summary == nil || now.Sub(l.summary.at) > summaryFor {
		l.dropForgotten()
		all := l.told(func(e *entry) bool { return e.weighty() })
		l.summary = &summary{at: now, all: all, sum: checksum(all)}
	}
	return *l.summary
}

// told returns some records in the order in which they matter. The lock is held.
func (l *Ledger) told(pick func(*entry) bool) []Entry {
	var out []Entry
	for p, e := range l.entries {
		if pick(e) {
			out = append(out, Entry{p, e.Record})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Standing(), a.Standing()), b.last().Compare(a.last()), slices.Compare(a.Print[:], b.Print[:]))
	})
	return out[:min(len(out), MaxGossipRecords)]
}

// checksum leaves out times, which differ from node to node.
func checksum(entries []Entry) uint64 {
	var sum uint64
	for _, e := range entries {
		h := xxhash.New()
		_, _ = h.Write(e.Print[:]) // a hash takes all bytes
		for _, c := range e.Crashes() {
			word := c.Engine << 1
			if c.Refuted {
				word++
			}
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, word))
		}
		sum ^= h.Sum64()
	}
	return sum
}

// Count returns how many requests are known, and how many of them are barred.
func (l *Ledger) Count() (known, barred int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for p, e := range l.entries {
		if l.openAt(p, e.Record).After(now) {
			barred++
		}
	}
	return len(l.entries), barred
}

// find returns the entry of a request unless it is forgotten. The lock is held.
func (l *Ledger) find(p Print) *entry {
	e := l.entries[p]
	if e == nil || e.onTrial || l.clock.Now().Before(e.forgotten()) {
		return e
	}
	l.drop(p)
	return nil
}

// put adds a record to what is known. The lock is held.
func (l *Ledger) put(p Print, r Record) *entry {
	e := l.find(p)
	if e == nil {
		l.makeRoom()
		e = &entry{}
		l.entries[p] = e
		l.size.Store(int64(len(l.entries)))
	}
	l.set(e, e.WithAll(r))
	return e
}

// set changes a record. The lock is held.
func (l *Ledger) set(e *entry, r Record) {
	e.Record, e.changedAt = r, l.clock.Now()
	l.summary = nil
}

// makeRoom drops what is forgotten, then the record of least weight.
func (l *Ledger) makeRoom() {
	if len(l.entries) < mostRecords {
		return
	}
	l.dropForgotten()
	if len(l.entries) < mostRecords {
		return
	}
	var least Print
	var worst *entry
	for p, e := range l.entries {
		if worst == nil || cmp.Or(cmp.Compare(e.Standing(), worst.Standing()), e.last().Compare(worst.last())) < 0 {
			least, worst = p, e
		}
	}
	l.drop(least)
}

func (l *Ledger) dropForgotten() {
	for p := range l.entries {
		l.find(p)
	}
}

func (l *Ledger) drop(p Print) {
	delete(l.entries, p)
	l.size.Store(int64(len(l.entries)))
	l.summary = nil
}
