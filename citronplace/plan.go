// Package citronplace decides which engine holds which layers of a model.
//
// The load it answers: each availability zone carries its share of the
// callers at the peak, and what layers do not use of an engine's memory
// caches the running requests. So each zone gets one whole copy, divided so
// that fast engines hold as many layers as leave them the cache that the
// others have too; the rest goes to slow engines. Engines left over repeat
// the first layers, since the first engine of a path bounds how many
// requests run at once.
//
// What works is not moved: a zone whose copy is whole stays as it is; a hole
// is filled by spare engines, then by the neighbours of the hole, and only
// if neither has the room is the zone divided anew.
package citronplace

import (
	"math"
	"slices"
	"sort"

	"citrondeck.dev/citrondeck/citronmodel"
)

// Plan is which layers each engine is to hold, by id. An engine that is not
// in it keeps what it has.
type Plan map[string]citronmodel.Span

const (
	// headroom is the part of the largest even cache that a new division
	// aims for. Less than all of it leaves slow engines fewer layers,
	// which shortens every token, and some engines free as spares.
	headroom = 0.8
	// repairShare is the part of the zone's even cache that an engine must
	// keep when it takes in layers of a dead neighbour.
	repairShare = 0.45
	// repairSearch and repairSteps bound the search for the evenest repair.
	repairSearch = 4
	repairSteps  = 12
)

// Decide returns the placement for all engines of a service. Engines that
// are leaving must not be among them.
func Decide(spec citronmodel.Spec, engines []citronmodel.Engine) Plan {
	plan := Plan{}
	for _, zone := range zones(engines) {
		for id, s := range decideZone(spec, zone) {
			plan[id] = s
		}
	}
	return plan
}

// zones groups engines by zone, in a fixed order.
func zones(engines []citronmodel.Engine) [][]citronmodel.Engine {
	by := map[string][]citronmodel.Engine{}
	for _, e := range engines {
		by[e.Zone] = append(by[e.Zone], e)
	}
	names := make([]string, 0, len(by))
	for z := range by {
		names = append(names, z)
	}
	sort.Strings(names)
	out := make([][]citronmodel.Engine, 0, len(by))
	for _, z := range names {
		es := by[z]
		sort.Slice(es, func(i, j int) bool { return es[i].ID < es[j].ID })
		out = append(out, es)
	}
	return out
}

func decideZone(spec citronmodel.Spec, engines []citronmodel.Engine) Plan {
	gaps := Gaps(spec, engines)
	if len(gaps) == 0 {
		return fillSpares(spec, engines, Plan{})
	}
	even := evenCache(spec, engines)
	if plan, ok := repair(spec, engines, gaps, even*repairShare); ok {
		return plan
	}
	return divide(spec, engines, even*headroom)
}

