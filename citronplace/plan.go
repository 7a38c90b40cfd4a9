// Package citronplace decides which engine holds which layers of a model.
//
// The load it answers: each availability zone carries its share of the
// callers at the peak, and what layers do not use of an engine's memory
// caches the running requests. So each zone gets one whole copy, or two or
// more where its memory allows that (copies.go), each divided so
// that fast engines hold as many layers as leave them the cache that the
// others have too; the rest goes to slow engines. Engines left over are
// spares: they repeat the first layers, since the first engine of a path
// bounds how many requests run at once, until they are needed.
//
// What works is not moved. A hole is filled, in this order, by spare engines
// and by the engines beside it taking in more layers, which is a load of a
// few layers and nothing else; by moving the boundaries of as few engines
// around it as have the room; by dividing the whole zone anew (repair.go).
// A zone that is whole but has a part with little cache gets a spare for
// that part (improve.go).
//
// All of it is a function of what the engines hold and were ordered to hold,
// so a new leader decides as the old one would have.
package citronplace

import (
	"math"
	"slices"
	"sort"

	"citrondeck.dev/citrondeck/citronmodel"
)

// Engine is an engine that may hold layers.
type Engine struct {
	// Engine's Layers are what it holds now.
	citronmodel.Engine
	// Goal is what it was last ordered to hold, Layers if no order is
	// under way.
	Goal citronmodel.Span
	// Fresh engines joined a moment ago. They wait for the engine that they
	// may have come to replace, and are no spares yet.
	Fresh bool
}

// Order is what an engine is to hold.
type Order struct {
	citronmodel.Span
	// Cut: requests that pass through layers it gives up are not waited
	// for. Set where a hole has broken all of them anyway.
	Cut bool
}

// Plan is the orders by engine id. An engine that is not in it keeps what it
// has.
type Plan map[string]Order

// bytesPerMB converts the sizes that a model declares.
const bytesPerMB = 1e6

const (
	// headroom is the part of the largest even cache that a new division
	// aims for. Less than all of it leaves slow engines fewer layers,
	// which shortens every token, and some engines free as spares.
	headroom = 0.8
)

// Decide returns the orders for all engines of a service. Engines that are
// leaving must not be among them; served are the spans that engines which
// are leaving still serve, by zone.
func Decide(spec citronmodel.Spec, engines []Engine, served map[string][]citronmodel.Span) Plan {
	plan := Plan{}
	for _, zone := range zones(engines) {
		for id, o := range decideCopies(spec, zone, served[zone[0].Zone]) {
			plan[id] = o
		}
	}
	return plan
}

// zones groups engines by zone, in a fixed order.
func zones(engines []Engine) [][]Engine {
	by := map[string][]Engine{}
	for _, e := range engines {
		by[e.Zone] = append(by[e.Zone], e)
	}
	names := make([]string, 0, len(by))
	for z := range by {
		names = append(names, z)
	}
	sort.Strings(names)
	out := make([][]Engine, 0, len(by))
	for _, z := range names {
		es := by[z]
		sort.Slice(es, func(i, j int) bool { return es[i].ID < es[j].ID })
		out = append(out, es)
	}
	return out
}

func decideZone(spec citronmodel.Spec, engines []Engine, served []citronmodel.Span, b bounds) Plan {
	even := usefulCache(spec, engines)
	gaps := Gaps(spec, engines)
	switch {
	case len(gaps) == 0:
		return improve(spec, engines, even, b.within)
	case gaps[0].Len() == spec.Layers:
		return divide(spec, engines, even*headroom, false, b)
	}
	return repair(spec, engines, gaps, served, even, b)
}

// Gaps returns the layers that no engine holds or was ordered to hold.
func Gaps(spec citronmodel.Spec, engines []Engine) []citronmodel.Span {
	held := make([]bool, spec.Layers)
	for _, e := range engines {
		for l := max(0, e.Goal.From); l < min(e.Goal.To, spec.Layers); l++ {
			held[l] = true
		}
	}
	var gaps []citronmodel.Span
	for l := 0; l < spec.Layers; l++ {
		if held[l] {
			continue
		}
		from := l
		for l < spec.Layers && !held[l] {
			l++
		}
		gaps = append(gaps, citronmodel.Span{From: from, To: l})
	}
	return gaps
}

// capacity is how many layers an engine may hold and still cache so many
// tokens.
func capacity(spec citronmodel.Spec, kind string, tokens float64) int {
	k, ok := spec.Kinds[kind]
	if !ok || spec.Layers == 0 {
		return 0
	}
	perLayer := spec.LayerMB + tokens*spec.TokenBytes/float64(spec.Layers)/bytesPerMB
	return min(int(math.Floor(k.MemoryMB/perLayer)), spec.MaxLayers(kind))
}

