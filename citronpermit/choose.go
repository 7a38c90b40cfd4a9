package citronpermit

import (
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronrendezvous"
)

// Ranks of the nodes that could issue the permits for an engine. They add up.
const (
	rankStrong   = 1
	rankSameZone = 2
)

// IssuerFor returns the node that issues the permits for an engine. Nodes in the engine's
// zone come first, because they send the engine the most requests. In the zone and outside
// of it, nodes that have processor time to spare come first (Member.Weak). Rendezvous
// hashing decides between nodes that are equal in both. It returns false if all nodes are
// leaving.
func IssuerFor(engine, zone string, nodes []citronpeer.Member) (citronpeer.Member, bool) {
	top := citronrendezvous.Top(nodes, func(m citronpeer.Member) int {
		rank := 0
		switch {
		case m.Leaving:
			return -1
		case m.Zone == zone:
			rank += rankSameZone
		}
		if !m.Weak {
			rank += rankStrong
		}
		return rank
	})
	return citronrendezvous.Choose(engine, top, func(m citronpeer.Member) string { return m.Name })
}
