// Package citronclock passes time into the rest of citrondeck as an
// interface, so that tests can drive leases, timeouts and lags without
// sleeping and without reading the wall clock.
package citronclock

import (
	"context"
	"time"
)

// Clock is the source of time for every component.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d or until ctx ends, whichever is first, and
	// returns ctx.Err() in the latter case.
	Sleep(ctx context.Context, d time.Duration) error
}

// Real is the wall clock.
type Real struct{}

// Now returns time.Now().
func (Real) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx ends.
func (Real) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
