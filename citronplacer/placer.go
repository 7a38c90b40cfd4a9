// Package citronplacer executes placement: it compares the layers that engines hold
// with the layers they should hold (citronplace) and sends orders for the difference. An
// order tells an engine which layer range to hold; that range is the engine's target.
// A gap is a range of layers that no engine of a zone holds.
//
// The placer stores no plan. Each round starts from the engines' own entries and the
// targets that they haven't reached yet. The leader publishes these targets to the other
// nodes, so a new leader continues where the previous one stopped.
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
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

const (
	placeInterval = 100 * time.Millisecond
	// listStablePeriod is how long the size of the list of engines must stay
	// the same before a model is placed for the first time. Engines register
	// one after the other, and a plan for half of them would fill their memory
	// with layers and leave no cache.
	listStablePeriod = 1200 * time.Millisecond
)

// State is the immutable input of placement decisions.
type State struct {
	Services map[string]citrontable.Service
	Engines  []citronmodel.Engine
	View     *citronpool.View
	// ListComplete is set if Engines is complete: it lacks no entry that may return.
	ListComplete bool
	// DeadReports is the number of nodes that have recently found an engine dead, by
	// engine ID.
	DeadReports map[string]int
	// Targets holds the previous leader's target layer ranges by engine ID.
	Targets map[string]citronmodel.Span
}

// Placer places the layers of all models during one term of a leader.
type Placer struct {
	EngineClient citronplace.EngineClient
	Clock        citronclock.Clock
	Log          *slog.Logger
	// Current returns the latest state, or nil before there is one.
	Current func() *State

	mu sync.Mutex
	// targets are the layer ranges that engines are to hold but don't hold
	// yet.
	targets targetSet
	// dead holds, by engine ID, when an engine was found dead: it failed the
	// leader's own check or refused too many orders. lastChecked holds when an
	// engine was last checked; checkEngine changes it to check again sooner.
	dead, lastChecked map[string]time.Time
	// silent holds the engines that did not answer the last check.
	silent map[string]silence
	// joined holds when an engine was first listed in this term.
	joined map[string]time.Time
	// dirty is set if an input of placement has changed since the last
	// decision. decidedEngines is the list on which that decision was based.
	dirty          bool
	decidedEngines []citronmodel.Engine
	decidedAt      time.Time
	// listSize is the size of the list, unchanged since listSizeSince.
	listSize      int
	listSizeSince time.Time
}

// Run places layers until ctx is done.
func (p *Placer) Run(ctx context.Context) {
	p.startTerm(p.inheritTargets())
	var orders sync.WaitGroup
	defer orders.Wait()
	for ctx.Err() == nil {
		p.round(ctx, &orders)
		_ = p.Clock.Sleep(ctx, placeInterval)
	}
}

// startTerm sets the initial state of a term. It holds the lock because the leading
// node calls Targets from another goroutine as soon as it leads.
func (p *Placer) startTerm(targets targetSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = targets
	p.dead, p.lastChecked, p.silent, p.joined = map[string]time.Time{}, map[string]time.Time{}, map[string]silence{}, map[string]time.Time{}
	p.listSizeSince = p.Clock.Now()
}

func (p *Placer) round(ctx context.Context, orders *sync.WaitGroup) {
	s := p.Current()
	if s == nil {
		return
	}
	now := p.Clock.Now()
	if len(s.Engines) != p.listSize {
		p.listSize, p.listSizeSince = len(s.Engines), now
	}
	p.checkReportedDead(ctx, s, now)
	if p.shouldDecide(s, now) {
		p.decide(ctx, s, now)
	}
	p.sendDueOrders(ctx, orders, s, now)
}

// decideInterval is the maximum time between two decisions. A decision is due even if
// no input changes, because freshPeriod and deadPeriod of an engine may have passed.
const decideInterval = time.Second

// shouldDecide reports whether a decision is due. A decision for several thousand
// engines in each round would take most of a leader's processor time.
func (p *Placer) shouldDecide(s *State, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	same := len(s.Engines) == len(p.decidedEngines) && (len(s.Engines) == 0 || &s.Engines[0] == &p.decidedEngines[0])
	if same && !p.dirty && now.Sub(p.decidedAt) < decideInterval {
		return false
	}
	p.dirty, p.decidedEngines, p.decidedAt = false, s.Engines, now
	return true
}

