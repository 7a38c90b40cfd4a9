package citronnode

// Gossip: periodic exchanges with other nodes. Each side receives the members that the
// other knows in a newer state. The side with the older document receives the newer
// one: the configuration in full, the list of engines as the changes since that side's
// revision.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
)

const (
	// gossipInterval is the mean time between two rounds of gossip. In each round a
	// node contacts a node of its own zone and, now and then, one of another zone. A
	// node that knows fewer than fanout others also contacts its seeds.
	gossipInterval = 400 * time.Millisecond
	fanout         = 2
	// crossZoneNodes is how many nodes of a zone contact a node of another zone in each
	// round, on average. An update from another zone reaches the rest of the zone
	// within two or three rounds. If all nodes of a zone did so, the bytes between
	// zones would grow with the number of nodes instead of the number of zones.
	crossZoneNodes = 6
	// minUpdateGap is the minimum time between an update and the one before it. When
	// many engines come or go at once, one update covers them together. Urgent updates don't
	// wait for it.
	minUpdateGap = 60 * time.Millisecond
	// exchangeTimeout bounds one exchange. A healthy node answers within milliseconds.
	exchangeTimeout = 500 * time.Millisecond
)

// gossip exchanges gossip state with a few nodes per round and sends updates between
// the rounds, until ctx ends.
func (n *Node) gossip(ctx context.Context) {
	timer := citronclock.NewTimer(0)
	defer timer.Stop()
	var lastSent time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.updates:
			_ = n.clock.Sleep(ctx, minUpdateGap-n.clock.Now().Sub(lastSent))
			n.sendUpdate(ctx, n.partners())
			lastSent = n.clock.Now()
		case <-n.urgentUpdates:
			n.sendUpdate(ctx, append(n.leaders(), n.partners()...))
			lastSent = n.clock.Now()
		case <-timer.C:
			for _, addr := range n.partners() {
				go n.exchange(ctx, addr)
			}
			timer.Reset(gossipInterval/2 + rand.N(gossipInterval))
		}
	}
}

// sendUpdate tells a few nodes which document versions this node has, along with its
// own member state. A node that lacks a version fetches it (see puller) and tells
// others in turn, so an update crosses the fleet in steps of minUpdateGap, and no
// message carries the members of the whole fleet. When all nodes learn of dying engines
// at once, such messages would use up the leader's processor time, and the leader would
// declare healthy engines dead.
func (n *Node) sendUpdate(ctx context.Context, addrs []string) {
	for _, addr := range addrs {
		go n.exchangeUpdate(ctx, addr)
	}
}

// exchangeUpdate sends this node's update to the node at addr and merges the newer
// documents in its answer.
func (n *Node) exchangeUpdate(ctx context.Context, addr string) {
	n.push(ctx, addr, n.snap.Load().update())
}

// push sends state to the node at addr, completed with the recent suspects, rate limits and
// usage reports, and merges what the node answers.
func (n *Node) push(ctx context.Context, addr string, state citronpeer.GossipState) {
	if state.Suspects == nil {
		state.Suspects = n.recentSuspects()
	}
	if state.Limits == nil {
		state.Limits = n.limits.Recent()
	}
	if state.Parts == nil {
		state.Parts = n.recentParts()
	}
	if state.Usage == nil {
		state.Usage = n.recentUsage(nil)
	}
	theirs, err := n.peers.Update(ctx, addr, state)
	n.refusals.Record(addr, err)
	if err != nil {
		citronevent.Log(ctx, n.log, citronevent.GossipFailed, "peer", addr, "err", err)
		return
	}
	n.merge(ctx, theirs)
}

// update returns this node's own member state and the versions of its documents.
func (s *snapshot) update() citronpeer.GossipState {
	return citronpeer.GossipState{
		From: s.self, Config: citronpeer.ConfigDocument{Version: s.config.Version}, Engines: citronpeer.ListDocument{Revision: s.list.Revision},
	}
}

// gossipState returns the update of this node, the digest of the members that it knows,
// and the zone totals.
func (s *snapshot) gossipState() citronpeer.GossipState {
	state := s.update()
	state.Digest = s.roster.Digest()
	state.ZoneTotals = s.zoneTotals
	return state
}

// leaders returns the addresses of the nodes that place layers. They repair the layer
// ranges of engines that are found dead.
func (n *Node) leaders() []string {
	var addrs []string
	for _, m := range n.snap.Load().members {
		if m.Leads {
			addrs = append(addrs, m.Peer)
		}
	}
	return addrs
}

