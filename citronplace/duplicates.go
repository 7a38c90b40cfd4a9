package citronplace

import "citrondeck.dev/citrondeck/citronmodel"

// A zone with spare memory holds duplicates of some layers.
//
// At peak load one engine dies, slows down or leaves. If no other engine in
// the zone holds its layers, all streams of the zone stop at once. They are
// restarted in another zone in addition to that zone's own load, and new
// callers go there too until the layers are loaded again. If another engine
// holds the layers, half of the streams do not pass through the failed
// engine, and the others continue on the second engine after it has read
// their tokens.
//
// So engines that the replicas of the zone do not need duplicate layers. Each
// duplicates the layers for which the zone would have the least cache if one
// of the engines that hold them were lost.

// duplicateScope says which layers an engine may duplicate.
type duplicateScope int

const (
	// anyLayers allows any range of layers.
	anyLayers duplicateScope = iota
	// oneEngine allows only layers of a single engine. In a zone with several
	// replicas, an engine that duplicates the end of one span and the
	// beginning of the next would be mistaken for a member of one of the
	// replicas (splitReplicas).
	oneEngine
)

// duplicateLayers adds orders to plan so that engines that hold nothing
// duplicate layers.
func duplicateLayers(spec citronmodel.Spec, engines []Engine, plan Plan, scope duplicateScope) Plan {
	z := newZoneCache(spec, engines, plan)
	tokens := min(usefulCache(spec, engines), fullCache(spec)) * headroom
	for _, e := range engines {
		if !plannedSpan(plan, e).Empty() || e.JustJoined {
			continue
		}
		s := z.bestDuplicate(engines, plan, e.Kind, layerCapacity(spec, e.Kind, tokens), scope)
		if s.Empty() {
			continue
		}
		plan[e.ID] = Order{Span: s}
		z.add(e.Kind, s)
	}
	return plan
}

// zoneCache records, for each layer, the cache in tokens that the engines of
// a zone have for the requests that pass through the layer.
type zoneCache struct {
	spec citronmodel.Spec
	// total is the combined cache of the engines that hold the layer. largest
	// is the cache of the one among them that has the most.
	total, largest []float64
}

func newZoneCache(spec citronmodel.Spec, engines []Engine, plan Plan) *zoneCache {
	z := &zoneCache{spec: spec, total: make([]float64, spec.Layers), largest: make([]float64, spec.Layers)}
	for _, e := range engines {
		z.add(e.Kind, plannedSpan(plan, e))
	}
	return z
}

// add counts an engine that holds a span.
func (z *zoneCache) add(kind string, s citronmodel.Span) {
	tokens := z.spec.TokenCapacity(kind, s.Len())
	for l := max(0, s.From); l < min(s.To, z.spec.Layers); l++ {
		z.total[l] += tokens
		z.largest[l] = max(z.largest[l], tokens)
	}
}

// lossShare is the fraction of the largest engine's cache that is subtracted
// from a layer's total, because that engine may be lost.
const lossShare = 0.5

// layerPressure returns the fraction that one token takes of a layer's cache,
// after lossShare of the largest engine's cache is subtracted from it.
func layerPressure(total, largest float64) float64 { return 1 / max(1, total-lossShare*largest) }

// pressureReduction returns how much the cache pressure of a span falls if one
// more engine of the given kind holds it.
func (z *zoneCache) pressureReduction(kind string, s citronmodel.Span) float64 {
	tokens, sum := z.spec.TokenCapacity(kind, s.Len()), 0.0
	for l := s.From; l < s.To; l++ {
		if z.total[l] == 0 {
			return 0 // a gap; repair fills it
		}
		sum += layerPressure(z.total[l], z.largest[l]) - layerPressure(z.total[l]+tokens, max(z.largest[l], tokens))
	}
	return sum
}

// bestDuplicate returns the range of at most maxLen layers whose cache pressure
// an engine of the given kind reduces most. Only ranges that begin or end at a
// boundary of some engine are considered. Among ranges with the same reduction
// it returns the one that begins first, since the first engine of a path limits
// how many requests run at once.
func (z *zoneCache) bestDuplicate(engines []Engine, plan Plan, kind string, maxLen int, scope duplicateScope) citronmodel.Span {
	var best citronmodel.Span
	bestGain := 0.0
	for _, e := range engines {
		held := plannedSpan(plan, e)
		if held.Empty() {
			continue
		}
		for _, s := range candidateSpans(held, maxLen, z.spec.Layers, scope) {
			if gain := z.pressureReduction(kind, s); gain > bestGain || gain == bestGain && gain > 0 && s.From < best.From {
				best, bestGain = s, gain
			}
		}
	}
	return best
}

// candidateSpans returns the ranges of at most maxLen layers that begin where
// the held span begins or end where it ends.
func candidateSpans(held citronmodel.Span, maxLen, layers int, scope duplicateScope) []citronmodel.Span {
	first := citronmodel.Span{From: held.From, To: min(held.From+maxLen, layers)}
	if scope == oneEngine {
		first.To = min(first.To, held.To)
	}
	last := citronmodel.Span{From: max(held.From, held.To-maxLen), To: held.To}
	return []citronmodel.Span{first, last}
}
