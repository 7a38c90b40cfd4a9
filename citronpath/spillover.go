package citronpath

import (
	"math"

	"citrondeck.dev/citrondeck/citronpool"
)

// ChooseWithin returns the cheapest path for q on which every engine, with the request's
// Tokens counted in, is utilized up to limit at most. It prefers a path within q.Zone. If
// there is none, it returns a path within one other zone. The zone is drawn with draw, a
// random number from 0 (inclusive) to 1 (exclusive), with weights equal to the free tokens
// of the fullest engine on the zone's path, reduced for the transfer to that zone. If all
// nodes took the zone with the most free capacity, they would overfill it before the next
// update of the zone totals. ChooseWithin returns false if no zone has such a path.
func ChooseWithin(engines []*citronpool.Engine, q Query, limit, draw float64) (Path, bool) {
	var own []*citronpool.Engine
	for _, e := range engines {
		if e.Zone == q.Zone && q.fits(e, limit) {
			own = append(own, e)
		}
	}
	if p, ok := Choose(own, q); ok {
		return p, true
	}
	var (
		paths   []Path
		weights []float64
		total   float64
	)
	for _, zone := range q.otherZones(engines, limit) {
		if p, ok := Choose(zone, q); ok {
			w := q.spillWeight(p, limit)
			paths, weights, total = append(paths, p), append(weights, w), total+w
		}
	}
	if len(paths) == 0 {
		return nil, false
	}
	at := min(1, max(0, draw)) * total
	for i, w := range weights {
		if at < w {
			return paths[i], true
		}
		at -= w
	}
	return paths[len(paths)-1], true
}

// fits reports whether an engine that may run the request stays within limit with it.
func (q Query) fits(e *citronpool.Engine, limit float64) bool {
	return !e.Layers.Empty() && !q.Avoid[e.ID] && q.usable(e) && q.utilizationWith(e) <= limit
}

// utilizationWith returns the utilization of an engine that also runs the request.
func (q Query) utilizationWith(e *citronpool.Engine) float64 {
	return q.Utilization(e) + float64(q.Tokens)/q.Spec.TokenCapacity(e.Kind, e.Layers.Len())
}

// otherZones returns the engines that fit the request, grouped by zone in the order of the
// list and without q.Zone. Zones whose engines can't hold all layers are left out.
func (q Query) otherZones(engines []*citronpool.Engine, limit float64) [][]*citronpool.Engine {
	var (
		zones  [][]*citronpool.Engine
		layers []int
	)
	index := map[string]int{}
	for _, e := range engines {
		if e.Zone == q.Zone || !q.fits(e, limit) {
			continue
		}
		i, known := index[e.Zone]
		if !known {
			i = len(zones)
			index[e.Zone] = i
			zones, layers = append(zones, nil), append(layers, 0)
		}
		zones[i] = append(zones[i], e)
		layers[i] += e.Layers.Len()
	}
	out := zones[:0]
	for i, z := range zones {
		if layers[i] >= q.Spec.Layers {
			out = append(out, z)
		}
	}
	return out
}

// spillWeight returns the weight of a path in another zone: the free tokens of its fullest
// engine, at least one. The transfer of the request and its response to the other zone
// takes as much off it as it adds to the cost of an overloaded engine.
func (q Query) spillWeight(p Path, limit float64) float64 {
	free := math.Inf(1)
	for _, h := range p {
		free = min(free, (limit-q.Utilization(h.Engine))*q.Spec.TokenCapacity(h.Engine.Kind, h.Engine.Layers.Len()))
	}
	transfer := otherZoneCost + max(0, q.ZoneCost[p[0].Engine.Zone])
	return max(1, min(free, maxFreeTokens)) * overloadCost / (overloadCost + transfer)
}

// maxFreeTokens bounds the free tokens of an engine, so that the sum of the weights stays
// finite whatever the configuration declares.
const maxFreeTokens = 1e12