// partners picks the nodes to contact in a round: one or two random known nodes, and all
// seeds if fewer than fanout nodes are known, or else now and then one seed.
func (n *Node) partners() []string {
	s := n.snap.Load()
	var sameZone, otherZones []string
	for _, m := range s.members {
		if m.Zone == n.settings.Zone {
			sameZone = append(sameZone, m.Peer)
		} else {
			otherZones = append(otherZones, m.Peer)
		}
	}
	var addrs []string
	if len(sameZone) > 0 {
		addrs = append(addrs, sameZone[rand.IntN(len(sameZone))])
	}
	if len(otherZones) > 0 && rand.IntN(len(sameZone)+1) < crossZoneNodes {
		addrs = append(addrs, otherZones[rand.IntN(len(otherZones))])
	}
	if len(sameZone)+len(otherZones) < fanout {
		return append(addrs, n.seeds()...)
	}
	if rand.IntN(len(sameZone)+len(otherZones)+1) < seedNodes {
		if seeds := n.seeds(); len(seeds) > 0 {
			addrs = append(addrs, seeds[rand.IntN(len(seeds))])
		}
	}
	return addrs
}

// seeds returns the seed addresses from the settings and one address registered in the
// store, without this node's own address.
func (n *Node) seeds() []string {
	seeds := slices.Clone(n.settings.Seeds)
	if found := n.registered.Load(); found != nil && len(found.addrs) > 0 {
		seeds = append(seeds, found.addrs[rand.IntN(len(found.addrs))])
	}
	return slices.DeleteFunc(seeds, func(a string) bool { return a == n.settings.Peer })
}

// seedNodes is how many nodes of the fleet also contact a seed in each round, on
// average, so that two halves of a fleet that lost each other meet again. A fixed share
// of the nodes would overload the few seeds of a large fleet: a seed is a node like any
// other.
const seedNodes = 3

// exchange merges what the node at addr knows in a newer state, and then sends it the
// items that it requests.
func (n *Node) exchange(ctx context.Context, addr string) {
	s := n.snap.Load()
	state := s.gossipState()
	state.SuspectChecksum, state.LimitChecksum, state.PartChecksum = n.quarantine.Checksum(), n.limits.Checksum(), n.parts.Checksum()
	state.Usage = n.recentUsage(nil)
	theirs, err := n.peers.Exchange(ctx, addr, state)
	n.stabilizer.RecordExchange(state.Digest, theirs.Digest, err)
	n.refusals.Record(addr, err)
	if err != nil {
		citronevent.Log(ctx, n.log, citronevent.GossipFailed, "peer", addr, "err", err)
		return
	}
	n.merge(ctx, theirs)
	same, sameLimits, sameParts := theirs.SuspectChecksum == n.quarantine.Checksum(), theirs.LimitChecksum == n.limits.Checksum(), theirs.PartChecksum == n.parts.Checksum()
	if theirs.Missing.Empty() && same && sameLimits && sameParts {
		return
	}
	state = s.update()
	state.Diff = s.roster.Requested(theirs.Missing)
	state.Usage = noUsage
	if !same {
		state.Suspects = n.allSuspects()
	}
	if !sameLimits {
		state.Limits = n.limits.All()
	}
	if !sameParts {
		state.Parts = n.allParts()
	}
	n.push(ctx, addr, state)
}

// withDocuments adds to state the bodies of the documents of which the peer, described by
// other, has an older version.
func (s *snapshot) withDocuments(state, other citronpeer.GossipState) (citronpeer.GossipState, error) {
	if other.Config.Version < s.config.Version {
		state.Config = s.config
	}
	var err error
	state.Engines, err = s.list.ChangesSince(other.Engines.Revision)
	return state, err
}

// peerHandler answers the calls of other nodes.
type peerHandler struct{ n *Node }

// Exchange implements citronpeer.GossipHandler. It answers with this node's gossip state
// and what the peer lacks, and names the items missing here.
func (h peerHandler) Exchange(theirs citronpeer.GossipState) citronpeer.GossipState {
	s := h.n.snap.Load()
	state := s.gossipState()
	sameZone := theirs.From.Zone == s.self.Zone
	state.Diff = s.roster.Diff(theirs.Digest, sameZone)
	state.Missing = s.roster.Missing(theirs.Digest, sameZone)
	state.SuspectChecksum = h.n.quarantine.Checksum()
	if theirs.SuspectChecksum != state.SuspectChecksum {
		state.Suspects = h.n.allSuspects()
	}
	state.LimitChecksum = h.n.limits.Checksum()
	if theirs.LimitChecksum != state.LimitChecksum {
		state.Limits = h.n.limits.All()
	}
	state.PartChecksum = h.n.parts.Checksum()
	if theirs.PartChecksum != state.PartChecksum {
		state.Parts = h.n.allParts()
	}
	return h.n.respond(s, state, theirs)
}

