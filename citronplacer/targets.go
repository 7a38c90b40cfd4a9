package citronplacer

import (
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// targetSet holds the target layer range of each engine that doesn't hold it yet,
// by engine ID.
//
// At peak load, several engines of a zone may fail or leave within seconds. While
// their layers are being placed, an engine refuses an order because it still executes
// the previous one. If the refused target were dropped, its layers would look like a
// new gap, and the whole zone would be repartitioned repeatedly while half of the
// previous partition is still loading. This made a zone unavailable for seven seconds.
// Therefore a target stays until the engine holds it, is gone, or gets another target.
type targetSet map[string]*target

// target is the layer range that an engine is to hold.
type target struct {
	order citronplace.Order
	// calling is set while an order is being sent to the engine.
	calling bool
	// refusals counts the attempts since the last success in which the engine
	// refused the order, or didn't answer, although it wasn't known to be busy.
	// An order that this node had no way to give doesn't count.
	refusals int
	// nextAttempt is when the order is to be sent again.
	nextAttempt time.Time
}

const (
	// orderRetryDelay is the wait after an order could not be given. The engine
	// may be executing another order, which takes about 200 ms per layer.
	orderRetryDelay = 300 * time.Millisecond
	// maxRefusals is the number of refusals at which an engine's layers are
	// given to other engines, so that a gap doesn't wait for a failing engine.
	// Reports lag by 200 ms, so a healthy engine refuses one or two orders.
	maxRefusals = 8
	// acceptedOrderTimeout is how long an accepted order is assumed to be in
	// progress. Before it loads, an engine may wait for running requests,
	// which last some seconds. After the timeout the engine is asked again.
	acceptedOrderTimeout = 8 * time.Second
)

// withTargets returns the engines with their targets, as placement needs them, and
// drops targets that have been reached.
func (ts targetSet) withTargets(engines []citronmodel.Engine) []citronplace.Engine {
	out := make([]citronplace.Engine, len(engines))
	for i, e := range engines {
		out[i] = citronplace.Engine{Engine: e, Target: e.Layers}
		t := ts[e.ID]
		if t == nil {
			continue
		}
		if !t.calling && t.order.Span == e.Layers {
			delete(ts, e.ID)
			continue
		}
		out[i].Target = t.order.Span
	}
	return out
}

// retainListed drops the targets of engines that are no longer listed.
func (ts targetSet) retainListed(engines []citronmodel.Engine) {
	listed := map[string]bool{}
	for _, e := range engines {
		listed[e.ID] = true
	}
	for id := range ts {
		if !listed[id] {
			delete(ts, id)
		}
	}
}

// assign gives an engine a new target and reports whether it differs from the current
// one.
func (ts targetSet) assign(e citronplace.Engine, o citronplace.Order, now time.Time) bool {
	if e.Target == o.Span {
		return false
	}
	calling := ts[e.ID] != nil && ts[e.ID].calling
	ts[e.ID] = &target{order: o, calling: calling, nextAttempt: now}
	return true
}

// due returns the IDs of engines to which an order is to be sent now.
func (ts targetSet) due(now time.Time) []string {
	var out []string
	for id, t := range ts {
		if !t.calling && !now.Before(t.nextAttempt) {
			out = append(out, id)
		}
	}
	return out
}

// callsInFlight returns the number of engines to which an order is being sent.
func (ts targetSet) callsInFlight() int {
	n := 0
	for _, t := range ts {
		if t.calling {
			n++
		}
	}
	return n
}

// recordResult records the result of sending an order. It reports whether the engine
// has refused too many orders and is to be excluded from placement.
func (ts targetSet) recordResult(id string, o citronplace.Order, err error, now time.Time) bool {
	t := ts[id]
	if t == nil {
		return false
	}
	t.calling = false
	switch {
	case t.order != o: // the target has changed while the order was being sent
		t.nextAttempt = now
	case err == nil:
		t.refusals = 0
		t.nextAttempt = now.Add(acceptedOrderTimeout)
	default:
		t.nextAttempt = now.Add(orderRetryDelay)
		if !errors.IsAny(err, errBusy, citronupstream.ErrUnreachable) {
			t.refusals++
		}
	}
	return t.refusals >= maxRefusals
}
