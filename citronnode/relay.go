package citronnode

// Engines that this node does not reach over its own links, and nodes that do not reach the
// engines over theirs.

import (
	"context"
	"slices"

	"citrondeck.dev/citrondeck/citrongate"
	"citrondeck.dev/citrondeck/citronhelper"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronreach"
)

// Engines returns the client by which requests are sent to engines.
func (n *Node) Engines() *citronreach.Engines { return n.engines }

// RelayThrough sets the gate through which the requests of other nodes are sent. Without it,
// this node relays none.
func (n *Node) RelayThrough(g *citrongate.Gate) { n.relayGate.Store(g) }

// trackRelay counts a request of another node in flight, or returns nil if this node is
// stopping.
func (n *Node) trackRelay() func() {
	if n.leaving.Load() {
		return nil
	}
	return n.Track()
}

// view returns the newest list of engines, or nil before the first one.
func (n *Node) view() *citronpool.View {
	if t := n.Traffic(); t != nil {
		return t.View
	}
	return nil
}

// neighbors returns the other engines of the same service and zone as the engine at addr, or
// those of the service if it is the only one in its zone. A partition usually separates a node
// from all of them or from none.
func (n *Node) neighbors(addr string) citronreach.Neighbors {
	v := n.view()
	if v == nil {
		return citronreach.Neighbors{}
	}
	e, ok := v.ByAddr(addr)
	if !ok {
		return citronreach.Neighbors{}
	}
	inZone := citronreach.Neighbors{Group: e.Service + " in " + e.Zone}
	all := citronreach.Neighbors{Group: e.Service}
	for _, o := range v.ByService[e.Service] {
		if o.Leaving || o.Addr == addr {
			continue
		}
		all.Addrs = append(all.Addrs, o.Addr)
		if o.Zone == e.Zone {
			inZone.Addrs = append(inZone.Addrs, o.Addr)
		}
	}
	if len(inZone.Addrs) > 0 {
		return inZone
	}
	return all
}

// reachesEngines reports whether a node is likely to reach the engines and to relay requests.
func reachesEngines(m citronpeer.Member) bool { return acceptsCallers(m) && !m.Partitioned }

// helpers returns the nodes that can be asked to relay requests.
func (n *Node) helpers() []citronhelper.Helper {
	s := n.snap.Load()
	var helpers []citronhelper.Helper
	for _, m := range s.members {
		if reachesEngines(m) && !s.stale[m.Name] {
			helpers = append(helpers, citronhelper.Helper{Name: m.Name, Peer: m.Peer, Near: m.Zone == n.settings.Zone})
		}
	}
	return helpers
}

// shouldLeaveLead reports whether another node should place layers, because this one does
// not reach the engines.
func (n *Node) shouldLeaveLead() bool {
	s := n.snap.Load()
	return s.self.Partitioned && slices.ContainsFunc(s.members, reachesEngines)
}

// updateLinks checks links that are broken, and tells other nodes at once if this node
// becomes partitioned or ceases to be.
func (c *control) updateLinks(ctx context.Context) {
	check, partitioned := c.n.links.Tick(ctx)
	c.n.engines.Check(ctx, check)
	if partitioned == c.self.Partitioned {
		return
	}
	c.self.Partitioned = partitioned
	go c.n.announce(ctx)
}
