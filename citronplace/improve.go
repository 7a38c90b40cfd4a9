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
func improve(spec citronmodel.Spec, engines []Engine, even float64) Plan {
	for _, e := range engines {
		if e.Goal != e.Layers {
			return Plan{}
		}
	}
	for _, e := range engines {
		if s, ok := trim(spec, engines, e, even); ok {
			return Plan{e.ID: {Span: s}}
		}
	}
	if plan := shed(spec, engines); len(plan) > 0 {
		return plan
	}
	if plan, ok := help(spec, engines, even); ok {
		return plan
	}
	if plan := balance(spec, engines, even); len(plan) > 0 {
		return plan
	}
	return fillSpares(spec, engines, Plan{})
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

// help has a spare repeat layers of the weakest engine.
func help(spec citronmodel.Spec, engines []Engine, even float64) (Plan, bool) {
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
		if s.ID == weakest.ID || s.Fresh || n < leastHelp {
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
