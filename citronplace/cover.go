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
// So engines that are not needed for the zone's copies repeat what is held
// once: each the layers of which most are held by one engine only.

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
	count := make([]int, spec.Layers)
	for _, e := range engines {
		s := current(plan, e)
		for l := max(0, s.From); l < min(s.To, spec.Layers); l++ {
			count[l]++
		}
	}
	tokens := min(usefulCache(spec, engines), fullCache(spec)) * headroom
	for _, e := range engines {
		if !current(plan, e).Empty() || e.Fresh {
			continue
		}
		n := capacity(spec, e.Kind, tokens)
		s := barest(engines, plan, count, n, within)
		if s.Empty() {
			continue
		}
		plan[e.ID] = Order{Span: s}
		for l := s.From; l < s.To; l++ {
			count[l]++
		}
	}
	return plan
}

// barest is the run of at most n layers, beginning where some engine's do, of
// which the fewest engines hold most; of several the first, as the first engine
// of a path bounds how many requests run at once.
func barest(engines []Engine, plan Plan, count []int, n int, within reach) citronmodel.Span {
	var best citronmodel.Span
	most := 0.0
	for _, e := range engines {
		held := current(plan, e)
		if held.Empty() {
			continue
		}
		s := citronmodel.Span{From: held.From, To: min(held.From+n, len(count))}
		if within == withinOne {
			s.To = min(s.To, held.To)
		}
		gain := 0.0
		for l := s.From; l < s.To; l++ {
			if count[l] == 0 {
				gain = 0 // what nobody holds is a gap's business
				break
			}
			gain += 1 / float64(count[l]*count[l])
		}
		if gain > most || gain == most && gain > 0 && s.From < best.From {
			best, most = s, gain
		}
	}
	return best
}
