package citronplace

import (
	"maps"
	"slices"
	"sort"

	"citrondeck.dev/citrondeck/citronmodel"
)

const (
	// extendShare is the part of the zone's even cache that engines must
	// keep when they only take in layers: less, and the zone carries so
	// much less until it is balanced that moving boundaries pays.
	extendShare = 0.5
	// servedShare is the same for a gap that an engine which is leaving
	// still serves: whoever gives up layers for it would have to wait for
	// running requests, and the zone would have a hole meanwhile.
	servedShare = 0.3
	// standInShare is the same for an engine that fills a gap alone.
	standInShare = 0.5
	// windowShare is the same for moving the boundaries of some engines.
	windowShare = 0.7
	// poorShare is what engines keep when nothing better is to be had: a
	// zone that carries a fifth is better than one that carries nothing.
	poorShare = 0.2
	// repairSearch and repairSteps bound the search for the evenest
	// extension.
	repairSearch = 4
	repairSteps  = 12
)

// bounds are what a plan for some engines of a zone keeps to.
type bounds struct {
	within reach
	// least is the cache, in tokens, that an engine must keep; zero: a gap is
	// filled whatever is left.
	least float64
}

// repair fills gaps.
func repair(spec citronmodel.Spec, engines []Engine, gaps, served []citronmodel.Span, even float64, b bounds) Plan {
	cut := !covered(gaps, served)
	plan := standIns(spec, engines, gaps, max(b.least, even*standInShare))
	engines = carriedOut(engines, plan)
	if left := Gaps(spec, engines); len(left) > 0 {
		maps.Copy(plan, move(spec, engines, left, even, cut, b))
	}
	return plan
}

// standIns gives whole gaps to engines that hold nothing.
//
// The load it answers: a release replaces engines one after the other, each
// by a new one of its kind which starts a second before. One load then
// brings the zone back to where it was, often before the old engine has
// left. A gap that was shared out for an even cache left every engine of the
// zone moved by the end of a release, and the zone with holes on the way.
// The engine with the least room that fits is taken: that is the kind which
// held the gap before.
func standIns(spec citronmodel.Spec, engines []Engine, gaps []citronmodel.Span, tokens float64) Plan {
	plan := Plan{}
	for _, g := range gaps {
		var best Engine
		least := 0
		for _, e := range engines {
			_, taken := plan[e.ID]
			n := capacity(spec, e.Kind, tokens)
			if taken || !e.Goal.Empty() || !e.Layers.Empty() || n < g.Len() {
				continue
			}
			if best.ID == "" || n < least {
				best, least = e, n
			}
		}
		if best.ID != "" {
			plan[best.ID] = Order{Span: g}
		}
	}
	return plan
}

// move fills gaps by engines that hold layers already, as far as there are
// no others. Ways that only add layers go first, even if they leave some
// engines little cache: they are done after a load of a few layers and take
// nothing from running requests, and balance evens the cache out later. An
// engine that gives up layers first waits for the requests that run through
// them, which lasts up to 15 s, or cuts them off.
func move(spec citronmodel.Spec, engines []Engine, gaps []citronmodel.Span, even float64, cut bool, b bounds) Plan {
	share := extendShare
	if !cut {
		share = servedShare
	}
	if plan, ok := extend(spec, engines, gaps, max(b.least, even*share), keepAll); ok {
		return plan
	}
	if plan, ok := extend(spec, engines, gaps, max(b.least, even*extendShare), way(cut)); ok {
		return plan
	}
	if plan, ok := windows(spec, engines, gaps, max(b.least, even*windowShare), cut); ok {
		return plan
	}
	if plan, ok := extend(spec, engines, gaps, max(b.least, even*poorShare), way(cut)); ok {
		return plan
	}
	return divide(spec, engines, even*headroom, cut, b)
}

// giving says what spares that repeat layers may do to fill a gap.
type giving int

const (
	// keepAll: they keep what they have.
	keepAll giving = iota
	// giveUp: they give it up once no request runs through it.
	giveUp
	// cutOff: they give it up at once. A hole that nobody serves has
	// stopped all requests of the zone anyway.
	cutOff
)

func way(cut bool) giving {
	if cut {
		return cutOff
	}
	return giveUp
}

