package citronnode

// Leadership: the node that holds a key under a lease places layers. A
// leader that cannot renew its lease stops giving orders before the lease
// can have ended, so that two nodes do not place at once; what an order of
// the old one still does is met by the engines' own order counts.

import (
	"context"
	"math/rand/v2"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

const (
	leaderKey = "deck/leader"
	// renewals a lease lives through.
	renewals = 3
	// campaignWait is how long a node waits before it looks again whether
	// it should lead. Nodes that wait as long try one after the other.
	campaignWait = 300 * time.Millisecond
)

// errHeld means that the key of the leader is held.
var errHeld = errors.New("another node leads")

func (n *Node) lead(ctx context.Context) {
	for ctx.Err() == nil && !n.leaving.Load() {
		_ = n.clock.Sleep(ctx, campaignWait/2+rand.N(campaignWait))
		if n.leaderKnown() {
			continue
		}
		lease, err := n.campaign(ctx)
		if err != nil {
			if !errors.Is(err, errHeld) {
				n.trouble()
			}
			continue
		}
		n.reign(ctx, lease)
	}
}

// leaderKnown reports whether another node says that it leads. Only when
// none does is the store asked.
func (n *Node) leaderKnown() bool {
	for _, m := range n.snap.Load().members {
		if m.Leads && !m.Leaving {
			return true
		}
	}
	return false
}

// campaign takes the key if it is free.
func (n *Node) campaign(ctx context.Context) (citronkv.LeaseID, error) {
	_, err := n.src.Store.Get(ctx, leaderKey)
	if err == nil {
		return 0, errHeld
	}
	if !errors.Is(err, citronkv.ErrNotFound) {
		return 0, err
	}
	lease, err := n.src.Store.Grant(ctx, n.set.LeaseTTL)
	if err != nil {
		return 0, err
	}
	_, err = n.src.Store.Put(ctx, leaderKey, []byte(n.set.Name), citronkv.Absent, lease)
	if err == nil {
		return lease, nil
	}
	_ = n.src.Store.Revoke(ctx, lease) // it ends by itself otherwise
	if errors.Is(err, citronkv.ErrConflict) {
		return 0, errHeld
	}
	return 0, err
}

// reign places layers while the lease is renewed in time.
func (n *Node) reign(ctx context.Context, lease citronkv.LeaseID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	citronevent.Log(ctx, n.log, citronevent.LeaderElected, "lease", lease)
	n.leads.Store(true)
	defer n.leads.Store(false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.place(ctx)
	}()
	renewed := n.clock.Now()
	for !n.leaving.Load() {
		_ = n.clock.Sleep(ctx, n.set.LeaseTTL/(renewals+1))
		asked := n.clock.Now()
		if ctx.Err() != nil {
			break
		}
		limit, stop := context.WithDeadline(ctx, renewed.Add(n.set.LeaseTTL*renewals/(renewals+1)))
		err := n.src.Store.KeepAlive(limit, lease)
		stop()
		if err == nil {
			renewed = asked
			continue
		}
		if errors.Is(err, citronkv.ErrLeaseExpired) || n.clock.Now().Sub(renewed) > n.set.LeaseTTL*renewals/(renewals+1) {
			citronevent.Log(ctx, n.log, citronevent.LeaderResigned, "lease", lease, "age", n.clock.Now().Sub(renewed), "err", err)
			break
		}
	}
	cancel()
	<-done
	end, stop := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer stop()
	_ = n.src.Store.Revoke(end, lease) // it ends by itself otherwise
}
