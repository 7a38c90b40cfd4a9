// Package citronpool keeps what a node sees of each engine while it sends
// requests there: how many it has in flight, and whether the engine has just
// failed. The list of engines is read by traffic as an immutable View; the
// counters beside it are atomic and outlive a change of the list.
package citronpool

import (
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
)

// Engine is an engine of the list with this node's own counters.
type Engine struct {
	citronmodel.Engine
	*State
	// Copies is how many engines of its zone hold its layers, itself
	// included, on average.
	Copies float64
}

// epoch is what moments are counted from. The difference to it is taken on
// the steady clock, so a jump of the time of day neither frees an engine
// that failed nor keeps one locked out.
var epoch = time.Now()

func since(now time.Time) int64 { return int64(now.Sub(epoch)) }

// State is what this node saw of one incarnation of an engine.
type State struct {
	id string
	// troubles is where it is noted that the engine was found dead or started anew.
	troubles *troubles
	inflight atomic.Int64
	tokens   atomic.Int64
	// avoidUntil is when the engine may get new work again, deadSince when
	// it was last found dead (0: not), in nanoseconds since epoch.
	avoidUntil atomic.Int64
	failures   atomic.Int64
	deadSince  atomic.Int64
	// latency is a running mean of answer times in microseconds.
	latency atomic.Int64
	// slowdown is how many hundredths of its declared times the engine
	// takes, by its own report at slowAt.
	slowdown, slowAt atomic.Int64
	// ended: its address refuses connections, or is another's by now.
	ended atomic.Bool
	// accusedAt is when an engine that was to hand a request on to it last
	// refused the request and named it, in nanoseconds since epoch.
	accusedAt atomic.Int64
	// refusals counts the pauses in a row after refusals because of it.
	refusals atomic.Int64
	// laterStart is when the engine started anew, by its own report.
	laterStart atomic.Int64
	// replaced: another start of the engine, or another engine, is at its
	// address.
	replaced atomic.Bool
	// throttledUntil is how long it is left alone because others have used up what it
	// takes, in nanoseconds since epoch.
	throttledUntil atomic.Int64
	// misplacedUntil is how long it is left alone because it said that it
	// does not hold what the list says, in nanoseconds since epoch.
	misplacedUntil atomic.Int64
}

func newState(id string, t *troubles) *State { return &State{id: id, troubles: t} }

// Begin counts a request of so many tokens; the result ends it.
func (s *State) Begin(tokens int) func() {
	s.inflight.Add(1)
	s.tokens.Add(int64(tokens))
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			s.inflight.Add(-1)
			s.tokens.Add(-int64(tokens))
		}
	}
}

// Inflight is the number of this node's requests at the engine.
func (s *State) Inflight() int64 { return s.inflight.Load() }

// Tokens is the cache that this node's requests at the engine may need.
func (s *State) Tokens() int64 { return s.tokens.Load() }

const (
	// firstAvoid is how long an engine is left alone after one failure.
	// The wait doubles at each further failure without a success between:
	// a crashed engine is back after seconds, a full one after a few
	// hundred milliseconds.
	firstAvoid = 300 * time.Millisecond
	maxAvoid   = 4 * time.Second
)

// Failed leaves the engine alone for a while.
func (s *State) Failed(now time.Time) {
	n := s.failures.Add(1)
	wait := maxAvoid
	if n < 5 {
		wait = min(maxAvoid, firstAvoid<<(n-1))
	}
	s.avoidUntil.Store(since(now.Add(wait)))
}

// Busy leaves the engine alone for the given time without holding the
// failure against it.
func (s *State) Busy(now time.Time, wait time.Duration) {
	s.avoidUntil.Store(since(now.Add(wait)))
}

// Dead marks an engine that no longer answers. Requests that run through
// it are moved away.
func (s *State) Dead(now time.Time) {
	s.Failed(now)
	s.deadSince.Store(since(now))
	s.troubles.note(s)
}

// Suspect leaves alone for a moment an engine that another node has found
// dead.
func (s *State) Suspect(now time.Time) {
	if until := since(now.Add(firstAvoid)); s.avoidUntil.Load() < until {
		s.avoidUntil.Store(until)
	}
}

// slowMemory is how long a report of slowness counts. Engines are asked only
// while a path through them is silent.
const slowMemory = 3 * time.Second

// Slow notes how much slower than declared the engine is.
func (s *State) Slow(factor float64, now time.Time) {
	s.slowdown.Store(int64(factor * 100))
	s.slowAt.Store(since(now))
}

