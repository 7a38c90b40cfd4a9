package citronnode

// Nodes whose address refuses connections. Their process has ended, although their last
// state may say for another two seconds that they watch the store.

import (
	"context"
	"sync"
	"syscall"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cockroachdb/errors"
)

// reach records which peer addresses refused the last connection. Its zero value is ready
// to use.
type reach struct {
	mu sync.Mutex
	// refused holds the addresses that did, checked when an address was last checked.
	refused map[string]bool
	checked map[string]time.Time
}

// record records the result of a message to the node at addr. An error other than a refused
// connection shows nothing.
func (r *reach) record(addr string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		delete(r.refused, addr)
	case errors.Is(err, syscall.ECONNREFUSED):
		if r.refused == nil {
			r.refused = map[string]bool{}
		}
		r.refused[addr] = true
	}
}

// refuses reports whether the node at addr refused the last connection.
func (r *reach) refuses(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[addr]
}

// beginCheck reports whether the node at addr is due to be checked, and if so records that
// it is.
func (r *reach) beginCheck(addr string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checked[addr]) < watcherCheckInterval {
		return false
	}
	if r.checked == nil {
		r.checked = map[string]time.Time{}
	}
	r.checked[addr] = now
	return true
}

// forget drops what is known of the address of a node that has been lost, or has come back
// or changed since.
func (r *reach) forget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.refused, addr)
	delete(r.checked, addr)
}

const (
	// maxUnwatched is how long after its start a node waits for another node that watches
	// the store before it does so itself, even if it may not know all other nodes yet.
	// Until some node watches, engines that leave get requests from all nodes.
	maxUnwatched = 800 * time.Millisecond
	// watcherCheckInterval is the minimum time between two checks of a node that claims to
	// watch the store.
	watcherCheckInterval = 300 * time.Millisecond
)

// watches reports whether a member is known to watch the store.
func (n *Node) watches(m citronpeer.Member) bool {
	return m.Watching && !n.reach.refuses(m.Peer)
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
		if first && n.reach.beginCheck(m.Peer, now) {
			go n.exchangeUpdate(ctx, m.Peer)
		}
	}
	return unwatched
}
