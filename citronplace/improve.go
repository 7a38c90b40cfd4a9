package citronplace

import "citrondeck.dev/citrondeck/citronmodel"

const (
	// weakShare is the fraction of the zone's even cache below which an
	// engine is weak: it limits the load that the zone can carry.
	weakShare = 0.7
	// helperShare is the fraction of the even cache that an engine keeps when
	// it takes over layers of a weak engine.
	helperShare = 0.85
	// minHelpLayers is the smallest number of layers for which a spare is
	// moved.
	minHelpLayers = 2
)

// improve relieves the engine with the least cache in a zone without gaps.
// After a quick repair one engine may hold so many layers that it limits all
// others. A spare duplicates some of these layers, and once it has loaded
// them the weak engine gives them up. If no spare can help, a neighbour takes
// over some of the layers in the same way (balance). Only one such step is
// taken at a time, and only while no order is pending. If there is none to
// take, engines that hold nothing duplicate layers.
func improve(spec citronmodel.Spec, engines []Engine, even float64, scope duplicateScope) Plan {
	for _, e := range engines {
		if e.Target != e.Layers {
			return Plan{}
		}
	}
	if plan := dropRepeated(spec, engines, even); len(plan) > 0 {
		return plan
	}
	if plan, ok := addHelper(spec, engines, even, false); ok && lowersCachePressure(spec, engines, plan, even) {
		return plan
	}
	if plan := balance(spec, engines, even); lowersCachePressure(spec, engines, plan, even) {
		return plan
	}
	return duplicateLayers(spec, engines, Plan{}, scope)
}

// dropRepeated makes an engine give up layers that another engine has loaded
// for it.
func dropRepeated(spec citronmodel.Spec, engines []Engine, even float64) Plan {
	for _, e := range engines {
		if s, ok := trimWeak(spec, engines, e, even); ok {
			return Plan{e.ID: {Span: s}}
		}
	}
	return dropOverlap(spec, engines, even)
}

// maxPressureRatio is the ratio of new to old cache pressure that a step must
// stay below.
const maxPressureRatio = 0.99

// lowersCachePressure reports whether the zone's cache pressure is lower after
// the plan is carried out and the duplicated layers have been given up. Every
// step in which an engine loads layers lowers the cache pressure, so the
// sequence of steps ends.
func lowersCachePressure(spec citronmodel.Spec, engines []Engine, plan Plan, even float64) bool {
	if len(plan) == 0 {
		return false
	}
	after := afterPlan(engines, plan)
	after = afterPlan(after, dropRepeated(spec, after, even))
	return cachePressure(spec, after) < maxPressureRatio*cachePressure(spec, engines)
}

// afterPlan returns the engines with the layers they hold after the plan is
// carried out.
func afterPlan(engines []Engine, plan Plan) []Engine {
	out := withTargets(engines, plan)
	for i := range out {
		out[i].Layers = out[i].Target
	}
	return out
}

// cachePressure sums, over all layers, the fraction that one token takes of the
// combined cache of the engines that hold the layer. The weakest engine
// counts most, but relieving one of two equally weak engines lowers the sum
// too.
func cachePressure(spec citronmodel.Spec, engines []Engine) float64 {
	cache := make([]float64, spec.Layers)
	for _, e := range engines {
		tokens := spec.CacheTokens(e.Kind, e.Layers.Len())
		for l := max(0, e.Layers.From); l < min(e.Layers.To, spec.Layers); l++ {
			cache[l] += tokens
		}
	}
	sum := 0.0
	for _, c := range cache {
		sum += 1 / max(1, c)
	}
	return sum
}

// isWeak reports whether an engine holds layers and has less cache than
// weakShare of the even cache.
func isWeak(spec citronmodel.Spec, e Engine, even float64) bool {
	return !e.Layers.Empty() && spec.CacheTokens(e.Kind, e.Layers.Len()) < even*weakShare
}

// trimWeak returns the layers that a weak engine should keep: the smallest
// range that contains all of its layers that no helper duplicates. It reports
// false if e is not weak, or if this range is empty or all of its layers.
func trimWeak(spec citronmodel.Spec, engines []Engine, e Engine, even float64) (citronmodel.Span, bool) {
	if !isWeak(spec, e, even) {
		return citronmodel.Span{}, false
	}
	unshared := citronmodel.Span{From: spec.Layers, To: 0}
	for l := e.Layers.From; l < e.Layers.To; l++ {
		if !hasHelper(engines, e, l) {
			unshared.From, unshared.To = min(unshared.From, l), max(unshared.To, l+1)
		}
	}
	return unshared, !unshared.Empty() && unshared != e.Layers
}

// hasHelper reports whether a layer of e is held by a helper, an engine that
// holds only layers of e.
func hasHelper(engines []Engine, e Engine, layer int) bool {
	for _, o := range engines {
		if o.ID != e.ID && e.Layers.Covers(o.Layers) && o.Layers.From <= layer && layer < o.Layers.To {
			return true
		}
	}
	return false
}

// addHelper makes a spare duplicate layers of the weakest engine among the weak
// engines that share no layer with another engine. With idleOnly it considers
// only spares that hold nothing.
func addHelper(spec citronmodel.Spec, engines []Engine, even float64, idleOnly bool) (Plan, bool) {
	var weakest Engine
	leastCache := even * weakShare
	for _, e := range engines {
		cache := spec.CacheTokens(e.Kind, e.Layers.Len())
		if !e.Layers.Empty() && cache < leastCache && !sharesLayers(engines, e) {
			weakest, leastCache = e, cache
		}
	}
	if weakest.ID == "" {
		return nil, false
	}
	for _, s := range spares(spec, engines, Plan{}) {
		capacity := min(layerCapacity(spec, s.Kind, even*helperShare), spec.Layers)
		// A spare that duplicates layers other than the first ones already
		// helps an engine. If it were moved, it would go from one weak engine
		// to the next forever.
		if s.ID == weakest.ID || s.JustJoined || capacity < minHelpLayers || !s.Layers.Empty() && (idleOnly || s.Layers.From > 0) {
			continue
		}
		from := min(weakest.Layers.From, spec.Layers-capacity)
		return Plan{s.ID: {Span: citronmodel.Span{From: from, To: from + capacity}}}, true
	}
	return nil, false
}

// sharesLayers reports whether another engine holds some of e's layers.
func sharesLayers(engines []Engine, e Engine) bool {
	for _, o := range engines {
		if o.ID != e.ID && !overlap(o.Layers, e.Layers).Empty() {
			return true
		}
	}
	return false
}