// Update implements citronpeer.GossipHandler. It takes a peer's update and answers with
// this node's own.
func (h peerHandler) Update(theirs citronpeer.GossipState) citronpeer.GossipState {
	s := h.n.snap.Load()
	state := s.update()
	if len(theirs.Usage) == 0 {
		state.Usage = noUsage
	}
	return h.n.respond(s, state, theirs)
}

// respond merges the message of another node and returns state, completed with the
// documents that the peer lacks.
func (n *Node) respond(s *snapshot, state, theirs citronpeer.GossipState) citronpeer.GossipState {
	ctx := context.Background()
	n.applyAccused(theirs.Accused)
	if state.Suspects == nil {
		state.Suspects = n.recentSuspects()
	}
	if state.Limits == nil {
		state.Limits = n.limits.Recent()
	}
	if state.Parts == nil {
		state.Parts = n.recentParts()
	}
	if state.Usage == nil {
		state.Usage = n.recentUsage(theirs.Usage)
	}
	n.merge(ctx, theirs)
	if theirs.From.Peer != "" && s.isBehind(theirs) {
		n.pull.enqueue(ctx, n, theirs.From.Peer, theirs)
	}
	state, err := s.withDocuments(state, theirs)
	if err != nil {
		// Encoding plain values does not fail. If it does, the peer asks again.
		citronevent.Log(ctx, n.log, citronevent.EngineRejected, "key", "exchange", "err", err)
	}
	return state
}

// isBehind reports whether the peer's message names a newer version of a document.
func (s *snapshot) isBehind(theirs citronpeer.GossipState) bool {
	return theirs.Config.Version > s.config.Version || theirs.Engines.Revision.After(s.list.Revision)
}

// puller fetches documents one after the other. Many nodes announce the same version at
// once. The puller fetches it from one of them and meanwhile remembers only the newest
// other offer.
type puller struct {
	mu      sync.Mutex
	busy    bool
	addr    string
	offered citronpeer.GossipState
}

// enqueue starts fetching the documents offered by the node at addr, or remembers the
// offer if it is newer than the current one.
func (p *puller) enqueue(ctx context.Context, n *Node, addr string, offered citronpeer.GossipState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy && offered.Config.Version <= p.offered.Config.Version && !offered.Engines.Revision.After(p.offered.Engines.Revision) {
		return
	}
	p.addr, p.offered = addr, offered
	if !p.busy {
		p.busy = true
		go p.run(ctx, n)
	}
}

// run fetches until this node has what was offered, or no offer is left.
func (p *puller) run(ctx context.Context, n *Node) {
	for {
		p.mu.Lock()
		addr, offered := p.addr, p.offered
		p.addr = ""
		if addr == "" || !n.snap.Load().isBehind(offered) {
			p.busy = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		n.exchangeUpdate(ctx, addr)
	}
}

// maxErasAhead is how many eras a list may be ahead of this node's. The era is the
// number of times the store has been restored from an older copy, and the high part of
// a revision. If a node accepted a list of an impossibly high era, it would treat all
// later lists as outdated. A node that has no list yet accepts one of any era.
const maxErasAhead = 16

// merge applies a message of another node: it merges suspects, rate limits, prompt parts,
// crashes and usage reports, and passes members and documents on to the control loop.
func (n *Node) merge(ctx context.Context, state citronpeer.GossipState) {
	n.mergeSuspects(ctx, state.From.Name, state.Suspects)
	n.mergeLimits(ctx, state.From.Name, state.Limits)
	n.mergeParts(ctx, state.From.Name, state.Parts)
	n.addCrashes(ctx, state.From.Name, state.Crashes)
	n.mergeUsage(ctx, state.From.Name, state.Usage)
	n.sendToLoop(ctx, memberUpdate{from: state.From, diff: state.Diff, digest: state.Digest, zoneTotals: state.ZoneTotals})
	if len(state.Config.Body) > 0 {
		n.offerConfig(ctx, state.Config.Version, state.Config.Body, sourceNode)
	}
	if len(state.Engines.Body) == 0 {
		return
	}
	if own := n.storeEra(); state.Engines.Revision.Era() > own+maxErasAhead && !n.snap.Load().list.Revision.IsZero() {
		citronevent.Log(ctx, n.log, citronevent.EngineRejected, "key", "exchange", "peer", state.From.Name, "revision", state.Engines.Revision.String(), "era", own)
		return
	}
	var items []citronkv.Item
	if err := json.Unmarshal(state.Engines.Body, &items); err != nil {
		citronevent.Log(ctx, n.log, citronevent.EngineRejected, "key", "exchange", "err", err)
		return
	}
	if !state.Engines.Base.IsZero() {
		n.sendToLoop(ctx, listDelta{items: items, base: state.Engines.Base, revision: state.Engines.Revision, source: sourceNode})
		return
	}
	n.sendToLoop(ctx, listSnapshot{items: items, revision: state.Engines.Revision, source: sourceNode})
}
