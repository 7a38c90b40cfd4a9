package citronnode

// Rate limits of engines: how nodes tell each other of them, and the permits that a
// node needs before it sends a request to an engine that declares a limit.

import (
	"context"
	"math"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronpool"
)

const (
	// permitTimeout bounds the wait for a permit. A request is waiting meanwhile, and
	// healthy nodes answer within a few milliseconds.
	permitTimeout = 100 * time.Millisecond
	// permitRetryDelay is how long a node that got no answer waits before it asks for a
	// permit again.
	permitRetryDelay = 300 * time.Millisecond
)

// Limits returns the rate limits of engines that this node knows.
func (n *Node) Limits() *citronlimit.Registry { return n.limits }

// limitsChanged tells other nodes that limits changed, and stops throttling the engines
// in relaxed, whose limits were raised or removed.
func (n *Node) limitsChanged(relaxed []string) {
	n.notifyPeers()
	t := n.snap.Load().traffic
	if t == nil {
		return
	}
	for _, id := range relaxed {
		if e, ok := t.View.ByID(id); ok {
			e.Throttle(n.clock.Now(), 0)
		}
	}
}

// mergeLimits merges the limits that another node sent. An invalid message is rejected
// as a whole; only the first one of each node is logged.
func (n *Node) mergeLimits(ctx context.Context, from string, limits []citronpeer.Limit) {
	if err := n.limits.Merge(limits); err != nil {
		n.limitsRejected.Add(1)
		if _, logged := n.limitsRejectedFrom.LoadOrStore(from, true); !logged {
			citronevent.Log(ctx, n.log, citronevent.LimitsRejected, "peer", from, "err", err)
		}
	}
}

// Permit asks the permit issuer of an engine for a permit to send it a request that can
// wait for up to maxWait.
func (n *Node) Permit(ctx context.Context, e *citronpool.Engine, maxWait time.Duration) citronpermit.Decision {
	r := n.limits.Get(e.ID)
	if !r.Limited {
		return citronpermit.Granted{}
	}
	issuer, ok := n.permitIssuer(e.ID, e.Zone)
	switch {
	case !ok:
		return citronpermit.Denied{AvailableIn: permitRetryDelay, RetryAfter: permitRetryDelay}
	case issuer.Name == n.settings.Name:
		return n.permits.Issue(e.ID, n.issuedRate(r.PerSecond), maxWait, n.clock.Now())
	}
	p, err := n.peers.AskPermit(ctx, issuer.Peer, citronpeer.PermitRequest{Node: n.settings.Name, Limit: r.Wire(e.ID), MaxWaitMS: maxWait.Milliseconds()}, permitTimeout)
	if err != nil {
		citronevent.Log(ctx, n.log, citronevent.PermitFailed, "engine", e.ID, "peer", issuer.Peer, "err", err)
		return citronpermit.Denied{AvailableIn: permitRetryDelay, RetryAfter: permitRetryDelay}
	}
	n.mergeLimits(ctx, issuer.Name, []citronpeer.Limit{p.Limit})
	wait := time.Duration(p.WaitMS) * time.Millisecond
	if p.Granted {
		return citronpermit.Granted{Wait: wait}
	}
	return citronpermit.Denied{AvailableIn: wait, RetryAfter: time.Duration(p.AskAgainMS) * time.Millisecond}
}

// issuedRate returns the rate at which this node issues permits for an engine that accepts
// perSecond requests per second from all nodes together. Nodes that it does not hear may have an
// issuer of their own.
func (n *Node) issuedRate(perSecond float64) float64 {
	return perSecond * math.Float64frombits(n.heardShare.Load())
}

// permitIssuer returns the node that issues the permits for an engine.
func (n *Node) permitIssuer(engine, zone string) (citronpeer.Member, bool) {
	s := n.snap.Load()
	nodes := append([]citronpeer.Member{s.self}, s.members...)
	return citronpermit.IssuerFor(engine, zone, nodes)
}

// Permit implements citronpeer.PermitIssuer. It issues a permit to another node, or
// says when the node should ask again.
func (h peerHandler) Permit(q citronpeer.PermitRequest) citronpeer.Permit {
	n := h.n
	n.mergeLimits(context.Background(), q.Node, []citronpeer.Limit{q.Limit})
	engine := q.Limit.Engine
	known := n.limits.Get(engine)
	out := citronpeer.Permit{Limit: known.Wire(engine)}
	switch d := n.decidePermit(engine, known, q).(type) {
	case citronpermit.Granted:
		out.Granted, out.WaitMS = true, d.Wait.Milliseconds()
	case citronpermit.Denied:
		out.WaitMS, out.AskAgainMS = d.AvailableIn.Milliseconds(), d.RetryAfter.Milliseconds()
	}
	return out
}

// decidePermit decides a permit request of another node. If this node does not consider
// itself the permit issuer, the two nodes know different members, and the other node is
// told to ask again.
func (n *Node) decidePermit(engine string, known citronlimit.Record, q citronpeer.PermitRequest) citronpermit.Decision {
	t := n.snap.Load().traffic
	if t == nil {
		return citronpermit.Denied{AvailableIn: permitRetryDelay, RetryAfter: permitRetryDelay}
	}
	e, ok := t.View.ByID(engine)
	if !ok {
		return citronpermit.Denied{AvailableIn: permitRetryDelay, RetryAfter: permitRetryDelay}
	}
	if issuer, ok := n.permitIssuer(engine, e.Zone); !ok || issuer.Name != n.settings.Name {
		return citronpermit.Denied{AvailableIn: permitRetryDelay, RetryAfter: permitRetryDelay}
	}
	if !known.Limited {
		return citronpermit.Granted{}
	}
	return n.permits.Issue(engine, n.issuedRate(known.PerSecond), time.Duration(q.MaxWaitMS)*time.Millisecond, n.clock.Now())
}
