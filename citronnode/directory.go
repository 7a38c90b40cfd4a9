package citronnode

import (
	"citrondeck.dev/citrondeck/citronpeer"
)

const (
	// enough nodes of a caller's own zone: with fewer, the loss of one
	// leaves its callers nowhere to go, so other zones are named too.
	enoughInZone = 2
	// mostAddresses is what callers take of one answer.
	mostAddresses = 64
)

// Addresses returns where callers of a zone should connect: nodes of their
// own zone, and others only where those are too few. Nodes that are stopping
// are never named, also when all are: callers keep what they have until a
// node is back, and spread better over that than over the few that stopped
// last.
func (n *Node) Addresses(zone string) []string {
	s := n.snap.Load()
	var near, far []string
	for _, m := range append([]citronpeer.Member{s.self}, s.members...) {
		if !takesCallers(m) || s.stale[m.Name] {
			continue
		}
		if m.Zone == zone {
			near = append(near, m.Front)
		} else {
			far = append(far, m.Front)
		}
	}
	if len(near) < enoughInZone {
		near = append(near, far...)
	}
	return near[:min(len(near), mostAddresses)]
}