// windows fills gaps one after the other by moving the boundaries around
// each. Engines die in numbers within seconds of each other; dividing the
// whole zone anew for that would take it out of use until all of it is
// loaded again.
func windows(spec citronmodel.Spec, engines []Engine, gaps []citronmodel.Span, least float64, cut bool) (Plan, bool) {
	plan := Plan{}
	for range gaps {
		after := carriedOut(engines, plan)
		left := Gaps(spec, after)
		if len(left) == 0 {
			break
		}
		part, ok := window(spec, after, left[0], least, cut)
		if !ok {
			return nil, false
		}
		maps.Copy(plan, part)
	}
	return plan, len(Gaps(spec, carriedOut(engines, plan))) == 0
}

// carriedOut returns the engines with a plan's orders as their goals.
func carriedOut(engines []Engine, plan Plan) []Engine {
	out := slices.Clone(engines)
	for i, e := range out {
		out[i].Goal = current(plan, e)
	}
	return out
}

// covered reports whether the served spans hold every layer of the gaps between
// them. Copies of the model are divided at different layers, so that a gap
// seldom lies in one span of another copy; asked for that, orders broke the
// streams that had just been moved to those copies.
func covered(gaps, served []citronmodel.Span) bool {
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
// as evenly as it can: with the largest cache that all engines which take
// part can keep. It fails if that is less than least.
func extend(spec citronmodel.Spec, engines []Engine, gaps []citronmodel.Span, least float64, g giving) (Plan, bool) {
	try := func(tokens float64) (Plan, bool) {
		plan := Plan{}
		for _, gap := range gaps {
			if !fillGap(spec, engines, plan, gap, tokens, g) {
				return nil, false
			}
		}
		return plan, true
	}
	best, ok := try(least)
	if !ok {
		return nil, false
	}
	low, high := least, least*repairSearch
	for range repairSteps {
		mid := (low + high) / 2
		if plan, ok := try(mid); ok {
			low, best = mid, plan
		} else {
			high = mid
		}
	}
	return best, true
}

// fillGap gives a gap to spares, then to the engines beside it.
func fillGap(spec citronmodel.Spec, engines []Engine, plan Plan, g citronmodel.Span, tokens float64, give giving) bool {
	for _, e := range spares(spec, engines, plan) {
		if g.Empty() {
			return true
		}
		n := min(capacity(spec, e.Kind, tokens), g.Len())
		if n <= 0 || give == keepAll && !e.Layers.Empty() {
			continue
		}
		plan[e.ID] = Order{Span: citronmodel.Span{From: g.From, To: g.From + n}, Cut: give == cutOff}
		g.From += n
	}
	for _, e := range engines {
		s := current(plan, e)
		if g.Empty() || s.Empty() {
			continue
		}
		room := min(capacity(spec, e.Kind, tokens)-s.Len(), g.Len())
		if room <= 0 {
			continue
		}
		switch {
		case s.To == g.From:
			plan[e.ID] = Order{Span: citronmodel.Span{From: s.From, To: s.To + room}}
			g.From += room
		case s.From == g.To:
			plan[e.ID] = Order{Span: citronmodel.Span{From: s.From - room, To: s.To}}
			g.To -= room
		}
	}
	return g.Empty()
}

// window moves the boundaries of as few engines around a gap as have the
// room for it.
func window(spec citronmodel.Spec, engines []Engine, g citronmodel.Span, least float64, cut bool) (Plan, bool) {
	free := spares(spec, engines, Plan{})
	var left, right []Engine
	for _, e := range chain(engines, free) {
		if e.Goal.To <= g.From {
			left = append(left, e)
		} else if e.Goal.From >= g.To {
			right = append(right, e)
		}
	}
	for r := 1; r <= max(len(left), len(right)); r++ {
		l, rt := left[max(0, len(left)-r):], right[:min(r, len(right))]
		all := citronmodel.Span{From: g.From, To: g.To}
		if len(l) > 0 {
			all.From = l[0].Goal.From
		}
		if len(rt) > 0 {
			all.To = rt[len(rt)-1].Goal.To
		}
		order := slices.Concat(l, free, rt)
		even := evenCacheFor(spec, order, all.Len())
		if even < least {
			continue
		}
		if counts, ok := allocate(spec, order, even, all.Len()); ok {
			return assign(order, counts, all.From, cut), true
		}
	}
	return nil, false
}

// chain returns the engines that hold layers and are no spares, in the order
// of the model.
func chain(engines, free []Engine) []Engine {
	spare := map[string]bool{}
	for _, e := range free {
		spare[e.ID] = true
	}
	var out []Engine
	for _, e := range engines {
		if !spare[e.ID] && !e.Goal.Empty() {
			out = append(out, e)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Goal.From < out[j].Goal.From })
	return out
}
