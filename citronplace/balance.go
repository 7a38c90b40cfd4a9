package citronplace

import (
	"math"

	"citrondeck.dev/citrondeck/citronmodel"
)

// balanceGain is by how much a step must raise the smaller cache of two
// neighbours: a load and a few moved requests are its price.
const balanceGain = 1.1

// balance evens out the cache of a zone that is whole but has a weak part.
//
// The load it answers: at the peak an engine dies or leaves, and those
// beside it take in its layers. The zone is whole again after half a second,
// but carries only what its weakest part can cache. Layers are passed on
// from one engine to its neighbour without a hole at any moment: first the
// one with more cache takes layers in, then the other gives them up (shed).
// One pair a time, the weakest first; it comes to rest where no neighbour
// can help, and does not move layers through the whole zone for little.
func balance(spec citronmodel.Spec, engines []Engine, even float64) Plan {
	order := chain(engines, spares(spec, engines, nil))
	plan, least := Plan{}, math.Inf(1)
	for i := 0; i+1 < len(order); i++ {
		a, b := order[i], order[i+1]
		weaker := min(cacheOf(spec, a), cacheOf(spec, b))
		if weaker >= min(least, even*weakShare) {
			continue
		}
		if id, o, ok := handOver(spec, a, b); ok {
			plan, least = Plan{id: o}, weaker
		}
	}
	return plan
}

func cacheOf(spec citronmodel.Spec, e Engine) float64 {
	return spec.CacheTokens(e.Kind, e.Layers.Len())
}

// handOver says what the one of two neighbours that has more cache should hold
// so that the smaller cache of the two is largest once the other has given
// up what both hold. Each keeps a layer: one that the other holds whole would
// count as a spare and be moved elsewhere.
func handOver(spec citronmodel.Spec, a, b Engine) (taker string, o Order, ok bool) {
	if a.Layers.To != b.Layers.From {
		return "", Order{}, false
	}
	give, take := a, b
	if cacheOf(spec, b) < cacheOf(spec, a) {
		give, take = b, a
	}
	best, most := 0, cacheOf(spec, give)*balanceGain
	for n := 1; n < give.Layers.Len(); n++ {
		least := min(spec.CacheTokens(give.Kind, give.Layers.Len()-n), spec.CacheTokens(take.Kind, take.Layers.Len()+n))
		if least > most {
			best, most = n, least
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

// shed has one of two neighbours that hold the same layers give them up: the
// one after which the smaller cache of the two is larger.
func shed(spec citronmodel.Spec, engines []Engine, even float64) Plan {
	order := chain(engines, spares(spec, engines, nil))
	for i := 0; i+1 < len(order); i++ {
		a, b := order[i], order[i+1]
		both := overlap(a.Layers, b.Layers)
		if both.Empty() || both == a.Layers || both == b.Layers || !weak(spec, a, even) && !weak(spec, b, even) {
			continue
		}
		left, right := a.Layers.Len()-both.Len(), b.Layers.Len()-both.Len()
		if min(spec.CacheTokens(a.Kind, left), cacheOf(spec, b)) >= min(cacheOf(spec, a), spec.CacheTokens(b.Kind, right)) {
			return Plan{a.ID: {Span: citronmodel.Span{From: a.Layers.From, To: both.From}}}
		}
		return Plan{b.ID: {Span: citronmodel.Span{From: both.To, To: b.Layers.To}}}
	}
	return nil
}
