package citronnode

// Watches on the store, and this node's own entry there.

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

const (
	// retryFirst and retryMost bound the wait after a failed call to the
	// store. All nodes meet an outage together, so the wait is drawn at
	// random and grows: they must not return as one.
	retryFirst = 150 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// gather is how long changes of the list of engines are collected
	// before the next watch: each watch is a priced call.
	gather = 150 * time.Millisecond
)

// follow keeps a prefix of the store up to date: it reads all of it and, if
// this node is to watch, watches from that revision on. When the store has
// dropped the history since, it reads all again.
func (n *Node) follow(ctx context.Context, prefix string, config bool) {
	wait := retryFirst
	down, well := false, false
	answered := func(ok bool) {
		if ok && !well {
			n.answered.Add(1)
		}
		if !ok && well {
			n.answered.Add(-1)
		}
		well = ok
	}
	n.readFirst(ctx, prefix, config)
	readBarred := config // those who follow the list read it
	for ctx.Err() == nil {
		if !n.mayWatch(ctx) {
			continue
		}
		readBarred = readBarred || n.readBarred(ctx) == nil // the store may be away
		err := n.followOnce(ctx, prefix, config, func() {
			answered(true)
			wait = retryFirst
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
		answered(false)
		if errors.Is(err, errStandBy) {
			continue
		}
		if !down {
			down = true
			citronevent.Log(ctx, n.log, citronevent.StoreLost, "step", prefix, "err", err)
		}
		_ = n.clock.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(wait*2, retryMost)
	}
}

const (
	// firstReaders is how many nodes that lack a document ask a store that did not
	// answer for it; the others hear of it from them.
	firstReaders = 8
	// firstAgain is how often, at most: callers wait for it.
	firstAgain = 200 * time.Millisecond
)

// readFirst takes all of a prefix when the node starts, from the store or from other
// nodes. When all nodes start while the store is away, none of them has it: each would
// first find out which of them are to watch, and callers be refused meanwhile although
// the store is back.
func (n *Node) readFirst(ctx context.Context, prefix string, config bool) {
	failed := false
	for ctx.Err() == nil && !n.has(config) {
		if n.rank() < firstReaders {
			if _, err := n.read(ctx, prefix, config); err == nil {
				if failed {
					n.tellAwaited(ctx, config)
				}
				return
			}
			failed = true
		}
		_ = n.clock.Sleep(ctx, firstAgain/2+rand.N(firstAgain/2))
	}
}

// awaitedPoll is how often, and awaitedPolls how many times, a node looks whether what it
// read is in force. The store may hold nothing, or what cannot be read.
const (
	awaitedPoll  = 2 * time.Millisecond
	awaitedPolls = 50
)

// tellAwaited tells other nodes at once of a document that they wait for, too. By the
// rounds of gossip it would reach them one after the other while callers are refused.
func (n *Node) tellAwaited(ctx context.Context, config bool) {
	for i := 0; i < awaitedPolls && !n.has(config); i++ {
		_ = n.clock.Sleep(ctx, awaitedPoll)
	}
	if !n.has(config) {
		return
	}
	members := n.snap.Load().members
	for _, m := range members[:min(len(members), announceTo)] {
		go n.fetch(ctx, m.Peer)
	}
}

// has reports whether the node has a configuration, or a list.
func (n *Node) has(config bool) bool {
	s := n.snap.Load()
	if config {
		return s.config.Version > 0
	}
	return !s.list.Revision.IsZero()
}

// read takes all of a prefix from the store. A node that starts does so at once,
// whoever watches: callers wait for it.
func (n *Node) read(ctx context.Context, prefix string, config bool) (citronkv.Revision, error) {
	items, rev, err := n.src.Store.Range(ctx, prefix)
	if err != nil {
		return citronkv.Revision{}, err
	}
	if config {
		n.sendConfig(ctx, items)
	} else {
		n.send(ctx, listSeen{items: items, revision: rev, source: sourceStore})
	}
	return rev, nil
}

func (n *Node) followOnce(ctx context.Context, prefix string, config bool, well func()) error {
	rev, err := n.read(ctx, prefix, config)
	if err != nil {
		return err
	}
	well()
	for ctx.Err() == nil {
		if n.watchersBefore() >= mostWatchers {
			return errStandBy
		}
		events, next, err := n.watch(ctx, prefix, rev)
		if err != nil {
			return err
		}
		well()
		if next.After(rev) {
			rev = next
		}
		if config {
			n.sendConfig(ctx, events)
			continue
		}
		n.send(ctx, listChanged{items: events, revision: rev, source: sourceStore})
		if len(events) > 0 {
			_ = n.clock.Sleep(ctx, gather)
		}
	}
	return ctx.Err()
}

const (
	// followed is how many prefixes a node follows: the configuration and
	// the list of engines.
	followed = 2
	// mostWatchers is how many nodes watch the store; the others hear of
	// changes from them within about 0.3 s. Each watch is a priced call and
	// is answered at every change, so that the calls of a fleet would grow
	// with its nodes times its changes. Four outlast the loss of any three
	// of them, and of the store for those.
	mostWatchers = 4
	// standBy is how often a node that does not watch looks whether it has
	// to: a node that the store turns away says so within a second.
	standBy = 300 * time.Millisecond
)

// errStandBy ends a watch that enough others hold.
var errStandBy = errors.New("other nodes watch")

// watchersBefore counts the nodes that watch the store, of those before this
// one.
func (n *Node) watchersBefore() int {
	count := 0
	s := n.snap.Load()
	for _, m := range s.members {
		if m.Watching && m.Before(s.self) {
			count++
		}
	}
	return count
}

// mayWatch reports whether this node is to watch the store, or waits and
// reports false. When the store is away for all, the nodes that come last wait
// longest before they try too: their calls would help nobody.
//
// In its first moments a node knows nobody and would take itself for the first:
// all nodes that start at once would watch, although a few of them serve all.
func (n *Node) mayWatch(ctx context.Context) bool {
	if !n.settled() {
		_ = n.clock.Sleep(ctx, settlePoll)
		return false
	}
	before, rank := n.watchersBefore(), n.rank()
	if before < mostWatchers && rank < mostWatchers {
		return true
	}
	_ = n.clock.Sleep(ctx, standBy+rand.N(standBy*time.Duration(1+rank/mostWatchers)))
	return n.watchersBefore() < mostWatchers
}

// rank is this node's place among those that it hears (citronpeer.Member.Before).
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
	// lookEvery is how often some node of the fleet reads the store anew.
	lookEvery = 650 * time.Millisecond
	// longestWatch bounds a watch however many nodes there are.
	longestWatch = 20 * time.Second
	// watchAnswer is the time allowed for the answer to a watch that ends
	// without events.
	watchAnswer = time.Second
)

// watch waits for changes, at most until it is this node's turn to look.
//
// A watch can miss changes without an error: the store may hold it while it
// drops its history, and a connection may go silent for good. The node then
// believes an old state until the watch ends. The nodes' watches therefore
// end in turn, one every lookEvery, and gossip takes what the one node
// finds to the others; each node's own watches can be long, and few.
func (n *Node) watch(ctx context.Context, prefix string, after citronkv.Revision) ([]citronkv.Item, citronkv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, n.untilTurn()+watchAnswer)
	defer cancel()
	return n.src.Store.Watch(ctx, prefix, after)
}

