package citronnode

// Leadership: the node that holds a key under a lease places layers. A
// leader whose lease has ended stops giving orders.
//
// While the store is away nobody can take the lease, and engines die all the
// same. So a leader that cannot renew goes on as long as it hears most of
// the nodes that it was elected among and none of them leads. If the store
// only turned this node away and another was elected, gossip tells it within
// a second; what two leaders order in that second is met by the engines'
// order counts: an order that was meant for an earlier state is refused.

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronplacer"
	"github.com/cockroachdb/errors"
)

const (
	leaderKey = "deck/leader"
	// renewals a lease lives through.
	renewals = 3
	// termPoll is how often a leader looks whether its term is over.
	termPoll = 100 * time.Millisecond
	// campaignWait is how long a node waits before it looks again whether
	// it should lead. Nodes that wait as long try one after the other.
	campaignWait = 300 * time.Millisecond
	// leaderCores is what a leader should have: one that is short of processor
	// time while it places engines is deaf to the others, and loses its lease.
	// Nodes with less let the others try first, for weakWait.
	leaderCores = 0.3
	weakWait    = 700 * time.Millisecond
)

// weak reports whether a node should leave to others what a few do for all.
func (s Settings) weak() bool { return s.Cores > 0 && s.Cores < leaderCores }

// errHeld means that the key of the leader is held.
var errHeld = errors.New("another node leads")

func (n *Node) lead(ctx context.Context) {
	for ctx.Err() == nil && !n.leaving.Load() {
		_ = n.clock.Sleep(ctx, campaignWait/2+rand.N(campaignWait))
		if n.leaderKnown() {
			continue
		}
		if n.set.weak() {
			_ = n.clock.Sleep(ctx, weakWait)
			if n.leaderKnown() {
				continue
			}
		}
		t, err := n.campaign(ctx)
		switch {
		case err == nil:
			n.serveTerm(ctx, t)
		case !errors.Is(err, errHeld):
			if n.first() && n.noLeaderFor() > n.set.LeaseTTL/2 {
				n.standIn(ctx)
			}
		}
	}
}

// first reports whether this node comes before all nodes that it hears, and
// hears others at all. A node cut off from all does not lead.
func (n *Node) first() bool {
	s := n.snap.Load()
	return len(s.members) > 0 && !slices.ContainsFunc(s.members, func(m citronpeer.Member) bool {
		return m.Ready && !m.Leaving && m.Before(s.self)
	})
}

// noLeaderFor is how long this node has heard of no leader.
func (n *Node) noLeaderFor() time.Duration {
	since := n.leaderless.Load()
	if since == nil {
		now := n.clock.Now()
		n.leaderless.CompareAndSwap(nil, &now)
		return 0
	}
	return n.clock.Now().Sub(*since)
}

// standIn places layers without a lease: the leader died while the store was
// away, so that nobody can take the lease, and an engine's hole would stay
// open until the store is back. It ends when the store answers or another
// node leads.
func (n *Node) standIn(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	citronevent.Log(ctx, n.log, citronevent.LeaderStandsIn, "members", len(n.snap.Load().members))
	n.leads.Store(true)
	defer n.leads.Store(false)
	wait := n.startPlacing(ctx)
	for !n.leaving.Load() && !n.leaderKnown() && ctx.Err() == nil {
		_, err := n.src.Store.Get(ctx, leaderKey)
		if err == nil || errors.Is(err, citronkv.ErrNotFound) {
			break
		}
		_ = n.clock.Sleep(ctx, campaignWait)
	}
	cancel()
	wait()
}

// leaderKnown reports whether another node says that it leads. Only when
// none does is the store asked.
func (n *Node) leaderKnown() bool {
	for _, m := range n.snap.Load().members {
		if m.Leads && !m.Leaving {
			n.leaderless.Store(nil)
			return true
		}
	}
	return false
}

// term is the leadership of a node: the lease, and the store's era in which it
// was granted. A lease ends with its era.
type term struct {
	lease citronkv.LeaseID
	era   int64
}

