// Package citronplacer carries out placement: it compares what engines hold
// with what they should hold (citronplace) and gives orders for the
// difference. It keeps no plan: each round starts from the engines' own
// entries, so a new leader goes on where the old one stopped.
package citronplacer

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"syscall"
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
	// Goals are what the leader before wanted engines to hold, by their id.
	Goals map[string]citronmodel.Span
}

// Placer places the layers of all models during one term of a leader.
type Placer struct {
	Orders citronplace.Orders
	Clock  citronclock.Clock
	Log    *slog.Logger
	// Current returns the newest state, nil before the first.
	Current func() *State

	mu sync.Mutex
	// goals are what engines are wanted to hold and do not hold yet.
	goals board
	// dead are engines that did not answer this node's own question, or
	// that several nodes found dead; checked is when one was last asked.
	dead, checked map[string]time.Time
	// doubts is when an engine that only one node misses did not answer.
	doubts map[string]time.Time
	// joined is when an engine was first listed.
	joined map[string]time.Time
	// touched: something that placement depends on has changed since the
	// last decision; decidedFor is the list that it was made for.
	touched    bool
	decidedFor []citronmodel.Engine
	decidedAt  time.Time
	// count and since tell how long the list has had its size.
	count int
	since time.Time
}

// Run places layers until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	p.begin(p.inherit())
	var orders sync.WaitGroup
	defer orders.Wait()
	for ctx.Err() == nil {
		p.round(ctx, &orders)
		_ = p.Clock.Sleep(ctx, placeEvery)
	}
}

// begin sets what a term starts from. The node that leads asks for the goals from
// another goroutine as soon as it leads.
func (p *Placer) begin(goals board) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.goals = goals
	p.dead, p.checked, p.doubts, p.joined = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	p.since = p.Clock.Now()
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
	if p.toDecide(s, now) {
		p.decide(ctx, s, now)
	}
	p.send(ctx, orders, s, now)
}

// decideEvery is how often a decision is made although nothing has changed:
// engines stop being fresh, and those found dead may be back.
const decideEvery = time.Second

// toDecide reports whether there is a reason to decide. A decision about some
// thousand engines, made in each round, would take most of a leader's time.
func (p *Placer) toDecide(s *State, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	same := len(s.Engines) == len(p.decidedFor) && (len(s.Engines) == 0 || &s.Engines[0] == &p.decidedFor[0])
	if same && !p.touched && now.Sub(p.decidedAt) < decideEvery {
		return false
	}
	p.touched, p.decidedFor, p.decidedAt = false, s.Engines, now
	return true
}

func (p *Placer) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = true
}

func (p *Placer) decide(ctx context.Context, s *State, now time.Time) {
	for _, svc := range s.Services {
		if svc.Model == nil {
			continue
		}
		engines, served := p.placeable(s, svc.Name, now)
		if !s.Whole || !anyPlaced(engines) && now.Sub(p.since) < listQuiet {
			p.touch() // it may be time in the next round
			continue
		}
		p.set(ctx, engines, citronplace.Decide(*svc.Model, engines, served), now)
	}
}

// inherit takes over the goals of the leader before, as far as that one told
// of them: what is being loaded already is not planned anew.
func (p *Placer) inherit() board {
	goals := board{}
	s := p.Current()
	if s == nil {
		return goals
	}
	now := p.Clock.Now()
	for id, span := range s.Goals {
		goals[id] = &goal{order: citronplace.Order{Span: span}, next: now}
	}
	return goals
}

// Goals returns what engines are wanted to hold and do not hold yet.
func (p *Placer) Goals() map[string]citronmodel.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.goals) == 0 {
		return nil
	}
	out := map[string]citronmodel.Span{}
	for id, g := range p.goals {
		out[id] = g.order.Span
	}
	return out
}

