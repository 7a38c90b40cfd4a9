package citronnode

// Leadership: the node that holds the leader key under a lease places layers. A leader
// stops giving orders when the store reports that its lease has expired.
//
// While the store is unavailable no node can take the lease, but engines still die. So
// a leader that cannot renew its lease continues as long as it hears from more than
// half of the nodes among which it was elected and no other node leads. If the store
// rejects only this node and another node is elected, gossip reports that within a
// second. Conflicting orders that two leaders give in that second do no harm: an order
// states how many orders its engine has accepted so far, and the engine refuses one that
// was meant for an earlier state.

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
	// renewalsPerLease is how many renewals a leader attempts before its lease would
	// expire.
	renewalsPerLease = 3
	// termPoll is how often a leader checks whether its term is over.
	termPoll = 100 * time.Millisecond
	// campaignInterval is the mean wait before a node checks again whether it should
	// campaign. The wait is random, so that nodes campaign one after the other.
	campaignInterval = 300 * time.Millisecond
	// minLeaderCores is the processor time, in cores, that a leader should have. A
	// leader short of processor time does not hear the other nodes while it places
	// layers, and loses its lease. Nodes with less delay their campaign by lowCPUDelay,
	// so that others go first.
	minLeaderCores = 0.3
	lowCPUDelay    = 700 * time.Millisecond
)

// lowCPU reports whether a node has too little processor time for the tasks that a few
// nodes perform for the whole fleet.
func (s Settings) lowCPU() bool { return s.Cores > 0 && s.Cores < minLeaderCores }

// errHeld means that another node holds the leader key.
var errHeld = errors.New("leader key is held by another node")

// errPartitioned means that this node does not reach the engines, while another one does.
var errPartitioned = errors.New("this node does not reach the engines that other nodes reach")

// lead campaigns for the leader key whenever no leader is known, and leads while this
// node holds it, until ctx ends or the node leaves. If the store is unavailable, the
// node that ranks first becomes the acting leader.
func (n *Node) lead(ctx context.Context) {
	for ctx.Err() == nil && !n.leaving.Load() {
		_ = n.clock.Sleep(ctx, campaignInterval/2+rand.N(campaignInterval))
		if n.leaderKnown() || n.shouldLeaveLead() {
			continue
		}
		if n.settings.lowCPU() {
			_ = n.clock.Sleep(ctx, lowCPUDelay)
			if n.leaderKnown() {
				continue
			}
		}
		t, err := n.campaign(ctx)
		switch {
		case err == nil:
			n.serveTerm(ctx, t)
		case !errors.Is(err, errHeld):
			if n.ranksFirst() && n.leaderlessFor() > n.settings.LeaseTTL/2 {
				n.actAsLeader(ctx)
			}
		}
	}
}

// ranksFirst reports whether this node ranks before all ready nodes that it hears from.
// It is false while the node hears from no others: a node that is cut off does not
// lead.
func (n *Node) ranksFirst() bool {
	s := n.snap.Load()
	return len(s.members) > 0 && !slices.ContainsFunc(s.members, func(m citronpeer.Member) bool {
		return reachesEngines(m) && m.Before(s.self)
	})
}

// leaderlessFor returns how long this node has known of no leader.
func (n *Node) leaderlessFor() time.Duration {
	since := n.leaderless.Load()
	if since == nil {
		now := n.clock.Now()
		n.leaderless.CompareAndSwap(nil, &now)
		return 0
	}
	return n.clock.Now().Sub(*since)
}

// actAsLeader places layers without a lease, as the acting leader, until the store
// answers or another node leads. It runs when the leader died while the store was
// unavailable: no node can take the lease then, and without an acting leader the layers
// of a dead engine would stay unserved until the store is back.
func (n *Node) actAsLeader(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	citronevent.Log(ctx, n.log, citronevent.ActingLeader, "members", len(n.snap.Load().members))
	n.leads.Store(true)
	defer n.leads.Store(false)
	wait := n.startPlacing(ctx)
	for !n.leaving.Load() && !n.leaderKnown() && !n.shouldLeaveLead() && ctx.Err() == nil {
		_, err := n.sources.Store.Get(ctx, leaderKey)
		if err == nil || errors.Is(err, citronkv.ErrNotFound) {
			break
		}
		_ = n.clock.Sleep(ctx, campaignInterval)
	}
	cancel()
	wait()
}

// leaderKnown reports whether another node declares itself the leader in gossip. It makes
// no call to the store: its callers read the leader key there only if it returns false.
func (n *Node) leaderKnown() bool {
	for _, m := range n.snap.Load().members {
		if m.Leads && !m.Leaving {
			n.leaderless.Store(nil)
			return true
		}
	}
	return false
}

// term is a node's time as the leader: the lease, and the era in which the store
// granted it. The era is the number of times the store has been restored from an older
// copy. A lease ends with its era.
type term struct {
	lease citronkv.LeaseID
	era   int64
}

