package citronadmit

import (
	"iter"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minRetryDelay is the shortest retry delay, unless the caller's time allows less.
	minRetryDelay = 400 * time.Millisecond
	// minRetryShare and maxRetryShare bound the retry delay as a share of the time that
	// the caller has left. Callers wait for a third of that time at most. Full caches take
	// some seconds to drain, and a caller that retries sooner is likely to be refused a
	// second time.
	minRetryShare = 0.15
	maxRetryShare = 0.32
	// urgentRetryShare is the part of the range of delays that the most urgent callers get.
	urgentRetryShare = 0.5
	// retryJitter is the largest random reduction of a delay, as a share of what it is
	// longer than the shortest. It keeps callers of nodes that share a turn from returning
	// together.
	retryJitter = 0.25
	// retryRateWindow is the time over which rates are observed.
	retryRateWindow = 2 * time.Second
	// minPromisedShare is the share of the released capacity that is promised to refused
	// callers even if new requests take all of it now.
	minPromisedShare = 0.1
	// promiseSlot and promiseSlots are the resolution and the length of the schedule. It
	// covers 32 % of the default time limit of 30 s.
	promiseSlot  = 100 * time.Millisecond
	promiseSlots = 100
	// promiseLevels is the number of levels that are scheduled separately. Less urgent
	// ones count as the last.
	promiseLevels = 8
	// maxPromises bounds the callers that are remembered, promiseTTL for how long after
	// the promised time.
	maxPromises = 1024
	promiseTTL  = 2 * time.Second
)

// Turn tells which of the times at which callers return are this node's. If nodes that do not
// know of each other's promises promised capacity at the same times, all by a fraction of a
// caller, callers would return together. The zero value stands for a single node.
type Turn struct{ Index, Count int }

// maxTurns is the largest number of turns. More of them would leave a node too few times.
const maxTurns = 8

// TurnOf returns the turn of the node at an index of all nodes.
func TurnOf(index, nodes int) Turn {
	count := min(maxTurns, max(1, nodes))
	return Turn{index % count, count}
}

// has reports whether a slot belongs to the turn.
func (t Turn) has(slot int64) bool { return slot%int64(t.Count) == int64(t.Index) }

// RefusedRequest describes a refused request.
type RefusedRequest struct {
	// Tokens is the capacity that the request needs.
	Tokens int
	// Level is its priority level of Levels; zero is the most urgent.
	Level, Levels int
	// Left is the time that the caller has left.
	Left time.Duration
	// Again is true if the caller was probably refused before. Key then identifies its
	// earlier refusals by this node. It is a hash of what the caller sends each time.
	Again bool
	Key   uint64
	// Turn is the turn of the node that refuses the request.
	Turn Turn
}

// Planner tells refused callers when to retry. It keeps a schedule of the capacity that
// running requests release, as far as new requests leave it, and promises each part of it
// to one refused caller. Rates are those of this node, so each node promises only its share
// of the capacity. Tokens are the unit of capacity.
//
// Each caller is promised the latest capacity that its time allows: the surge in which it
// was refused is then most likely over. In trials with a replay of surges, promising the
// earliest capacity let more callers be refused in all, because those that returned during
// the surge took the place of new ones, or were refused again. If all capacity is promised, the caller gets the
// time to which the least is promised. A Planner is safe for concurrent use; its memory is
// bounded.
type Planner struct {
	random func() float64

	mu sync.Mutex
	// newest is the latest time that a method was called with.
	newest   time.Time
	released rateMeter
	taken    rateMeter
	// booked holds the promised tokens by slot, modulo promiseSlots, and level. first is
	// the number of the earliest slot.
	booked   [promiseSlots][promiseLevels]float64
	first    int64
	promises map[uint64]promise
	// swept is when expired promises were last removed.
	swept time.Time
}

// promise is the capacity promised to one caller, by slot, and the time at which it is to
// return.
type promise struct {
	at    time.Time
	level int
	parts []slotPart
}

// slotPart is a part of the capacity of one slot.
type slotPart struct {
	slot   int64
	tokens float64
}

