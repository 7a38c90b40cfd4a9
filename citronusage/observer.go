package citronusage

import "citrondeck.dev/citrondeck/citronrendezvous"

// Member is a node that could observe engines.
type Member struct {
	Name, Zone string
	// Weak reports that the node has too little processor time for tasks that another node
	// can do. Unfit reports that it is leaving, is partitioned or has not been heard of
	// lately.
	Weak, Unfit bool
}

// Ranks of possible observers. They add up.
const (
	rankStrong = 1
	rankFit    = 2
)

// Candidates returns the nodes among which the observers of a zone's engines are chosen:
// the nodes of the zone that are fit and not weak, or else the fit ones, or else all. There
// are none if the zone has no node, and then nobody observes its engines.
func Candidates(zone string, members []Member) []Member {
	return citronrendezvous.Top(members, func(m Member) int {
		if m.Zone != zone {
			return -1
		}
		rank := 0
		if !m.Weak {
			rank += rankStrong
		}
		if !m.Unfit {
			rank += rankFit
		}
		return rank
	})
}

// Observer returns the name of the node that observes the engine with the given
// incarnation ID, one of the candidates of the engine's zone. It returns false if there
// are none.
func Observer(engine string, candidates []Member) (string, bool) {
	m, ok := citronrendezvous.Choose(engine, candidates, func(m Member) string { return m.Name })
	return m.Name, ok
}
