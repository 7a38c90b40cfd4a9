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
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpool"
)

const (
	// minAccuseGap is the minimum time between two rounds of accusations. Each round
	// goes to the nodes of one or two zones.
	minAccuseGap = 20 * time.Millisecond
)

// Accuse tells the nodes of this node's zone, the nodes of the engine's zone and the
// leader that a refusal named the engine. It does not block, because a request is being
// answered. Accusations within minAccuseGap of the last one are dropped.
func (n *Node) Accuse(e *citronpool.Engine) {
	now := n.clock.Now()
	last := n.lastAccusation.Load()
	if last != nil && now.Sub(*last) < minAccuseGap || !n.lastAccusation.CompareAndSwap(last, &now) {
		return
	}
	s := n.snap.Load()
	update := s.update()
	update.Accused = []string{e.ID}
	for _, m := range s.members {
		if m.Zone == n.settings.Zone || m.Zone == e.Zone || m.Leads {
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
