package citronclock

import (
	"context"
	"sync"
	"time"
)

// Manual is a clock that stands still until Advance moves it. It is for
// tests: what depends on time then happens when the test says so.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	changed chan struct{}
}

// NewManual returns a clock that shows start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, changed: make(chan struct{})}
}

// Now returns the time the clock shows.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock on by d and wakes the sleepers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Sleep waits until the clock has moved on by d or ctx ends.
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
