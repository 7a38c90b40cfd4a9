package citronpermit

import (
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cespare/xxhash/v2"
)

// IssuerFor returns the node that issues the permits for an engine. Nodes in the engine's
// zone come first, because they send the engine the most requests. In the zone and outside
// of it, nodes that have processor time to spare come first (Member.Weak). Rendezvous
// hashing decides between nodes that are equal in both. It returns false if all nodes are
// leaving.
func IssuerFor(engine, zone string, nodes []citronpeer.Member) (citronpeer.Member, bool) {
	var best citronpeer.Member
	var bestRank rank
	found := false
	for _, m := range nodes {
		if m.Leaving {
			continue
		}
		r := rank{sameZone: m.Zone == zone, strong: !m.Weak, hash: xxhash.Sum64String(engine + "/" + m.Name)}
		if !found || r.above(bestRank) {
			best, bestRank, found = m, r, true
		}
	}
	return best, found
}

// rank orders the nodes that could issue the permits for an engine.
type rank struct {
	sameZone, strong bool
	hash             uint64
}

// above reports whether r ranks above o.
func (r rank) above(o rank) bool {
	switch {
	case r.sameZone != o.sameZone:
		return r.sameZone
	case r.strong != o.strong:
		return r.strong
	default:
		return r.hash > o.hash
	}
}
