// Package citronlimit tracks the rate limits that upstreams set in their responses.
//
// An overloaded upstream states how many requests per second it accepts from all nodes
// together. The limit is in effect for as long as its responses state it. A node that
// learns of a limit shares it with the other nodes:
//
//	response --Observe--> registry --Recent, All--> other nodes --Merge--> their registries
//
// The permits of citronpermit decide which requests are sent under a limit.
package citronlimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronupstream"
)

// minLimitDuration is the minimum time that a limit stays in effect after a response last
// stated it. Otherwise, an upstream that sets and lifts its limit several times a second
// would receive all requests that arrive while the limit is lifted.
const minLimitDuration = time.Second

// Record is the rate limit of one start of an upstream.
type Record struct {
	// Limited is set if the upstream has set a limit. PerSecond is the number of requests
	// per second that it accepts from all nodes together.
	Limited   bool
	PerSecond float64
	// Version orders the records of one upstream. Times could not order them, because
	// the nodes do not share a clock.
	Version int64
}

// stricter reports whether r allows fewer requests than o.
func (r Record) stricter(o Record) bool {
	return r.Limited && (!o.Limited || r.PerSecond < o.PerSecond)
}

// sameLimit reports whether r and o allow the same number of requests.
func (r Record) sameLimit(o Record) bool {
	return r.Limited == o.Limited && r.PerSecond == o.PerSecond
}

// Registry holds the limits of all upstreams that this node knows, by engine ID. Each start
// of an engine has its own ID.
type Registry struct {
	clock citronclock.Clock
	// records is immutable and replaced as a whole, so that every request can read it
	// without a lock.
	records atomic.Pointer[map[string]Record]
	// checksum is the checksum of records.
	checksum atomic.Uint64
	// onChange is called when there is an update for other nodes. relaxed holds the
	// engines that accept more requests than before.
	onChange func(relaxed []string)

	mu sync.Mutex
	// isListed reports whether an engine is in the engine list.
	isListed func(engine string) bool
	// changedAt is when a record last changed on this node; it decides whether Recent
	// returns the record. limitedAt is when the limit in the record, or a stricter one, was
	// last stated in a response or received from another node; minLimitDuration counts from
	// then.
	changedAt, limitedAt map[string]time.Time
	// pending holds less strict records that take effect after minLimitDuration.
	pending map[string]Record
}

// NewRegistry returns a Registry in which no upstream is limited.
func NewRegistry(clock citronclock.Clock) *Registry {
	reg := &Registry{clock: clock, onChange: func([]string) {}, isListed: func(string) bool { return false }, changedAt: map[string]time.Time{}, limitedAt: map[string]time.Time{}, pending: map[string]Record{}}
	reg.records.Store(&map[string]Record{})
	return reg
}

// OnChange sets the function that is called when there is an update for other nodes.
// relaxed holds the engines that accept more requests than before. OnChange must be called
// before the registry is used, and f must not block.
func (reg *Registry) OnChange(f func(relaxed []string)) { reg.onChange = f }

// Get returns the record of an engine. It is the zero Record if the engine has none.
func (reg *Registry) Get(engine string) Record { return (*reg.records.Load())[engine] }

// CountLimited returns the number of engines that have set a limit.
func (reg *Registry) CountLimited() int {
	n := 0
	for _, r := range *reg.records.Load() {
		if r.Limited {
			n++
		}
	}
	return n
}

// Observe processes the rate limit in a response of an engine. before is the engine's
// record at the time when the request was sent. Observe returns the current record and
// whether it has changed.
//
// Responses may arrive out of order. A stricter limit takes effect at once. A less strict
// limit, or the end of a limit, takes effect only if the request was sent when the current
// record was already known. An earlier request may have been answered before the limit was
// set.
func (reg *Registry) Observe(engine string, before Record, reported citronupstream.RateLimit) (Record, bool) {
	next := Record{}
	switch s := reported.(type) {
	case citronupstream.PerSecond:
		next.Limited, next.PerSecond = true, float64(s)
	case citronupstream.NoRateLimit:
	default:
		return reg.Get(engine), false
	}
	if known := reg.Get(engine); !next.Limited && known.sameLimit(next) {
		return known, false
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	known, now := reg.Get(engine), reg.clock.Now()
	if next.Limited && !known.stricter(next) {
		reg.limitedAt[engine] = now
		delete(reg.pending, engine)
	}
	next.Version = known.Version + 1
	switch {
	case known.sameLimit(next):
		return known, false
	case next.stricter(known):
	case before.Version != known.Version:
		return known, false
	case now.Sub(reg.limitedAt[engine]) < minLimitDuration:
		reg.pending[engine] = next
		return known, false
	}
	reg.set(map[string]Record{engine: next})
	return next, true
}

// Tick puts pending records into effect if the limits that they replace were last stated at
// least minLimitDuration ago.
func (reg *Registry) Tick() {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	now, due := reg.clock.Now(), map[string]Record{}
	for engine, r := range reg.pending {
		switch {
		case r.Version != reg.Get(engine).Version+1:
			delete(reg.pending, engine)
		case now.Sub(reg.limitedAt[engine]) >= minLimitDuration:
			due[engine] = r
			delete(reg.pending, engine)
		}
	}
	reg.set(due)
}

// set puts newer records into effect and calls onChange. The caller must hold reg.mu.
func (reg *Registry) set(newer map[string]Record) {
	if len(newer) == 0 {
		return
	}
	now := reg.clock.Now()
	next := maps.Clone(*reg.records.Load())
	var relaxed []string
	for engine, r := range newer {
		if next[engine].stricter(r) {
			relaxed = append(relaxed, engine)
		}
		next[engine] = r
		reg.changedAt[engine] = now
		if r.Limited {
			reg.limitedAt[engine] = now
		}
	}
	reg.replace(next)
	reg.onChange(relaxed)
}

func (reg *Registry) replace(records map[string]Record) {
	reg.records.Store(&records)
	reg.checksum.Store(checksum(records))
	gone := func(engine string, _ time.Time) bool { _, ok := records[engine]; return !ok }
	maps.DeleteFunc(reg.changedAt, gone)
	maps.DeleteFunc(reg.limitedAt, gone)
	maps.DeleteFunc(reg.pending, func(engine string, _ Record) bool { _, ok := records[engine]; return !ok })
}
