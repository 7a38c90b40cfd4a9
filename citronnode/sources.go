package citronnode

// How a node reads and watches the store, and registers its own address there.

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

const (
	// minRetryWait and maxRetryWait are the least and the greatest mean wait of follow
	// after a failed call to the store. All nodes see an outage at the same time, so the
	// wait is random, from half to one and a half times the mean, and grows: the nodes
	// must not all call the store again at the same moment.
	minRetryWait = 150 * time.Millisecond
	maxRetryWait = 800 * time.Millisecond
	// watchBatchDelay is how long changes to the list of engines are collected before
	// the next watch, because each watch is a billed call.
	watchBatchDelay = 150 * time.Millisecond
)

// follow keeps a prefix of the store up to date. It reads the whole prefix and, if this
// node is to watch, watches it from that revision on. If the store has dropped the
// history since then, follow reads the whole prefix again.
func (n *Node) follow(ctx context.Context, prefix string, config bool) {
	wait := minRetryWait
	down, watching := false, false
	setWatching := func(ok bool) {
		if ok && !watching {
			n.watchedPrefixes.Add(1)
		}
		if !ok && watching {
			n.watchedPrefixes.Add(-1)
		}
		watching = ok
	}
	n.initialRead(ctx, prefix, config)
	quarantineLoaded := config // only the goroutine that follows the list reads the quarantine records
	for ctx.Err() == nil {
		if !n.mayWatch(ctx) {
			continue
		}
		quarantineLoaded = quarantineLoaded || n.loadQuarantine(ctx) == nil // after a failure, the next iteration reads them
		err := n.followOnce(ctx, prefix, config, func() {
			setWatching(true)
			wait = minRetryWait
			if down {
				down = false
				citronevent.Log(ctx, n.log, citronevent.StoreBack, "step", prefix)
			}
		})
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, citronkv.ErrCompacted) {
			continue
		}
		setWatching(false)
		if errors.Is(err, errStandby) {
			continue
		}
		if !down {
			down = true
			citronevent.Log(ctx, n.log, citronevent.StoreLost, "step", prefix, "err", err)
		}
		_ = n.clock.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(wait*2, maxRetryWait)
	}
}

const (
	// initialReaders is the number of nodes that keep reading a missing document from a
	// store that did not answer. The other nodes get it from them.
	initialReaders = 8
	// initialReadInterval is the maximum wait between two such reads. Callers wait for
	// the document.
	initialReadInterval = 200 * time.Millisecond
)

// initialRead loads a whole prefix when the node starts, from the store or from other
// nodes. If all nodes start while the store is unavailable, none of them has the
// document. Without this read, each of them would first determine which nodes are to
// watch, and callers would be rejected meanwhile although the store is back.
func (n *Node) initialRead(ctx context.Context, prefix string, config bool) {
	failed := false
	for ctx.Err() == nil && !n.has(config) {
		if n.rank() < initialReaders {
			if _, err := n.read(ctx, prefix, config); err == nil {
				if failed {
					n.pushInitialDocument(ctx, config)
				}
				return
			}
			failed = true
		}
		_ = n.clock.Sleep(ctx, initialReadInterval/2+rand.N(initialReadInterval/2))
	}
}

// applyPollInterval is how often, and maxApplyPolls how many times, a node checks
// whether the document that it read is in effect. The store may hold no document or an
// invalid one.
const (
	applyPollInterval = 2 * time.Millisecond
	maxApplyPolls     = 50
)

// pushInitialDocument immediately announces a document that other nodes also wait for.
// Through gossip rounds it would reach them one after the other while callers are
// rejected.
func (n *Node) pushInitialDocument(ctx context.Context, config bool) {
	for i := 0; i < maxApplyPolls && !n.has(config); i++ {
		_ = n.clock.Sleep(ctx, applyPollInterval)
	}
	if !n.has(config) {
		return
	}
	members := n.snap.Load().members
	for _, m := range members[:min(len(members), announceFanout)] {
		go n.exchangeUpdate(ctx, m.Peer)
	}
}

// has reports whether the node has a configuration, or a list if config is false.
func (n *Node) has(config bool) bool {
	s := n.snap.Load()
	if config {
		return s.config.Version > 0
	}
	return !s.list.Revision.IsZero()
}

