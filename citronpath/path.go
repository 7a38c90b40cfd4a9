// Package citronpath chooses the engines that a request to a model passes
// through: an exact cover of the model's layers, in order.
//
// The load it answers: at the peak of a surge each availability zone runs
// its own copy of the model near its limit, and any engine may die. A path
// within one zone costs no transfer between zones; when a zone's copy has a
// hole, whole requests go to another zone's copy, and only when no zone is
// whole does a path combine engines of several zones. Among engines that
// hold the same layers the one with the least work wins.
package citronpath

import (
	"math"
	"sort"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
)

// Hop is one engine's part of a path.
type Hop struct {
	Engine *citronpool.Engine
	Span   citronmodel.Span
}

// Path is a cover of all layers in order.
type Path []Hop

// Has reports whether the path runs through an engine.
func (p Path) Has(id string) bool {
	for _, h := range p {
		if h.Engine.ID == id {
			return true
		}
	}
	return false
}

// OneZone reports whether all engines of the path are in one zone.
func (p Path) OneZone() bool {
	for _, h := range p {
		if h.Engine.Zone != p[0].Engine.Zone {
			return false
		}
	}
	return true
}

// Query is what a path is chosen for.
type Query struct {
	Spec citronmodel.Spec
	// Zone is where the request entered.
	Zone string
	Now  time.Time
	// Avoid holds ids of engines that this request must not use.
	Avoid map[string]bool
	// First, if set, must be the first engine of the path.
	First string
	// Keep is the path that a request runs on; other engines than its own
	// would have to read all of the request's tokens so far.
	Keep Path
	// Others is the cache, in tokens, that requests of other nodes take
	// in each zone, Own what those of this node take.
	Others, Own map[string]int64
	// ZoneCost is added for starting in a zone. Nodes that all see the same
	// best zone send it everything until the next news; a cost drawn at
	// random for each request spreads them.
	ZoneCost map[string]float64
}

// Costs are in milliseconds of one token step, the unit that StepTime has.
const (
	// hopCost is a hop's own delay: a network hop and half a pass of
	// waiting, about 0.5 ms.
	hopCost = 0.5
	// otherZone is the price of starting in another zone: delay and the
	// bytes of request and answer. Small, yet more than the difference
	// that the balance of a few requests makes.
	otherZone = 6
	// newPart is the price of a hop that is not on the request's present
	// path. A token step costs 1 to 4 ms a hop and differs by less between
	// engines that hold the same layers, so sound parts are kept.
	newPart = 3
	// crossing is the price of handing a token's activations to another
	// zone: all traffic of one zone over one pipe would nearly fill it.
	crossing = 60
	// typicalWriters and typicalContext describe a zone at its peak.
	typicalWriters = 120
	typicalContext = 110_000
	// fullAt is the share of an engine's cache beyond which a further
	// request risks preemption; overfull, a step of the whole zone's cost,
	// makes another zone the better choice before that point is passed.
	fullAt   = 0.8
	overfull = 60
)

// Used is the share of an engine's cache that running requests may need.
// Requests of other nodes are known by zone only.
func (q Query) Used(e *citronpool.Engine) float64 {
	cache := q.Spec.CacheTokens(e.Kind, e.Layers.Len())
	if cache <= 0 {
		return math.Inf(1)
	}
	return (float64(e.Tokens()) + float64(q.Others[e.Zone])*q.part(e)) / cache
}

// priorTokens is how many tokens count for an even spread before what this
// node sees of its own requests does: a few requests.
const priorTokens = 4000

// part is the part of a zone's requests that passes through an engine. Nodes
// choose alike, so it is taken from this node's own. An even spread over the
// engines that hold the same layers would hide that all nodes prefer the
// faster one: of two copies, one got three quarters of a zone's streams and
// made half of them late.
func (q Query) part(e *citronpool.Engine) float64 {
	return min(1, (float64(e.Tokens())+priorTokens/max(1, e.Copies))/(float64(q.Own[e.Zone])+priorTokens))
}

// Used is the share of cache taken at the fullest engine of the path.
func (p Path) Used(q Query) float64 {
	most := 0.0
	for _, h := range p {
		most = max(most, q.Used(h.Engine))
	}
	return most
}

