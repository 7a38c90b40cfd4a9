// Package citronpool tracks what this node observes about each engine while it
// sends requests to it: the requests in flight and whether the engine has
// failed recently. Request handling reads the list of engines as an immutable
// View. The counters are atomic and survive a change of the list.
package citronpool

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronusage"
)

// Engine is an engine from the list together with this node's own counters.
type Engine struct {
	citronmodel.Engine
	*State
	// Replicas is the average number of engines in the zone that hold each of
	// the engine's layers, at least 1. Leaving engines don't count.
	Replicas float64
}

// epoch is the reference for all stored timestamps. Differences to it use the
// monotonic clock, so a jump of the wall clock neither releases a failed engine
// early nor locks it out.
var epoch = time.Now()

// sinceEpoch converts a time to nanoseconds since epoch.
func sinceEpoch(now time.Time) int64 { return int64(now.Sub(epoch)) }

// State is what this node observes about one incarnation of an engine. All
// timestamps are in nanoseconds since epoch unless stated otherwise.
type State struct {
	id string
	// failedStates is the registry to which the state is added when the
	// engine is found dead or restarted.
	failedStates *failedStates
	// noticed is the registry to which the state is added when the engine asks for a
	// cool-down or says that it is leaving.
	noticed  *noticedStates
	inflight atomic.Int64
	tokens   atomic.Int64
	// avoidUntil is when the engine may receive new work again. deadSince is
	// when it was last found dead, zero if it is not dead.
	avoidUntil atomic.Int64
	failures   atomic.Int64
	deadSince  atomic.Int64
	// latency is a moving average of response times in microseconds, latencyAt the time of
	// the last response in it.
	latency, latencyAt atomic.Int64
	// slowdown is the ratio of the engine's actual to its declared times in
	// hundredths, as the engine reported it at slowAt.
	slowdown, slowAt atomic.Int64
	// ended is set while the engine's address refuses connections or belongs
	// to another engine.
	ended atomic.Bool
	// accusedAt is when a request was last refused because another engine
	// named this one as the cause.
	accusedAt atomic.Int64
	// refusalPauses counts the consecutive pauses after such refusals.
	refusalPauses atomic.Int64
	// restartedAt is when the engine restarted, in milliseconds since 1970 by
	// its own report.
	restartedAt atomic.Int64
	// replaced is set when a later incarnation of the engine, or another
	// engine, is at its address.
	replaced atomic.Bool
	// throttledUntil is when the engine may be used again after its rate limit
	// was found used up.
	throttledUntil atomic.Int64
	// misplacedUntil is when the engine may be used again after it reported
	// that it doesn't hold the layers in the list.
	misplacedUntil atomic.Int64
	// cooldown is the last cool-down that the engine asked this node for, or nil.
	cooldown atomic.Pointer[cooldown]
	// saysLeaving is set once a response of the engine has stated that it is leaving.
	saysLeaving atomic.Bool
	// usageID identifies the incarnation in reports of its usage, and usage is the last
	// one, or nil. board is what all views share about usage. begun counts what this node
	// has lately begun at the engine.
	usageID citronusage.ID
	usage   atomic.Pointer[Usage]
	board   *usageBoard
	begun   begunTokens
}

// Begin counts a request with the given number of tokens as in flight. The
// returned function ends it and may be called more than once.
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

// RecordBegun records when a request with the given number of tokens began at the engine,
// so that it is added to what the engine reported before (Usage).
func (s *State) RecordBegun(tokens int, now time.Time) {
	s.begun.add(int64(tokens), sinceEpoch(now))
}

// Inflight returns the number of this node's requests at the engine.
func (s *State) Inflight() int64 { return s.inflight.Load() }

// Tokens returns how many tokens of the engine's cache this node's requests at
// the engine may need.
func (s *State) Tokens() int64 { return s.tokens.Load() }

const (
	// initialAvoid is how long an engine is avoided after one failure. The time
	// doubles with each further failure, up to maxAvoid, until a request
	// succeeds: a crashed engine is usable again after seconds, a full one after
	// a few hundred milliseconds.
	initialAvoid = 300 * time.Millisecond
	maxAvoid     = 4 * time.Second
)

