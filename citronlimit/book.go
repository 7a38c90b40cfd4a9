// Package citronlimit keeps the rate limits that upstreams name in their answers,
// and has all nodes together keep to them.
//
// An upstream in need names how many requests a second it takes from all nodes, for
// as long as its answers say so. A book holds what is known of each upstream.
package citronlimit

import (
	"maps"
	"sync"
	"sync/atomic"

	"citrondeck.dev/citrondeck/citronupstream"
)

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

// with returns the record that follows r.
func (r Record) with(limited bool, perSecond float64) Record {
	return Record{Limited: limited, PerSecond: perSecond, Version: r.Version + 1}
}

// Book is what this node knows of the limits of all upstreams, by engine id. Each
// start of an engine has an id of its own.
type Book struct {
	// records is replaced as a whole: each request reads it.
	records atomic.Pointer[map[string]Record]
	mu      sync.Mutex
}

// NewBook returns a book in which no upstream is limited.
func NewBook() *Book {
	b := &Book{}
	b.records.Store(&map[string]Record{})
	return b
}

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
	var limited bool
	var perSecond float64
	switch s := said.(type) {
	case citronupstream.PerSecond:
		limited, perSecond = true, float64(s)
	case citronupstream.NoRateLimit:
	default:
		return b.Of(engine), false
	}
	if r := b.Of(engine); r.Limited == limited && r.PerSecond == perSecond {
		return r, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.Of(engine)
	next := known.with(limited, perSecond)
	same := known.Limited == limited && known.PerSecond == perSecond
	if same || !next.stricter(known) && before.Version != known.Version {
		return known, false
	}
	b.set(engine, next)
	return next, true
}

func (b *Book) set(engine string, r Record) {
	next := maps.Clone(*b.records.Load())
	next[engine] = r
	b.records.Store(&next)
}
