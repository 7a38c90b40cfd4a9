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
	// Patient: the request can wait for an engine whose rate limit is used up.
	Patient bool
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
	// hopCost is a hop's own delay: a network hop and half a pass of waiting.
	hopCost = 0.5
	// otherZone is the price of starting in another zone: delay and the
	// bytes of request and answer. Small, yet more than the difference
	// that the balance of a few requests makes.
	otherZone = 6
	// newPart is the price of a hop that is not on the request's present
	// path. Token steps differ little between engines that hold the same
	// layers, so sound parts are kept.
	newPart = 3
	// crossing is the price of handing a token's activations to another
	// zone: all traffic of one zone over one pipe would nearly fill it.
	crossing = 60
	// typicalWriters and typicalContext describe a zone at its peak.
	typicalWriters = 120
	typicalContext = 110_000
	// fullAt is the share of an engine's room beyond which a further request
	// risks preemption or refusal; overfull, a step of the whole zone's cost,
	// makes another zone the better choice before that point is passed.
	fullAt   = 0.8
	overfull = 60
)

// Used is the share of an engine's room that running requests may need, of its
// cache or of its places, whichever is scarcer: small engines with few layers
// have cache for more requests than they run at once, and refused what was sent
// there for it. Requests of other nodes are known by zone only.
func (q Query) Used(e *citronpool.Engine) float64 {
	room := q.Spec.RoomTokens(e.Kind, e.Layers.Len())
	if room <= 0 {
		return math.Inf(1)
	}
	return (float64(e.Tokens()) + float64(q.Others[e.Zone])*q.part(e)) / room
}

// priorTokens is how many tokens count for an even spread before what this
// node sees of its own requests does: a few requests.
const priorTokens = 4000

// part is the part of a zone's requests that passes through an engine. Nodes
// choose alike, so it is taken from this node's own. An even spread over the
// engines that hold the same layers would hide that all nodes prefer the
// faster one, and make its streams late while the other has room.
func (q Query) part(e *citronpool.Engine) float64 {
	return min(1, (float64(e.Tokens())+priorTokens/max(1, e.Copies))/(float64(q.Own[e.Zone])+priorTokens))
}

// Used is the share of room taken at the fullest engine of the path.
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

// state is the cheapest way found to have run all layers before a cut and to
// hand on from a zone.
type state struct {
	cost float64
	prev int // index of the state before, -1 at the start
	hop  Hop
}

// candidate is an engine that may be on the path.
type candidate struct {
	*citronpool.Engine
	// zone counts the zones from 1; 0 is where a path begins.
	zone int
	// perLayer is the cost of one layer, last the index of the cut at which
	// its layers end.
	perLayer float64
	last     int
}

// Choose returns the cheapest path for q over engines, or false if some
// layer is held by no usable engine.
func Choose(engines []*citronpool.Engine, q Query) (Path, bool) {
	usable := make([]candidate, 0, len(engines))
	isCut := make([]bool, q.Spec.Layers+1)
	isCut[0], isCut[q.Spec.Layers] = true, true
	zones := map[string]int{}
	for _, e := range engines {
		s := e.Layers
		if s.Empty() || s.From < 0 || s.To > q.Spec.Layers || q.Avoid[e.ID] || !q.usable(e) {
			continue
		}
		if zones[e.Zone] == 0 {
			zones[e.Zone] = len(zones) + 1
		}
		usable = append(usable, candidate{Engine: e, zone: zones[e.Zone], perLayer: q.perLayer(e)})
		isCut[s.From], isCut[s.To] = true, true
	}
	var cuts []int
	index := make([]int, q.Spec.Layers+1)
	for layer, is := range isCut {
		if is {
			index[layer] = len(cuts)
			cuts = append(cuts, layer)
		}
	}
	for i := range usable {
		usable[i].last = index[usable[i].Layers.To]
	}
	return search(usable, cuts, len(zones)+1, q)
}

func (q Query) usable(e *citronpool.Engine) bool {
	return e.Usable(q.Now) || (q.Patient || q.Keep.Has(e.ID)) && e.Sound(q.Now)
}

// search walks the cuts in ascending order and keeps, for each cut and
// zone, the cheapest way to have run all layers before it.
func search(engines []candidate, cuts []int, zones int, q Query) (Path, bool) {
	states := []state{{prev: -1}}
	best := make([]int, len(cuts)*zones) // index of the state plus one, 0: none
	best[0] = 1
	holders := make([]int, 0, len(engines))
	for at, pos := range cuts[:len(cuts)-1] {
		holders = holders[:0]
		for i, e := range engines {
			if e.Layers.From <= pos && pos < e.Layers.To && (pos > 0 || q.First == "" || e.ID == q.First) {
				holders = append(holders, i)
			}
		}
		for zone, si := range best[at*zones : (at+1)*zones] {
			if si == 0 {
				continue
			}
			s := states[si-1]
			for _, i := range holders {
				e := &engines[i]
				base := s.cost + hopCost + q.move(pos, zone, e)
				for next := at + 1; next <= e.last; next++ {
					span := citronmodel.Span{From: pos, To: cuts[next]}
					c := base + e.perLayer*float64(span.Len()) + q.read(e.Engine, span)
					known := &best[next*zones+e.zone]
					if *known > 0 && states[*known-1].cost <= c {
						continue
					}
					states = append(states, state{cost: c, prev: si - 1, hop: Hop{e.Engine, span}})
					*known = len(states)
				}
			}
		}
	}
	last := -1
	for _, si := range best[(len(cuts)-1)*zones:] {
		if si > 0 && (last < 0 || states[si-1].cost < states[last].cost) {
			last = si - 1
		}
	}
	if last < 0 || math.IsInf(states[last].cost, 1) {
		return nil, false
	}
	return trace(states, last), true
}

// move is the price of going on at an engine from a zone; 0: from the caller.
func (q Query) move(pos, from int, to *candidate) float64 {
	switch {
	case pos == 0 && to.Zone != q.Zone:
		return otherZone + q.ZoneCost[to.Zone]
	case pos == 0 || from == to.zone:
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