// set makes a plan's orders the goals of their engines.
func (p *Placer) set(ctx context.Context, engines []citronplace.Engine, plan citronplace.Plan, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range engines {
		o, ok := plan[e.ID]
		if !ok || !p.goals.set(e, o, now) {
			continue
		}
		p.touched = true
		citronevent.Log(ctx, p.Log, citronevent.PlacePlanned, "engine", e.ID, "peer", e.Addr, "kind", e.Kind, "zone", e.Zone, "from", o.From, "to", o.To, "cut", o.Cut, "hadFrom", e.Layers.From, "hadTo", e.Layers.To, "goalFrom", e.Goal.From, "goalTo", e.Goal.To)
	}
}

// mostCalls is how many engines are spoken to at once. The first placement of
// a hundred engines would otherwise open as many connections in one moment,
// which a small machine does not get through before they time out.
const mostCalls = 16

// send gives the orders that are due.
func (p *Placer) send(ctx context.Context, orders *sync.WaitGroup, s *State, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.goals.keep(s.Engines)
	if len(p.joined) > 2*len(s.Engines) {
		p.joined = map[string]time.Time{} // most are gone; the rest is fresh once more
	}
	due := p.goals.due(now)
	for _, e := range s.Engines {
		if !slices.Contains(due, e.ID) || p.goals.calls() >= mostCalls {
			continue
		}
		g := p.goals[e.ID]
		g.calling = true
		o := g.order
		orders.Go(func() {
			err := p.carryOut(ctx, e, o)
			p.mu.Lock()
			p.touched = true
			if p.goals.ended(e.ID, o, err, p.Clock.Now()) {
				p.dead[e.ID] = p.Clock.Now()
			}
			p.mu.Unlock()
			if err != nil {
				citronevent.Log(ctx, p.Log, citronevent.PlaceFailed, "engine", e.ID, "peer", e.Addr, "err", err)
			}
		})
	}
}

// placeable returns the engines of a service that may hold layers, and the
// spans that leaving ones still serve, by zone.
func (p *Placer) placeable(s *State, service string, now time.Time) ([]citronplace.Engine, map[string][]citronmodel.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []citronmodel.Engine
	served := map[string][]citronmodel.Span{}
	for _, e := range s.Engines {
		if e.Service != service || e.Kind == "" {
			continue
		}
		if dead, ok := p.dead[e.ID]; ok && now.Sub(dead) < deadFor {
			delete(p.goals, e.ID)
			continue
		}
		if seen, ok := s.View.ByID(e.ID); ok && seen.Replaced() {
			delete(p.goals, e.ID) // what it held is a hole; what is in its place has an entry of its own
			continue
		}
		if e.Leaving {
			delete(p.goals, e.ID)
			served[e.Zone] = append(served[e.Zone], e.Layers)
			continue
		}
		out = append(out, e)
	}
	placed := p.goals.place(out)
	for i, e := range placed {
		if _, ok := p.joined[e.ID]; !ok {
			p.joined[e.ID] = now
		}
		placed[i].Fresh = now.Sub(p.joined[e.ID]) < freshFor
	}
	return placed, served
}

// freshFor is how long a new engine is kept free for one that is about to
// leave: in a release the old engine says so about a second after its
// replacement has started.
const freshFor = 1500 * time.Millisecond

// deadFor is how long an engine that did not answer is left out of the
// placement; an engine that is gone is off the list by then.
const deadFor = 4 * time.Second

const (
	// checkAgain is the time between two questions to a suspect engine.
	checkAgain = 700 * time.Millisecond
	// checkTimeout is when an engine that does not answer counts as dead.
	checkTimeout = 350 * time.Millisecond
)

const (
	// doubtPause is the time between the two questions that a leader asks an
	// engine that only one node misses; doubtFor is how long the first counts.
	doubtPause = 200 * time.Millisecond
	doubtFor   = 2 * time.Second
)

