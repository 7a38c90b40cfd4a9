package citronnode

import "citrondeck.dev/citrondeck/citronpeer"

const (
	// enough nodes of a caller's own zone: with fewer, the loss of one
	// leaves its callers nowhere to go, so other zones are named too.
	enoughInZone = 2
	// mostAddresses is what callers take of one answer.
	mostAddresses = 64
)

// Addresses returns where callers of a zone should connect: nodes of their
// own zone, and others only where those are too few.
func (n *Node) Addresses(zone string) []string {
	s := n.snap.Load()
	all := make([]citronpeer.Member, 0, len(s.members)+1)
	if n.Ready() {
		all = append(all, s.self)
	}
	for _, m := range s.members {
		if m.Ready && !m.Leaving {
			all = append(all, m)
		}
	}
	var near, far []string
	for _, m := range all {
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