func (p *Placer) markDirty() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dirty = true
}

func (p *Placer) decide(ctx context.Context, s *State, now time.Time) {
	for _, svc := range s.Services {
		if svc.Model == nil {
			continue
		}
		engines, served := p.placeableEngines(s, svc.Name, now)
		if !s.ListComplete || !anyPlaced(engines) && now.Sub(p.listSizeSince) < listStablePeriod {
			p.markDirty() // the next round tries again
			continue
		}
		p.assign(ctx, engines, citronplace.Decide(*svc.Model, engines, served), now)
	}
}

// inheritTargets returns the targets that the previous leader published, so that layers
// that are already being loaded aren't planned again.
func (p *Placer) inheritTargets() targetSet {
	targets := targetSet{}
	s := p.Current()
	if s == nil {
		return targets
	}
	now := p.Clock.Now()
	for id, span := range s.Targets {
		targets[id] = &target{order: citronplace.Order{Span: span}, nextAttempt: now}
	}
	return targets
}

// Targets returns the target layer ranges that engines don't hold yet, by engine ID.
func (p *Placer) Targets() map[string]citronmodel.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.targets) == 0 {
		return nil
	}
	out := map[string]citronmodel.Span{}
	for id, t := range p.targets {
		out[id] = t.order.Span
	}
	return out
}

// assign makes the orders of a plan the targets of their engines.
func (p *Placer) assign(ctx context.Context, engines []citronplace.Engine, plan citronplace.Plan, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range engines {
		o, ok := plan[e.ID]
		if !ok || !p.targets.assign(e, o, now) {
			continue
		}
		p.dirty = true
		citronevent.Log(ctx, p.Log, citronevent.PlacePlanned, "engine", e.ID, "peer", e.Addr, "kind", e.Kind, "zone", e.Zone, "from", o.From, "to", o.To, "cut", o.Cut, "hadFrom", e.Layers.From, "hadTo", e.Layers.To, "goalFrom", e.Target.From, "goalTo", e.Target.To)
	}
}

// maxConcurrentCalls limits how many engines are sent an order at the same time.
// Otherwise the first placement of a hundred engines would open a hundred connections at
// once, which time out on a small machine.
const maxConcurrentCalls = 16

// sendDueOrders sends the orders that are due, each in a goroutine.
func (p *Placer) sendDueOrders(ctx context.Context, orders *sync.WaitGroup, s *State, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets.retainListed(s.Engines)
	if len(p.joined) > 2*len(s.Engines) {
		p.joined = map[string]time.Time{} // most entries are of engines no longer listed; the listed ones become fresh again
	}
	due := p.targets.due(now)
	for _, e := range s.Engines {
		if !slices.Contains(due, e.ID) || p.targets.callsInFlight() >= maxConcurrentCalls {
			continue
		}
		t := p.targets[e.ID]
		t.calling = true
		o := t.order
		orders.Go(func() {
			err := p.sendOrder(ctx, e, o)
			p.mu.Lock()
			p.dirty = true
			if p.targets.recordResult(e.ID, o, err, p.Clock.Now()) {
				p.dead[e.ID] = p.Clock.Now()
			}
			p.mu.Unlock()
			if err != nil {
				citronevent.Log(ctx, p.Log, citronevent.PlaceFailed, "engine", e.ID, "peer", e.Addr, "err", err)
			}
		})
	}
}

