package citronplace

import (
	"maps"
	"slices"
	"sort"

	"citrondeck.dev/citrondeck/citronmodel"
)

const (
	// extendShare is the fraction of the zone's even cache that engines must
	// keep when gaps are filled by extending layer ranges (extend). With less,
	// the zone would carry too little load until it is balanced, so boundaries
	// are moved instead.
	extendShare = 0.5
	// servedShare replaces extendShare for a plan that only adds layers if a
	// leaving engine or another replica still serves the gaps. An engine that
	// gave up layers for such a gap would have to wait for running requests,
	// and the zone would have a gap meanwhile.
	servedShare = 0.3
	// idleFillShare is the fraction that an engine must keep when it alone
	// fills a gap.
	idleFillShare = 0.5
	// windowShare is the fraction that engines must keep when the boundaries
	// of some engines are moved.
	windowShare = 0.7
	// lastResortShare is the fraction that engines must keep when no better
	// plan exists: a zone that carries a fifth of its load is better than one
	// that carries nothing.
	lastResortShare = 0.2
	// extendSearchFactor and extendSearchSteps bound the binary search for
	// the extension with the most even cache.
	extendSearchFactor = 4
	extendSearchSteps  = 12
)

// bounds limits a plan for some engines of a zone.
type bounds struct {
	scope duplicateScope
	// minCache is the cache, in tokens, that an engine must keep. If it is
	// zero, a gap is filled however little cache is left.
	minCache float64
}

// repair fills gaps: first each one with a single engine that holds nothing,
// then with several engines, also with engines that hold layers already.
func repair(spec citronmodel.Spec, engines []Engine, gaps, served []citronmodel.Span, even float64, b bounds) Plan {
	cut := !allServed(gaps, served)
	plan := fillWithIdle(spec, engines, gaps, max(b.minCache, even*idleFillShare))
	engines = withTargets(engines, plan)
	if unfilled := Gaps(spec, engines); len(unfilled) > 0 {
		maps.Copy(plan, fillWithSeveral(spec, engines, unfilled, even, cut, b))
	}
	return plan
}

// fillWithIdle fills each gap that fits into one engine with an engine that
// holds nothing.
//
// A release replaces engines one after the other, each by a new engine of the
// same kind that starts a second before the old one announces that it leaves.
// A single load then restores the zone, often before the old engine has left.
// When each gap was divided among several engines for an even cache, every
// engine of the zone had been moved by the end of a release, and the zone had
// gaps meanwhile. The engine with the smallest capacity that fits is taken: it
// is of the kind that held the gap before.
func fillWithIdle(spec citronmodel.Spec, engines []Engine, gaps []citronmodel.Span, tokens float64) Plan {
	plan := Plan{}
	for _, g := range gaps {
		var best Engine
		leastCapacity := 0
		for _, e := range engines {
			_, taken := plan[e.ID]
			capacity := layerCapacity(spec, e.Kind, tokens)
			if taken || !e.Target.Empty() || !e.Layers.Empty() || capacity < g.Len() {
				continue
			}
			if best.ID == "" || capacity < leastCapacity {
				best, leastCapacity = e, capacity
			}
		}
		if best.ID != "" {
			plan[best.ID] = Order{Span: g}
		}
	}
	return plan
}

// fillWithSeveral fills gaps for which fillWithIdle has found no engine. It may
// divide a gap among several engines: ones that hold nothing, spares that
// duplicate layers, and other holders. Plans that only add layers come first,
// even if they leave some engines little cache: they need only a load of a
// few layers and do not affect running requests, and balance evens out the
// cache later. An engine that gives up layers first waits up to 15 s for the
// requests that run through them, or cuts these requests.
func fillWithSeveral(spec citronmodel.Spec, engines []Engine, gaps []citronmodel.Span, even float64, cut bool, b bounds) Plan {
	share := extendShare
	if !cut {
		share = servedShare
	}
	if plan, ok := extend(spec, engines, gaps, max(b.minCache, even*share), keepLayers); ok {
		return plan
	}
	if plan, ok := extend(spec, engines, gaps, max(b.minCache, even*extendShare), spareUseFor(cut)); ok {
		return plan
	}
	if plan, ok := shiftWindows(spec, engines, gaps, max(b.minCache, even*windowShare), cut); ok {
		return plan
	}
	if plan, ok := extend(spec, engines, gaps, max(b.minCache, even*lastResortShare), spareUseFor(cut)); ok {
		return plan
	}
	return divide(spec, engines, even*headroom, cut, b)
}

// spareUse says what spares that duplicate layers may do to fill a gap.
type spareUse int

const (
	// keepLayers: spares keep the layers they hold.
	keepLayers spareUse = iota
	// releaseWhenIdle: spares give up their layers once no request runs
	// through them.
	releaseWhenIdle
	// releaseAtOnce: spares give up their layers at once. A gap that no
	// engine serves has stopped all requests of the zone anyway.
	releaseAtOnce
)

func spareUseFor(cut bool) spareUse {
	if cut {
		return releaseAtOnce
	}
	return releaseWhenIdle
}

