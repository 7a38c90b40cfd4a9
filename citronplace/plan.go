// Package citronplace decides which engine holds which layers of a model.
//
// At peak load each availability zone carries its share of the callers. The
// part of an engine's memory that layers do not occupy caches the running
// requests. So each zone gets one whole replica of the model, a set of
// engines that together hold all layers, or several where its memory allows
// that (replicas.go). Within a replica, fast engines hold as many layers as
// leave them the same cache as the other engines; slow engines hold the rest.
// Engines left over are spares. Until they are needed they duplicate the
// layers with the least cache (duplicates.go). If several ranges have equally
// little, the first one is duplicated, since the first engine of a path limits
// how many requests run at once.
//
// Layers that are served are moved as little as possible. A gap, a range of
// layers that no engine holds, is filled in this order: by spares and by
// neighbouring engines that extend their layer ranges, which loads only a few
// layers; by moving the boundaries of the smallest number of engines around
// the gap that have the free capacity; by dividing the whole zone again
// (repair.go). In a zone without gaps, an engine that has little cache is
// relieved by a spare (improve.go) or by a neighbour (balance.go).
//
// The decision keeps no state. It depends only on the engines, on what they
// hold and were ordered to hold, and on which of them have just joined. So a
// new leader that knows the same decides as its predecessor would have.
package citronplace

import (
	"math"
	"slices"
	"sort"

	"citrondeck.dev/citrondeck/citronmodel"
)

// Engine is an engine that may hold layers.
type Engine struct {
	// Engine.Layers is the layer range that the engine holds now.
	citronmodel.Engine
	// Target is the target layer range: the range that the engine was last
	// ordered to hold, or Layers if no order is pending.
	Target citronmodel.Span
	// JustJoined marks an engine that has just joined. It is reserved for the gap
	// of the engine that it may replace: it may fill gaps, but does not duplicate
	// layers or relieve a weak engine yet.
	JustJoined bool
}

// Order tells an engine which layers to hold.
type Order struct {
	citronmodel.Span
	// Cut tells the engine not to wait for the requests that pass through the
	// layers it gives up. It is set where a gap has broken all of these
	// requests anyway.
	Cut bool
}

// Plan maps engine IDs to orders. An engine without an order keeps its
// layers.
type Plan map[string]Order

// bytesPerMB converts the megabytes in which a model declares its sizes.
const bytesPerMB = 1e6

const (
	// headroom is the fraction of the even cache that a new division aims
	// for. Aiming below 1 leaves slow engines fewer layers, which shortens
	// every token step, and leaves some engines free as spares.
	headroom = 0.8
)

// Decide returns the orders for all engines of a service. The engines must
// not include engines that are leaving; served lists, by zone, the layer
// ranges that the leaving engines still serve.
func Decide(spec citronmodel.Spec, engines []Engine, served map[string][]citronmodel.Span) Plan {
	plan := Plan{}
	for _, zone := range groupByZone(engines) {
		for id, o := range decideReplicas(spec, zone, served[zone[0].Zone]) {
			plan[id] = o
		}
	}
	return plan
}