// placeableEngines returns the engines of a service that may hold layers, and the layer
// ranges that leaving engines still serve, by zone.
func (p *Placer) placeableEngines(s *State, service string, now time.Time) ([]citronplace.Engine, map[string][]citronmodel.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []citronmodel.Engine
	served := map[string][]citronmodel.Span{}
	for _, e := range s.Engines {
		if e.Service != service || e.Kind == "" {
			continue
		}
		if dead, ok := p.dead[e.ID]; ok && now.Sub(dead) < deadPeriod {
			delete(p.targets, e.ID)
			continue
		}
		if seen, ok := s.View.ByID(e.ID); ok && seen.Replaced() {
			delete(p.targets, e.ID) // its layers are a gap; the engine now at its address has its own entry
			continue
		}
		if e.Leaving {
			delete(p.targets, e.ID)
			served[e.Zone] = append(served[e.Zone], e.Layers)
			continue
		}
		out = append(out, e)
	}
	placed := p.targets.withTargets(out)
	for i, e := range placed {
		if _, ok := p.joined[e.ID]; !ok {
			p.joined[e.ID] = now
		}
		placed[i].JustJoined = now.Sub(p.joined[e.ID]) < freshPeriod
	}
	return placed, served
}

// freshPeriod is how long a new engine is reserved to replace an engine that is about
// to leave. During a release the old engine announces that it leaves about a second
// after its replacement has started.
const freshPeriod = 1500 * time.Millisecond

// deadPeriod is how long a dead engine is excluded from placement. An engine that is
// gone has left the list by then.
const deadPeriod = 4 * time.Second

const (
	// recheckInterval is the time between two checks of an engine that is
	// reported dead, and silentCheckInterval the same for one that did not
	// answer the last check.
	recheckInterval     = 700 * time.Millisecond
	silentCheckInterval = 200 * time.Millisecond
	// checkTimeout is the time limit after which a check counts as
	// unanswered.
	checkTimeout = 350 * time.Millisecond
	// maxOverrun is how much longer than its time limit a check may take. If
	// it takes longer, this node itself was stalled, and the missing answer
	// proves nothing.
	maxOverrun = 50 * time.Millisecond
	// maxSilence is how long an engine may leave the leader's checks unanswered
	// without being dead. A sound engine may fall silent for a second or so and
	// then go on.
	maxSilence = 1500 * time.Millisecond
	// silenceTTL is how long a missed check counts without another one.
	silenceTTL = 2 * time.Second
)

// checkReportedDead checks the engines that some node has found dead, and those that did
// not answer the last check. Their layers are given to other engines only if they don't
// answer the leader either, however many nodes report them: nodes that are short of
// processor time miss answers at the same time. Trusting their reports would repartition
// whole zones of healthy engines.
func (p *Placer) checkReportedDead(ctx context.Context, s *State, now time.Time) {
	ids := p.silentEngines(now)
	for id := range s.DeadReports {
		ids[id] = recheckInterval
	}
	for id, interval := range ids {
		if p.isSilent(id) {
			interval = silentCheckInterval
		}
		e, ok := s.View.ByID(id)
		if !ok || e.Kind == "" || now.Sub(p.lastCheckedAt(id)) < interval {
			continue
		}
		p.setTime(p.lastChecked, id, now)
		go p.checkEngine(ctx, e.Engine, s.DeadReports[id])
	}
}

// checkEngine asks an engine for its state and marks it dead if it refuses the connection,
// or if it has not answered any check for maxSilence.
func (p *Placer) checkEngine(ctx context.Context, e citronmodel.Engine, reports int) {
	start := p.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	st, err := p.EngineClient.State(callCtx, e.Addr)
	now := p.Clock.Now()
	switch {
	case ctx.Err() != nil || errors.Is(err, citronupstream.ErrUnreachable):
		return
	case err == nil:
		p.endSilence(e.ID)
		if !p.detectRestart(e, st, now) {
			p.detectLeaving(e, st)
		}
		return
	case now.Sub(start) > checkTimeout+maxOverrun:
		p.setTime(p.lastChecked, e.ID, time.Time{}) // check again in the next round
		return
	}
	silent := p.recordSilence(e.ID, start, now)
	if !errors.Is(err, syscall.ECONNREFUSED) && silent < maxSilence {
		return
	}
	p.setTime(p.dead, e.ID, now)
	citronevent.Log(ctx, p.Log, citronevent.EngineDead, "engine", e.ID, "peer", e.Addr, "reports", reports, "silent", silent, "err", err)
}

