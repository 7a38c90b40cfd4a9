package citronplace

import "citrondeck.dev/citrondeck/citronmodel"

const (
	// weakShare is the part of the zone's even cache below which a part of
	// the model limits what the zone carries.
	weakShare = 0.7
	// goodShare is what the engine that is to help keeps.
	goodShare = 0.85
	// leastHelp is the fewest layers for which a spare is moved.
	leastHelp = 2
)

// improve relieves the part of a whole zone that has the least cache: after
// a repair in haste one engine may hold so much that it limits all others.
// A spare repeats some of its layers, and once it has them the weak engine
// gives up those. One step is taken at a time, when no order is under way.
func improve(spec citronmodel.Spec, engines []Engine, even float64, within reach) Plan {
	for _, e := range engines {
		if e.Goal != e.Layers {
			return Plan{}
		}
	}
	if plan := dropRepeated(spec, engines, even); len(plan) > 0 {
		return plan
	}
	if plan, ok := help(spec, engines, even, false); ok && gains(spec, engines, plan, even) {
		return plan
	}
	if plan := balance(spec, engines, even); gains(spec, engines, plan, even) {
		return plan
	}
	return cover(spec, engines, Plan{}, within)
}

// dropRepeated has an engine give up layers that another has taken in for it.
func dropRepeated(spec citronmodel.Spec, engines []Engine, even float64) Plan {
	for _, e := range engines {
		if s, ok := trim(spec, engines, e, even); ok {
			return Plan{e.ID: {Span: s}}
		}
	}
	return shed(spec, engines, even)
}

// stepGain is by how much a step must lower a zone's strain.
const stepGain = 0.99

// gains reports whether a zone's strain is lower once a plan is carried out
// and what it repeats has been given up. Each step lowers it, so the steps
// come to an end.
func gains(spec citronmodel.Spec, engines []Engine, plan Plan, even float64) bool {
	if len(plan) == 0 {
		return false
	}
	after := afterPlan(engines, plan)
	after = afterPlan(after, dropRepeated(spec, after, even))
	return strain(spec, after) < stepGain*strain(spec, engines)
}

// afterPlan returns the engines as they are once a plan is carried out.
func afterPlan(engines []Engine, plan Plan) []Engine {
	out := carriedOut(engines, plan)
	for i := range out {
		out[i].Layers = out[i].Goal
	}
	return out
}

// strain sums over all layers what share of the cache, which the engines that
// hold the layer have together, one token takes. The weakest part counts most,
// but relieving one of two that are equally weak counts too.
func strain(spec citronmodel.Spec, engines []Engine) float64 {
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

func weak(spec citronmodel.Spec, e Engine, even float64) bool {
	return !e.Layers.Empty() && spec.CacheTokens(e.Kind, e.Layers.Len()) < even*weakShare
}

// trim returns what a weak engine should keep: the layers that no helper
// repeats, if these are some but not all.
func trim(spec citronmodel.Spec, engines []Engine, e Engine, even float64) (citronmodel.Span, bool) {
	if !weak(spec, e, even) {
		return citronmodel.Span{}, false
	}
	alone := citronmodel.Span{From: spec.Layers, To: 0}
	for l := e.Layers.From; l < e.Layers.To; l++ {
		if !helped(engines, e, l) {
			alone.From, alone.To = min(alone.From, l), max(alone.To, l+1)
		}
	}
	return alone, !alone.Empty() && alone != e.Layers
}

// helped reports whether a helper, an engine that holds nothing but layers
// of e, holds a layer.
func helped(engines []Engine, e Engine, layer int) bool {
	for _, o := range engines {
		if o.ID != e.ID && e.Layers.Covers(o.Layers) && o.Layers.From <= layer && layer < o.Layers.To {
			return true
		}
	}
	return false
}

// help has a spare repeat layers of the weakest engine; idle asks for one
// that holds nothing.
func help(spec citronmodel.Spec, engines []Engine, even float64, idle bool) (Plan, bool) {
	var weakest Engine
	least := even * weakShare
	for _, e := range engines {
		cache := spec.CacheTokens(e.Kind, e.Layers.Len())
		if !e.Layers.Empty() && cache < least && !heldTwice(engines, e) {
			weakest, least = e, cache
		}
	}
	if weakest.ID == "" {
		return nil, false
	}
	for _, s := range spares(spec, engines, Plan{}) {
		n := min(capacity(spec, s.Kind, even*goodShare), spec.Layers)
		// One that repeats layers further on helps somebody already: it
		// would go from one weak engine to the next for ever.
		if s.ID == weakest.ID || s.Fresh || n < leastHelp || !s.Layers.Empty() && (idle || s.Layers.From > 0) {
			continue
		}
		from := min(weakest.Layers.From, spec.Layers-n)
		return Plan{s.ID: {Span: citronmodel.Span{From: from, To: from + n}}}, true
	}
	return nil, false
}

// heldTwice reports whether another engine holds a part of e's layers.
func heldTwice(engines []Engine, e Engine) bool {
	for _, o := range engines {
		if o.ID != e.ID && !overlap(o.Layers, e.Layers).Empty() {
			return true
		}
	}
	return false
}
