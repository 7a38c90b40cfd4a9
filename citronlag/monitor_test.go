package citronlag

import (
	"context"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"github.com/matryer/is"
)

// Guards against a delay that is attributed to a time in which the process ran.
func TestDelayCountsFromTheGivenTime(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	clock := citronclock.NewManual(start)
	m := New(clock, nil)
	tick := func(after time.Duration) {
		m.begin()
		clock.Advance(after)
		m.end()
	}
	tick(tickInterval)                // in time at 20 ms
	tick(tickInterval + minDelay - 1) // a delay that is too short to be recorded
	is.Equal(m.Since(start), time.Duration(0))
	clock.Advance(at(100).Sub(clock.Now()))
	tick(200 * time.Millisecond) // due at 120 ms, ran at 300 ms
	is.Equal(m.Since(start), 180*time.Millisecond)
	is.Equal(m.Since(at(200)), 100*time.Millisecond)
	is.Equal(m.Since(at(300)), time.Duration(0))
	m.begin() // due at 320 ms
	is.Equal(m.Since(at(300)), time.Duration(0))
	clock.Advance(70 * time.Millisecond)
	is.Equal(m.Since(at(300)), 50*time.Millisecond) // the tick is still to run
	m.end()
	clock.Advance(retention)
	tick(tickInterval)
	tick(tickInterval)
	is.Equal(m.Since(start), time.Duration(0)) // forgotten
	is.Equal((*Monitor)(nil).Since(start), time.Duration(0))
}

// Guards against a monitor that does not see a process that does not run.
func TestMonitorMeasures(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(1000, 0))
	delays := make(chan time.Duration)
	ctx, cancel := context.WithCancel(context.Background())
	m := New(clock, func(d time.Duration) { delays <- d })
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	for longest := time.Duration(0); longest < 480*time.Millisecond; { // the first steps may be before the tick is due
		clock.Advance(500 * time.Millisecond)
		select {
		case longest = <-delays:
		case <-time.After(10 * time.Millisecond):
		}
	}
	cancel()
	for ended := false; !ended; {
		select {
		case <-delays:
		case <-done:
			ended = true
		}
	}
	is.True(m.Since(time.Unix(1000, 0)) >= 480*time.Millisecond)
}
