package citronclock

import (
	"context"
	"sync"
	"time"
)

// Manual is a clock for tests. Its time changes only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	changed chan struct{} // closed and replaced by each Advance
}

// NewManual returns a clock whose time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, changed: make(chan struct{})}
}

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d and wakes the sleepers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Sleep implements Clock. It returns once calls to Advance have moved the clock by d in
// total, or when ctx ends.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	end := m.Now().Add(d)
	for {
		m.mu.Lock()
		due, changed := !m.now.Before(end), m.changed
		m.mu.Unlock()
		if due {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
