// Package citronpath chooses the path of a request to a model: engines whose
// layer ranges cover the model's layers exactly once and in order.
//
// At peak load each availability zone runs its own replica of the model near
// capacity, and any engine may fail. A path within one zone needs no transfer
// between zones. If a zone's replica lacks some layers, requests run entirely
// on another zone's replica. A change of zones within a path is so expensive
// (crossZoneCost) that a path combines engines of several zones only if the
// request can use no zone's complete replica, or if all that it can use are
// badly overloaded or slow. Among engines that hold the same layers, the one
// that runs them fastest under its present load is preferred.
package citronpath

import (
	"math"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronusage"
)

// Hop is one engine of a path and the layer range that it runs.
type Hop struct {
	Engine *citronpool.Engine
	Span   citronmodel.Span
}

// Path is a sequence of hops that covers all layers of a model in order.
type Path []Hop

// Has reports whether the path contains the engine with the given ID.
func (p Path) Has(id string) bool {
	for _, h := range p {
		if h.Engine.ID == id {
			return true
		}
	}
	return false
}

// OneZone reports whether all engines of the path are in the same zone.
func (p Path) OneZone() bool {
	for _, h := range p {
		if h.Engine.Zone != p[0].Engine.Zone {
			return false
		}
	}
	return true
}

// Query holds the request and load data that determine the choice of a path.
type Query struct {
	Spec citronmodel.Spec
	// Zone is the zone of the node that received the request.
	Zone string
	Now  time.Time
	// CanWait is true if the request can wait for an engine whose rate limit
	// is used up.
	CanWait bool
	// CoolingWithin is how long the request can wait for the end of engines' cool-downs.
	CoolingWithin time.Duration
	// Avoid holds the IDs of engines that this request must not use.
	Avoid map[string]bool
	// FirstID, if set, is the ID of the engine that must be the first hop.
	FirstID string
	// CurrentPath is the current path of a running request. An engine that is not on
	// it would first have to process all of the request's tokens so far.
	CurrentPath Path
	// MoveCost, if set, is an additional cost of engines that are not on CurrentPath. It
	// spreads streams that are moved at the same time over the engines.
	MoveCost func(*citronpool.Engine) float64
	// OthersTokens is the cache, in tokens, that requests of other nodes use in each
	// zone. OwnTokens is the same for the requests of this node.
	OthersTokens, OwnTokens map[string]int64
	// Tokens is the cache, in tokens, that the request needs. ChooseWithin counts it in.
	Tokens int
	// ZoneCost is the additional cost of starting in each zone other than
	// Zone. Nodes that all see the same best zone would send all requests there
	// until the next load update. A cost drawn at random for each request
	// spreads the requests over the zones.
	ZoneCost map[string]float64
}

// Costs are in milliseconds per token step, like the result of StepTimeMS.
const (
	// hopCost is the fixed delay of a hop: network latency, and the wait until the
	// engine ends its current pass, which is half a pass on average.
	hopCost = 0.5
	// otherZoneCost is the cost of starting in another zone: latency and the
	// transfer of request and response. It is small, but larger than the cost
	// difference that an imbalance of a few requests causes.
	otherZoneCost = 6
	// newHopCost is the cost of a hop that is not on the request's current path.
	// Token steps take about equally long on engines that hold the same layers,
	// so this cost outweighs the difference and healthy hops are kept.
	newHopCost = 3
	// crossZoneCost is the cost of sending a token's activations to another
	// zone. The traffic of a whole zone would nearly saturate the link between
	// two zones.
	crossZoneCost = 60
	// typicalRequests is the number of requests that generate tokens in a zone
	// at peak load, typicalContext the number of their cached tokens.
	typicalRequests = 120
	typicalContext  = 110_000
	// highUtilization is the utilization of an engine above which a further
	// request risks preemption or refusal. Above it, using all layers of the
	// engine costs overloadCost more per unit of utilization. overloadCost is
	// about the cost of a token step through a whole zone, so that another zone
	// becomes preferable before the engine is full.
	highUtilization = 0.8
	overloadCost    = 60
)

// Utilization returns the share of an engine's capacity that running requests may need.
// The capacity is limited by the engine's cache or by its request slots,
// whichever is scarcer: small engines with few layers have cache for more
// requests than they can run at once and would refuse the excess. If the engine has
// reported its usage lately, the share is estimated from the report (citronusage),
// otherwise from this node's own requests (ownEstimate).
func (q Query) Utilization(e *citronpool.Engine) float64 {
	capacity := q.Spec.TokenCapacity(e.Kind, e.Layers.Len())
	if capacity <= 0 {
		return math.Inf(1)
	}
	if u, ok := e.Usage(q.Now); ok {
		return citronusage.Estimate(q.load(e, u, capacity))
	}
	return q.ownEstimate(e, capacity)
}

