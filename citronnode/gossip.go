package citronnode

// Gossip: exchanges with other nodes. Each gets what the other knows newer of
// the nodes, and whoever has the older document gets the newer one: the
// configuration whole, the list of engines as the changes since the other's
// revision.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
)

const (
	// gossipEvery and fanout set how news spreads: to one node of the own
	// zone, and now and then one of another, each round.
	gossipEvery = 400 * time.Millisecond
	fanout      = 2
	// farNodes is how many nodes of a zone ask one of another zone in each
	// round, on average: what comes from there reaches the rest of the zone
	// within two or three rounds. Were all of a zone's nodes to ask, the bytes
	// between zones would grow with the nodes and not with the zones.
	farNodes = 6
	// newsGap is the least time between two sendings of news: when many
	// engines come or go at once, their news goes together.
	newsGap = 60 * time.Millisecond
	// exchangeTimeout bounds one exchange; a node that is well answers
	// within milliseconds.
	exchangeTimeout = 500 * time.Millisecond
)

// gossip exchanges knowledge with a few other nodes at a time.
func (n *Node) gossip(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.news:
			_ = n.clock.Sleep(ctx, newsGap-n.clock.Now().Sub(last))
			n.sendNews(ctx, n.partners())
			last = n.clock.Now()
		case <-n.alarms:
			n.sendNews(ctx, append(n.leaders(), n.partners()...))
			last = n.clock.Now()
		case <-timer.C:
			for _, addr := range n.partners() {
				go n.exchange(ctx, addr)
			}
			timer.Reset(gossipEvery/2 + rand.N(gossipEvery))
		}
	}
}

// sendNews tells a few nodes which documents this one has, and of itself. Those
// that lack one fetch it (puller) and tell others in turn, so that news goes
// through the fleet in steps of newsGap without the members of the whole fleet
// in each message: when all nodes hear of dying engines at once, those would
// take a leader's whole processor, and it would call sound engines dead.
func (n *Node) sendNews(ctx context.Context, addrs []string) {
	for _, addr := range addrs {
		go n.fetch(ctx, addr)
	}
}

// fetch sends this node's news to another, and takes the documents that the
// other has newer.
func (n *Node) fetch(ctx context.Context, addr string) {
	n.give(ctx, addr, n.snap.Load().news())
}

// give sends another node what this one tells, and takes what the other has
// newer.
func (n *Node) give(ctx context.Context, addr string, k citronpeer.Knowledge) {
	if k.Suspects == nil {
		k.Suspects = n.recentSuspects()
	}
	if k.Limits == nil {
		k.Limits = n.limits.Recent()
	}
	theirs, err := n.peers.News(ctx, addr, k)
	if err != nil {
		citronevent.Log(ctx, n.log, citronevent.GossipFailed, "peer", addr, "err", err)
		return
	}
	n.learn(ctx, theirs)
}

// news is what this node tells of itself.
func (s *snapshot) news() citronpeer.Knowledge {
	return citronpeer.Knowledge{
		From: s.self, Config: citronpeer.ConfigDocument{Version: s.config.Version}, Engines: citronpeer.ListDocument{Revision: s.list.Revision},
	}
}

// all is what this node tells of itself and of which others it knows.
func (s *snapshot) all() citronpeer.Knowledge {
	k := s.news()
	k.Digest = s.roster.Digest()
	k.Sums = s.sums
	return k
}

