package citronnode

// Sources of what a node knows: watches on the store, and exchanges with
// other nodes.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
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
	// gossipEvery and fanout set how news spreads: to one node of the own
	// zone and one of another each round. Bytes between zones are dear.
	gossipEvery = 400 * time.Millisecond
	fanout      = 2
	// exchangeTimeout bounds one exchange; a node that is well answers
	// within milliseconds.
	exchangeTimeout = 500 * time.Millisecond
)

// follow keeps a prefix of the store up to date: it reads all of it and
// then watches from that revision on. When the store has dropped the
// history since, it reads all again.
func (n *Node) follow(ctx context.Context, prefix string, config bool) {
	wait := retryFirst
	down := false
	for ctx.Err() == nil {
		err := n.followOnce(ctx, prefix, config, func() {
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
		n.trouble()
		if !down {
			down = true
			citronevent.Log(ctx, n.log, citronevent.StoreLost, "step", prefix, "err", err)
		}
		_ = n.clock.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(wait*2, retryMost)
	}
}

// trouble notes that the store failed this node just now.
func (n *Node) trouble() {
	now := n.clock.Now()
	n.storeTrouble.Store(&now)
}

func (n *Node) followOnce(ctx context.Context, prefix string, config bool, well func()) error {
	items, rev, err := n.src.Store.Range(ctx, prefix)
	if err != nil {
		return err
	}
	well()
	if config {
		n.sendConfig(ctx, items)
	} else {
		n.send(ctx, listSeen{items: items, revision: rev, source: "store"})
	}
	for ctx.Err() == nil {
		events, next, err := n.watch(ctx, prefix, rev)
		if err != nil {
			return err
		}
		well()
		rev = max(rev, next)
		if config {
			n.sendConfig(ctx, events)
			continue
		}
		n.send(ctx, listChanged{items: events, revision: rev})
		if len(events) > 0 {
			_ = n.clock.Sleep(ctx, gather)
		}
	}
	return ctx.Err()
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
// nodes that it knows.
func (n *Node) untilTurn() time.Duration {
	s := n.snap.Load()
	rank := 0
	for _, m := range s.members {
		if m.Name < n.set.Name {
			rank++
		}
	}
	period := min(lookEvery*time.Duration(len(s.members)+1), longestWatch)
	now := time.Duration(n.clock.Now().UnixNano())
	wait := (time.Duration(rank)*lookEvery - now%period + period) % period
	if wait < lookEvery/2 {
		wait += period
	}
	return wait
}

func (n *Node) sendConfig(ctx context.Context, items []citronkv.Item) {
	for _, it := range items {
		if it.Key == n.src.ConfigKey && !it.Deleted {
			n.send(ctx, configSeen{body: it.Value, source: "store"})
		}
	}
}

func (n *Node) send(ctx context.Context, m message) {
	select {
	case n.control <- m:
	case <-ctx.Done():
	}
}

// gossip exchanges knowledge with a few other nodes at a time.
func (n *Node) gossip(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		partners := n.partners
		select {
		case <-ctx.Done():
			return
		case <-n.news:
			partners = n.newsPartners
		case <-timer.C:
		}
		for _, addr := range partners() {
			go n.exchange(ctx, addr)
		}
		timer.Reset(gossipEvery/2 + rand.N(gossipEvery))
	}
}

// newsPartners are those that news goes to at once: the partners of a round
// and the leader, which repairs what is found dead.
func (n *Node) newsPartners() []string {
	addrs := n.partners()
	for _, m := range n.snap.Load().members {
		if m.Leads && !slices.Contains(addrs, m.Peer) {
			addrs = append(addrs, m.Peer)
		}
	}
	return addrs
}

// partners draws the nodes to ask: a few that are known, or the seeds while
// none is.
func (n *Node) partners() []string {
	s := n.snap.Load()
	var near, far []string
	for _, m := range s.members {
		if m.Zone == n.set.Zone {
			near = append(near, m.Peer)
		} else {
			far = append(far, m.Peer)
		}
	}
	var addrs []string
	for _, group := range [][]string{near, far} {
		if len(group) > 0 {
			addrs = append(addrs, group[rand.IntN(len(group))])
		}
	}
	if len(addrs) < fanout || rand.N(seedChance) == 0 {
		for _, a := range n.seeds() {
			if a != n.set.Peer {
				addrs = append(addrs, a)
			}
		}
	}
	return addrs
}

// seeds are the addresses of the settings and one of those in the store.
func (n *Node) seeds() []string {
	found := n.registered.Load()
	if found == nil || len(*found) == 0 {
		return n.set.Seeds
	}
	return append(slices.Clone(n.set.Seeds), (*found)[rand.IntN(len(*found))])
}

// nodePrefix is where nodes leave their peer addresses.
const nodePrefix = "deck/nodes/"

// register leaves this node's peer address in the store and reads those of
// the others, once. The seeds of the settings may all be gone when a machine
// is replaced; a node without peers would serve callers that nobody sends to
// it. The entries need no lease: an address where nobody answers costs a
// connection now and then, and the machine's name is used again.
func (n *Node) register(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := n.src.Store.Put(ctx, nodePrefix+n.set.Name, []byte(n.set.Peer), citronkv.AnyRevision, 0)
		if err == nil {
			var items []citronkv.Item
			if items, _, err = n.src.Store.Range(ctx, nodePrefix); err == nil {
				addrs := make([]string, len(items))
				for i, it := range items {
					addrs[i] = string(it.Value)
				}
				n.registered.Store(&addrs)
				return
			}
		}
		citronevent.Log(ctx, n.log, citronevent.GossipFailed, "peer", nodePrefix, "err", err)
		_ = n.clock.Sleep(ctx, retryMost+rand.N(retryMost))
	}
}

// seedChance: one round in so many also asks the seeds, so that two halves
// of a fleet that lost each other meet again.
const seedChance = 10

func (n *Node) exchange(ctx context.Context, addr string) {
	s := n.snap.Load()
	theirs, err := n.peers.Exchange(ctx, addr, s.knowledge(citronpeer.Knowledge{Config: s.config, Engines: s.list}))
	if err != nil {
		citronevent.Log(ctx, n.log, citronevent.GossipFailed, "peer", addr, "err", err)
		return
	}
	n.learn(ctx, theirs)
}

// knowledge is what this node tells one that knows other; bodies that the
// other has are left out.
func (s *snapshot) knowledge(other citronpeer.Knowledge) citronpeer.Knowledge {
	k := citronpeer.Knowledge{Members: append([]citronpeer.Member{s.self}, s.members...), Config: s.config, Engines: s.list}
	if other.Config.Revision >= k.Config.Revision {
		k.Config.Body = nil
	}
	if other.Engines.Revision >= k.Engines.Revision {
		k.Engines.Body = nil
	}
	return k
}

// answer is this node's side of an exchange that another began.
func (n *Node) answer(theirs citronpeer.Knowledge) citronpeer.Knowledge {
	ctx := context.Background()
	n.learn(ctx, theirs)
	s := n.snap.Load()
	if theirs.Config.Revision > s.config.Revision || theirs.Engines.Revision > s.list.Revision {
		for _, m := range theirs.Members[:min(1, len(theirs.Members))] {
			go n.exchange(ctx, m.Peer)
		}
	}
	return s.knowledge(theirs)
}

func (n *Node) learn(ctx context.Context, k citronpeer.Knowledge) {
	n.send(ctx, membersSeen{k.Members})
	if len(k.Config.Body) > 0 {
		n.send(ctx, configSeen{body: k.Config.Body, source: "node"})
	}
	if len(k.Engines.Body) == 0 {
		return
	}
	var items []citronkv.Item
	if err := json.Unmarshal(k.Engines.Body, &items); err != nil {
		citronevent.Log(ctx, n.log, citronevent.EngineRejected, "key", "exchange", "err", err)
		return
	}
	n.send(ctx, listSeen{items: items, revision: k.Engines.Revision, source: "node"})
}