const (
	// sureReports is how many nodes must have found an engine dead for the
	// leader to wait only sureTimeout for its answer: an engine that has gone
	// dark does not refuse the question, and while it is waited for its zone
	// refuses callers. A sound engine answers within a few milliseconds.
	sureReports = 2
	sureTimeout = 150 * time.Millisecond
	// ownStall is how much longer than its time limit a question may take:
	// if more, this node itself stood still, and the silence proves nothing.
	ownStall = 50 * time.Millisecond
)

// check asks the engines that some node has found dead. Their layers are
// given to others only if they do not answer the leader either, however many
// nodes say so: nodes that are short of processor time miss answers together.
// Believed, they would have whole zones divided anew for sound engines.
func (p *Placer) check(ctx context.Context, s *State, now time.Time) {
	for id, count := range s.Dead {
		e, ok := s.View.ByID(id)
		if !ok || e.Kind == "" || now.Sub(p.checkedAt(id)) < checkAgain {
			continue
		}
		p.mark(p.checked, id, now)
		limit := checkTimeout
		if count >= sureReports {
			limit = sureTimeout
		}
		go p.ask(ctx, e.Engine, limit, count)
	}
}

// ask has an engine taken for dead if it does not answer in time.
func (p *Placer) ask(ctx context.Context, e citronmodel.Engine, limit time.Duration, reports int) {
	asked := p.Clock.Now()
	within, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	st, err := p.Orders.State(within, e.Addr)
	now := p.Clock.Now()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		p.startedAnew(e, st, now)
		return
	}
	if now.Sub(asked) > limit+ownStall {
		p.mark(p.checked, e.ID, time.Time{}) // asked again at once
		return
	}
	if reports < sureReports && !errors.Is(err, syscall.ECONNREFUSED) && !p.doubted(e.ID, now) {
		p.mark(p.checked, e.ID, now.Add(doubtPause-checkAgain)) // asked again soon
		return
	}
	p.mark(p.dead, e.ID, now)
	citronevent.Log(ctx, p.Log, citronevent.EngineDead, "engine", e.ID, "peer", e.Addr, "reports", reports, "err", err)
}

// startedAnew reports whether an engine's answer is of a later start than the
// one that the list tells of, and has this node learn of it: what the list says
// it holds is gone, and its layers are a hole from now on.
func (p *Placer) startedAnew(e citronmodel.Engine, st citronplace.EngineState, now time.Time) bool {
	later := e.Born != 0 && st.Born > e.Born
	forgot := !e.Layers.Empty() && st.Layers.Empty() && st.Accepted == 0 && !st.Busy
	if !later && !forgot {
		return false
	}
	seen, ok := p.Current().View.ByID(e.ID)
	switch {
	case !ok:
	case later:
		seen.StartedAnew(st.Born, now)
	default:
		seen.Replace(now)
	}
	p.touch()
	return true
}

// doubted notes that an engine did not answer, and reports whether it did not
// the last time either.
//
// One silence proves nothing where nobody else complains: a leader short of
// processor time misses answers, and then those of many engines at once, each of
// which would have its zone divided anew. An engine that refuses connections, or
// that several nodes miss, is believed dead at once.
func (p *Placer) doubted(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, ok := p.doubts[id]
	p.doubts[id] = now
	return ok && now.Sub(last) < doubtFor
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
	p.touched = true
}

func anyPlaced(engines []citronplace.Engine) bool {
	for _, e := range engines {
		if !e.Layers.Empty() {
			return true
		}
	}
	return false
}

// errBusy means that the engine carries out an earlier order.
var errBusy = errors.New("engine carries out another order")

// errReborn means that the engine has started anew since its entry was
// written: the order was meant for what it held before.
var errReborn = errors.New("engine has started anew")

// carryOut asks the engine for its state and gives the order that fits it.
func (p *Placer) carryOut(ctx context.Context, e citronmodel.Engine, o citronplace.Order) error {
	st, err := p.Orders.State(ctx, e.Addr)
	if err != nil {
		return err
	}
	if p.startedAnew(e, st, p.Clock.Now()) {
		return errReborn
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
