// Package citronplacer carries out placement: it compares what engines hold
// with what they should hold (citronplace) and gives orders for the
// difference. It keeps no plan: each round starts from the engines' own
// entries, so a new leader goes on where the old one stopped.
package citronplacer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citrontable"
	"github.com/cockroachdb/errors"
)

const (
	placeEvery = 100 * time.Millisecond
	// listQuiet is how long the list of engines must not have grown before
	// a model is placed for the first time: engines register one after the
	// other, and a plan for half of them would leave those no cache.
	listQuiet = 1200 * time.Millisecond
	// orderLife is how long an order that an engine accepted is trusted to
	// be under way: it may wait for running requests, which last some
	// seconds, before it loads. After that the engine is asked again.
	orderLife = 8 * time.Second
	// orderAgain is how long an engine that did not take an order is left
	// alone: another order may be under way there.
	orderAgain = 700 * time.Millisecond
)

// State is what placement is decided by. It is immutable.
type State struct {
	Services map[string]citrontable.Service
	Engines  []citronmodel.Engine
	View     *citronpool.View
	// Whole: no entries are missing from Engines that may come back.
	Whole bool
	// Dead is how many nodes have just found an engine dead, by its id.
	Dead map[string]int
}

// Placer places the layers of all models during one term of a leader.
type Placer struct {
	Orders citronplace.Orders
	Clock  citronclock.Clock
	Log    *slog.Logger
	// Current returns the newest state, nil before the first.
	Current func() *State

	mu sync.Mutex
	// pending are the newest orders by engine.
	pending map[string]pendingOrder
	// dead are engines that did not answer this node's own question, or
	// that several nodes found dead; checked is when one was last asked.
	dead, checked map[string]time.Time
	// count and since tell how long the list has had its size.
	count int
	since time.Time
}

// pendingOrder is the newest order to an engine.
type pendingOrder struct {
	goal    citronmodel.Span
	at      time.Time
	running bool
	// failed: the engine did not take it, or is not known to have.
	failed bool
}

// Run places layers until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	p.pending, p.dead, p.checked = map[string]pendingOrder{}, map[string]time.Time{}, map[string]time.Time{}
	p.since = p.Clock.Now()
	var orders sync.WaitGroup
	defer orders.Wait()
	for ctx.Err() == nil {
		p.round(ctx, &orders)
		_ = p.Clock.Sleep(ctx, placeEvery)
	}
}

func (p *Placer) round(ctx context.Context, orders *sync.WaitGroup) {
	s := p.Current()
	if s == nil {
		return
	}
	now := p.Clock.Now()
	if len(s.Engines) != p.count {
		p.count, p.since = len(s.Engines), now
	}
	p.check(ctx, s, now)
	for _, svc := range s.Services {
		if svc.Model == nil {
			continue
		}
		engines, served := p.placeable(s, svc.Name, now)
		if !s.Whole || !anyPlaced(engines) && now.Sub(p.since) < listQuiet {
			continue
		}
		for id, o := range citronplace.Decide(*svc.Model, engines, served) {
			p.order(ctx, orders, engines, id, o, now)
		}
	}
}

// placeable returns the engines of a service that may hold layers, and the
// spans that leaving ones still serve, by zone.
func (p *Placer) placeable(s *State, service string, now time.Time) ([]citronplace.Engine, map[string][]citronmodel.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []citronplace.Engine
	served := map[string][]citronmodel.Span{}
	for _, e := range s.Engines {
		if e.Service != service || e.Kind == "" {
			continue
		}
		if dead, ok := p.dead[e.ID]; ok && now.Sub(dead) < deadFor {
			continue
		}
		if e.Leaving {
			served[e.Zone] = append(served[e.Zone], e.Layers)
			continue
		}
		out = append(out, citronplace.Engine{Engine: e, Goal: p.goal(e, now)})
	}
	return out, served
}

// goal is what an engine holds once its newest order is carried out.
func (p *Placer) goal(e citronmodel.Engine, now time.Time) citronmodel.Span {
	o, ok := p.pending[e.ID]
	if !ok || o.failed {
		return e.Layers
	}
	if !o.running && (o.goal == e.Layers || now.Sub(o.at) > orderLife) {
		delete(p.pending, e.ID)
		return e.Layers
	}
	return o.goal
}