// ownEstimate estimates the utilization of an engine from this node's own requests and the
// totals of the zones. The cost of a path uses it even if there are reports: all nodes have
// the same reports, and would send their requests to the same engines until the next ones.
func (q Query) ownEstimate(e *citronpool.Engine, capacity float64) float64 {
	return (float64(e.Tokens()) + float64(q.OthersTokens[e.Zone])*q.trafficShare(e)) / capacity
}

// assumedRequestTokens is the number of tokens that a waiting request is assumed to need if
// the service does not declare its usual requests.
const assumedRequestTokens = 1000

// load returns what the estimate of an engine's utilization from its report u is based on.
func (q Query) load(e *citronpool.Engine, u citronpool.Usage, capacity float64) citronusage.Load {
	l := citronusage.Load{
		Report: u.Figures, CacheTokens: q.Spec.CacheTokens(e.Kind, e.Layers.Len()), Capacity: capacity, RequestTokens: assumedRequestTokens,
		ZoneThen: u.Zone.Others + u.Zone.Own, OthersThen: u.Zone.Others, OthersNow: q.OthersTokens[e.Zone],
		OwnSince: u.OwnSince, Own: e.Tokens(),
	}
	if q.Spec.MeanTokens > 0 {
		l.RequestTokens = float64(q.Spec.MeanTokens)
	}
	return l
}

// priorTokens is the weight, in tokens, of the assumption that requests spread
// evenly over the engines that hold the same layers. It equals the tokens of a
// few requests. Once this node's own requests have more tokens, their observed
// distribution dominates.
const priorTokens = 4000

// trafficShare estimates the share of a zone's requests that pass through an
// engine. All nodes choose by the same rules, so the estimate is taken from this
// node's own requests. Assuming an even spread over the engines that hold the
// same layers would hide that all nodes prefer the fastest of them: its streams
// would be late while the others have free capacity.
func (q Query) trafficShare(e *citronpool.Engine) float64 {
	return min(1, (float64(e.Tokens())+priorTokens/max(1, e.Replicas))/(float64(q.OwnTokens[e.Zone])+priorTokens))
}

// Utilization returns the utilization of the path's most utilized engine.
func (p Path) Utilization(q Query) float64 {
	most := 0.0
	for _, h := range p {
		most = max(most, q.Utilization(h.Engine))
	}
	return most
}

// layerCost returns the cost of running one layer on an engine.
func (q Query) layerCost(e *citronpool.Engine) float64 {
	ms := q.Spec.StepTimeMS(e.Kind, 1, typicalRequests, typicalContext)
	capacity := q.Spec.TokenCapacity(e.Kind, e.Layers.Len())
	if capacity <= 0 {
		return math.Inf(1)
	}
	used := q.ownEstimate(e, capacity)
	c := ms * (1 + used)
	if slow := e.Slowdown(q.Now); slow > 1 {
		// A slow engine is the bottleneck of its zone: requests queue up
		// there and slow the path down by more than the engine's own
		// delay, so its slowdown counts squared.
		c *= slow * slow
	}
	if used > highUtilization {
		c += overloadCost * (used - highUtilization) / float64(e.Layers.Len())
	}
	return c
}

// partialPath is the cheapest path found so far that runs all layers before a
// layer boundary and whose last engine is in a given zone.
type partialPath struct {
	cost float64
	prev int // index of the preceding partial path, -1 for the empty path
	hop  Hop
}

// candidate is an engine that is eligible for the path.
type candidate struct {
	*citronpool.Engine
	// zone is the number of the engine's zone, counted from 1. Zone 0 stands for
	// the caller, where every path starts.
	zone int
	// layerCost is the cost of one layer, endIndex the index of the layer
	// boundary at which the engine's layers end.
	layerCost float64
	endIndex  int
}