// silence is a sequence of checks that an engine did not answer.
type silence struct{ since, last time.Time }

// recordSilence records that an engine did not answer the check from start to now, and
// returns for how long it has not answered.
func (p *Placer) recordSilence(id string, start, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.silent[id]
	if !ok || now.Sub(q.last) > silenceTTL {
		q.since = start
	}
	q.last = now
	p.silent[id] = q
	return now.Sub(q.since)
}

// endSilence records that an engine answered.
func (p *Placer) endSilence(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silent, id)
}

// isSilent reports whether an engine did not answer the last check.
func (p *Placer) isSilent(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.silent[id]
	return ok
}

// silentEngines returns the engines that did not answer the last check, each with the time
// between its checks, and forgets those that have not been checked lately.
func (p *Placer) silentEngines(now time.Time) map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := map[string]time.Duration{}
	for id, q := range p.silent {
		if now.Sub(q.last) > silenceTTL {
			delete(p.silent, id)
			continue
		}
		ids[id] = silentCheckInterval
	}
	return ids
}

// detectRestart reports whether an engine has restarted since its entry in the list was
// written. If so, it marks the engine in the node's view: the listed layers are lost and
// count as a gap from now on. Not every engine reports when it started, so an engine has
// also restarted if it is idle, holds no layers and has accepted no order although the
// list says that it holds layers.
func (p *Placer) detectRestart(e citronmodel.Engine, st citronplace.EngineState, now time.Time) bool {
	startedLater := e.StartMS != 0 && st.StartMS > e.StartMS
	lostLayers := !e.Layers.Empty() && st.Layers.Empty() && st.AcceptedOrders == 0 && !st.Busy
	if !startedLater && !lostLayers {
		return false
	}
	seen, ok := p.Current().View.ByID(e.ID)
	switch {
	case !ok:
	case startedLater:
		seen.MarkRestarted(st.StartMS, now)
	default:
		seen.MarkReplaced(now)
	}
	p.markDirty()
	return true
}

// detectLeaving reports whether an engine says that it is leaving. If so, it marks the
// engine in the node's view, from which the list of engines takes it.
func (p *Placer) detectLeaving(e citronmodel.Engine, st citronplace.EngineState) bool {
	if !st.Leaving {
		return false
	}
	if seen, ok := p.Current().View.ByID(e.ID); ok {
		seen.MarkLeaving()
	}
	return true
}

func (p *Placer) lastCheckedAt(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastChecked[id]
}

// setTime sets the time of an engine in one of the placer's maps and marks the state
// dirty.
func (p *Placer) setTime(times map[string]time.Time, id string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	times[id] = at
	p.dirty = true
}

func anyPlaced(engines []citronplace.Engine) bool {
	for _, e := range engines {
		if !e.Layers.Empty() {
			return true
		}
	}
	return false
}

// errBusy means that the engine is still executing an earlier order.
var errBusy = errors.New("engine is still executing an earlier order")

// errRestarted means that the engine has restarted since its entry was written. The
// order was meant for the layers that it held before.
var errRestarted = errors.New("engine has restarted since its list entry was written")

// errLeaving means that the engine said that it is leaving.
var errLeaving = errors.New("engine says that it is leaving")

// sendOrder asks the engine for its state and sends the order unless the engine has
// restarted, is busy or already holds the layers.
func (p *Placer) sendOrder(ctx context.Context, e citronmodel.Engine, o citronplace.Order) error {
	st, err := p.EngineClient.State(ctx, e.Addr)
	if err != nil {
		return err
	}
	if p.detectRestart(e, st, p.Clock.Now()) {
		return errRestarted
	}
	if p.detectLeaving(e, st) {
		return errLeaving
	}
	if st.Busy {
		return errBusy
	}
	if st.Layers == o.Span {
		return nil
	}
	if err := p.EngineClient.Place(ctx, e, o, st.AcceptedOrders); err != nil {
		return err
	}
	citronevent.Log(ctx, p.Log, citronevent.PlaceOrdered, "engine", e.ID, "peer", e.Addr, "from", o.From, "to", o.To, "accepted", st.AcceptedOrders)
	return nil
}