// groupByZone groups engines by zone. The zones are sorted by name and the
// engines of each zone by ID, so that the decision is deterministic.
func groupByZone(engines []Engine) [][]Engine {
	byZone := map[string][]Engine{}
	for _, e := range engines {
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	names := make([]string, 0, len(byZone))
	for z := range byZone {
		names = append(names, z)
	}
	sort.Strings(names)
	out := make([][]Engine, 0, len(byZone))
	for _, z := range names {
		es := byZone[z]
		sort.Slice(es, func(i, j int) bool { return es[i].ID < es[j].ID })
		out = append(out, es)
	}
	return out
}

// decideZone decides for the engines of a zone, or of one replica in it: it
// improves the placement if there is no gap, places the model if no layer is
// held, and repairs the gaps otherwise.
func decideZone(spec citronmodel.Spec, engines []Engine, served []citronmodel.Span, b bounds) Plan {
	even := usefulCache(spec, engines)
	gaps := Gaps(spec, engines)
	switch {
	case len(gaps) == 0:
		return improve(spec, engines, even, b.scope)
	case gaps[0].Len() == spec.Layers:
		return divide(spec, engines, even*headroom, false, b)
	}
	return repair(spec, engines, gaps, served, even, b)
}

// Gaps returns the layer ranges that lie in no engine's target layer range. A
// layer that its only holder was ordered to give up belongs to a gap already.
func Gaps(spec citronmodel.Spec, engines []Engine) []citronmodel.Span {
	held := make([]bool, spec.Layers)
	for _, e := range engines {
		for l := max(0, e.Target.From); l < min(e.Target.To, spec.Layers); l++ {
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

// layerCapacity returns how many layers an engine of the given kind can hold
// and still cache the given number of tokens.
func layerCapacity(spec citronmodel.Spec, kind string, tokens float64) int {
	k, ok := spec.Kinds[kind]
	if !ok || spec.Layers == 0 {
		return 0
	}
	perLayer := spec.LayerMB + tokens*spec.TokenBytes/float64(spec.Layers)/bytesPerMB
	return min(int(math.Floor(k.MemoryMB/perLayer)), spec.MaxLayers(kind))
}

// evenCache returns the largest cache, in tokens, that all engines of a zone
// can have at once while together they hold all layers. It returns zero if
// they cannot hold all layers.
func evenCache(spec citronmodel.Spec, engines []Engine) float64 {
	return evenCacheFor(spec, engines, spec.Layers)
}

const (
	// maxCacheTokens (in tokens) and searchSteps bound the binary search for
	// the even cache.
	maxCacheTokens = 1e7
	searchSteps    = 40
)

// evenCacheFor is like evenCache, but for the given number of layers.
func evenCacheFor(spec citronmodel.Spec, engines []Engine, layers int) float64 {
	fits := func(tokens float64) bool {
		sum := 0
		for _, e := range engines {
			sum += layerCapacity(spec, e.Kind, tokens)
		}
		return sum >= layers
	}
	low, high := 0.0, maxCacheTokens
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

// usefulCache returns the even cache of a zone, limited so that a division,
// which aims for headroom times this cache, gives no more than the zone's
// requests can fill. Memory beyond that is useless as cache and holds duplicate
// layers instead (duplicateLayers).
func usefulCache(spec citronmodel.Spec, engines []Engine) float64 {
	return min(evenCache(spec, engines), fullCache(spec)/headroom)
}

// fullCache returns the cache, in tokens, that requests of mean length take
// when all request slots of one first engine are occupied.
func fullCache(spec citronmodel.Spec) float64 {
	if spec.Slots <= 0 || spec.MeanTokens <= 0 {
		return maxCacheTokens
	}
	return float64(spec.Slots * spec.MeanTokens)
}

// plannedSpan returns the layer range that an engine holds after the plan is
// carried out.
func plannedSpan(plan Plan, e Engine) citronmodel.Span {
	if o, ok := plan[e.ID]; ok {
		return o.Span
	}
	return e.Target
}

// overlap returns the layers that both spans contain; the result may be
// empty.
func overlap(a, b citronmodel.Span) citronmodel.Span {
	return citronmodel.Span{From: max(a.From, b.From), To: min(a.To, b.To)}
}

// spares returns the engines that can be taken away without creating a gap in
// the layers held now. Engines that hold nothing come before engines that
// duplicate layers, and fast engines before slow ones. Of an engine with a
// pending order, only the layers count that it holds already and keeps.
func spares(spec citronmodel.Spec, engines []Engine, plan Plan) []Engine {
	count := make([]int, spec.Layers)
	for _, e := range engines {
		s := overlap(e.Layers, plannedSpan(plan, e))
		for l := s.From; l < min(s.To, spec.Layers); l++ {
			count[l]++
		}
	}
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i].Target.Empty(), order[j].Target.Empty()
		if a != b {
			return a
		}
		return spec.Kinds[order[i].Kind].StepFactor < spec.Kinds[order[j].Kind].StepFactor
	})
	var out []Engine
	for _, e := range order {
		if _, taken := plan[e.ID]; taken || e.Target != e.Layers {
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

// divide assigns all layers again. Engines keep their order along the model,
// so that as many layers as possible stay where they are.
func divide(spec citronmodel.Spec, engines []Engine, tokens float64, cut bool, b bounds) Plan {
	if tokens < b.minCache {
		return Plan{}
	}
	counts, ok := allocate(spec, engines, tokens, spec.Layers)
	if !ok {
		return Plan{}
	}
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if a.Target.Empty() != b.Target.Empty() {
			return b.Target.Empty()
		}
		if a.Target.Empty() {
			// Slow engines first: they get few layers, and duplicates of the
			// first layers take little memory.
			return spec.Kinds[a.Kind].StepFactor > spec.Kinds[b.Kind].StepFactor
		}
		return a.Target.From < b.Target.From
	})
	return duplicateLayers(spec, engines, assign(order, counts, 0, cut), b.scope)
}

// assign gives each engine its count of layers, one range after the other,
// starting at layer at.
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

// allocate returns how many of the layers each engine gets, and whether all
// layers found a place. The fastest engines are filled first, each up to the
// number that leaves it the given cache.
func allocate(spec citronmodel.Spec, engines []Engine, tokens float64, layers int) (map[string]int, bool) {
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool {
		return spec.Kinds[order[i].Kind].StepFactor < spec.Kinds[order[j].Kind].StepFactor
	})
	counts := map[string]int{}
	unplaced := layers
	for _, e := range order {
		n := min(layerCapacity(spec, e.Kind, tokens), unplaced)
		if n > 0 {
			counts[e.ID] = n
			unplaced -= n
		}
	}
	return counts, unplaced == 0
}
