package citronnode

// Accusations: an engine that refuses a request because of another engine names that
// engine, the accused.
//
// Accusations limit the damage when an engine in the middle of a path dies at peak
// load. The next request through it is refused within a few milliseconds, while the
// streams that run through it only stall, and each node would have to learn of the
// death by a refusal of its own. So the first node that gets a refusal tells the nodes
// that may use the engine, in one message each.

import (
	"context"
	"slices"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpool"
)

const (
	// minAccuseGap is the minimum time between two rounds of accusations. Each round
	// goes to the nodes of one or two zones.
	minAccuseGap = 20 * time.Millisecond
)

// accusations holds the accused engines that other nodes have not been told of. Its zero
// value is ready to use.
type accusations struct {
	mu      sync.Mutex
	pending []*citronpool.Engine
	// scheduled is true while a round is to follow.
	scheduled bool
}

// add adds an engine and reports whether the caller is to send a round now.
func (a *accusations) add(e *citronpool.Engine) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.ContainsFunc(a.pending, func(o *citronpool.Engine) bool { return o.ID == e.ID }) {
		a.pending = append(a.pending, e)
	}
	first := !a.scheduled
	a.scheduled = true
	return first
}

// take returns the engines of the next round. Without any, no round follows.
func (a *accusations) take() []*citronpool.Engine {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.pending
	a.pending, a.scheduled = nil, len(out) > 0
	return out
}

// Accuse tells the nodes of this node's zone, the nodes of the engine's zone and the
// leader that a refusal named the engine. It does not block, because a request is being
// answered. Engines that are accused within minAccuseGap of the last round are named
// together in the next one: adjacent engines that fail together are accused at once.
func (n *Node) Accuse(e *citronpool.Engine) {
	if n.accusations.add(e) {
		n.sendAccusations()
	}
}

// sendAccusations sends a round of accusations, if any are pending, and schedules the next.
func (n *Node) sendAccusations() {
	accused := n.accusations.take()
	if len(accused) == 0 {
		return
	}
	go func() {
		_ = n.clock.Sleep(context.Background(), minAccuseGap)
		n.sendAccusations()
	}()
	s := n.snap.Load()
	update := s.update()
	zones := map[string]bool{n.settings.Zone: true}
	for _, e := range accused {
		update.Accused = append(update.Accused, e.ID)
		zones[e.Zone] = true
	}
	for _, m := range s.members {
		if zones[m.Zone] || m.Leads {
			go n.sendAccusation(m.Peer, update)
		}
	}
}

// sendAccusation sends an accusation to the node at addr and merges its answer.
func (n *Node) sendAccusation(addr string, update citronpeer.GossipState) {
	ctx := context.Background()
	if theirs, err := n.peers.Update(ctx, addr, update); err == nil {
		n.merge(ctx, theirs)
	} // a node that this message does not reach learns it from its own requests
}

// ProbeAccusedThrough sets the function that probes an engine which another node accused,
// if streams of this node run through it. wasAccused is true if the engine was accused
// already. The function must not block. Without it, such an engine is not probed.
func (n *Node) ProbeAccusedThrough(probe func(e *citronpool.Engine, wasAccused bool)) {
	n.probeAccused.Store(&probe)
}

// applyAccused marks the engines that another node accused and probes them.
func (n *Node) applyAccused(ids []string) {
	t := n.snap.Load().traffic
	if t == nil {
		return
	}
	for _, id := range ids {
		if e, ok := t.View.ByID(id); ok {
			now := n.clock.Now()
			wasAccused := e.Accused(now)
			e.Accuse(now)
			if probe := n.probeAccused.Load(); probe != nil {
				(*probe)(e, wasAccused)
			}
		}
	}
}