// read loads a whole prefix from the store. A node that starts does so at once,
// regardless of which nodes watch, because callers wait for it.
func (n *Node) read(ctx context.Context, prefix string, config bool) (citronkv.Revision, error) {
	items, rev, err := n.sources.Store.Range(ctx, prefix)
	if err != nil {
		return citronkv.Revision{}, err
	}
	if config {
		n.sendConfig(ctx, items)
	} else {
		n.sendToLoop(ctx, listSnapshot{items: items, revision: rev, source: sourceStore})
	}
	return rev, nil
}

// followOnce reads a whole prefix and then watches it, until ctx ends, a call to the store
// fails, or enough other nodes watch. It calls onSuccess after each successful call.
func (n *Node) followOnce(ctx context.Context, prefix string, config bool, onSuccess func()) error {
	rev, err := n.read(ctx, prefix, config)
	if err != nil {
		return err
	}
	onSuccess()
	for ctx.Err() == nil {
		if n.watchersBefore() >= maxWatchers {
			return errStandby
		}
		events, next, err := n.watch(ctx, prefix, rev)
		if err != nil {
			return err
		}
		onSuccess()
		if next.After(rev) {
			rev = next
		}
		if config {
			n.sendConfig(ctx, events)
			continue
		}
		n.sendToLoop(ctx, listDelta{items: events, revision: rev, source: sourceStore})
		if len(events) > 0 {
			_ = n.clock.Sleep(ctx, watchBatchDelay)
		}
	}
	return ctx.Err()
}

const (
	// followedPrefixes is the number of prefixes that a node follows: the configuration
	// and the list of engines.
	followedPrefixes = 2
	// maxWatchers is the number of nodes that watch the store. The other nodes hear of
	// changes from them within about 0.3 s. Each watch is a billed call and is answered
	// at every change, so the calls of the fleet would grow with the number of nodes
	// times the number of changes. Four watchers tolerate the loss of any three of them,
	// or of their connection to the store.
	maxWatchers = 4
	// standbyInterval is the minimum wait of a node that does not watch before it checks
	// again whether it has to. A watching node that the store rejects tells the others
	// within a second.
	standbyInterval = 300 * time.Millisecond
)

// errStandby ends a watch when enough other nodes watch.
var errStandby = errors.New("enough other nodes watch the store")

// watchersBefore counts the nodes that watch the store and come before this one in the
// order of nodes.
func (n *Node) watchersBefore() int {
	count := 0
	s := n.snap.Load()
	for _, m := range s.members {
		if n.watches(m) && m.Before(s.self) {
			count++
		}
	}
	return count
}

// mayWatch reports whether this node is to watch the store. A node that is not among the
// first maxWatchers waits, and is then to watch only if fewer than maxWatchers nodes
// before it do. While the store is unavailable to all nodes, the nodes that come last
// wait longest before they try too, because their calls would not help.
//
// Shortly after startup a node knows no other nodes and would consider itself the first:
// all nodes that start at once would watch, although a few of them are enough for all.
func (n *Node) mayWatch(ctx context.Context) bool {
	if !n.stabilized() && !n.storeUnwatched(ctx) {
		_ = n.clock.Sleep(ctx, stabilizePoll)
		return false
	}
	before, rank := n.watchersBefore(), n.rank()
	if before < maxWatchers && rank < maxWatchers {
		return true
	}
	_ = n.clock.Sleep(ctx, standbyInterval+rand.N(standbyInterval*time.Duration(1+rank/maxWatchers)))
	return n.watchersBefore() < maxWatchers
}

// rank is the position of this node among the nodes that it hears of, in the order of
// citronpeer.Member.Before.
func (n *Node) rank() int {
	rank := 0
	s := n.snap.Load()
	for _, m := range s.members {
		if m.Before(s.self) {
			rank++
		}
	}
	return rank
}

const (
	// watchRenewalInterval is how often some node of the fleet starts a new watch.
	watchRenewalInterval = 650 * time.Millisecond
	// maxWatch limits the duration of a watch regardless of the number of nodes.
	maxWatch = 20 * time.Second
	// watchReplyTimeout is the time allowed for the reply to a watch that ends without
	// events.
	watchReplyTimeout = time.Second
)

// watch waits for changes, at most until it is this node's turn to start a new watch.
//
// A watch can miss changes without an error: the store may delay it while it drops its
// history, and a connection may stall for good. The node then has outdated state until
// the watch ends. The watches of the nodes therefore end in turn, one every
// watchRenewalInterval. The next watch of that node returns the missed changes, or an error if
// the store has dropped them, and gossip passes the changes on to the other nodes. This
// way each node needs only a few long watches.
func (n *Node) watch(ctx context.Context, prefix string, after citronkv.Revision) ([]citronkv.Item, citronkv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, n.untilTurn()+watchReplyTimeout)
	defer cancel()
	return n.sources.Store.Watch(ctx, prefix, after)
}

