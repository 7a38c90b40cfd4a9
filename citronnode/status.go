package citronnode

import (
	"time"
)

// Status is what a node knows at one moment, for its metrics.
type Status struct {
	// ConfigVersion is that in force, 0 without one; ConfigAge the time
	// since it was put in force here.
	ConfigVersion int64
	ConfigAge     time.Duration
	// ListRevision is that of the list of engines, ListAge the time since
	// the list last changed.
	ListRevision int64
	ListAge      time.Duration
	// StoreEra is how often the store has come back from an older copy.
	StoreEra int64
	// Ready and Leaving count engines, Nodes the other nodes heard.
	Ready, Leaving, Nodes int
	// Unreadable are entries of the list that name no engine, of another writer.
	Unreadable int
	// Kept are engines in use whose entries are missing (outage.go).
	Kept int
	// Suspects are requests under which engines have ended, Barred those of them
	// that are not sent to engines. SuspectsRejected are messages of other nodes
	// about such requests of which nothing was taken.
	Suspects, Barred int
	SuspectsRejected int64
	// Limited are engines that name a rate limit; LimitsRejected are messages of
	// other nodes about limits of which nothing was taken.
	Limited        int
	LimitsRejected int64
	// Watching: the node watches the store, and the store answers.
	// Leads: it holds the lease under which layers are placed. Places: it places
	// them.
	Watching, Leads, Places bool
}

// Status returns what the node knows now.
func (n *Node) Status() Status {
	s := n.snap.Load()
	out := Status{ConfigVersion: s.config.Version, ListRevision: s.list.Revision.Number(), StoreEra: s.list.Revision.Era(), Nodes: len(s.members), Unreadable: s.unreadable, Kept: s.kept, Watching: s.self.Watching, Leads: s.self.Leads, Places: n.places.Load()}
	out.Suspects, out.Barred = n.quarantine.Count()
	out.Limited, out.LimitsRejected = n.limits.Limited(), n.limitsRejected.Load()
	out.SuspectsRejected = n.suspectsRejected.Load()
	now := n.clock.Now()
	if !s.configAt.IsZero() {
		out.ConfigAge = now.Sub(s.configAt)
	}
	if !s.listAt.IsZero() {
		out.ListAge = now.Sub(s.listAt)
	}
	for _, e := range s.engines {
		if e.Leaving {
			out.Leaving++
		} else {
			out.Ready++
		}
	}
	return out
}