// campaign takes the key if it is free.
func (n *Node) campaign(ctx context.Context) (term, error) {
	_, err := n.src.Store.Get(ctx, leaderKey)
	if err == nil {
		return term{}, errHeld
	}
	if !errors.Is(err, citronkv.ErrNotFound) {
		return term{}, err
	}
	lease, err := n.src.Store.Grant(ctx, n.set.LeaseTTL)
	if err != nil {
		return term{}, err
	}
	rev, err := n.src.Store.Put(ctx, leaderKey, []byte(n.set.Name), citronkv.Absent, lease)
	if err == nil {
		return term{lease, rev.Era()}, nil
	}
	_ = n.src.Store.Revoke(ctx, lease) // it ends by itself otherwise
	if errors.Is(err, citronkv.ErrConflict) {
		return term{}, errHeld
	}
	return term{}, err
}

// serveTerm places layers while the lease is renewed in time.
func (n *Node) serveTerm(ctx context.Context, t term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	citronevent.Log(ctx, n.log, citronevent.LeaderElected, "lease", t.lease, "era", t.era)
	n.leads.Store(true)
	defer n.leads.Store(false)
	var stop func()
	renewed := n.clock.Now()
	askedAt := renewed
	among := len(n.snap.Load().members) + 1
	for !n.leaving.Load() && ctx.Err() == nil && n.storeEra() <= t.era {
		if stop == nil && n.earlierLeasesEnded(t) {
			stop = n.startPlacing(ctx)
		}
		_ = n.clock.Sleep(ctx, termPoll)
		if n.clock.Now().Sub(askedAt) < n.set.LeaseTTL/(renewals+1) {
			continue
		}
		askedAt = n.clock.Now()
		err := n.renew(ctx, t.lease)
		if err == nil {
			renewed = askedAt
			continue
		}
		if errors.Is(err, citronkv.ErrLeaseExpired) || n.leaderKnown() || 2*(len(n.snap.Load().members)+1) <= among && among > 1 {
			citronevent.Log(ctx, n.log, citronevent.LeaderResigned, "lease", t.lease, "era", t.era, "age", n.clock.Now().Sub(renewed), "heard", len(n.snap.Load().members), "err", err)
			break
		}
	}
	cancel()
	if stop != nil {
		stop()
	}
	end, done := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer done()
	_ = n.src.Store.Revoke(end, t.lease) // it ends by itself otherwise
}

func (n *Node) renew(ctx context.Context, lease citronkv.LeaseID) error {
	limit, done := context.WithTimeout(ctx, n.set.LeaseTTL/2)
	defer done()
	return n.src.Store.KeepAlive(limit, lease)
}

// earlierLeasesEnded reports whether no node can lead any more under a lease of an
// era before: by then it has heard of the new era from the others, or lost them. A
// leader whose store returned would otherwise give orders beside the next.
func (n *Node) earlierLeasesEnded(t term) bool {
	s := n.snap.Load()
	return s.list.Revision.Era() == t.era && n.clock.Now().Sub(s.eraAt) >= n.set.LeaseTTL
}

// startPlacing places layers until ctx ends; the result waits for that.
func (n *Node) startPlacing(ctx context.Context) (wait func()) {
	n.places.Store(true)
	p := &citronplacer.Placer{Orders: n.src.Orders, Clock: n.clock, Log: n.log, Current: n.placement}
	goals := p.Goals
	n.goals.Store(&goals)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	return func() {
		<-done
		n.goals.Store(nil)
		n.places.Store(false)
	}
}

// placement is what layers are placed by, nil before there is any.
func (n *Node) placement() *citronplacer.State {
	s := n.snap.Load()
	if s.traffic == nil {
		return nil
	}
	dead := map[string]int{}
	for _, id := range s.traffic.View.Dead(n.clock.Now().Add(-deadNews)) {
		dead[id]++
	}
	for _, m := range s.members {
		for _, id := range m.Dead {
			dead[id]++
		}
	}
	return &citronplacer.State{Services: s.traffic.Table.Services, Engines: s.engines, View: s.traffic.View, Whole: s.listWhole, Dead: dead, Goals: s.goals}
}