// cost of running one layer at e.
func (q Query) perLayer(e *citronpool.Engine) float64 {
	ms := q.Spec.StepTime(e.Kind, 1, typicalWriters, typicalContext)
	used := q.Used(e)
	if math.IsInf(used, 1) {
		return used
	}
	c := ms * (1 + used)
	if slow := e.Slowdown(q.Now); slow > 1 {
		// One slow engine is the bottleneck of its zone: requests
		// gather there, and the whole path gets slower by more than
		// its own share.
		c *= slow * slow
	}
	if used > fullAt {
		c += overfull * (used - fullAt) / float64(e.Layers.Len())
	}
	return c
}

type state struct {
	cost float64
	prev int // index of the state before, -1 at the start
	hop  Hop
	pos  int
	zone string
}

// Choose returns the cheapest path for q over engines, or false if some
// layer is held by no usable engine.
func Choose(engines []*citronpool.Engine, q Query) (Path, bool) {
	usable := make([]*citronpool.Engine, 0, len(engines))
	cuts := map[int]bool{q.Spec.Layers: true}
	for _, e := range engines {
		if e.Layers.Empty() || q.Avoid[e.ID] || !e.Usable(q.Now) {
			continue
		}
		usable = append(usable, e)
		cuts[e.Layers.From] = true
		cuts[e.Layers.To] = true
	}
	ends := make([]int, 0, len(cuts))
	for c := range cuts {
		ends = append(ends, c)
	}
	sort.Ints(ends)
	return search(usable, ends, q)
}

// search walks the cuts in ascending order and keeps, for each cut and
// zone, the cheapest way to have run all layers before it.
func search(engines []*citronpool.Engine, ends []int, q Query) (Path, bool) {
	states := []state{{prev: -1}}
	best := map[int]map[string]int{0: {"": 0}}
	costs := make([]float64, len(engines))
	for i, e := range engines {
		costs[i] = q.perLayer(e)
	}
	for _, pos := range ends {
		for _, si := range best[pos] {
			s := states[si]
			for i, e := range engines {
				if e.Layers.From > pos || e.Layers.To <= pos {
					continue
				}
				if pos == 0 && q.First != "" && e.ID != q.First {
					continue
				}
				for _, to := range ends {
					if to <= pos || to > e.Layers.To {
						continue
					}
					c := s.cost + hopCost + costs[i]*float64(to-pos) + q.move(pos, s.zone, e.Zone) + q.read(e, citronmodel.Span{From: pos, To: to})
					if bi, ok := best[to][e.Zone]; ok && states[bi].cost <= c {
						continue
					}
					if best[to] == nil {
						best[to] = map[string]int{}
					}
					best[to][e.Zone] = len(states)
					states = append(states, state{cost: c, prev: si, hop: Hop{e, citronmodel.Span{From: pos, To: to}}, pos: to, zone: e.Zone})
				}
			}
		}
	}
	last := -1
	for _, si := range best[q.Spec.Layers] {
		if last < 0 || states[si].cost < states[last].cost {
			last = si
		}
	}
	if last < 0 || math.IsInf(states[last].cost, 1) {
		return nil, false
	}
	return trace(states, last), true
}

func (q Query) move(pos int, from, to string) float64 {
	switch {
	case pos == 0 && to != q.Zone:
		return otherZone + q.ZoneCost[to]
	case pos == 0 || from == to:
		return 0
	default:
		return crossing
	}
}

// read is the price of having an engine read a running request's tokens for a
// span, unless it has them.
func (q Query) read(e *citronpool.Engine, span citronmodel.Span) float64 {
	if len(q.Keep) == 0 {
		return 0
	}
	for _, h := range q.Keep {
		if h.Engine.ID == e.ID && h.Span.Covers(span) {
			return 0
		}
	}
	return newPart
}

// trace reads the path back. An engine that would appear twice gets all
// layers between its two parts: it holds them, as its span has no holes,
// and engines refuse a path that names one of them twice.
func trace(states []state, last int) Path {
	var p Path
	for i := last; states[i].prev >= 0; i = states[i].prev {
		p = append(Path{states[i].hop}, p...)
	}
	for i := 0; i < len(p); i++ {
		for j := len(p) - 1; j > i; j-- {
			if p[j].Engine.ID == p[i].Engine.ID {
				p[i].Span.To = p[j].Span.To
				p = append(p[:i+1], p[j+1:]...)
				break
			}
		}
	}
	return p
}
