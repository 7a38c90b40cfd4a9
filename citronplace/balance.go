package citronplace

import (
	"math"

	"citrondeck.dev/citrondeck/citronmodel"
)

// minBalanceGain is the factor by which a step must raise the smaller cache
// of two neighbours. A smaller gain is not worth the load and the few moved
// requests that the step costs.
const minBalanceGain = 1.1

// balance evens out the cache of a zone that has no gap but an engine with
// little cache.
//
// At peak load an engine dies or leaves, and its neighbours take over its
// layers. The zone is complete again after half a second, but carries only
// what its weakest engine can cache. Layers move from one engine to its
// neighbour without ever causing a gap: first the engine with more cache
// loads the layers, then the other gives them up (dropOverlap). One pair is
// handled at a time, the weakest first. The process stops where no neighbour
// can help, and does not move layers through the whole zone for a small gain.
func balance(spec citronmodel.Spec, engines []Engine, even float64) Plan {
	order := holdersInOrder(engines, spares(spec, engines, nil))
	plan, least := Plan{}, math.Inf(1)
	for i := 0; i+1 < len(order); i++ {
		a, b := order[i], order[i+1]
		weaker := min(cacheTokens(spec, a), cacheTokens(spec, b))
		if weaker >= min(least, even*weakShare) {
			continue
		}
		if id, o, ok := shiftBoundary(spec, a, b); ok {
			plan, least = Plan{id: o}, weaker
		}
	}
	return plan
}

func cacheTokens(spec citronmodel.Spec, e Engine) float64 {
	return spec.CacheTokens(e.Kind, e.Layers.Len())
}

// shiftBoundary returns the layer range that the neighbour with more cache
// should hold so that the smaller cache of the two is largest once the other
// has given up the layers that both hold. Each engine keeps at least one
// layer of its own: an engine whose layers the other holds entirely would
// count as a spare and be moved elsewhere.
func shiftBoundary(spec citronmodel.Spec, a, b Engine) (taker string, o Order, ok bool) {
	if a.Layers.To != b.Layers.From {
		return "", Order{}, false
	}
	give, take := a, b
	if cacheTokens(spec, b) < cacheTokens(spec, a) {
		give, take = b, a
	}
	best, minWanted := 0, cacheTokens(spec, give)*minBalanceGain
	for n := 1; n < give.Layers.Len(); n++ {
		least := min(spec.CacheTokens(give.Kind, give.Layers.Len()-n), spec.CacheTokens(take.Kind, take.Layers.Len()+n))
		if least > minWanted {
			best, minWanted = n, least
		}
	}
	s := take.Layers
	if take.ID == b.ID {
		s.From -= best
	} else {
		s.To += best
	}
	return take.ID, Order{Span: s}, best > 0
}

// dropOverlap makes one of two neighbours that hold the same layers give them
// up. It chooses the engine that leaves the larger minimum cache of the two.
func dropOverlap(spec citronmodel.Spec, engines []Engine, even float64) Plan {
	order := holdersInOrder(engines, spares(spec, engines, nil))
	for i := 0; i+1 < len(order); i++ {
		a, b := order[i], order[i+1]
		both := overlap(a.Layers, b.Layers)
		if both.Empty() || both == a.Layers || both == b.Layers || !isWeak(spec, a, even) && !isWeak(spec, b, even) {
			continue
		}
		left, right := a.Layers.Len()-both.Len(), b.Layers.Len()-both.Len()
		if min(spec.CacheTokens(a.Kind, left), cacheTokens(spec, b)) >= min(cacheTokens(spec, a), spec.CacheTokens(b.Kind, right)) {
			return Plan{a.ID: {Span: citronmodel.Span{From: a.Layers.From, To: both.From}}}
		}
		return Plan{b.ID: {Span: citronmodel.Span{From: both.To, To: b.Layers.To}}}
	}
	return nil
}