// evenCache is the largest cache, in tokens, that all engines of a zone can
// have at once while they hold all layers; zero if they cannot hold them.
func evenCache(spec citronmodel.Spec, engines []Engine) float64 {
	return evenCacheFor(spec, engines, spec.Layers)
}

const (
	// mostTokens and searchSteps bound the search for an even cache.
	mostTokens  = 1e7
	searchSteps = 40
)

func evenCacheFor(spec citronmodel.Spec, engines []Engine, layers int) float64 {
	fits := func(tokens float64) bool {
		sum := 0
		for _, e := range engines {
			sum += capacity(spec, e.Kind, tokens)
		}
		return sum >= layers
	}
	low, high := 0.0, mostTokens
	if !fits(low) {
		return 0
	}
	for range searchSteps {
		if mid := (low + high) / 2; fits(mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// usefulCache is the even cache of a zone, as far as its requests can fill it.
// Memory beyond that serves nobody as cache, and holds layers a second time
// instead (cover).
func usefulCache(spec citronmodel.Spec, engines []Engine) float64 {
	return min(evenCache(spec, engines), fullCache(spec)/headroom)
}

// fullCache is the cache that the requests of one first engine take when all
// its places are taken by usual requests, in tokens.
func fullCache(spec citronmodel.Spec) float64 {
	if spec.Slots <= 0 || spec.MeanTokens <= 0 {
		return mostTokens
	}
	return float64(spec.Slots * spec.MeanTokens)
}

// current is what an engine holds once plan is carried out.
func current(plan Plan, e Engine) citronmodel.Span {
	if o, ok := plan[e.ID]; ok {
		return o.Span
	}
	return e.Goal
}

// overlap is the part that two spans share.
func overlap(a, b citronmodel.Span) citronmodel.Span {
	return citronmodel.Span{From: max(a.From, b.From), To: min(a.To, b.To)}
}

// spares returns the engines without which all layers that are held now
// stay held, fastest first; empty ones go before those that repeat layers.
// An engine that has not yet loaded what it was ordered to hold stands for
// nobody.
func spares(spec citronmodel.Spec, engines []Engine, plan Plan) []Engine {
	count := make([]int, spec.Layers)
	for _, e := range engines {
		s := overlap(e.Layers, current(plan, e))
		for l := s.From; l < min(s.To, spec.Layers); l++ {
			count[l]++
		}
	}
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i].Goal.Empty(), order[j].Goal.Empty()
		if a != b {
			return a
		}
		return spec.Kinds[order[i].Kind].StepFactor < spec.Kinds[order[j].Kind].StepFactor
	})
	var out []Engine
	for _, e := range order {
		if _, taken := plan[e.ID]; taken || e.Goal != e.Layers {
			continue
		}
		s := e.Layers
		needed := false
		for l := s.From; l < min(s.To, spec.Layers); l++ {
			needed = needed || count[l] < 2
		}
		if needed {
			continue
		}
		for l := s.From; l < min(s.To, spec.Layers); l++ {
			count[l]--
		}
		out = append(out, e)
	}
	return out
}

// divide assigns all layers anew. Engines keep their order along the model,
// so that as many layers as possible stay where they are.
func divide(spec citronmodel.Spec, engines []Engine, tokens float64, cut bool, b bounds) Plan {
	if tokens < b.least {
		return Plan{}
	}
	counts, ok := allocate(spec, engines, tokens, spec.Layers)
	if !ok {
		return Plan{}
	}
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if a.Goal.Empty() != b.Goal.Empty() {
			return b.Goal.Empty()
		}
		if a.Goal.Empty() {
			// Slow engines first: they have few layers, and copies
			// of the first layers are cheap.
			return spec.Kinds[a.Kind].StepFactor > spec.Kinds[b.Kind].StepFactor
		}
		return a.Goal.From < b.Goal.From
	})
	return cover(spec, engines, assign(order, counts, 0, cut), b.within)
}

// assign gives the engines their counts of layers one after the other.
func assign(order []Engine, counts map[string]int, at int, cut bool) Plan {
	plan := Plan{}
	for _, e := range order {
		n := counts[e.ID]
		if n == 0 {
			continue
		}
		plan[e.ID] = Order{Span: citronmodel.Span{From: at, To: at + n}, Cut: cut}
		at += n
	}
	return plan
}

// allocate says how many of the layers each engine gets: the fastest are filled
// first, each up to what leaves it the cache asked for.
func allocate(spec citronmodel.Spec, engines []Engine, tokens float64, layers int) (map[string]int, bool) {
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		return spec.Kinds[order[i].Kind].StepFactor < spec.Kinds[order[j].Kind].StepFactor
	})
	counts := map[string]int{}
	left := layers
	for _, e := range order {
		n := min(capacity(spec, e.Kind, tokens), left)
		if n > 0 {
			counts[e.ID] = n
			left -= n
		}
	}
	return counts, left == 0
}