// Slowdown is the newest report of slowness, 1 if there is none.
func (s *State) Slowdown(now time.Time) float64 {
	if f := s.slowdown.Load(); f > 100 && since(now)-s.slowAt.Load() < int64(slowMemory) {
		return float64(f) / 100
	}
	return 1
}

// End marks an engine whose process is known to have ended.
func (s *State) End() { s.ended.Store(true) }

// StartedAnew marks an engine that has ended and started again: what it ran
// and held is gone.
func (s *State) StartedAnew(born int64, now time.Time) {
	s.laterStart.Store(born)
	s.Replace(now) // notes it
}

// Replace marks an engine in whose place something else is. Unlike one that
// does not answer it never gets work again; its next start has a State of its
// own.
func (s *State) Replace(now time.Time) {
	s.replaced.Store(true)
	s.Dead(now)
	s.End()
}

// Replaced reports whether something else is in the engine's place.
func (s *State) Replaced() bool { return s.replaced.Load() }

// LaterStart is when the engine started anew, zero if it did not.
func (s *State) LaterStart() int64 { return s.laterStart.Load() }

// misplacedFor is how long an engine is left alone that does not hold what
// the list says. Its entry is written at once when its layers change, and
// reaches all nodes within half a second; its report is a fifth of a second
// old, so that the list may be right.
const misplacedFor = time.Second

// Misplaced leaves alone an engine that does not hold what the list says.
// Each request that runs through it would be refused, by all nodes, until the
// list is right.
func (s *State) Misplaced(now time.Time) {
	s.misplacedUntil.Store(since(now.Add(misplacedFor)))
}

// Placed takes Misplaced back.
func (s *State) Placed() { s.misplacedUntil.Store(0) }

// Ended reports whether the engine's process is known to have ended. An
// engine that only does not answer may still run what it was sent.
func (s *State) Ended() bool { return s.ended.Load() || s.Replaced() }

// Lives notes that the engine sends something. One that refuses connections has not
// ended for that: it may be leaving, and end what it runs.
func (s *State) Lives() {
	if s.ended.Load() && !s.Replaced() {
		s.ended.Store(false)
		s.deadSince.Store(0)
	}
}

// DeadSince is when the engine was last found dead; zero if it answered
// since.
func (s *State) DeadSince() time.Time {
	n := s.deadSince.Load()
	if n == 0 {
		return time.Time{}
	}
	return epoch.Add(time.Duration(n))
}

const latencyWeight = 8

// Answered records a sound answer to a request that was sent at a moment.
func (s *State) Answered(sent, now time.Time) {
	s.failures.Store(0)
	s.deadSince.Store(0)
	if s.Admitted(sent) {
		s.avoidUntil.Store(0)
	}
	took := now.Sub(sent)
	old := s.latency.Load()
	if old == 0 {
		s.latency.Store(took.Microseconds())
		return
	}
	s.latency.Store(old + (took.Microseconds()-old)/latencyWeight)
}

// Latency is the running mean of the engine's answer times.
func (s *State) Latency() time.Duration {
	return time.Duration(s.latency.Load()) * time.Microsecond
}

// Throttle leaves alone for a while an engine whose rate limit is used up.
func (s *State) Throttle(now time.Time, wait time.Duration) {
	s.throttledUntil.Store(since(now.Add(wait)))
}

// ThrottledFor is how long the engine is still left alone for its rate limit.
func (s *State) ThrottledFor(now time.Time) time.Duration {
	return max(0, time.Duration(s.throttledUntil.Load()-since(now)))
}

// Usable reports whether the engine may get new work.
func (e *Engine) Usable(now time.Time) bool {
	return e.ThrottledFor(now) == 0 && e.Sound(now)
}

// Sound reports whether the engine may get new work once its rate limit allows it.
func (e *Engine) Sound(now time.Time) bool {
	at := since(now)
	return !e.Leaving && !e.Replaced() && e.avoidUntil.Load() <= at && e.misplacedUntil.Load() <= at
}

// Loads counts the tokens of this node's requests by the zone whose engines
// run them. Nodes tell each other these sums: a node that knew only its own
// requests would send more to a zone that the others have filled.
type Loads struct{ zones sync.Map }

func (l *Loads) zone(name string) *atomic.Int64 {
	v, ok := l.zones.Load(name)
	if !ok {
		v, _ = l.zones.LoadOrStore(name, new(atomic.Int64))
	}
	return v.(*atomic.Int64)
}

// Add counts so many tokens more in a zone.
func (l *Loads) Add(zone string, tokens int) { l.zone(zone).Add(int64(tokens)) }

// Sums returns the tokens of all zones.
func (l *Loads) Sums() map[string]int64 {
	out := map[string]int64{}
	l.zones.Range(func(k, v any) bool {
		out[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return out
}