// leaders are the nodes that place layers, which repair what is found dead.
func (n *Node) leaders() []string {
	var addrs []string
	for _, m := range n.snap.Load().members {
		if m.Leads {
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
	if len(near) > 0 {
		addrs = append(addrs, near[rand.IntN(len(near))])
	}
	if len(far) > 0 && rand.IntN(len(near)+1) < farNodes {
		addrs = append(addrs, far[rand.IntN(len(far))])
	}
	if len(near)+len(far) < fanout {
		return append(addrs, n.seeds()...)
	}
	if rand.IntN(len(near)+len(far)+1) < seedNodes {
		if seeds := n.seeds(); len(seeds) > 0 {
			addrs = append(addrs, seeds[rand.IntN(len(seeds))])
		}
	}
	return addrs
}

// seeds are the addresses of the settings and one of those in the store, but
// this node's own.
func (n *Node) seeds() []string {
	seeds := slices.Clone(n.set.Seeds)
	if found := n.registered.Load(); found != nil && len(*found) > 0 {
		seeds = append(seeds, (*found)[rand.IntN(len(*found))])
	}
	return slices.DeleteFunc(seeds, func(a string) bool { return a == n.set.Peer })
}

// seedNodes is how many of all nodes also ask a seed in each round, on average,
// so that two halves of a fleet that lost each other meet again. A fixed part
// of the nodes would be too many for the few seeds of a large fleet: they are
// nodes as small as the others.
const seedNodes = 3

// exchange takes from another node what that one knows newer, and then gives
// it what it asks for.
func (n *Node) exchange(ctx context.Context, addr string) {
	s := n.snap.Load()
	k := s.all()
	k.SuspectSum, k.LimitSum = n.quarantine.Sum(), n.limits.Sum()
	theirs, err := n.peers.Exchange(ctx, addr, k)
	n.settling.exchanged(k.Digest, theirs.Digest, err)
	if err != nil {
		citronevent.Log(ctx, n.log, citronevent.GossipFailed, "peer", addr, "err", err)
		return
	}
	n.learn(ctx, theirs)
	same, sameLimits := theirs.SuspectSum == n.quarantine.Sum(), theirs.LimitSum == n.limits.Sum()
	if theirs.Wants.Empty() && same && sameLimits {
		return
	}
	k = s.news()
	k.Diff = s.roster.Wanted(theirs.Wants)
	if !same {
		k.Suspects = n.allSuspects()
	}
	if !sameLimits {
		k.Limits = n.limits.All()
	}
	n.give(ctx, addr, k)
}

// withBodies adds to the delta gossiped to a peer the documents that the other
// has older.
func (s *snapshot) withBodies(k, other citronpeer.Knowledge) (citronpeer.Knowledge, error) {
	if other.Config.Version < s.config.Version {
		k.Config = s.config
	}
	var err error
	k.Engines, err = s.list.After(other.Engines.Revision)
	return k, err
}

// answerer is this node's side of what others begin.
type answerer struct{ n *Node }

// Exchange implements citronpeer.Answerer.
func (a answerer) Exchange(theirs citronpeer.Knowledge) citronpeer.Knowledge {
	s := a.n.snap.Load()
	k := s.all()
	near := theirs.From.Zone == s.self.Zone
	k.Diff = s.roster.Diff(theirs.Digest, near)
	k.Wants = s.roster.Wants(theirs.Digest, near)
	k.SuspectSum = a.n.quarantine.Sum()
	if theirs.SuspectSum != k.SuspectSum {
		k.Suspects = a.n.allSuspects()
	}
	k.LimitSum = a.n.limits.Sum()
	if theirs.LimitSum != k.LimitSum {
		k.Limits = a.n.limits.All()
	}
	return a.n.answer(s, k, theirs)
}

// News implements citronpeer.Answerer.
func (a answerer) News(theirs citronpeer.Knowledge) citronpeer.Knowledge {
	s := a.n.snap.Load()
	return a.n.answer(s, s.news(), theirs)
}

// answer takes what another node tells and returns what this one tells it, with
// the documents that the other lacks.
func (n *Node) answer(s *snapshot, k, theirs citronpeer.Knowledge) citronpeer.Knowledge {
	ctx := context.Background()
	n.hearAccused(theirs.Accused)
	if k.Suspects == nil {
		k.Suspects = n.recentSuspects()
	}
	if k.Limits == nil {
		k.Limits = n.limits.Recent()
	}
	n.learn(ctx, theirs)
	if theirs.From.Peer != "" && s.lacks(theirs) {
		n.pull.from(ctx, n, theirs.From.Peer, theirs)
	}
	k, err := s.withBodies(k, theirs)
	if err != nil {
		// Items are plain values; the other node asks again.
		citronevent.Log(ctx, n.log, citronevent.EngineRejected, "key", "exchange", "err", err)
	}
	return k
}

// lacks reports whether another node has a newer document.
func (s *snapshot) lacks(theirs citronpeer.Knowledge) bool {
	return theirs.Config.Version > s.config.Version || theirs.Engines.Revision.After(s.list.Revision)
}

// puller fetches documents one after the other. Many nodes tell of the same
// version at once; one of them is asked, and while it is, only the newest
// offer is remembered.
type puller struct {
	mu   sync.Mutex
	busy bool
	addr string
	has  citronpeer.Knowledge
}

// from has the documents fetched that the node at addr has.
func (p *puller) from(ctx context.Context, n *Node, addr string, has citronpeer.Knowledge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy && has.Config.Version <= p.has.Config.Version && !has.Engines.Revision.After(p.has.Engines.Revision) {
		return
	}
	p.addr, p.has = addr, has
	if !p.busy {
		p.busy = true
		go p.run(ctx, n)
	}
}

// run fetches until this node has what was offered, or the offers are used up.
func (p *puller) run(ctx context.Context, n *Node) {
	for {
		p.mu.Lock()
		addr, has := p.addr, p.has
		p.addr = ""
		if addr == "" || !n.snap.Load().lacks(has) {
			p.busy = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		n.fetch(ctx, addr)
	}
}

// mostErasAhead is how many times the store may have come back from a copy since
// this node last heard of its list. Taken from a node that tells of more, all lists
// that follow would be old news.
const mostErasAhead = 16

func (n *Node) learn(ctx context.Context, k citronpeer.Knowledge) {
	n.mergeSuspects(ctx, k.From.Name, k.Suspects)
	n.learnLimits(ctx, k.From.Name, k.Limits)
	n.send(ctx, membersSeen{from: k.From, told: k.Diff, digest: k.Digest, sums: k.Sums})
	if len(k.Config.Body) > 0 {
		n.offerConfig(ctx, k.Config.Version, k.Config.Body, sourceNode)
	}
	if len(k.Engines.Body) == 0 {
		return
	}
	if own := n.storeEra(); k.Engines.Revision.Era() > own+mostErasAhead && !n.snap.Load().list.Revision.IsZero() {
		citronevent.Log(ctx, n.log, citronevent.EngineRejected, "key", "exchange", "peer", k.From.Name, "revision", k.Engines.Revision.String(), "era", own)
		return
	}
	var items []citronkv.Item
	if err := json.Unmarshal(k.Engines.Body, &items); err != nil {
		citronevent.Log(ctx, n.log, citronevent.EngineRejected, "key", "exchange", "err", err)
		return
	}
	if !k.Engines.Base.IsZero() {
		n.send(ctx, listChanged{items: items, base: k.Engines.Base, revision: k.Engines.Revision, source: sourceNode})
		return
	}
	n.send(ctx, listSeen{items: items, revision: k.Engines.Revision, source: sourceNode})
}
