package citronforward

// Streams through a leaving engine.
//
// Engines may be replaced or removed at peak load, each with some hundred streams
// running through it. A leaving engine keeps serving for a period that the operator
// configures. Moving a stream means that its tokens are read again. Moving all streams
// at once delays them and the streams on the engines that they move to. Streams
// therefore stay for as long as it takes to place the engine's layers on another engine
// of the zone, and then move at random times within the rest of the period. Many of
// them end before they have to move.

import (
	"math/rand/v2"
	"time"
)

const (
	// replacementWait is how long a stream stays while the layers are placed on another
	// engine. It covers the placement decision and the loading of a few layers.
	replacementWait = 900 * time.Millisecond
	// drainMargin is subtracted from the drain period, because a node learns late that
	// an engine is leaving and a move takes some time.
	drainMargin = 400 * time.Millisecond
	// minMoveWindow is the minimum time over which streams move.
	minMoveWindow = 200 * time.Millisecond
	// leaveCheckInterval is how often a stream checks whether another engine of the zone has
	// loaded the layers.
	leaveCheckInterval = 150 * time.Millisecond
	// defaultDrain is the drain period if the settings do not state one.
	defaultDrain = 2 * time.Second
)

// moveWindow returns the time over which streams move away from an engine with the
// given drain period.
func moveWindow(drain time.Duration) time.Duration {
	return max(minMoveWindow, drain-replacementWait-drainMargin)
}

// maxZoneWait returns how long a stream waits for an engine in its zone before it moves
// to another zone.
func maxZoneWait(drain time.Duration) time.Duration {
	return max(replacementWait, drain-drainMargin/2)
}

// drainPeriod returns how long a leaving engine keeps serving.
func (f *Forwarder) drainPeriod() time.Duration {
	if f.DrainWithin > 0 {
		return f.DrainWithin
	}
	return defaultDrain
}

// leavingHop returns the index of the first hop whose engine is leaving or no longer
// in the engine list. It returns -1 if there is none or this stream is not yet due to
// move.
func (w *watch) leavingHop(now time.Time) int {
	view := w.s.f.Current().View
	for i, h := range w.s.path {
		e, ok := view.ByID(h.Engine.ID)
		if ok && !e.Leaving {
			continue
		}
		if w.moveAt.IsZero() {
			w.leavingSince = now
			w.moveAt = now.Add(replacementWait + rand.N(moveWindow(w.s.f.drainPeriod())))
		}
		if now.After(w.moveAt) {
			return i
		}
		return -1
	}
	return -1
}

// mayStayOnLeaving reports whether a stream that would have to move to another zone may
// stay a little longer, because its own zone may soon have a complete replica again. If
// so, it sets the time of the next check.
func (w *watch) mayStayOnLeaving(now time.Time) bool {
	if now.Sub(w.leavingSince) >= maxZoneWait(w.s.f.drainPeriod()) {
		return false
	}
	w.moveAt = now.Add(leaveCheckInterval)
	return true
}
