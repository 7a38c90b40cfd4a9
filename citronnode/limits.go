package citronnode

// Rate limits of engines: what other nodes are told of them, and the permits without
// which nothing is sent to an engine that names one.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronpool"
)

const (
	// permitTimeout bounds the wait for a permit: a request is waiting, and nodes that
	// are well answer within a few milliseconds.
	permitTimeout = 100 * time.Millisecond
	// permitLost is when a node asks again that got no answer.
	permitLost = 300 * time.Millisecond
)

// Limits are the rate limits of engines that this node knows.
func (n *Node) Limits() *citronlimit.Book { return n.limits }

// limitsChanged has other nodes hear of limits, and traffic use the engines again that
// take more than before.
func (n *Node) limitsChanged(eased []string) {
	n.tell()
	t := n.snap.Load().traffic
	if t == nil {
		return
	}
	for _, id := range eased {
		if e, ok := t.View.ByID(id); ok {
			e.Throttle(n.clock.Now(), 0)
		}
	}
}

// learnLimits takes what another node told. Nothing is taken of an invalid message.
func (n *Node) learnLimits(ctx context.Context, from string, told []citronpeer.Limit) {
	if err := n.limits.Learn(told); err != nil {
		n.limitsRejected.Add(1)
		if _, logged := n.limitsRejectedFrom.LoadOrStore(from, true); !logged {
			citronevent.Log(ctx, n.log, citronevent.LimitsRejected, "peer", from, "err", err)
		}
	}
}

// Permit asks for a permit to send an engine a request that can wait for so long.
func (n *Node) Permit(ctx context.Context, e *citronpool.Engine, patience time.Duration) citronpermit.Decision {
	r := n.limits.Of(e.ID)
	if !r.Limited {
		return citronpermit.Granted{}
	}
	dealer, ok := n.dealer(e.ID, e.Zone)
	switch {
	case !ok:
		return citronpermit.Denied{Free: permitLost, Again: permitLost}
	case dealer.Name == n.set.Name:
		return n.permits.Deal(e.ID, r.PerSecond, patience, n.clock.Now())
	}
	p, err := n.peers.AskPermit(ctx, dealer.Peer, citronpeer.PermitRequest{Node: n.set.Name, Limit: r.Wire(e.ID), PatienceMS: patience.Milliseconds()}, permitTimeout)
	if err != nil {
		citronevent.Log(ctx, n.log, citronevent.PermitFailed, "engine", e.ID, "peer", dealer.Peer, "err", err)
		return citronpermit.Denied{Free: permitLost, Again: permitLost}
	}
	n.learnLimits(ctx, dealer.Name, []citronpeer.Limit{p.Limit})
	wait := time.Duration(p.WaitMS) * time.Millisecond
	if p.Granted {
		return citronpermit.Granted{After: wait}
	}
	return citronpermit.Denied{Free: wait, Again: time.Duration(p.AgainMS) * time.Millisecond}
}

// dealer is the node that deals out permits for an engine.
func (n *Node) dealer(engine, zone string) (citronpeer.Member, bool) {
	s := n.snap.Load()
	nodes := append([]citronpeer.Member{s.self}, s.members...)
	return citronpermit.DealerFor(engine, zone, nodes)
}

// Permit implements citronpeer.PermitDealer.
func (a answerer) Permit(q citronpeer.PermitRequest) citronpeer.Permit {
	n := a.n
	n.learnLimits(context.Background(), q.Node, []citronpeer.Limit{q.Limit})
	engine := q.Limit.Engine
	known := n.limits.Of(engine)
	out := citronpeer.Permit{Limit: known.Wire(engine)}
	switch d := n.decide(engine, known, q).(type) {
	case citronpermit.Granted:
		out.Granted, out.WaitMS = true, d.After.Milliseconds()
	case citronpermit.Denied:
		out.WaitMS, out.AgainMS = d.Free.Milliseconds(), d.Again.Milliseconds()
	}
	return out
}

// decide answers another node. One that takes this node for the dealer when it is not
// does not know the same nodes yet.
func (n *Node) decide(engine string, known citronlimit.Record, q citronpeer.PermitRequest) citronpermit.Decision {
	t := n.snap.Load().traffic
	if t == nil {
		return citronpermit.Denied{Free: permitLost, Again: permitLost}
	}
	e, ok := t.View.ByID(engine)
	if !ok {
		return citronpermit.Denied{Free: permitLost, Again: permitLost}
	}
	if dealer, ok := n.dealer(engine, e.Zone); !ok || dealer.Name != n.set.Name {
		return citronpermit.Denied{Free: permitLost, Again: permitLost}
	}
	if !known.Limited {
		return citronpermit.Granted{}
	}
	return n.permits.Deal(engine, known.PerSecond, time.Duration(q.PatienceMS)*time.Millisecond, n.clock.Now())
}