// NewPlanner returns a planner that draws its random numbers, from 0 to 1, from random. Nil
// stands for math/rand/v2.
func NewPlanner(random func() float64) *Planner {
	if random == nil {
		random = rand.Float64
	}
	return &Planner{random: random, promises: map[uint64]promise{}}
}

// ObserveBegin records that a new request takes capacity. Returning callers take what they
// were promised and are not to be recorded.
func (p *Planner) ObserveBegin(tokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken.add(tokens, p.advance(now))
}

// ObserveEnd records that a request ended and released its capacity.
func (p *Planner) ObserveEnd(tokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released.add(tokens, p.advance(now))
}

// RetryAfter returns the delay after which a refused caller is to retry. It is at most 32 %
// of the time left and, within that, at least 400 ms. More urgent callers get the same or a
// shorter delay. If no request has ended recently, the delay is a random share of the time
// left.
func (p *Planner) RetryAfter(r RefusedRequest, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now = p.advance(now)
	drawn, within := min(1, max(0, p.random())), min(1, max(0, p.random()))
	left := float64(max(0, r.Left))
	shortest, longest := time.Duration(minRetryShare*left), time.Duration(maxRetryShare*left)
	if old, ok := p.promises[r.Key]; ok && r.Again {
		if rest := old.at.Sub(now); rest > shortest { // back early: not to return before the time it had
			shortest = min(rest, longest)
		}
		p.cancel(r.Key, old)
	}
	shortest = min(longest, max(minRetryDelay, shortest))
	release := p.released.rate(now)
	if release == 0 {
		return shortest + time.Duration(drawn*float64(longest-shortest))
	}
	free := max(release-p.taken.rate(now), minPromisedShare*release)
	levels := min(promiseLevels, max(1, r.Levels))
	level := min(levels-1, max(0, r.Level))
	delay, b := longest, promise{}
	for l := levels - 1; l >= level; l-- {
		c := p.plan(max(1, r.Tokens), l, r.Turn, free*promiseSlot.Seconds(), drawn, now.Add(shortest), now.Add(lastRetry(shortest, longest, l, levels)))
		delay, b = min(delay, max(shortest, c.at.Sub(now))), c // not later than a less urgent caller's
	}
	for _, part := range b.parts {
		p.booked[part.slot%promiseSlots][level] += part.tokens
	}
	delay = min(longest, delay+time.Duration(within*float64(promiseSlot)))
	b.at = now.Add(delay)
	p.remember(r.Key, b, now)
	return delay
}

// lastRetry returns the longest delay for a level. Engines and nodes admit more urgent
// requests first, so these need not wait as long for capacity.
func lastRetry(shortest, longest time.Duration, level, levels int) time.Duration {
	share := 1.0
	if levels > 1 {
		share = urgentRetryShare + (1-urgentRetryShare)*float64(level)/float64(levels-1)
	}
	return shortest + time.Duration(share*float64(longest-shortest))
}

// Early reports whether the caller was refused by this node and returns before the time it
// was given. Such a request is to be treated as a new one.
func (p *Planner) Early(key uint64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.promises[key]
	return ok && p.advance(now).Before(b.at)
}

// Promises returns the number of callers that are remembered.
func (p *Planner) Promises() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.promises)
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(promiseSlot) }

// advance removes past slots from the schedule. It returns now, or the newest time if the
// clock went back.
func (p *Planner) advance(now time.Time) time.Time {
	if now.Before(p.newest) {
		return p.newest
	}
	p.newest = now
	first := slotOf(now)
	for s := max(p.first, first-promiseSlots); s < first; s++ {
		p.booked[s%promiseSlots] = [promiseLevels]float64{}
	}
	p.first = first
	return now
}

