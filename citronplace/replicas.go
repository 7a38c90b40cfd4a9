package citronplace

import (
	"maps"
	"math"
	"slices"
	"sort"

	"citrondeck.dev/citrondeck/citronmodel"
)

// A zone may hold several replicas of the model.
//
// A zone of thirty engines with one replica loses all of its capacity when
// any engine dies, and at peak load several may die at once. With two
// replicas, each divided over half of the engines, running streams continue
// on the other replica at once, and the zone serves half of its callers while
// the gap is filled. A small zone has no memory for a second replica: the
// memory that layers do not occupy caches the running requests.
const (
	// maxReplicaShare is the fraction of a zone's memory that replicas may
	// occupy; the rest is cache.
	maxReplicaShare = 0.55
	// keepReplicaShare replaces maxReplicaShare for a replica that exists
	// already, so that a zone which loses a few engines does not give up the
	// rest of a replica.
	keepReplicaShare = 0.7
	// minRepairShare is the fraction of its intended cache that an engine
	// must keep when a gap of one replica is filled while other replicas hold
	// the layers. Without this limit, a replica that has lost most of its
	// engines would be divided over the few left, each with cache for a
	// quarter of its requests. They would load for seconds and then refuse
	// most requests; the zone is better off without such a replica. Its
	// engines continue to serve as hops on other paths.
	minRepairShare = 0.6
)

// replicaCount returns how many replicas of the model a zone should hold. It
// derives the number of existing replicas from the number of layers held,
// duplicates included.
func replicaCount(spec citronmodel.Spec, engines []Engine) int {
	memory, held := 0.0, 0
	for _, e := range engines {
		memory += spec.Kinds[e.Kind].MemoryMB
		held += e.Target.Len()
	}
	replicaMB := spec.LayerMB * float64(spec.Layers)
	if replicaMB <= 0 {
		return 1
	}
	maxKept := int(keepReplicaShare * memory / replicaMB)
	present := int(math.Round(float64(held) / float64(spec.Layers)))
	return max(1, int(maxReplicaShare*memory/replicaMB), min(present, maxKept))
}

// replica is the set of engines that hold one replica of the model. end is
// the layer after the last layer that they hold.
type replica struct {
	engines []Engine
	end     int
}

// splitReplicas divides the engines of a zone into replicas by their target
// layer ranges: an engine belongs to the replica that its range extends
// (nextReplica). Engines with an empty range, or with one that only duplicates
// layers of the replicas, are returned in free.
func splitReplicas(engines []Engine, n int) (replicas []replica, free []Engine) {
	replicas = make([]replica, n)
	var placed []Engine
	for _, e := range engines {
		if e.Target.Empty() {
			free = append(free, e)
		} else {
			placed = append(placed, e)
		}
	}
	sort.SliceStable(placed, func(i, j int) bool {
		a, b := placed[i].Target, placed[j].Target
		return a.From < b.From || a.From == b.From && a.To > b.To
	})
	for _, e := range placed {
		i := nextReplica(replicas, e.Target)
		if i < 0 {
			free = append(free, e)
			continue
		}
		r := &replicas[i]
		r.engines = append(r.engines, e)
		r.end = max(r.end, e.Target.To)
	}
	return replicas, free
}

// nextReplica returns the index of the replica that a span extends: the
// replica with the smallest gap before the span, or the shortest replica if
// all of them end after the span begins. It returns -1 if the span adds no
// layer.
func nextReplica(replicas []replica, s citronmodel.Span) int {
	best := -1
	for i, r := range replicas {
		if r.end <= s.From && (best < 0 || r.end > replicas[best].end) {
			best = i
		}
	}
	if best >= 0 {
		return best
	}
	best = 0
	for i, r := range replicas {
		if r.end < replicas[best].end {
			best = i
		}
	}
	if replicas[best].end >= s.To {
		return -1
	}
	return best
}

