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
	// campaignEvery is how often a node that does not lead looks whether
	// the key is free, beside its watch on it.
	campaignWait = 300 * time.Millisecond
)

func (n *Node) lead(ctx context.Context) {
	for ctx.Err() == nil {
		if n.leaving.Load() {
			return
		}
		lease, err := n.campaign(ctx)
		if err != nil {
			_ = n.clock.Sleep(ctx, campaignWait+rand.N(campaignWait))
			continue
		}
		n.reign(ctx, lease)
	}
}

// campaign waits until the key is free and takes it.
func (n *Node) campaign(ctx context.Context) (citronkv.LeaseID, error) {
	_, rev, err := n.src.Store.Range(ctx, leaderKey)
	if err != nil {
		return 0, err
	}
	for {
		it, err := n.src.Store.Get(ctx, leaderKey)
		if errors.Is(err, citronkv.ErrNotFound) {
			break
		}
		if err != nil {
			return 0, err
		}
		if _, rev, err = n.src.Store.Watch(ctx, leaderKey, max(rev, it.Revision)); err != nil {
			return 0, err
		}
	}
	// A short random wait lets the nodes try one after the other.
	_ = n.clock.Sleep(ctx, rand.N(campaignWait))
	lease, err := n.src.Store.Grant(ctx, n.set.LeaseTTL)
	if err != nil {
		return 0, err
	}
	if _, err := n.src.Store.Put(ctx, leaderKey, []byte(n.set.Name), citronkv.Absent, lease); err != nil {
		_ = n.src.Store.Revoke(ctx, lease) // it ends by itself otherwise
		return 0, err
	}
	return lease, nil
}

// reign places layers while the lease is renewed in time.
func (n *Node) reign(ctx context.Context, lease citronkv.LeaseID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	citronevent.Log(ctx, n.log, citronevent.LeaderElected, "lease", lease)
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
