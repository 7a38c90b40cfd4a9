package citronforward

// Streams through an engine that is leaving.
//
// The load it answers: engines are replaced or taken away at the peak, each with some
// hundred streams that run through it. It serves on for a time that the operator states.
// Streams that are moved have their tokens read again, and all at once they hold up each
// other and those that run where they go. So they stay for the time in which the
// engine's layers are placed on another engine of the zone, and then move at moments
// spread over the rest: many of them have ended by then.

import (
	"math/rand/v2"
	"time"
)

const (
	// leaveWait is how long a stream stays for the layers to be placed on another
	// engine: a decision and a load of a few layers.
	leaveWait = 900 * time.Millisecond
	// leaveMargin is left of the time that the engine serves on: the news that it
	// leaves is late, and a move takes a moment.
	leaveMargin = 400 * time.Millisecond
	// leastLeaveSpread is the least time over which streams move.
	leastLeaveSpread = 200 * time.Millisecond
	// leaveAgain is how often a stream looks for an engine of the zone that has taken
	// the layers over.
	leaveAgain = 150 * time.Millisecond
	// usualDrain stands for settings that do not state how long a leaving engine
	// serves on.
	usualDrain = 2 * time.Second
)

// leaveSpread is the time over which streams move away from an engine that serves on
// for so long.
func leaveSpread(drain time.Duration) time.Duration {
	return max(leastLeaveSpread, drain-leaveWait-leaveMargin)
}

// leaveLatest is how long a stream waits for an engine of the zone before it goes to
// another zone.
func leaveLatest(drain time.Duration) time.Duration {
	return max(leaveWait, drain-leaveMargin/2)
}

func (f *Forwarder) drainWithin() time.Duration {
	if f.DrainWithin > 0 {
		return f.DrainWithin
	}
	return usualDrain
}

// leavingPart returns the first hop whose engine is leaving, once this
// stream's turn to move has come, or -1.
func (w *watch) leavingPart(now time.Time) int {
	view := w.s.f.Current().View
	for i, h := range w.s.path {
		e, ok := view.ByID(h.Engine.ID)
		if ok && !e.Leaving {
			continue
		}
		if w.leaveAt.IsZero() {
			w.leftAt = now
			w.leaveAt = now.Add(leaveWait + rand.N(leaveSpread(w.s.f.drainWithin())))
		}
		if now.After(w.leaveAt) {
			return i
		}
		return -1
	}
	return -1
}

// mayWaitToLeave reports whether a stream whose zone has nobody for a leaving engine's
// layers stays a little longer.
func (w *watch) mayWaitToLeave(now time.Time) bool {
	if now.Sub(w.leftAt) >= leaveLatest(w.s.f.drainWithin()) {
		return false
	}
	w.leaveAt = now.Add(leaveAgain)
	return true
}
