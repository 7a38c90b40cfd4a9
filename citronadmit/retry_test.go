package citronadmit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// retryReplay is a node whose streams have a fixed capacity. Demand is below it but for a surge.
// Callers that are refused return once; returning callers go ahead of new ones.
type retryReplay struct {
	surge    time.Duration
	peak     float64                // demand in the surge, as a share of the capacity
	ignore   float64                // share of the callers that return at once
	ahead    bool                   // returning callers go ahead
	planners []*citronadmit.Planner // by node; none: random delays
	base     float64
}

type streamEnd struct {
	at   time.Time
	node int
}

type replayCaller struct {
	key              uint64
	refusals, node   int
	ignores, early   bool
	arrived, returns time.Time
}

// replayCount holds how many callers were refused once and twice, by whether they ignore
// the delay.
type replayCount struct{ refused, twice int }

func (c replayCount) plus(d replayCount) replayCount {
	return replayCount{c.refused + d.refused, c.twice + d.twice}
}

func (c replayCount) share() float64 { return float64(c.twice) / float64(max(1, c.refused)) }

func (r retryReplay) run(seed uint64) (obey, ignore replayCount) {
	const (
		step, lasts, wait, left, before, after = 20 * time.Millisecond, 3 * time.Second, 60 * time.Millisecond, 20 * time.Second, 8 * time.Second, 12 * time.Second
		tokens, capacity                       = 500, 300
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_800_000_000, 0)
	var waiting, away []*replayCaller
	var ends []streamEnd
	nodes := max(1, len(r.planners))
	key := uint64(0)
	for now := start; now.Before(start.Add(before + r.surge + after)); now = now.Add(step) {
		running := ends[:0]
		for _, e := range ends {
			if e.at.After(now) {
				running = append(running, e)
			} else if len(r.planners) > 0 {
				r.planners[e.node].ObserveEnd(tokens, now)
			}
		}
		ends = running
		rate := r.base
		if t := now.Sub(start); t >= before && t < before+r.surge {
			rate = r.peak
		}
		var returning []*replayCaller
		keep := away[:0]
		for _, c := range away {
			if c.returns.After(now) {
				keep = append(keep, c)
				continue
			}
			c.arrived, c.early = now, len(r.planners) > 0 && r.planners[c.node].Early(c.key, now)
			returning = append(returning, c)
		}
		away = keep
		expected := rate * capacity * step.Seconds() / lasts.Seconds()
		for n := int(expected) + 1; n > 0; n-- {
			if rng.Float64() < expected/float64(int(expected)+1) {
				key++
				waiting = append(waiting, &replayCaller{key: key, node: int(key) % nodes, arrived: now, ignores: rng.Float64() < r.ignore})
			}
		}
		var first, rest []*replayCaller
		for _, c := range append(waiting, returning...) {
			if r.ahead && c.refusals > 0 && !c.early {
				first = append(first, c)
			} else {
				rest = append(rest, c)
			}
		}
		waiting = nil
		for _, c := range append(first, rest...) {
			if len(ends) < capacity {
				ends = append(ends, streamEnd{now.Add(lasts/6 + time.Duration(rng.ExpFloat64()*5/6*float64(lasts))), c.node})
				if len(r.planners) > 0 && c.refusals == 0 {
					r.planners[c.node].ObserveBegin(tokens, now)
				}
				continue
			}
			if now.Sub(c.arrived) < wait {
				waiting = append(waiting, c)
				continue
			}
			count := &obey
			if c.ignores {
				count = &ignore
			}
			c.refusals++
			if c.refusals > 1 {
				count.twice++
				continue
			}
			count.refused++
			delay := time.Duration((0.15 + 0.17*rng.Float64()) * float64(left))
			if len(r.planners) > 0 {
				delay = r.planners[c.node].RetryAfter(citronadmit.RefusedRequest{Tokens: tokens, Left: left, Key: c.key, Turn: citronadmit.TurnOf(c.node, nodes)}, now)
			}
			if c.ignores {
				delay = 100 * time.Millisecond
			}
			c.returns = now.Add(delay)
			away = append(away, c)
		}
	}
	return obey, ignore
}

// surgeReplay replays surges of 5 s at 1.7 times the capacity on several nodes, without a
// planner if nodes is zero.
func surgeReplay(nodes int, ignore float64, ahead bool) (obey, ignored replayCount) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var planners []*citronadmit.Planner
		for range nodes {
			planners = append(planners, citronadmit.NewPlanner(rng.Float64))
		}
		a, b := retryReplay{surge: 5 * time.Second, peak: 1.7, base: 0.5, ignore: ignore, ahead: ahead, planners: planners}.run(seed)
		obey, ignored = obey.plus(a), ignored.plus(b)
	}
	return obey, ignored
}

// Guards against retry delays that bring refused callers back while the surge lasts, or
// more of them together than there is capacity for: they are refused a second time and
// lost. Random delays fail this test unless returning callers go ahead of new ones.
func TestFewRefusedCallersAreRefusedTwice(t *testing.T) {
	is := is.New(t)
	random, _ := surgeReplay(0, 0, false)
	t.Logf("random delays: %d of %d refused twice", random.twice, random.refused)
	is.True(random.share() > 0.02)
	for _, c := range []struct {
		nodes int
		ahead bool
	}{{1, false}, {1, true}, {8, true}} {
		planned, _ := surgeReplay(c.nodes, 0, c.ahead)
		t.Logf("planner, %d nodes, returning callers go ahead %v: %d of %d refused twice", c.nodes, c.ahead, planned.twice, planned.refused)
		is.True(planned.share() < 0.02)
		is.True(planned.refused < random.refused*21/20) // not at the cost of more refusals
	}
}