// campaign takes the leader key if it is free. It returns errHeld if another node holds
// it.
func (n *Node) campaign(ctx context.Context) (term, error) {
	_, err := n.sources.Store.Get(ctx, leaderKey)
	if err == nil {
		return term{}, errHeld
	}
	if !errors.Is(err, citronkv.ErrNotFound) {
		return term{}, err
	}
	lease, err := n.sources.Store.Grant(ctx, n.settings.LeaseTTL)
	if err != nil {
		return term{}, err
	}
	rev, err := n.sources.Store.Put(ctx, leaderKey, []byte(n.settings.Name), citronkv.Absent, lease)
	if err == nil {
		return term{lease, rev.Era()}, nil
	}
	_ = n.sources.Store.Revoke(ctx, lease) // if this fails, the lease expires
	if errors.Is(err, citronkv.ErrConflict) {
		return term{}, errHeld
	}
	return term{}, err
}

// serveTerm places layers until the lease has expired or another node leads. A leader
// that cannot reach the store continues as described at the top of this file.
func (n *Node) serveTerm(ctx context.Context, t term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	citronevent.Log(ctx, n.log, citronevent.LeaderElected, "lease", t.lease, "era", t.era)
	n.leads.Store(true)
	defer n.leads.Store(false)
	n.leaderless.Store(nil)
	var waitPlacing func()
	lastRenewed := n.clock.Now()
	lastAttempt := lastRenewed
	electedAmong := len(n.snap.Load().members) + 1
	for !n.leaving.Load() && ctx.Err() == nil && n.storeEra() <= t.era {
		if waitPlacing == nil && n.earlierLeasesEnded(t) {
			waitPlacing = n.startPlacing(ctx)
		}
		_ = n.clock.Sleep(ctx, termPoll)
		if n.shouldLeaveLead() {
			citronevent.Log(ctx, n.log, citronevent.LeaderResigned, "lease", t.lease, "era", t.era, "err", errPartitioned)
			break
		}
		if n.clock.Now().Sub(lastAttempt) < n.settings.LeaseTTL/(renewalsPerLease+1) {
			continue
		}
		lastAttempt = n.clock.Now()
		err := n.renew(ctx, t.lease)
		if err == nil {
			lastRenewed = lastAttempt
			continue
		}
		if errors.Is(err, citronkv.ErrLeaseExpired) || n.leaderKnown() || 2*(len(n.snap.Load().members)+1) <= electedAmong && electedAmong > 1 {
			citronevent.Log(ctx, n.log, citronevent.LeaderResigned, "lease", t.lease, "era", t.era, "age", n.clock.Now().Sub(lastRenewed), "heard", len(n.snap.Load().members), "err", err)
			break
		}
	}
	cancel()
	if waitPlacing != nil {
		waitPlacing()
	}
	revokeCtx, done := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer done()
	_ = n.sources.Store.Revoke(revokeCtx, t.lease) // if this fails, the lease expires
}

// renew renews the lease. It waits for the store for at most half of the lease's time
// to live.
func (n *Node) renew(ctx context.Context, lease citronkv.LeaseID) error {
	limit, done := context.WithTimeout(ctx, n.settings.LeaseTTL/2)
	defer done()
	return n.sources.Store.KeepAlive(limit, lease)
}

// earlierLeasesEnded reports whether no node can still lead under a lease of an earlier
// era. That holds if this node saw the era begin at least one lease lifetime ago, or
// did not see it begin: an earlier leader has then heard of the new era from other
// nodes, or has lost contact with them. Without this wait, a leader elected before the
// store was restored would give orders alongside the next leader.
func (n *Node) earlierLeasesEnded(t term) bool {
	s := n.snap.Load()
	return s.list.Revision.Era() == t.era && n.clock.Now().Sub(s.eraAt) >= n.settings.LeaseTTL
}

// startPlacing places layers until ctx ends. The returned function waits until placing
// has stopped.
func (n *Node) startPlacing(ctx context.Context) (wait func()) {
	n.places.Store(true)
	p := &citronplacer.Placer{EngineClient: n.engines, Clock: n.clock, Log: n.log, Current: n.placement}
	targets := p.Targets
	n.targets.Store(&targets)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	return func() {
		<-done
		n.targets.Store(nil)
		n.places.Store(false)
	}
}

// placement returns the state by which layers are placed, or nil before there is one.
func (n *Node) placement() *citronplacer.State {
	s := n.snap.Load()
	if s.traffic == nil {
		return nil
	}
	dead := map[string]int{}
	for _, id := range s.traffic.View.DeadAfter(n.clock.Now().Add(-deadReportAge)) {
		dead[id]++
	}
	for _, m := range s.members {
		if m.Partitioned {
			continue
		}
		for _, id := range m.Dead {
			dead[id]++
		}
	}
	return &citronplacer.State{Services: s.traffic.Table.Services, Engines: s.engines, View: s.traffic.View, ListComplete: s.listComplete, DeadReports: dead, Targets: s.targets}
}
