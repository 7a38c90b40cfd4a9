package citronplace

import (
	"math"

	"citrondeck.dev/citrondeck/citronmodel"
)

// minBalanceGain is the factor by which a step must raise the smaller cache
// of two neighbours. A smaller gain is not worth the load and the few moved
// requests that the step costs.
const minBalanceGain = 1.1

// balance evens out the cache between the engines of a zone without gaps in
// which an engine has little cache.
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
	plan, leastCache := Plan{}, math.Inf(1)
	for i := 0; i+1 < len(order); i++ {
		a, b := order[i], order[i+1]
		weaker := min(cacheTokens(spec, a), cacheTokens(spec, b))
		if weaker >= min(leastCache, even*weakShare) {
			continue
		}
		if id, o, ok := shiftBoundary(spec, a, b); ok {
			plan, leastCache = Plan{id: o}, weaker
		}
	}
	return plan
}

// cacheTokens returns the cache, in tokens, that the layers an engine holds now
// leave it.
func cacheTokens(spec citronmodel.Spec, e Engine) float64 {
	return spec.CacheTokens(e.Kind, e.Layers.Len())
}

// shiftBoundary returns the layer range that the neighbour with more cache
// should hold so that the smaller cache of the two is largest once the other
// has given up the layers that both hold. Each engine keeps at least one
// layer of its own: an engine whose layers the other holds entirely would
// count as a spare and be moved elsewhere.
func shiftBoundary(spec citronmodel.Spec, a, b Engine) (receiverID string, o Order, ok bool) {
	if a.Layers.To != b.Layers.From {
		return "", Order{}, false
	}
	giver, receiver := a, b
	if cacheTokens(spec, b) < cacheTokens(spec, a) {
		giver, receiver = b, a
	}
	bestCount, bestCache := 0, cacheTokens(spec, giver)*minBalanceGain
	for n := 1; n < giver.Layers.Len(); n++ {
		smaller := min(spec.CacheTokens(giver.Kind, giver.Layers.Len()-n), spec.CacheTokens(receiver.Kind, receiver.Layers.Len()+n))
		if smaller > bestCache {
			bestCount, bestCache = n, smaller
		}
	}
	s := receiver.Layers
	if receiver.ID == b.ID {
		s.From -= bestCount
	} else {
		s.To += bestCount
	}
	return receiver.ID, Order{Span: s}, bestCount > 0
}

// dropOverlap makes one of two neighbours give up the layers that both hold if
// one of them is weak. It chooses the engine whose release leaves the larger
// minimum of their two caches.
func dropOverlap(spec citronmodel.Spec, engines []Engine, even float64) Plan {
	order := holdersInOrder(engines, spares(spec, engines, nil))
	for i := 0; i+1 < len(order); i++ {
		a, b := order[i], order[i+1]
		shared := overlap(a.Layers, b.Layers)
		if shared.Empty() || shared == a.Layers || shared == b.Layers || !isWeak(spec, a, even) && !isWeak(spec, b, even) {
			continue
		}
		aRest, bRest := a.Layers.Len()-shared.Len(), b.Layers.Len()-shared.Len()
		if min(spec.CacheTokens(a.Kind, aRest), cacheTokens(spec, b)) >= min(cacheTokens(spec, a), spec.CacheTokens(b.Kind, bRest)) {
			return Plan{a.ID: {Span: citronmodel.Span{From: a.Layers.From, To: shared.From}}}
		}
		return Plan{b.ID: {Span: citronmodel.Span{From: shared.To, To: b.Layers.To}}}
	}
	return nil
}
