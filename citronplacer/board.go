package citronplacer

import (
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronplace"
	"github.com/cockroachdb/errors"
)

// board is what each engine is wanted to hold until it holds it.
//
// The load it answers: several engines of a zone die or leave within
// seconds at the peak, and while their layers are being placed an engine
// refuses an order because it still carries out the one before. If the
// refused goal were forgotten, its layers would look like a new hole and the
// zone would be divided anew around it, again and again, while half of the
// last division is still loading: a zone was out of use for seven seconds.
// So a goal stays until the engine holds it, is gone, or gets another one.
type board map[string]*goal

// goal is what an engine is wanted to hold.
type goal struct {
	order citronplace.Order
	// calling: an order is on its way to the engine.
	calling bool
	// refused counts the orders in a row that the engine did not take
	// although it was not busy.
	refused int
	// next is when the engine is to be asked or told again.
	next time.Time
}

const (
	// orderAgain is how long an engine that did not take an order is left
	// alone: another order may be under way there, which takes about a
	// fifth of a second for each layer.
	orderAgain = 300 * time.Millisecond
	// mostRefused is how many orders an engine may refuse before its layers
	// are given to others: a hole must not wait for an engine that fails.
	// Reports lag behind by a fifth of a second, so that a sound engine
	// refuses one or two.
	mostRefused = 8
	// orderLife is how long an order that an engine accepted is trusted to
	// be under way: it may wait for running requests, which last some
	// seconds, before it loads. After that the engine is asked again.
	orderLife = 8 * time.Second
)

// place returns the engines as placement sees them and forgets goals that
// are reached.
func (b board) place(engines []citronmodel.Engine) []citronplace.Engine {
	out := make([]citronplace.Engine, len(engines))
	for i, e := range engines {
		out[i] = citronplace.Engine{Engine: e, Goal: e.Layers}
		g := b[e.ID]
		if g == nil {
			continue
		}
		if !g.calling && g.order.Span == e.Layers {
			delete(b, e.ID)
			continue
		}
		out[i].Goal = g.order.Span
	}
	return out
}

// keep forgets the goals of engines that are gone.
func (b board) keep(engines []citronmodel.Engine) {
	listed := map[string]bool{}
	for _, e := range engines {
		listed[e.ID] = true
	}
	for id := range b {
		if !listed[id] {
			delete(b, id)
		}
	}
}

// set gives an engine a new goal, and reports whether it differs.
func (b board) set(e citronplace.Engine, o citronplace.Order, now time.Time) bool {
	if e.Goal == o.Span {
		return false
	}
	calling := b[e.ID] != nil && b[e.ID].calling
	b[e.ID] = &goal{order: o, calling: calling, next: now}
	return true
}

// due returns the ids of engines to which an order is to be sent now.
func (b board) due(now time.Time) []string {
	var out []string
	for id, g := range b {
		if !g.calling && !now.Before(g.next) {
			out = append(out, id)
		}
	}
	return out
}

// calls is how many engines are being spoken to.
func (b board) calls() int {
	n := 0
	for _, g := range b {
		if g.calling {
			n++
		}
	}
	return n
}

// ended notes what became of an order, and reports whether the engine is to
// be left out because it takes none.
func (b board) ended(id string, o citronplace.Order, err error, now time.Time) bool {
	g := b[id]
	if g == nil {
		return false
	}
	g.calling = false
	switch {
	case g.order != o: // another goal was set meanwhile
		g.next = now
	case err == nil:
		g.refused = 0
		g.next = now.Add(orderLife)
	default:
		g.next = now.Add(orderAgain)
		if !errors.Is(err, errBusy) {
			g.refused++
		}
	}
	return g.refused >= mostRefused
}
