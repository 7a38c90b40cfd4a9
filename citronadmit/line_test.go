package citronadmit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronclock"
	"github.com/matryer/is"
)

// replayed is one kind of stream in a replay.
type replayed struct {
	name     string
	level    int
	target   time.Duration
	customer string
	// rate returns the arrivals per second at a time since the start.
	rate func(time.Duration) float64
}

// replay is a load on engines that hold at most capacity tokens in 1.05 of use. All streams
// are of the same size.
type replay struct {
	kinds    []replayed
	lasts    time.Duration
	capacity int
	// previous is true to decide as before there was a line: each stream polls by itself
	// for 12 % of its target time.
	previous bool

	mu      sync.Mutex
	used    int
	demand  citronadmit.Demand
	line    *citronadmit.Line
	arrived map[string]int
	inTime  map[string]int
}

const (
	replayTokens = 500
	replayHold   = 2 * time.Second        // how long a stream takes on average after its first event
	replayRead   = 120 * time.Millisecond // the time to the first event of an admitted stream
)

// run replays the load on the synctest clock.
func (r *replay) run(t *testing.T) {
	r.arrived, r.inTime = map[string]int{}, map[string]int{}
	synctest.Test(t, func(*testing.T) {
		r.line = citronadmit.NewLine(citronclock.Real{})
		rng := rand.New(rand.NewPCG(1, 2))
		// Without a spread, streams that began together would end together.
		hold := func() time.Duration { return time.Duration(2 * rng.Float64() * float64(replayHold)) }
		var streams sync.WaitGroup
		const step = time.Millisecond
		for start := time.Now(); time.Since(start) < r.lasts; time.Sleep(step) {
			for _, k := range r.kinds {
				if rng.Float64() < k.rate(time.Since(start))*step.Seconds() {
					takes := hold()
					streams.Go(func() { r.serve(k, takes) })
				}
			}
		}
		streams.Wait()
	})
}

// serve is one stream of a kind, which takes the given time after its first event.
func (r *replay) serve(k replayed, takes time.Duration) {
	start := time.Now()
	r.demand.Record(k.level, replayTokens, start)
	admitted := false
	if r.previous {
		for until := start.Add(k.target * 12 / 100); !admitted && !time.Now().After(until); {
			if admitted = r.take(citronadmit.Conditions{Limit: 1.05}); !admitted {
				time.Sleep(20 * time.Millisecond)
			}
		}
	} else {
		d, _ := r.line.Await(context.Background(), citronadmit.Request{Customer: k.customer, Tokens: replayTokens, Priority: k.level}, false, func() citronadmit.Decision {
			c := r.conditions(k, start)
			if r.take(c) {
				return citronadmit.Admit{}
			}
			return citronadmit.Decide(c)
		})
		_, admitted = d.(citronadmit.Admit)
	}
	r.mu.Lock()
	r.arrived[k.name]++
	if admitted && time.Since(start)+replayRead <= k.target {
		r.inTime[k.name]++
	}
	r.mu.Unlock()
	if admitted {
		time.Sleep(replayRead + takes)
		r.mu.Lock()
		r.used -= replayTokens
		r.mu.Unlock()
		r.line.Free()
	}
}

func (r *replay) conditions(k replayed, start time.Time) citronadmit.Conditions {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return citronadmit.Conditions{
		Now: now, Utilization: float64(r.used) / float64(r.capacity), Limit: 1.05, Level: k.level, Headroom: r.demand.Headroom(k.level, float64(r.capacity), now),
		Target: k.target, Elapsed: now.Sub(start), Waited: now.Sub(start), Forecast: replayRead,
	}
}

// take takes the capacity for a stream and reports whether there was enough.
func (r *replay) take(c citronadmit.Conditions) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Utilization = float64(r.used) / float64(r.capacity)
	if _, ok := citronadmit.Decide(c).(citronadmit.Admit); !ok {
		return false
	}
	r.used += replayTokens
	return true
}