// Choose returns the cheapest path for q over the given engines. It returns
// false if there is none, for example because one of the layers is held by no
// usable engine.
func Choose(engines []*citronpool.Engine, q Query) (Path, bool) {
	if q.Spec.Layers <= 0 {
		return nil, false
	}
	usable := make([]candidate, 0, len(engines))
	isBoundary := make([]bool, q.Spec.Layers+1)
	isBoundary[0], isBoundary[q.Spec.Layers] = true, true
	zones := map[string]int{}
	for _, e := range engines {
		s := e.Layers
		if s.Empty() || s.From < 0 || s.To > q.Spec.Layers || q.Avoid[e.ID] || !q.usable(e) {
			continue
		}
		if zones[e.Zone] == 0 {
			zones[e.Zone] = len(zones) + 1
		}
		usable = append(usable, candidate{Engine: e, zone: zones[e.Zone], layerCost: q.layerCost(e)})
		isBoundary[s.From], isBoundary[s.To] = true, true
	}
	var boundaries []int
	index := make([]int, q.Spec.Layers+1)
	for layer, is := range isBoundary {
		if is {
			index[layer] = len(boundaries)
			boundaries = append(boundaries, layer)
		}
	}
	for i := range usable {
		usable[i].endIndex = index[usable[i].Layers.To]
	}
	return search(usable, boundaries, len(zones)+1, q)
}

// usable reports whether the request may run on an engine.
func (q Query) usable(e *citronpool.Engine) bool {
	switch {
	case !e.Healthy(q.Now):
		return false
	case q.CurrentPath.Has(e.ID):
		return true
	}
	return (q.CanWait || e.ThrottledFor(q.Now) == 0) && e.CoolingFor(q.Now) <= q.CoolingWithin
}

// search walks the layer boundaries in ascending order. For each boundary and
// zone it keeps the cheapest partial path that ends there.
func search(engines []candidate, boundaries []int, zones int, q Query) (Path, bool) {
	partials := []partialPath{{prev: -1}}
	best := make([]int, len(boundaries)*zones) // ordinals in partials: index plus one, 0 if there is none
	best[0] = 1
	holders := make([]int, 0, len(engines))
	for at, pos := range boundaries[:len(boundaries)-1] {
		holders = holders[:0]
		for i, e := range engines {
			if e.Layers.From <= pos && pos < e.Layers.To && (pos > 0 || q.FirstID == "" || e.ID == q.FirstID) {
				holders = append(holders, i)
			}
		}
		for zone, ordinal := range best[at*zones : (at+1)*zones] {
			if ordinal == 0 {
				continue
			}
			partial := partials[ordinal-1]
			for _, i := range holders {
				e := &engines[i]
				base := partial.cost + hopCost + q.transferCost(pos, zone, e)
				for next := at + 1; next <= e.endIndex; next++ {
					span := citronmodel.Span{From: pos, To: boundaries[next]}
					c := base + e.layerCost*float64(span.Len()) + q.prefillCost(e.Engine, span)
					known := &best[next*zones+e.zone]
					if *known > 0 && partials[*known-1].cost <= c {
						continue
					}
					partials = append(partials, partialPath{cost: c, prev: ordinal - 1, hop: Hop{e.Engine, span}})
					*known = len(partials)
				}
			}
		}
	}
	last := -1
	for _, ordinal := range best[(len(boundaries)-1)*zones:] {
		if ordinal > 0 && (last < 0 || partials[ordinal-1].cost < partials[last].cost) {
			last = ordinal - 1
		}
	}
	if last < 0 || math.IsInf(partials[last].cost, 1) {
		return nil, false
	}
	return assemble(partials, last), true
}

// transferCost returns the cost of passing a request from a zone to an engine
// that continues at layer pos. from is the number of the zone, see candidate.
func (q Query) transferCost(pos, from int, to *candidate) float64 {
	switch {
	case pos == 0 && to.Zone != q.Zone:
		return otherZoneCost + q.ZoneCost[to.Zone]
	case pos == 0 || from == to.zone:
		return 0
	default:
		return crossZoneCost
	}
}

// prefillCost returns the cost of having an engine process a running request's
// tokens for a layer range. It is zero if the engine has already done so.
func (q Query) prefillCost(e *citronpool.Engine, span citronmodel.Span) float64 {
	if len(q.CurrentPath) == 0 {
		return 0
	}
	for _, h := range q.CurrentPath {
		if h.Engine.ID == e.ID && h.Span.Covers(span) {
			return 0
		}
	}
	if q.MoveCost != nil {
		return newHopCost + q.MoveCost(e)
	}
	return newHopCost
}

// assemble returns the path that ends with the given partial path. An engine
// that would appear twice gets all layers between its two hops: it holds them,
// as its layers are contiguous, and engines refuse a path that names an engine
// twice.
func assemble(partials []partialPath, last int) Path {
	var p Path
	for i := last; partials[i].prev >= 0; i = partials[i].prev {
		p = append(Path{partials[i].hop}, p...)
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
