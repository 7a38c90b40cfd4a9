package citronnode

import (
	"citrondeck.dev/citrondeck/citronpeer"
)

const (
	// minInZone is the number of nodes in the caller's own zone below which nodes of
	// other zones are returned too: the loss of a single node would leave the callers
	// without an address.
	minInZone = 2
	// maxAddresses is the number of addresses that callers accept in one answer.
	maxAddresses = 64
)

// Addresses returns the addresses where callers of a zone should connect: nodes of their
// own zone, and nodes of other zones only if there are too few. Partitioned nodes, which reach
// the engines only through others, are returned only if there are too few of these as well.
// Nodes that are stopping are never returned, even if all nodes are stopping: callers then
// keep the addresses that they have until a node is back. Those spread the callers better
// than the addresses of the few nodes that stopped last would.
func (n *Node) Addresses(zone string) []string {
	s := n.snap.Load()
	var near, far, partitioned []string
	for _, m := range append([]citronpeer.Member{s.self}, s.members...) {
		if !acceptsCallers(m) || s.stale[m.Name] {
			continue
		}
		if m.Partitioned {
			partitioned = append(partitioned, m.Front)
			continue
		}
		if m.Zone == zone {
			near = append(near, m.Front)
		} else {
			far = append(far, m.Front)
		}
	}
	if len(near) < minInZone {
		near = append(near, far...)
	}
	if len(near) < minInZone {
		near = append(near, partitioned...)
	}
	return near[:min(len(near), maxAddresses)]
}