// decideReplicas decides for each replica of a zone. Engines that belong to
// no replica go to the replica that misses the most layers.
func decideReplicas(spec citronmodel.Spec, engines []Engine, served []citronmodel.Span) Plan {
	n := replicaCount(spec, engines)
	if n == 1 {
		return decideZone(spec, engines, served, bounds{scope: anyLayers})
	}
	replicas, free := splitReplicas(engines, n)
	if !slices.ContainsFunc(engines, func(e Engine) bool { return !e.Target.Empty() }) {
		return placeFirstReplicas(spec, free, n)
	}
	sort.SliceStable(replicas, func(i, j int) bool {
		return missingLayers(spec, replicas[i].engines) > missingLayers(spec, replicas[j].engines)
	})
	plan := Plan{}
	complete := true
	minCache := minRepairShare * min(fullCache(spec), evenCacheFor(spec, engines, n*spec.Layers))
	for i, r := range replicas {
		all := slices.Concat(r.engines, free)
		if len(all) == 0 {
			continue
		}
		replicaPlan := improveReplica(spec, r.engines, free)
		if missingLayers(spec, all) > 0 {
			complete = false
			others := spansOfOthers(replicas, i)
			b := bounds{scope: oneEngine}
			if allServed(Gaps(spec, all), others) {
				b.minCache = minCache
			}
			replicaPlan = decideZone(spec, all, slices.Concat(served, others, heldSpans(free)), b)
		}
		maps.Copy(plan, replicaPlan)
		free = slices.DeleteFunc(free, func(e Engine) bool { _, used := plan[e.ID]; return used })
	}
	if complete && len(plan) == 0 {
		return duplicateLayers(spec, engines, plan, oneEngine)
	}
	return plan
}

// improveReplica relieves the weakest engine of a complete replica with an
// engine that holds nothing. It does not move layers between neighbours as
// balance does in a zone with one replica: the first layer of an engine
// determines its replica, and a move could change that layer.
func improveReplica(spec citronmodel.Spec, engines, free []Engine) Plan {
	even := usefulCache(spec, engines)
	all := slices.Concat(engines, free)
	for _, e := range all {
		if e.Target != e.Layers {
			return Plan{}
		}
	}
	for _, e := range engines {
		if s, ok := trimWeak(spec, all, e, even); ok {
			return Plan{e.ID: {Span: s}}
		}
	}
	plan, ok := addHelper(spec, slices.DeleteFunc(all, func(e Engine) bool { return e.Layers.Empty() && e.JustJoined }), even, true)
	if !ok || !lowersCachePressure(spec, all, plan, even) {
		return Plan{}
	}
	return plan
}

// spansOfOthers returns the spans that the engines of all replicas but one
// hold. These layers are served, so no request needs to be cut to fill a gap
// of that replica.
func spansOfOthers(replicas []replica, except int) []citronmodel.Span {
	var out []citronmodel.Span
	for i, r := range replicas {
		for _, e := range r.engines {
			if i != except {
				out = append(out, e.Layers)
			}
		}
	}
	return out
}

// heldSpans returns the spans that the engines hold now.
func heldSpans(engines []Engine) []citronmodel.Span {
	out := make([]citronmodel.Span, len(engines))
	for i, e := range engines {
		out[i] = e.Layers
	}
	return out
}

// missingLayers returns how many layers lie in no engine's target layer range.
func missingLayers(spec citronmodel.Spec, engines []Engine) int {
	n := 0
	for _, g := range Gaps(spec, engines) {
		n += g.Len()
	}
	return n
}

// placeFirstReplicas distributes empty engines over n replicas, so that each
// gets about equally many engines of each kind, and places each replica.
func placeFirstReplicas(spec citronmodel.Spec, engines []Engine, n int) Plan {
	order := slices.Clone(engines)
	sort.SliceStable(order, func(i, j int) bool { return order[i].Kind < order[j].Kind })
	replicas := make([][]Engine, n)
	for i, e := range order {
		replicas[i%n] = append(replicas[i%n], e)
	}
	plan := Plan{}
	for _, members := range replicas {
		maps.Copy(plan, decideZone(spec, members, nil, bounds{scope: oneEngine}))
	}
	return plan
}
