// Package citronlag measures the scheduling delay of this process: how much later than due its
// goroutines run. A process that is short of processor time reads answers late. Without the
// delay it cannot tell its own lateness from the silence of another process.
package citronlag

import (
	"context"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
)

const (
	// tickInterval is the time between two measurements.
	tickInterval = 20 * time.Millisecond
	// minDelay is the shortest delay that is recorded.
	minDelay = 5 * time.Millisecond
	// lateDelay is the delay from which on a process is late. An answer passes several
	// goroutines, each of which may wait as long, and the shortest time in which nodes expect
	// one over the network is 200 ms.
	lateDelay = 40 * time.Millisecond
	// retention is how long a delay is remembered.
	retention = 5 * time.Second
)

// Monitor measures the scheduling delay. It is safe for concurrent use. A nil Monitor reports
// no delay.
type Monitor struct {
	clock citronclock.Clock
	// observe, if set, is called with each measured delay.
	observe func(time.Duration)
	// fixed, if positive, is reported instead of what is measured.
	fixed time.Duration

	mu sync.Mutex
	// due is when the next tick is due, zero while the monitor does not run.
	due time.Time
	// late holds the recent late ticks, oldest first.
	late []lateTick
}

// lateTick is a tick that was due at one time and ran at another.
type lateTick struct{ due, ran time.Time }

// New returns a monitor. observe is called with each measured delay; it may be nil.
func New(clock citronclock.Clock, observe func(time.Duration)) *Monitor {
	return &Monitor{clock: clock, observe: observe}
}

// Fixed returns a monitor that always reports the same delay. It is meant for tests.
func Fixed(delay time.Duration) *Monitor { return &Monitor{fixed: delay} }

// Run measures until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		m.begin()
		if m.clock.Sleep(ctx, tickInterval) != nil {
			return
		}
		delay := m.end()
		if m.observe != nil {
			m.observe(delay)
		}
	}
}

// begin records that a tick is due after tickInterval.
func (m *Monitor) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = m.clock.Now().Add(tickInterval)
}

// end records that the tick has run, and returns its delay.
func (m *Monitor) end() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	tick := lateTick{m.due, now}
	m.due = time.Time{}
	delay := max(0, now.Sub(tick.due))
	for len(m.late) > 0 && now.Sub(m.late[0].ran) > retention {
		m.late = m.late[1:]
	}
	if delay >= minDelay {
		m.late = append(m.late, tick)
	}
	return delay
}

// Since returns the longest time for which goroutines that were due did not run, from the given
// time on. It goes back retention at most.
func (m *Monitor) Since(t time.Time) time.Duration {
	switch {
	case m == nil:
		return 0
	case m.fixed > 0:
		return m.fixed
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := time.Duration(0)
	if !m.due.IsZero() {
		longest = max(longest, lateTick{m.due, m.clock.Now()}.since(t))
	}
	for i := len(m.late) - 1; i >= 0 && m.late[i].ran.After(t); i-- {
		longest = max(longest, m.late[i].since(t))
	}
	return longest
}

// LateSince reports whether the process has run late since t. The lack of an answer in that time
// proves nothing then: it may have arrived and not been read yet.
func (m *Monitor) LateSince(t time.Time) bool { return m.Since(t) >= lateDelay }

// since returns the part of the delay that lies after t.
func (k lateTick) since(t time.Time) time.Duration {
	if k.due.After(t) {
		t = k.due
	}
	return k.ran.Sub(t)
}