// untilTurn is the time until this node's next turn, by its place among the
// nodes that watch.
func (n *Node) untilTurn() time.Duration {
	watchers := 1
	for _, m := range n.snap.Load().members {
		if m.Watching {
			watchers++
		}
	}
	rank := n.watchersBefore()
	period := min(lookEvery*time.Duration(watchers), longestWatch)
	now := time.Duration(n.clock.Now().UnixNano())
	wait := (time.Duration(rank)*lookEvery - now%period + period) % period
	if wait < lookEvery/2 {
		wait += period
	}
	return wait
}

// sendConfig takes the last of the configurations that a read brought; those
// before it are overtaken.
func (n *Node) sendConfig(ctx context.Context, items []citronkv.Item) {
	for _, it := range slices.Backward(items) {
		if it.Key == n.src.ConfigKey && !it.Deleted {
			n.offerConfig(ctx, 0, it.Value, sourceStore)
			return
		}
	}
}

func (n *Node) send(ctx context.Context, m message) {
	select {
	case n.control <- m:
	case <-ctx.Done():
	}
}

// nodePrefix is where nodes leave their peer addresses.
const nodePrefix = "deck/nodes/"

const (
	// mostRegistered is how many nodes leave their addresses in the store, the
	// first in their order: with those that are there, any node finds the fleet.
	mostRegistered = 16
	// registerEvery is how often a node looks whether it is one of them.
	registerEvery = 2 * time.Second
)

// notRegistered is the era of a node whose address is not in the store.
const notRegistered = -1

// storeEra is that of the newest list; what this node wrote in an earlier one may
// be gone.
func (n *Node) storeEra() int64 { return n.snap.Load().list.Revision.Era() }

// register leaves this node's peer address in the store and reads those of the
// others, once it is one of the first of the nodes that it hears; one that hears
// of none reads them too. The seeds of the settings may all be gone when a
// machine is replaced: a node without peers would serve callers that nobody sends
// to it, and two halves of a fleet that lost each other would never meet again.
// In each half some nodes come first, and those know the addresses of both. The
// entries need no lease: an address where nobody answers costs a connection now
// and then, and the machine's name is used again. A store that came back from an
// older copy may have lost them, and gets them again.
func (n *Node) register(ctx context.Context) {
	for !n.settled() && ctx.Err() == nil {
		_ = n.clock.Sleep(ctx, settlePoll)
	}
	registered := int64(notRegistered)
	for ctx.Err() == nil {
		var err error
		era := n.storeEra()
		if registered != era && n.rank() < mostRegistered {
			_, err = n.src.Store.Put(ctx, nodePrefix+n.set.Name, []byte(n.set.Peer), citronkv.AnyRevision, 0)
			if err == nil {
				err = n.readRegistered(ctx)
			}
			if err == nil {
				registered = era
			}
		} else if len(n.snap.Load().members) == 0 {
			err = n.readRegistered(ctx)
		}
		if err == nil {
			_ = n.clock.Sleep(ctx, registerEvery)
			continue
		}
		citronevent.Log(ctx, n.log, citronevent.GossipFailed, "peer", nodePrefix, "err", err)
		_ = n.clock.Sleep(ctx, retryMost+rand.N(retryMost))
	}
}

// readRegistered reads the addresses that nodes have left in the store.
func (n *Node) readRegistered(ctx context.Context) error {
	items, _, err := n.src.Store.Range(ctx, nodePrefix)
	if err != nil {
		return err
	}
	addrs := make([]string, len(items))
	for i, it := range items {
		addrs[i] = string(it.Value)
	}
	n.registered.Store(&addrs)
	return nil
}