// Guards against a burst of a less urgent kind that keeps out a more urgent one. The least
// urgent kind arrives 2.5 times as often for 6 s, then the most urgent one 1.8 times as often
// for 3 s. The share of streams in time may not be higher for a less urgent kind.
func TestBurstsKeepUrgentStreamsInTime(t *testing.T) {
	const usual = 20.0 // streams of each kind per second
	burst := func(factor float64, from, to time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= from && at < to {
				return factor * usual
			}
			return usual
		}
	}
	inTime := func(previous bool) (shares []float64) {
		r := &replay{
			previous: previous, lasts: 16 * time.Second, capacity: 3 * usual * replayTokens * 12 / 5, // 0.88 at the usual rates
			kinds: []replayed{
				{"urgent", 0, 500 * time.Millisecond, "", burst(1.8, 11*time.Second, 14*time.Second)},
				{"usual", 1, 500 * time.Millisecond, "", burst(1, 0, 0)},
				{"batch", 2, time.Second, "", burst(2.5, 5*time.Second, 11*time.Second)},
			},
		}
		r.run(t)
		for _, k := range r.kinds {
			shares = append(shares, float64(r.inTime[k.name])/float64(r.arrived[k.name]))
		}
		return shares
	}
	is := is.New(t)
	before, shares := inTime(true), inTime(false)
	t.Logf("in time by kind: %.3f, without a line %.3f", shares, before)
	is.True(shares[0] >= shares[1] && shares[1] >= shares[2])
	is.True(shares[0] > 0.98)
	is.True(before[0] < 0.98) // the replay tells the two apart
}

// Guards against a large customer that crowds out the others. One of 24 customers sends forty
// times as much as each of the others, together twice what the engines can serve. No customer
// may be served less than half as often as the mean.
func TestLargeCustomerLeavesOthersTheirShare(t *testing.T) {
	served := func(previous bool) (least, mean float64) {
		const rate = 2.0 // streams of a small customer per second
		r := &replay{previous: previous, lasts: 40 * time.Second, capacity: 30 * rate * replayTokens * 2}
		for i := range 24 {
			own := rate
			if i == 0 {
				own *= 40
			}
			name := fmt.Sprint(i)
			r.kinds = append(r.kinds, replayed{name, 0, 500 * time.Millisecond, name, func(time.Duration) float64 { return own }})
		}
		r.run(t)
		var counts []int
		for _, k := range r.kinds {
			counts = append(counts, r.inTime[k.name])
			mean += float64(r.inTime[k.name]) / 24
		}
		return float64(slices.Min(counts)), mean
	}
	is := is.New(t)
	beforeLeast, beforeMean := served(true)
	least, mean := served(false)
	t.Logf("least and mean served: %.0f of %.1f, without a line %.0f of %.1f", least, mean, beforeLeast, beforeMean)
	is.True(least >= mean/2)
	is.True(beforeLeast < beforeMean/2) // the replay tells the two apart
}

// Guards against a newcomer that overtakes, against a request behind one that cannot use the
// free engines that is held up by it, and against a caller that left and is tried again.
func TestLineTriesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := citronadmit.NewLine(citronclock.Real{})
		// The line's lock guards admitted. The test sets free without it.
		var free atomic.Int32
		admitted := []string{}
		start := func(ctx context.Context, name string, priority int, restricted bool) {
			go func() {
				_, _ = l.Await(ctx, citronadmit.Request{Customer: name, Priority: priority}, restricted, func() citronadmit.Decision {
					if free.Load() == 0 || restricted {
						return citronadmit.Wait{Until: time.Now().Add(time.Hour)}
					}
					free.Add(-1)
					admitted = append(admitted, name)
					return citronadmit.Admit{}
				})
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		start(ctx, "left", 0, false)
		start(t.Context(), "restricted", 1, true)
		start(t.Context(), "first", 1, false)
		start(t.Context(), "less urgent", 2, false)
		is.Equal(l.Len(), 4)
		cancel()
		synctest.Wait()
		is.Equal(l.Len(), 3)
		free.Store(1)
		start(t.Context(), "newcomer", 1, false)
		is.Equal(admitted, []string{"first"})
		free.Store(1)
		l.Free()
		synctest.Wait()
		free.Store(1)
		time.Sleep(25 * time.Millisecond) // capacity became free without notice
		synctest.Wait()
		is.Equal(admitted, []string{"first", "newcomer", "less urgent"})
		is.Equal(l.Len(), 1)
	})
}