// deadFor is how long an engine that did not answer is left out of the
// placement; an engine that is gone is off the list by then.
const deadFor = 4 * time.Second

const (
	// checkAgain is the time between two questions to a suspect engine.
	checkAgain = 700 * time.Millisecond
	// checkTimeout is when an engine that does not answer counts as dead.
	checkTimeout = 350 * time.Millisecond
)

// sureReports is how many nodes must have found an engine dead for the
// leader to believe it without asking: a question to an engine that has gone
// dark takes 350 ms, in which its zone refuses callers.
const sureReports = 2

// check asks the engines that some node has found dead. Their layers are
// given to others only if they do not answer the leader either, or several
// nodes say so: one node may have lost its path to an engine that is well
// for all others.
func (p *Placer) check(ctx context.Context, s *State, now time.Time) {
	for id, count := range s.Dead {
		e, ok := s.View.ByID(id)
		if !ok || e.Kind == "" {
			continue
		}
		if count >= sureReports {
			p.mark(p.dead, id, now)
			continue
		}
		if now.Sub(p.checkedAt(id)) < checkAgain {
			continue
		}
		p.mark(p.checked, id, now)
		go func() {
			ask, cancel := context.WithTimeout(ctx, checkTimeout)
			defer cancel()
			if _, err := p.Orders.State(ask, e.Addr); err != nil && ctx.Err() == nil {
				p.mark(p.dead, id, p.Clock.Now())
				citronevent.Log(ctx, p.Log, citronevent.EngineDead, "engine", id, "peer", e.Addr, "err", err)
			}
		}()
	}
}

func (p *Placer) checkedAt(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checked[id]
}

func (p *Placer) mark(times map[string]time.Time, id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	times[id] = now
}

func anyPlaced(engines []citronplace.Engine) bool {
	for _, e := range engines {
		if !e.Layers.Empty() {
			return true
		}
	}
	return false
}

// order has one engine hold a span, unless an order to it is under way.
func (p *Placer) order(ctx context.Context, orders *sync.WaitGroup, engines []citronplace.Engine, id string, o citronplace.Order, now time.Time) {
	for _, e := range engines {
		if e.ID != id || e.Goal == o.Span || !p.begin(id, o.Span, now) {
			continue
		}
		citronevent.Log(ctx, p.Log, citronevent.PlacePlanned, "engine", e.ID, "peer", e.Addr, "kind", e.Kind, "zone", e.Zone, "from", o.From, "to", o.To, "cut", o.Cut, "hadFrom", e.Layers.From, "hadTo", e.Layers.To, "goalFrom", e.Goal.From, "goalTo", e.Goal.To)
		orders.Go(func() {
			err := p.carryOut(ctx, e.Engine, o)
			p.end(id, err)
			if err != nil {
				citronevent.Log(ctx, p.Log, citronevent.PlaceFailed, "engine", e.ID, "peer", e.Addr, "err", err)
			}
		})
	}
}

// begin notes an order, or returns false if the engine is to be left alone.
func (p *Placer) begin(id string, goal citronmodel.Span, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o, ok := p.pending[id]; ok && (o.running || o.failed && now.Sub(o.at) < orderAgain) {
		return false
	}
	p.pending[id] = pendingOrder{goal: goal, at: now, running: true}
	return true
}

// end notes what became of an order.
func (p *Placer) end(id string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.pending[id]
	o.running, o.failed, o.at = false, err != nil, p.Clock.Now()
	p.pending[id] = o
}

// errBusy means that the engine carries out an earlier order.
var errBusy = errors.New("engine carries out another order")

// carryOut asks the engine for its state and gives the order that fits it.
func (p *Placer) carryOut(ctx context.Context, e citronmodel.Engine, o citronplace.Order) error {
	st, err := p.Orders.State(ctx, e.Addr)
	if err != nil {
		return err
	}
	if st.Busy {
		return errBusy
	}
	if st.Layers == o.Span {
		return nil
	}
	if err := p.Orders.Place(ctx, e, o, st.Accepted); err != nil {
		return err
	}
	citronevent.Log(ctx, p.Log, citronevent.PlaceOrdered, "engine", e.ID, "peer", e.Addr, "from", o.From, "to", o.To, "accepted", st.Accepted)
	return nil
}
