// Package citronlimit keeps the rate limits that upstreams name in their answers.
//
// An upstream in need names how many requests a second it takes from all nodes, for
// as long as its answers say so. A node that is told tells the others:
//
//	answer --Heard--> book --Recent, All--> other nodes --Learn--> their books
//
// What is sent under a limit is decided by the permits of citronpermit.
package citronlimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronupstream"
)

// holdFor is how long a limit stands at least. One that an upstream names and takes
// back several times a second would else let through all that came in between.
const holdFor = time.Second

// Record is what is known of the limit of one start of an upstream.
type Record struct {
	// Limited: it names a limit. PerSecond is how many requests a second it takes
	// from all nodes together.
	Limited   bool
	PerSecond float64
	// Version orders the records of one upstream: nodes have no common clock.
	Version int64
}

// stricter reports whether r allows less than o.
func (r Record) stricter(o Record) bool {
	return r.Limited && (!o.Limited || r.PerSecond < o.PerSecond)
}

// same reports whether r and o allow the same.
func (r Record) same(o Record) bool {
	return r.Limited == o.Limited && r.PerSecond == o.PerSecond
}

// Book is what this node knows of the limits of all upstreams, by engine id. Each
// start of an engine has an id of its own.
type Book struct {
	clock citronclock.Clock
	// records is replaced as a whole: each request reads it.
	records atomic.Pointer[map[string]Record]
	// sum is the checksum of records.
	sum     atomic.Uint64
	changed func(eased []string)

	mu sync.Mutex
	// listed reports whether an engine is in the list.
	listed func(engine string) bool
	// changedAt is when a record last changed here, for what is news; heldSince is
	// when a limit was last named, for holdFor.
	changedAt, heldSince map[string]time.Time
	// easing are milder records that count once holdFor is over.
	easing map[string]Record
}

// NewBook returns a book in which no upstream is limited.
func NewBook(clock citronclock.Clock) *Book {
	b := &Book{clock: clock, changed: func([]string) {}, listed: func(string) bool { return false }, changedAt: map[string]time.Time{}, heldSince: map[string]time.Time{}, easing: map[string]Record{}}
	b.records.Store(&map[string]Record{})
	return b
}

// Notify has f called when there is news for other nodes, with the engines that take
// more than before. It is set before the book is used, and must not wait.
func (b *Book) Notify(f func(eased []string)) { b.changed = f }

// Of returns what is known of an engine.
func (b *Book) Of(engine string) Record { return (*b.records.Load())[engine] }

// Limited counts the engines that name a limit.
func (b *Book) Limited() int {
	n := 0
	for _, r := range *b.records.Load() {
		if r.Limited {
			n++
		}
	}
	return n
}

// Heard takes what an answer of an engine said. before is what was known of the
// engine when the request was sent. It returns what is known now and whether that is
// news.
//
// Answers overtake each other. A stricter limit counts at once; a milder one, or the
// end of a limit, only from an answer to a request that was sent with the newest
// record known: an earlier request may have been answered before the limit was named.
func (b *Book) Heard(engine string, before Record, said citronupstream.RateLimit) (Record, bool) {
	next := Record{}
	switch s := said.(type) {
	case citronupstream.PerSecond:
		next.Limited, next.PerSecond = true, float64(s)
	case citronupstream.NoRateLimit:
	default:
		return b.Of(engine), false
	}
	if known := b.Of(engine); !next.Limited && known.same(next) {
		return known, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known, now := b.Of(engine), b.clock.Now()
	if next.Limited && !known.stricter(next) {
		b.heldSince[engine] = now
		delete(b.easing, engine)
	}
	next.Version = known.Version + 1
	switch {
	case known.same(next):
		return known, false
	case next.stricter(known):
	case before.Version != known.Version:
		return known, false
	case now.Sub(b.heldSince[engine]) < holdFor:
		b.easing[engine] = next
		return known, false
	}
	b.set(map[string]Record{engine: next})
	return next, true
}

// Tick puts the milder records in force whose limits have stood for long enough.
func (b *Book) Tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, due := b.clock.Now(), map[string]Record{}
	for engine, r := range b.easing {
		switch {
		case r.Version != b.Of(engine).Version+1:
			delete(b.easing, engine)
		case now.Sub(b.heldSince[engine]) >= holdFor:
			due[engine] = r
			delete(b.easing, engine)
		}
	}
	b.set(due)
}

// set puts newer records in force, and has other nodes hear of them.
func (b *Book) set(newer map[string]Record) {
	if len(newer) == 0 {
		return
	}
	now := b.clock.Now()
	next := maps.Clone(*b.records.Load())
	var eased []string
	for engine, r := range newer {
		if next[engine].stricter(r) {
			eased = append(eased, engine)
		}
		next[engine] = r
		b.changedAt[engine] = now
		if r.Limited {
			b.heldSince[engine] = now
		}
	}
	b.replace(next)
	b.changed(eased)
}

func (b *Book) replace(records map[string]Record) {
	b.records.Store(&records)
	b.sum.Store(sumOf(records))
	gone := func(engine string, _ time.Time) bool { _, ok := records[engine]; return !ok }
	maps.DeleteFunc(b.changedAt, gone)
	maps.DeleteFunc(b.heldSince, gone)
	maps.DeleteFunc(b.easing, func(engine string, _ Record) bool { _, ok := records[engine]; return !ok })
}
