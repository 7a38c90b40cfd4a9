package citronadmit_test

import (
	"math"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"github.com/matryer/is"
)

// Guards against a wait that makes the stream late or is shorter than without a forecast,
// and against a refusal that is worse for the caller than a late first event.
func TestDecisionsOfPolicy(t *testing.T) {
	const target = 500 * time.Millisecond
	wait := func(d time.Duration) citronadmit.Decision { return citronadmit.Wait{Until: epoch.Add(d)} }
	full := citronadmit.Reject{Reason: citronadmit.ReasonNoCapacity}
	for _, c := range []struct {
		name string
		with func(*citronadmit.Conditions)
		want citronadmit.Decision
	}{
		{"up to the limit", func(c *citronadmit.Conditions) { c.Utilization = 1.05 }, citronadmit.Admit{}},
		{"headroom is no matter for the most urgent", func(c *citronadmit.Conditions) { c.Utilization, c.Headroom = 1.05, 0.3 }, citronadmit.Admit{}},
		{"headroom lowers the limit of others", func(c *citronadmit.Conditions) { c.Utilization, c.Headroom, c.Level = 0.8, 0.3, 1 }, wait(60 * time.Millisecond)},
		{"many levels leave half of the limit", func(c *citronadmit.Conditions) { c.Utilization, c.Headroom, c.Level = 0.52, 1.35, 9 }, citronadmit.Admit{}},
		{"forecast unknown: 12 % of the target", func(*citronadmit.Conditions) {}, wait(60 * time.Millisecond)},
		{"forecast unknown: the wait is over", func(c *citronadmit.Conditions) { c.Waited, c.Elapsed = 60*time.Millisecond, 60*time.Millisecond }, full},
		{"as long as the target allows", func(c *citronadmit.Conditions) { c.Forecast = 200 * time.Millisecond }, wait(300 * time.Millisecond)},
		{"less after a part of it", func(c *citronadmit.Conditions) {
			c.Forecast, c.Elapsed, c.Waited = 200*time.Millisecond, 150*time.Millisecond, 100*time.Millisecond
		}, wait(150 * time.Millisecond)},
		{"three quarters of the target at most", func(c *citronadmit.Conditions) { c.Forecast = time.Millisecond }, wait(375 * time.Millisecond)},
		{"late, and so would be the retry", func(c *citronadmit.Conditions) { c.Forecast = time.Second }, wait(60 * time.Millisecond)},
		{"later than the retry", func(c *citronadmit.Conditions) { c.Forecast = 5 * time.Second }, citronadmit.Reject{Reason: citronadmit.ReasonTooLate}},
		{"free cache, but prompts queue for too long", func(c *citronadmit.Conditions) { c.Utilization, c.Forecast = 0.5, 1100*time.Millisecond }, citronadmit.Reject{Reason: citronadmit.ReasonTooLate}},
		{"free cache and somewhat late", func(c *citronadmit.Conditions) { c.Utilization, c.Forecast = 0.5, 700*time.Millisecond }, citronadmit.Admit{}},
		{"later than the retry, but the caller would not retry", func(c *citronadmit.Conditions) { c.Forecast, c.RetryAfter = 5*time.Second, 0 }, wait(60 * time.Millisecond)},
		{"no target", func(c *citronadmit.Conditions) { c.Target = 0 }, full},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := citronadmit.Conditions{Now: epoch, Utilization: 1.2, Limit: 1.05, Target: target, RetryAfter: 4 * time.Second}
			c.with(&in)
			is.New(t).Equal(citronadmit.Decide(in), c.want)
		})
	}
}

// Guards against headroom out of its bounds, and against one that outlives the burst it is
// kept for.
func TestHeadroomFollowsVariation(t *testing.T) {
	is := is.New(t)
	var d citronadmit.Demand
	const capacity = 10_000
	for i := range 20 {
		at := epoch.Add(time.Duration(i) * 500 * time.Millisecond)
		d.Record(0, 1000+1000*(i%2), at) // mean absolute deviation 500
		d.Record(1, 1000, at)
		d.Record(99, 8000*(i%2), at)
	}
	end := epoch.Add(10 * time.Second)
	is.Equal(d.Headroom(0, capacity, end), 0.0)
	is.Equal(d.Headroom(1, capacity, end), 0.05)
	is.Equal(d.Headroom(2, capacity, end), 0.05+0.02)
	is.True(math.Abs(d.Headroom(10, capacity, end)-d.Headroom(9, capacity, end)-0.15) < 1e-9)
	is.Equal(d.Headroom(2, 0, end), 0.04)
	is.Equal(d.Headroom(1, capacity, end.Add(time.Hour)), 0.02)
}