// RecordFailure records a failure and avoids the engine. The time doubles with each
// consecutive failure up to maxAvoid.
func (s *State) RecordFailure(now time.Time) {
	n := s.failures.Add(1)
	wait := maxAvoid
	if n < 5 {
		wait = min(maxAvoid, initialAvoid<<(n-1))
	}
	s.Avoid(now, wait)
}

// Avoid avoids the engine for the given time, or for as long as it is avoided already,
// without counting a failure.
func (s *State) Avoid(now time.Time, wait time.Duration) {
	until := sinceEpoch(now.Add(wait))
	for {
		known := s.avoidUntil.Load()
		if known != 0 && until <= known || s.avoidUntil.CompareAndSwap(known, until) {
			return
		}
	}
}

// MarkDead marks an engine that no longer responds. Requests that run through it
// are moved to other engines.
func (s *State) MarkDead(now time.Time) {
	s.RecordFailure(now)
	s.deadSince.Store(sinceEpoch(now))
	s.failedStates.add(s)
}

// AvoidBriefly avoids the engine for initialAvoid because another node found it
// dead.
func (s *State) AvoidBriefly(now time.Time) { s.Avoid(now, initialAvoid) }

// slowReportTTL is how long a report of slowness is used. Engines are not asked
// regularly, but only on an occasion such as a stalled path through them.
const slowReportTTL = 3 * time.Second

// RecordSlowdown records how many times slower than declared the engine is.
func (s *State) RecordSlowdown(factor float64, now time.Time) {
	s.slowdown.Store(int64(factor * 100))
	s.slowAt.Store(sinceEpoch(now))
}

// Slowdown returns the last reported slowness factor, or 1 if there is no
// recent report.
func (s *State) Slowdown(now time.Time) float64 {
	if f := s.slowdown.Load(); f > 100 && sinceEpoch(now)-s.slowAt.Load() < int64(slowReportTTL) {
		return float64(f) / 100
	}
	return 1
}

// MarkEnded marks an engine whose process has ended, since its address refuses
// connections or belongs to another engine. RecordAlive may clear the mark.
func (s *State) MarkEnded() { s.ended.Store(true) }

// MarkRestarted marks an engine that has restarted: the requests it ran and the
// layers it held are lost. The parameter startMS is the time of the restart in
// milliseconds since 1970.
func (s *State) MarkRestarted(startMS int64, now time.Time) {
	s.restartedAt.Store(startMS)
	s.MarkReplaced(now) // also adds s to the failed states
}

// MarkReplaced marks an engine whose address belongs to a later incarnation or to
// another engine. Unlike an engine that doesn't respond, it never receives work
// again. Its next incarnation has a State of its own.
func (s *State) MarkReplaced(now time.Time) {
	s.replaced.Store(true)
	s.MarkDead(now)
	s.MarkEnded()
}

// Replaced reports whether the engine's address belongs to a later incarnation
// or to another engine.
func (s *State) Replaced() bool { return s.replaced.Load() }

// RestartedAt returns when the engine restarted, in milliseconds since 1970, or
// zero if it didn't.
func (s *State) RestartedAt() int64 { return s.restartedAt.Load() }

// misplacedPause is how long an engine is avoided if it doesn't hold the layers
// in the list. An engine writes its entry as soon as its layers change, and the
// entry reaches all nodes within 500 ms. The engine's report is up to 200 ms
// old, so the list may be the newer of the two.
const misplacedPause = time.Second

// MarkMisplaced avoids an engine that doesn't hold the layers in the list. It would
// refuse every request that runs through it, from all nodes, until the list is
// correct.
func (s *State) MarkMisplaced(now time.Time) {
	s.misplacedUntil.Store(sinceEpoch(now.Add(misplacedPause)))
}

// ClearMisplaced clears the effect of MarkMisplaced.
func (s *State) ClearMisplaced() { s.misplacedUntil.Store(0) }

// Ended reports whether the engine is marked as ended or replaced. An engine that
// merely doesn't respond may still run the requests sent to it.
func (s *State) Ended() bool { return s.ended.Load() || s.Replaced() }

// RecordAlive records that the engine has sent data. If the engine is marked as
// ended by MarkEnded, it clears that mark and the dead mark: an engine that
// refuses connections may be leaving and finishing its running requests. A
// replaced engine stays replaced, and the dead mark of an engine that isn't
// marked as ended stays.
func (s *State) RecordAlive() {
	if s.ended.Load() && !s.Replaced() {
		s.ended.Store(false)
		s.deadSince.Store(0)
	}
}

