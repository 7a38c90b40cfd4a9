// Package citronclock defines the clock interface that all components use, so
// that tests can control leases, timeouts and delays without sleeping and
// without reading the wall clock.
package citronclock

import (
	"context"
	"time"
)

// Clock tells the time and sleeps.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d or until ctx ends. It returns ctx.Err() if ctx ends
	// first.
	Sleep(ctx context.Context, d time.Duration) error
}

// Real is the system clock.
type Real struct{}

// Now implements Clock.
func (Real) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (Real) Sleep(ctx context.Context, d time.Duration) error {
	t := NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
