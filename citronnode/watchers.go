package citronnode

// Whether this node has to watch the store itself: it does not know the other nodes yet, or
// those that claim to watch have ended, although their last state may say so for another two
// seconds.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
)

const (
	// maxUnwatched is how long after its start a node waits for another node that watches
	// the store before it does so itself, even if it may not know all other nodes yet.
	// Until some node watches, engines that leave get requests from all nodes.
	maxUnwatched = 800 * time.Millisecond
	// minStartWait is the minimum time for which a node asks other nodes before it
	// watches the store: a gossip round or two. A node without seeds waits no longer
	// than that.
	minStartWait = 500 * time.Millisecond
	// stabilizePoll is how often a starting node checks whether it has stabilized.
	stabilizePoll = 100 * time.Millisecond
)

// watches reports whether a member is known to watch the store.
func (n *Node) watches(m citronpeer.Member) bool {
	return m.Watching && !n.refusals.Refuses(m.Peer)
}

// storeUnwatched reports whether no node that this one hears of watches the store, although
// this node has been running for maxUnwatched. A node that is among the first checks those
// that claim to watch: they may all have ended a moment ago.
func (n *Node) storeUnwatched(ctx context.Context) bool {
	now := n.clock.Now()
	if now.Sub(n.startedAt) < maxUnwatched {
		return false
	}
	s, first, unwatched := n.snap.Load(), n.rank() < maxWatchers, true
	for _, m := range s.members {
		if !n.watches(m) || s.stale[m.Name] {
			continue
		}
		unwatched = false
		if first && n.refusals.BeginCheck(m.Peer, now) {
			go n.exchangeUpdate(ctx, m.Peer)
		}
	}
	return unwatched
}

// stabilized reports whether this node knows the other nodes, or that there are none.
// Once true, it stays true.
func (n *Node) stabilized() bool {
	if n.hasStabilized.Load() {
		return true
	}
	if n.clock.Now().Sub(n.startedAt) < minStartWait {
		return false
	}
	if len(n.seeds()) > 0 && !n.stabilizer.Done() {
		return false
	}
	n.hasStabilized.Store(true)
	return true
}