// DeadSince returns when the engine was last found dead, or the zero time if it
// isn't marked dead.
func (s *State) DeadSince() time.Time {
	n := s.deadSince.Load()
	if n == 0 {
		return time.Time{}
	}
	return epoch.Add(time.Duration(n))
}

// latencyWeight is the inverse of a new sample's weight in the moving average.
const latencyWeight = 8

// RecordResponse records a successful response to a request sent at the given time.
func (s *State) RecordResponse(sent, now time.Time) {
	s.failures.Store(0)
	s.deadSince.Store(0)
	if s.RecordAdmission(sent) {
		s.avoidUntil.Store(0)
	}
	took := now.Sub(sent)
	if s.latency.Load() > 0 {
		old := s.Latency(now)
		took = old + (took-old)/latencyWeight
	}
	s.latency.Store(took.Microseconds())
	s.latencyAt.Store(sinceEpoch(now))
}

const (
	// assumedLatency is the latency assumed for an engine that has not answered yet.
	assumedLatency = 15 * time.Millisecond
	// latencyHalfLife is the time in which the average of an engine that gets no requests
	// loses half of what it exceeds assumedLatency by. Without that, one slow answer would
	// keep all requests away from the engine for as long as the others are faster.
	latencyHalfLife = 10 * time.Second
)

// Latency returns the moving average of the engine's response times, which approaches
// assumedLatency while there are none.
func (s *State) Latency(now time.Time) time.Duration {
	l := time.Duration(s.latency.Load()) * time.Microsecond
	if l == 0 {
		return assumedLatency
	}
	excess := l - assumedLatency
	if excess <= 0 {
		return l
	}
	age := time.Duration(sinceEpoch(now) - s.latencyAt.Load())
	return assumedLatency + time.Duration(float64(excess)*math.Exp2(-age.Seconds()/latencyHalfLife.Seconds()))
}

// Throttle avoids the engine for the given time because its rate limit is used
// up.
func (s *State) Throttle(now time.Time, wait time.Duration) {
	s.throttledUntil.Store(sinceEpoch(now.Add(wait)))
}

// ThrottledFor returns how much longer the engine is avoided because of its
// rate limit.
func (s *State) ThrottledFor(now time.Time) time.Duration {
	until, at := s.throttledUntil.Load(), sinceEpoch(now)
	if !isAfter(until, at) {
		return 0
	}
	return time.Duration(until - at)
}

// Usable reports whether the engine may receive new work now.
func (e *Engine) Usable(now time.Time) bool {
	return e.ThrottledFor(now) == 0 && e.CoolingFor(now) == 0 && e.Healthy(now)
}

// Healthy reports whether the engine is healthy: it may receive new work as soon
// as its rate limit allows it and its cool-down has ended.
func (e *Engine) Healthy(now time.Time) bool {
	at := sinceEpoch(now)
	return !e.Leaving && !e.saysLeaving.Load() && !e.Replaced() && !isAfter(e.avoidUntil.Load(), at) && !isAfter(e.misplacedUntil.Load(), at)
}

// isAfter reports whether the stored timestamp until is set and after at.
func isAfter(until, at int64) bool { return until != 0 && until > at }

// ZoneLoads counts, for each zone, the tokens of this node's requests that run on
// engines of the zone. Nodes exchange these zone totals: a node that knew only
// its own requests would send more to a zone that other nodes have filled.
type ZoneLoads struct{ zones sync.Map }

func (l *ZoneLoads) zone(name string) *atomic.Int64 {
	v, ok := l.zones.Load(name)
	if !ok {
		v, _ = l.zones.LoadOrStore(name, new(atomic.Int64))
	}
	return v.(*atomic.Int64)
}

// Add adds tokens to the total of a zone. A negative number subtracts.
func (l *ZoneLoads) Add(zone string, tokens int) { l.zone(zone).Add(int64(tokens)) }

// ZoneTotals returns the zone totals in tokens.
func (l *ZoneLoads) ZoneTotals() map[string]int64 {
	out := map[string]int64{}
	l.zones.Range(func(k, v any) bool {
		out[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return out
}