// Gaps returns the layers that no engine holds.
func Gaps(spec citronmodel.Spec, engines []citronmodel.Engine) []citronmodel.Span {
	held := make([]bool, spec.Layers)
	for _, e := range engines {
		for l := max(0, e.Layers.From); l < min(e.Layers.To, spec.Layers); l++ {
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
	perLayer := spec.LayerMB + tokens*spec.TokenBytes/float64(spec.Layers)/1e6
	return min(int(math.Floor(k.MemoryMB/perLayer)), spec.MaxLayers(kind))
}

// evenCache is the largest cache, in tokens, that all engines of a zone can
// have at once while they hold all layers; zero if they cannot hold them.
func evenCache(spec citronmodel.Spec, engines []citronmodel.Engine) float64 {
	fits := func(tokens float64) bool {
		sum := 0
		for _, e := range engines {
			sum += capacity(spec, e.Kind, tokens)
		}
		return sum >= spec.Layers
	}
	low, high := 0.0, 1e7
	if !fits(low) {
		return 0
	}
	for range 40 {
		if mid := (low + high) / 2; fits(mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// repair fills gaps without moving layers that work, as evenly as it can:
// with the largest cache that all engines which take part can keep. It
// fails if that is less than least.
func repair(spec citronmodel.Spec, engines []citronmodel.Engine, gaps []citronmodel.Span, least float64) (Plan, bool) {
	try := func(tokens float64) (Plan, bool) {
		plan := Plan{}
		for _, g := range gaps {
			if !fillGap(spec, engines, plan, g, tokens) {
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

// current is what an engine holds once plan is carried out.
func current(plan Plan, e citronmodel.Engine) citronmodel.Span {
	if s, ok := plan[e.ID]; ok {
		return s
	}
	return e.Layers
}

// fillGap gives a gap to spares, then to the engines beside it.
func fillGap(spec citronmodel.Spec, engines []citronmodel.Engine, plan Plan, g citronmodel.Span, tokens float64) bool {
	for _, e := range spares(spec, engines, plan) {
		if g.Empty() {
			return true
		}
		n := min(capacity(spec, e.Kind, tokens), g.Len())
		if n <= 0 {
			continue
		}
		plan[e.ID] = citronmodel.Span{From: g.From, To: g.From + n}
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
			plan[e.ID] = citronmodel.Span{From: s.From, To: s.To + room}
			g.From += room
		case s.From == g.To:
			plan[e.ID] = citronmodel.Span{From: s.From - room, To: s.To}
			g.To -= room
		}
	}
	return g.Empty()
}

// spares returns the engines without which all layers that are held stay
// held, fastest first; empty ones go before those that repeat layers.
func spares(spec citronmodel.Spec, engines []citronmodel.Engine, plan Plan) []citronmodel.Engine {
	count := make([]int, spec.Layers)
	for _, e := range engines {
		s := current(plan, e)
		for l := s.From; l < min(s.To, spec.Layers); l++ {
			count[l]++
		}
	}
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i].Layers.Empty(), order[j].Layers.Empty()
		if a != b {
			return a
		}
		return spec.Kinds[order[i].Kind].StepFactor < spec.Kinds[order[j].Kind].StepFactor
	})
	var out []citronmodel.Engine
	for _, e := range order {
		if _, taken := plan[e.ID]; taken {
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

// divide deals all layers anew. Engines keep their order along the model,
// so that as many layers as possible stay where they are.
func divide(spec citronmodel.Spec, engines []citronmodel.Engine, tokens float64) Plan {
	counts, ok := deal(spec, engines, tokens)
	if !ok {
		return Plan{}
	}
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if a.Layers.Empty() != b.Layers.Empty() {
			return b.Layers.Empty()
		}
		if a.Layers.Empty() {
			// Slow engines first: they have few layers, and copies
			// of the first layers are cheap.
			return spec.Kinds[a.Kind].StepFactor > spec.Kinds[b.Kind].StepFactor
		}
		return a.Layers.From < b.Layers.From
	})
	plan := Plan{}
	at := 0
	for _, e := range order {
		if n := counts[e.ID]; n > 0 {
			plan[e.ID] = citronmodel.Span{From: at, To: at + n}
			at += n
		}
	}
	return fillSpares(spec, engines, plan)
}

// deal says how many layers each engine gets: the fastest are filled first,
// each up to what leaves it the cache asked for.
func deal(spec citronmodel.Spec, engines []citronmodel.Engine, tokens float64) (map[string]int, bool) {
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		return spec.Kinds[order[i].Kind].StepFactor < spec.Kinds[order[j].Kind].StepFactor
	})
	counts := map[string]int{}
	left := spec.Layers
	for _, e := range order {
		n := min(capacity(spec, e.Kind, tokens), left)
		if n > 0 {
			counts[e.ID] = n
			left -= n
		}
	}
	return counts, left == 0
}

// fillSpares has engines that hold nothing repeat the first layers.
func fillSpares(spec citronmodel.Spec, engines []citronmodel.Engine, plan Plan) Plan {
	var first citronmodel.Span
	var kind string
	for _, e := range engines {
		if s := current(plan, e); s.From == 0 && !s.Empty() && (first.Empty() || s.Len() < first.Len()) {
			first, kind = s, e.Kind
		}
	}
	for _, e := range engines {
		if !current(plan, e).Empty() || first.Empty() {
			continue
		}
		if capacity(spec, e.Kind, spec.CacheTokens(kind, first.Len())*headroom) >= first.Len() {
			plan[e.ID] = first
		}
	}
	return plan
}
