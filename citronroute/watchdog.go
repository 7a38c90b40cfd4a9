package citronroute

// A back end that freezes (it is paused, or cut off with its connections
// still open) neither answers nor resets its connections. Without the
// watchdog every call to it would wait until the caller's deadline, and the
// caller would see a request that hangs. A fixed timeout per call cannot tell a
// frozen back end from a busy one, and in a surge it would abandon requests
// that are merely queued. So a back end that has had calls in flight and has
// answered nothing for StallAfter is probed on a path that does not queue. A
// busy back end answers the probe and its calls continue. A frozen one misses
// missedProbesToFreeze probes in a row, and the watchdog calls onFrozen of all
// of its calls. Those made by Do end with ErrFrozen; those made by
// DoWithoutCancel continue to wait.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
)

const missedProbesToFreeze = 2

// Watchdog finds back ends that stop answering and notifies the calls in flight
// at them.
type Watchdog struct {
	Clock citronclock.Clock
	// StallAfter is how long a back end with calls in flight may answer
	// nothing before it is probed.
	StallAfter time.Duration
	// ProbeTimeout limits the duration of one probe.
	ProbeTimeout time.Duration
	// Current returns the snapshot whose back ends are watched.
	Current func() *Snapshot
	// Frozen is called for each back end that is found frozen.
	Frozen func(*Backend)
}

// Run watches the back ends until ctx ends.
func (w *Watchdog) Run(ctx context.Context) {
	for w.Clock.Sleep(ctx, w.StallAfter/4) == nil {
		now := w.Clock.Now()
		for _, b := range w.Current().backendList {
			if b.Inflight() == 0 {
				continue
			}
			since, ok := b.stalledSince()
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

// check probes b until it answers or has missed missedProbesToFreeze probes.
func (w *Watchdog) check(ctx context.Context, b *Backend) {
	for range missedProbesToFreeze {
		pctx, cancel := context.WithTimeout(ctx, w.ProbeTimeout)
		_, err := b.Probe(pctx)
		cancel()
		if err == nil {
			b.noteAnswer(w.Clock.Now())
			return
		}
	}
	if ctx.Err() == nil {
		b.freeze()
		w.Frozen(b)
	}
}
