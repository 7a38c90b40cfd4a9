package citronplace

import (
	"maps"
	"math"
	"slices"
	"sort"

	"citrondeck.dev/citrondeck/citronmodel"
)

// Copies of the model in one zone.
//
// The load they answer: a zone of thirty engines that holds one copy loses
// all of its capacity when any of them dies, and a few die at once at the
// peak. With two copies, each divided over half of the engines, running
// streams go on over the other copy at once, and the rest of the zone carries
// half of its callers while the hole is filled. A small zone has no memory
// for that: what layers do not use caches the running requests.
const (
	// copyShare is the part of a zone's memory that copies may take; the rest is
	// cache.
	copyShare = 0.55
	// keepShare is the same for a copy that is there: a zone that has lost a
	// few engines does not give up the rest of a copy.
	keepShare = 0.7
	// worthShare is the part of what an engine should cache that it must keep
	// for a hole of one copy to be filled while other copies hold the layers.
	// A copy that has lost most of its engines would otherwise be divided over
	// the few left, each with places for a quarter of its requests: they load
	// for seconds and refuse most of what is sent there, and the zone was
	// better served without. Its engines serve on as parts of other paths.
	worthShare = 0.6
)

// copies is how many copies of the model a zone holds.
func copies(spec citronmodel.Spec, engines []Engine) int {
	memory, held := 0.0, 0
	for _, e := range engines {
		memory += spec.Kinds[e.Kind].MemoryMB
		held += e.Goal.Len()
	}
	one := spec.LayerMB * float64(spec.Layers)
	if one <= 0 {
		return 1
	}
	most := int(keepShare * memory / one)
	have := int(math.Round(float64(held) / float64(spec.Layers)))
	return max(1, int(copyShare*memory/one), min(have, most))
}

// group is the engines of one copy.
type group struct {
	engines []Engine
	end     int
}

// split divides the engines of a zone into copies by what they hold: each
// engine belongs to the copy that ends where it begins. Engines that hold
// nothing, or only repeat what the copies hold, are returned apart.
func split(engines []Engine, n int) (groups []group, free []Engine) {
	groups = make([]group, n)
	var placed []Engine
	for _, e := range engines {
		if e.Goal.Empty() {
			free = append(free, e)
		} else {
			placed = append(placed, e)
		}
	}
	sort.SliceStable(placed, func(i, j int) bool {
		a, b := placed[i].Goal, placed[j].Goal
		return a.From < b.From || a.From == b.From && a.To > b.To
	})
	for _, e := range placed {
		i := next(groups, e.Goal)
		if i < 0 {
			free = append(free, e)
			continue
		}
		g := &groups[i]
		g.engines = append(g.engines, e)
		g.end = max(g.end, e.Goal.To)
	}
	return groups, free
}

// next is the copy that a span goes on: the one with the smallest hole before
// it, or the shortest one if all reach beyond its beginning; -1 if the span
// adds nothing.
func next(groups []group, s citronmodel.Span) int {
	best := -1
	for i, g := range groups {
		if g.end <= s.From && (best < 0 || g.end > groups[best].end) {
			best = i
		}
	}
	if best >= 0 {
		return best
	}
	best = 0
	for i, g := range groups {
		if g.end < groups[best].end {
			best = i
		}
	}
	if groups[best].end >= s.To {
		return -1
	}
	return best
}

// decideCopies decides for each copy of a zone. Engines that belong to none
// go to the copy that lacks most.
func decideCopies(spec citronmodel.Spec, engines []Engine, served []citronmodel.Span) Plan {
	n := copies(spec, engines)
	if n == 1 {
		return decideZone(spec, engines, served, bounds{within: anywhere})
	}
	groups, free := split(engines, n)
	if !slices.ContainsFunc(engines, func(e Engine) bool { return !e.Goal.Empty() }) {
		return firstCopies(spec, free, n)
	}
	sort.SliceStable(groups, func(i, j int) bool {
		return missing(spec, groups[i].engines) > missing(spec, groups[j].engines)
	})
	plan := Plan{}
	whole := true
	least := worthShare * min(fullCache(spec), evenCacheFor(spec, engines, n*spec.Layers))
	for i, g := range groups {
		all := slices.Concat(g.engines, free)
		if len(all) == 0 {
			continue
		}
		part := improveCopy(spec, g.engines, free)
		if missing(spec, all) > 0 {
			whole = false
			others := spans(groups, i)
			b := bounds{within: withinOne}
			if covered(Gaps(spec, all), others) {
				b.least = least
			}
			part = decideZone(spec, all, slices.Concat(served, others, held(free)), b)
		}
		maps.Copy(plan, part)
		free = slices.DeleteFunc(free, func(e Engine) bool { _, used := plan[e.ID]; return used })
	}
	if whole && len(plan) == 0 {
		return cover(spec, engines, plan, withinOne)
	}
	return plan
}

// improveCopy relieves the weakest part of a whole copy by an engine that
// holds nothing. Layers are not passed on between neighbours as in a zone with
// one copy (balance): which copy an engine belongs to is told by where it
// begins, and that would change on the way.
func improveCopy(spec citronmodel.Spec, engines, free []Engine) Plan {
	even := usefulCache(spec, engines)
	all := slices.Concat(engines, free)
	for _, e := range all {
		if e.Goal != e.Layers {
			return Plan{}
		}
	}
	for _, e := range engines {
		if s, ok := trim(spec, all, e, even); ok {
			return Plan{e.ID: {Span: s}}
		}
	}
	plan, ok := help(spec, slices.DeleteFunc(all, func(e Engine) bool { return e.Layers.Empty() && e.Fresh }), even, true)
	if !ok || !gains(spec, all, plan, even) {
		return Plan{}
	}
	return plan
}

// spans are what the engines of all copies but one hold. It is served, so
// that nothing needs to be cut off for a hole of that one.
func spans(groups []group, but int) []citronmodel.Span {
	var out []citronmodel.Span
	for i, g := range groups {
		for _, e := range g.engines {
			if i != but {
				out = append(out, e.Layers)
			}
		}
	}
	return out
}

// held are what engines hold.
func held(engines []Engine) []citronmodel.Span {
	out := make([]citronmodel.Span, len(engines))
	for i, e := range engines {
		out[i] = e.Layers
	}
	return out
}

// missing is how many layers a copy lacks.
func missing(spec citronmodel.Spec, engines []Engine) int {
	n := 0
	for _, g := range Gaps(spec, engines) {
		n += g.Len()
	}
	return n
}

// firstCopies divides empty engines over copies, those of each kind in turn,
// and places each copy.
func firstCopies(spec citronmodel.Spec, engines []Engine, n int) Plan {
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool { return order[i].Kind < order[j].Kind })
	parts := make([][]Engine, n)
	for i, e := range order {
		parts[i%n] = append(parts[i%n], e)
	}
	plan := Plan{}
	for _, part := range parts {
		maps.Copy(plan, decideZone(spec, part, nil, bounds{within: withinOne}))
	}
	return plan
}