// untilTurn is the time until this node's next turn, by its position among the nodes
// that watch.
func (n *Node) untilTurn() time.Duration {
	watchers := 1
	for _, m := range n.snap.Load().members {
		if m.Watching {
			watchers++
		}
	}
	rank := n.watchersBefore()
	period := min(watchRenewalInterval*time.Duration(watchers), maxWatch)
	now := time.Duration(n.clock.Now().UnixNano())
	wait := (time.Duration(rank)*watchRenewalInterval - now%period + period) % period
	if wait < watchRenewalInterval/2 {
		wait += period
	}
	return wait
}

// sendConfig passes on the last of the configurations that a read returned. The earlier
// ones are superseded.
func (n *Node) sendConfig(ctx context.Context, items []citronkv.Item) {
	for _, it := range slices.Backward(items) {
		if it.Key == n.sources.ConfigKey && !it.Deleted {
			n.offerConfig(ctx, 0, it.Value, sourceStore)
			return
		}
	}
}

func (n *Node) sendToLoop(ctx context.Context, m message) {
	select {
	case n.control <- m:
	case <-ctx.Done():
	}
}

// nodePrefix is the prefix under which nodes register their peer addresses.
const nodePrefix = "deck/nodes/"

const (
	// maxRegistered is the number of nodes that register their addresses in the store:
	// those that rank first. Any node finds the fleet through the registered nodes that
	// are running.
	maxRegistered = 16
	// registerInterval is how often a node checks whether it is one of them.
	registerInterval = 2 * time.Second
)

// notRegistered is the registration era of a node whose address is not in the store.
const notRegistered = -1

// storeEra is the era of the newest list. What this node wrote in an earlier era may be
// lost.
func (n *Node) storeEra() int64 { return n.snap.Load().list.Revision.Era() }

// register writes this node's peer address to the store and reads the addresses of the
// others, if this node ranks among the first maxRegistered. The other nodes read them once
// after their start, and again whenever they hear of no others.
//
// The configured seeds may all be gone after machines were replaced. A node without
// peers would get no callers, because no directory names it, and two halves of a fleet
// that lost each other would never meet again. In each half some nodes come first, and those know
// the addresses of both halves. The entries need no lease: an address where nothing
// answers costs only a failed connection now and then, and the entry is overwritten when
// its name is used again. A store that was restored from an older copy may have lost the
// entries, so they are written again.
func (n *Node) register(ctx context.Context) {
	for !n.stabilized() && ctx.Err() == nil {
		_ = n.clock.Sleep(ctx, stabilizePoll)
	}
	registered := int64(notRegistered)
	for ctx.Err() == nil {
		var err error
		era := n.storeEra()
		if registered != era && n.rank() < maxRegistered {
			_, err = n.sources.Store.Put(ctx, nodePrefix+n.settings.Name, []byte(n.settings.Peer), citronkv.AnyRevision, 0)
			if err == nil {
				err = n.readRegistered(ctx)
			}
			if err == nil {
				registered = era
			}
		} else if n.registered.Load() == nil || len(n.snap.Load().members) == 0 {
			err = n.readRegistered(ctx)
		}
		if err == nil {
			_ = n.clock.Sleep(ctx, registerInterval)
			continue
		}
		citronevent.Log(ctx, n.log, citronevent.GossipFailed, "peer", nodePrefix, "err", err)
		_ = n.clock.Sleep(ctx, maxRetryWait+rand.N(maxRetryWait))
	}
}

// registeredNodes are the nodes that are registered in the store. names and addrs have the same
// order.
type registeredNodes struct{ names, addrs []string }

// readRegistered reads the addresses that nodes have registered in the store.
func (n *Node) readRegistered(ctx context.Context) error {
	items, _, err := n.sources.Store.Range(ctx, nodePrefix)
	if err != nil {
		return err
	}
	var found registeredNodes
	for _, it := range items {
		found.names = append(found.names, strings.TrimPrefix(it.Key, nodePrefix))
		found.addrs = append(found.addrs, string(it.Value))
	}
	n.registered.Store(&found)
	return nil
}
