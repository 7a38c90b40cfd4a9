package citronplace

import "citrondeck.dev/citrondeck/citronmodel"

// Cover: layers that a zone holds a second time.
//
// The load it answers: at the peak one engine dies, turns slow or leaves. If
// nobody else in the zone holds its layers, all of the zone's streams stop at
// once, are run anew in another zone beside that zone's own, and new callers
// go there too until the layers are loaded again. Where another engine holds
// them, half of the streams do not pass through the one that failed, and the
// rest go on over the other after it has read their tokens.
//
// So engines that are not needed for the zone's copies repeat layers: each those for
// which the zone has the least cache, if one of the engines that hold them were lost.

// reach says which layers an engine may repeat.
type reach int

const (
	// anywhere: any run of layers.
	anywhere reach = iota
	// withinOne: layers of one engine. In a zone with several copies an engine
	// that repeats the end of one span and the beginning of the next would be
	// taken for a part of one of the copies (split).
	withinOne
)

// cover has engines that hold nothing repeat layers.
func cover(spec citronmodel.Spec, engines []Engine, plan Plan, within reach) Plan {
	z := newZoneCache(spec, engines, plan)
	tokens := min(usefulCache(spec, engines), fullCache(spec)) * headroom
	for _, e := range engines {
		if !current(plan, e).Empty() || e.Fresh {
			continue
		}
		s := z.weakest(engines, plan, e.Kind, capacity(spec, e.Kind, tokens), within)
		if s.Empty() {
			continue
		}
		plan[e.ID] = Order{Span: s}
		z.add(e.Kind, s)
	}
	return plan
}

// zoneCache is the cache, in tokens, that the engines of a zone have for the requests
// that pass through each layer.
type zoneCache struct {
	spec citronmodel.Spec
	// all is that of all engines which hold the layer, largest that of one of them.
	all, largest []float64
}

func newZoneCache(spec citronmodel.Spec, engines []Engine, plan Plan) *zoneCache {
	z := &zoneCache{spec: spec, all: make([]float64, spec.Layers), largest: make([]float64, spec.Layers)}
	for _, e := range engines {
		z.add(e.Kind, current(plan, e))
	}
	return z
}

// add counts an engine that holds a span.
func (z *zoneCache) add(kind string, s citronmodel.Span) {
	tokens := z.spec.RoomTokens(kind, s.Len())
	for l := max(0, s.From); l < min(s.To, z.spec.Layers); l++ {
		z.all[l] += tokens
		z.largest[l] = max(z.largest[l], tokens)
	}
}

// lossShare is the part of its largest engine's cache by which a layer counts as weaker:
// the engine may be lost.
const lossShare = 0.5

// strainOf is the share of a layer's cache that one token takes.
func strainOf(all, largest float64) float64 { return 1 / max(1, all-lossShare*largest) }

// relief is by how much the strain of a span falls if one more engine holds it.
func (z *zoneCache) relief(kind string, s citronmodel.Span) float64 {
	tokens, sum := z.spec.RoomTokens(kind, s.Len()), 0.0
	for l := s.From; l < s.To; l++ {
		if z.all[l] == 0 {
			return 0 // what nobody holds is a gap's business
		}
		sum += strainOf(z.all[l], z.largest[l]) - strainOf(z.all[l]+tokens, max(z.largest[l], tokens))
	}
	return sum
}

// weakest is the run of at most n layers that an engine relieves most, beginning or ending
// where some engine's do; of several the first, as the first engine of a path bounds how
// many requests run at once.
func (z *zoneCache) weakest(engines []Engine, plan Plan, kind string, n int, within reach) citronmodel.Span {
	var best citronmodel.Span
	most := 0.0
	for _, e := range engines {
		held := current(plan, e)
		if held.Empty() {
			continue
		}
		for _, s := range runs(held, n, z.spec.Layers, within) {
			if gain := z.relief(kind, s); gain > most || gain == most && gain > 0 && s.From < best.From {
				best, most = s, gain
			}
		}
	}
	return best
}

// runs are the runs of at most n layers that begin or end where a span does.
func runs(held citronmodel.Span, n, layers int, within reach) []citronmodel.Span {
	first := citronmodel.Span{From: held.From, To: min(held.From+n, layers)}
	if within == withinOne {
		first.To = min(first.To, held.To)
	}
	last := citronmodel.Span{From: max(held.From, held.To-n), To: held.To}
	return []citronmodel.Span{first, last}
}