// plan returns the promise of tokens from slots between two times. perSlot is the capacity
// of a slot; more urgent callers are promised what less urgent ones were. Late slots are
// taken first, from one near the last time on. If they have not enough capacity, all of it
// is taken from the slot of which the least is promised. Only slots of the turn are used, for
// the capacity of all, unless there are too few. drawn is a random number.
func (p *Planner) plan(tokens, level int, turn Turn, perSlot, drawn float64, first, last time.Time) promise {
	begin := max(p.first, slotOf(first))
	end := max(begin, min(slotOf(last), p.first+promiseSlots-1))
	if end-begin+1 < int64(turn.Count) || turn.Count < 1 {
		turn = Turn{Count: 1}
	}
	perSlot *= float64(turn.Count)
	out := promise{level: level}
	missing := float64(tokens)
	late := end - int64(retryJitter*drawn*float64(end-p.first))
	for s := range turn.slotsDown(begin, max(begin, late), end) {
		if part := min(missing, perSlot-p.promised(s, level)); part > 0 {
			out.parts = append(out.parts, slotPart{s, part})
			missing -= part
		}
	}
	if missing > 0 {
		least, leastPromised := end, math.Inf(1)
		for s := range turn.slotsDown(begin, end-int64(drawn*float64(end-begin)), end) {
			if b := p.promised(s, level); b < leastPromised {
				least, leastPromised = s, b
			}
		}
		out.parts = []slotPart{{least, float64(tokens)}}
	}
	out.at = time.Unix(0, out.parts[0].slot*int64(promiseSlot))
	if last.Before(out.at) {
		out.at = last
	}
	return out
}

// promised returns the tokens of a slot that are promised to callers of a level or more
// urgent ones.
func (p *Planner) promised(slot int64, level int) float64 {
	sum := 0.0
	for _, b := range p.booked[slot%promiseSlots][:level+1] {
		sum += b
	}
	return sum
}

// slotsDown iterates over the slots of the turn from begin to end: from start down to begin,
// then from end down to the one after start.
func (t Turn) slotsDown(begin, start, end int64) iter.Seq[int64] {
	return func(yield func(int64) bool) {
		for s := start; s >= begin; s-- {
			if t.has(s) && !yield(s) {
				return
			}
		}
		for s := end; s > start; s-- {
			if t.has(s) && !yield(s) {
				return
			}
		}
	}
}

// cancel returns the capacity of a promise to the schedule.
func (p *Planner) cancel(key uint64, b promise) {
	delete(p.promises, key)
	for _, part := range b.parts {
		if part.slot >= p.first {
			left := &p.booked[part.slot%promiseSlots][b.level]
			*left = max(0, *left-part.tokens)
		}
	}
}

// remember stores a promise until it expires. If there are too many, it is not stored, and
// an early return of the caller books capacity twice.
func (p *Planner) remember(key uint64, b promise, now time.Time) {
	if len(p.promises) >= maxPromises && now.Sub(p.swept) >= promiseTTL {
		p.swept = now
		for k, old := range p.promises {
			if now.Sub(old.at) > promiseTTL {
				delete(p.promises, k)
			}
		}
	}
	if _, ok := p.promises[key]; ok || len(p.promises) < maxPromises {
		p.promises[key] = b
	}
}

// rateBuckets is the number of parts of retryRateWindow that are counted separately.
const rateBuckets = 8

// rateMeter measures a rate over the last retryRateWindow.
type rateMeter struct {
	began   time.Time
	buckets [rateBuckets]struct {
		number int64
		tokens float64
	}
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(retryRateWindow/rateBuckets) }

func (m *rateMeter) add(tokens int, now time.Time) {
	if tokens <= 0 {
		return
	}
	if m.began.IsZero() {
		m.began = now
	}
	n := bucketOf(now)
	b := &m.buckets[n%rateBuckets]
	if b.number != n {
		b.number, b.tokens = n, 0
	}
	b.tokens += float64(tokens)
}

// rate returns the tokens per second.
func (m *rateMeter) rate(now time.Time) float64 {
	sum, n := 0.0, bucketOf(now)
	for _, b := range m.buckets {
		if b.number > n-rateBuckets && b.number <= n {
			sum += b.tokens
		}
	}
	return sum / min(retryRateWindow, max(retryRateWindow/2, now.Sub(m.began))).Seconds()
}
