package citronpath

import (
	"maps"

	"citrondeck.dev/citrondeck/citronpool"
)

// ChooseWithin returns the cheapest path of which no engine's utilization exceeds limit, in
// the node's zone or in one other zone. draw is a random number in [0, 1) by which the other
// zone is chosen. It returns false if there is none.
func ChooseWithin(engines []*citronpool.Engine, q Query, limit, draw float64) (Path, bool) {
	full := maps.Clone(q.Avoid)
	if full == nil {
		full = map[string]bool{}
	}
	zones := []string{}
	seen := map[string]bool{q.Zone: true}
	for _, e := range engines {
		if q.Utilization(e) > limit {
			full[e.ID] = true
		} else if !seen[e.Zone] {
			seen[e.Zone] = true
			zones = append(zones, e.Zone)
		}
	}
	q.Avoid = full
	if p, ok := Choose(inZone(engines, q.Zone), q); ok {
		return p, true
	}
	for i := range zones {
		zone := zones[(i+int(draw*float64(len(zones))))%len(zones)]
		if p, ok := Choose(inZone(engines, zone), q); ok {
			return p, true
		}
	}
	return nil, false
}

// inZone returns the engines of a zone.
func inZone(engines []*citronpool.Engine, zone string) []*citronpool.Engine {
	var out []*citronpool.Engine
	for _, e := range engines {
		if e.Zone == zone {
			out = append(out, e)
		}
	}
	return out
}