// Guards against the same on eight nodes that do not know of each other's promises, while
// returning callers do not go ahead of new ones.
func TestFewAreRefusedTwiceByNodesWithoutPrecedence(t *testing.T) {
	planned, _ := surgeReplay(8, 0, false)
	t.Logf("planner, 8 nodes: %d of %d refused twice", planned.twice, planned.refused)
	is.New(t).True(planned.share() < 0.02)
}

// Guards against callers that gain by returning before their time, also where returning
// callers go ahead of new ones, and against the others losing by it.
func TestCallersThatIgnoreRetryAfterGainNothing(t *testing.T) {
	is := is.New(t)
	for _, ahead := range []bool{false, true} {
		obey, ignored := surgeReplay(1, 0.3, ahead)
		t.Logf("returning callers go ahead %v: refused twice %d of %d that obey, %d of %d that return at once", ahead, obey.twice, obey.refused, ignored.twice, ignored.refused)
		is.True(ignored.refused > 100)
		is.True(ignored.share() > obey.share())
		is.True(obey.share() < 0.02)
	}
}

// Guards against a delay that is longer than callers wait or too short, also for absurd
// requests, and against a more urgent caller that is told to return later than a less
// urgent one.
func TestRetryDelayBoundsAndOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := 0.0
		newPlanner := func() *citronadmit.Planner { return citronadmit.NewPlanner(func() float64 { return drawn }) }
		levels := rapid.IntRange(1, 10).Draw(rt, "levels")
		urgent := rapid.IntRange(-1, levels).Draw(rt, "urgent")
		less := rapid.IntRange(urgent, levels+1).Draw(rt, "less")
		a, b := newPlanner(), newPlanner() // the same history; the last refusal differs
		nodes := rapid.IntRange(0, 40).Draw(rt, "nodes")
		turn := citronadmit.TurnOf(rapid.IntRange(0, max(0, nodes-1)).Draw(rt, "node"), nodes)
		now := time.Unix(1_800_000_000, 0)
		tokens := rapid.SampledFrom([]int{-5, 0, 1, 300, 5000, math.MaxInt})
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-200, 1500).Draw(rt, "ms")) * time.Millisecond)
			n, action := tokens.Draw(rt, "tokens"), rapid.IntRange(0, 3).Draw(rt, "action")
			r := citronadmit.RefusedRequest{
				Tokens: n, Level: rapid.IntRange(0, levels).Draw(rt, "level"), Levels: levels,
				Turn: turn,
				Left: time.Duration(rapid.IntRange(-1000, 90_000).Draw(rt, "left")) * time.Millisecond, Again: rapid.Bool().Draw(rt, "again"), Key: uint64(rapid.IntRange(0, 20).Draw(rt, "key")),
			}
			drawn = rapid.Float64Range(0, 1).Draw(rt, "drawn")
			for _, p := range []*citronadmit.Planner{a, b} {
				switch action {
				case 0:
					p.ObserveBegin(n, now)
				case 1:
					p.ObserveEnd(n, now)
				default:
					checkRetryBounds(rt, r.Left, p.RetryAfter(r, now))
				}
			}
		}
		r := citronadmit.RefusedRequest{Tokens: 300, Level: urgent, Levels: levels, Left: 20 * time.Second, Turn: turn}
		early := a.RetryAfter(r, now)
		r.Level = less
		if late := b.RetryAfter(r, now); early > late {
			rt.Fatalf("level %d of %d returns after %v, level %d after %v", urgent, levels, early, less, late)
		}
	})
}

func checkRetryBounds(rt *rapid.T, left, after time.Duration) {
	longest := time.Duration(0.32 * float64(max(0, left)))
	if after > longest || after < min(longest, 400*time.Millisecond) {
		rt.Fatalf("retry after %v with %v left", after, left)
	}
}

// Guards against a planner that grows with the number of refusals, and against capacity
// that stays promised for ever.
func TestPlannerForgetsOldPromises(t *testing.T) {
	is := is.New(t)
	p := citronadmit.NewPlanner(func() float64 { return 0 })
	now := time.Unix(1_800_000_000, 0)
	refuse := func(key uint64) time.Duration {
		return p.RetryAfter(citronadmit.RefusedRequest{Tokens: 100, Left: 20 * time.Second, Key: key}, now)
	}
	p.ObserveEnd(1000, now)
	first := refuse(1)
	for key := range uint64(50_000) {
		refuse(key)
	}
	is.True(p.Promises() <= 1024)
	is.True(p.Early(1, now))
	now = now.Add(time.Minute)
	p.ObserveEnd(1000, now)
	is.Equal(refuse(90_000), first) // the schedule is free again
	for key := range uint64(2000) {
		refuse(100_000 + key)
	}
	is.True(p.Early(90_000, now)) // expired promises have made room
	is.True(!p.Early(1, now))
}