// shiftWindows fills gaps one after the other by moving the boundaries around
// each. Several engines may die within seconds of each other; dividing the
// whole zone again for that would take it out of service until all of it is
// loaded.
func shiftWindows(spec citronmodel.Spec, engines []Engine, gaps []citronmodel.Span, minCache float64, cut bool) (Plan, bool) {
	plan := Plan{}
	for range gaps {
		after := withTargets(engines, plan)
		unfilled := Gaps(spec, after)
		if len(unfilled) == 0 {
			break
		}
		gapPlan, ok := shiftWindow(spec, after, unfilled[0], minCache, cut)
		if !ok {
			return nil, false
		}
		maps.Copy(plan, gapPlan)
	}
	return plan, len(Gaps(spec, withTargets(engines, plan))) == 0
}

// withTargets returns the engines with the plan's orders as their target layer
// ranges. The layers they hold stay unchanged.
func withTargets(engines []Engine, plan Plan) []Engine {
	out := slices.Clone(engines)
	for i, e := range out {
		out[i].Target = plannedSpan(plan, e)
	}
	return out
}

// allServed reports whether the served spans together hold every layer of the
// gaps. Replicas are divided at different layers, so a gap seldom lies within
// one span of another replica. Requiring a single span produced orders that
// cut the streams which had just been moved to the other replicas.
func allServed(gaps, served []citronmodel.Span) bool {
	for _, g := range gaps {
		for l := g.From; l < g.To; l++ {
			held := func(s citronmodel.Span) bool { return s.From <= l && l < s.To }
			if !slices.ContainsFunc(served, held) {
				return false
			}
		}
	}
	return true
}

// extend fills gaps without giving up any layer that only one engine holds,
// as evenly as it can: it searches for the largest cache that all engines
// taking part can keep. It fails if that cache is smaller than minCache.
func extend(spec citronmodel.Spec, engines []Engine, gaps []citronmodel.Span, minCache float64, use spareUse) (Plan, bool) {
	try := func(tokens float64) (Plan, bool) {
		plan := Plan{}
		for _, gap := range gaps {
			if !fillGap(spec, engines, plan, gap, tokens, use) {
				return nil, false
			}
		}
		return plan, true
	}
	best, ok := try(minCache)
	if !ok {
		return nil, false
	}
	low, high := minCache, minCache*extendSearchFactor
	for range extendSearchSteps {
		mid := (low + high) / 2
		if plan, ok := try(mid); ok {
			low, best = mid, plan
		} else {
			high = mid
		}
	}
	return best, true
}

// fillGap gives the layers of a gap to spares first and to the neighbouring
// engines after that. It adds the orders to plan and reports whether it
// filled the whole gap.
func fillGap(spec citronmodel.Spec, engines []Engine, plan Plan, g citronmodel.Span, tokens float64, use spareUse) bool {
	for _, e := range spares(spec, engines, plan) {
		if g.Empty() {
			return true
		}
		n := min(layerCapacity(spec, e.Kind, tokens), g.Len())
		if n <= 0 || use == keepLayers && !e.Layers.Empty() {
			continue
		}
		plan[e.ID] = Order{Span: citronmodel.Span{From: g.From, To: g.From + n}, Cut: use == releaseAtOnce}
		g.From += n
	}
	for _, e := range engines {
		s := plannedSpan(plan, e)
		if g.Empty() || s.Empty() {
			continue
		}
		free := min(layerCapacity(spec, e.Kind, tokens)-s.Len(), g.Len())
		if free <= 0 {
			continue
		}
		switch {
		case s.To == g.From:
			plan[e.ID] = Order{Span: citronmodel.Span{From: s.From, To: s.To + free}}
			g.From += free
		case s.From == g.To:
			plan[e.ID] = Order{Span: citronmodel.Span{From: s.From - free, To: s.To}}
			g.To -= free
		}
	}
	return g.Empty()
}

// shiftWindow moves the boundaries of the engines nearest to a gap, equally many
// on each side. It moves the smallest number of engines that, together with the
// spares, have the free capacity to fill the gap.
func shiftWindow(spec citronmodel.Spec, engines []Engine, g citronmodel.Span, minCache float64, cut bool) (Plan, bool) {
	free := spares(spec, engines, Plan{})
	var left, right []Engine
	for _, e := range holdersInOrder(engines, free) {
		if e.Target.To <= g.From {
			left = append(left, e)
		} else if e.Target.From >= g.To {
			right = append(right, e)
		}
	}
	for r := 1; r <= max(len(left), len(right)); r++ {
		l, rt := left[max(0, len(left)-r):], right[:min(r, len(right))]
		span := citronmodel.Span{From: g.From, To: g.To}
		if len(l) > 0 {
			span.From = l[0].Target.From
		}
		if len(rt) > 0 {
			span.To = rt[len(rt)-1].Target.To
		}
		order := slices.Concat(l, free, rt)
		even := evenCacheFor(spec, order, span.Len())
		if even < minCache {
			continue
		}
		if counts, ok := allocate(spec, order, even, span.Len()); ok {
			return assign(order, counts, span.From, cut), true
		}
	}
	return nil, false
}

// holdersInOrder returns the engines that hold layers and are not spares, in
// the order of their first layers.
func holdersInOrder(engines, free []Engine) []Engine {
	spare := map[string]bool{}
	for _, e := range free {
		spare[e.ID] = true
	}
	var out []Engine
	for _, e := range engines {
		if !spare[e.ID] && !e.Target.Empty() {
			out = append(out, e)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Target.From < out[j].Target.From })
	return out
}
