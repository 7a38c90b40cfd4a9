package citronroute

// The watchdog. A back end that freezes (paused, or cut off with its
// connections still open) neither answers nor resets: without a guard each
// call to it waits for the caller's whole deadline, and the caller sees a
// request that hangs. A fixed time-out per call cannot tell frozen from
// busy, and in a surge it would abandon work that is merely queued. So a
// back end that has had calls in flight and given no answer for StallAfter
// is probed on a path that does not queue; a busy one answers the probe
// and its calls go on, a frozen one misses probesToFreeze in a row and all
// its calls end with ErrFrozen.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
)

const probesToFreeze = 2

// Watchdog ends the calls in flight at back ends that stop answering.
type Watchdog struct {
	Clock citronclock.Clock
	// StallAfter is how long a back end may stay silent with calls in
	// flight before it is probed.
	StallAfter time.Duration
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration
	// Current returns the snapshot whose back ends to watch.
	Current func() *Snapshot
	// Frozen is told of each back end found frozen.
	Frozen func(*Backend)
}

// Run watches until ctx ends.
func (w *Watchdog) Run(ctx context.Context) {
	for w.Clock.Sleep(ctx, w.StallAfter/4) == nil {
		now := w.Clock.Now()
		for _, b := range w.Current().list {
			if b.Inflight() == 0 {
				continue
			}
			since, ok := b.silentSince()
			if !ok || now.Sub(since) < w.StallAfter || !b.probing.CompareAndSwap(false, true) {
				continue
			}
			go func() {
				defer b.probing.Store(false)
				w.check(ctx, b)
			}()
		}
	}
}

// check probes b until it answers or has missed probesToFreeze probes.
func (w *Watchdog) check(ctx context.Context, b *Backend) {
	for range probesToFreeze {
		pctx, cancel := context.WithTimeout(ctx, w.ProbeTimeout)
		_, err := b.Probe(pctx)
		cancel()
		if err == nil {
			b.sawAnswer(w.Clock.Now())
			return
		}
	}
	if ctx.Err() == nil {
		b.freeze()
		w.Frozen(b)
	}
}
