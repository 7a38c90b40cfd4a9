package citronpermit

import (
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cespare/xxhash/v2"
)

// DealerFor returns the node that deals out permits for an engine: one of the engine's zone,
// whose nodes send it most, if any is there, and rather one that has processor time.
func DealerFor(engine, zone string, nodes []citronpeer.Member) (citronpeer.Member, bool) {
	var best citronpeer.Member
	var most draw
	found := false
	for _, m := range nodes {
		if m.Leaving {
			continue
		}
		d := draw{near: m.Zone == zone, strong: !m.Weak, hash: xxhash.Sum64String(engine + "/" + m.Name)}
		if !found || d.beats(most) {
			best, most, found = m, d, true
		}
	}
	return best, found
}

// draw is what decides between two nodes.
type draw struct {
	near, strong bool
	hash         uint64
}

func (d draw) beats(o draw) bool {
	switch {
	case d.near != o.near:
		return d.near
	case d.strong != o.strong:
		return d.strong
	default:
		return d.hash > o.hash
	}
}
