package citronnode

import (
	"time"
)

// Status is a node's view of the fleet at one moment, for its metrics.
type Status struct {
	// ConfigVersion is the active configuration version, or 0 without one. ConfigAge is
	// the time since it took effect on this node.
	ConfigVersion int64
	ConfigAge     time.Duration
	// ListRevision is the revision of the list of engines. ListAge is the time since the
	// list last changed.
	ListRevision int64
	ListAge      time.Duration
	// StoreEra is the number of times the store has been restored from an older copy.
	StoreEra int64
	// Ready and Leaving count engines. Nodes counts the other nodes heard of.
	Ready, Leaving, Nodes int
	// Unreadable counts the entries in the list that do not describe an engine, written
	// by some other program.
	Unreadable int
	// Retained counts the retained engines: engines in use whose entries are missing.
	Retained int
	// Suspects counts the requests under which engines have crashed. Quarantined counts those
	// of them that are quarantined and not sent to engines. SuspectsRejected counts the
	// rejected messages of other nodes, and the rejected records in the store, about such
	// requests.
	Suspects, Quarantined int
	SuspectsRejected      int64
	// QuarantinedParts counts the prompt parts with which requests are not sent to engines.
	QuarantinedParts int
	// Limited counts the engines that have announced a rate limit. LimitsRejected counts
	// the rejected messages of other nodes about limits.
	Limited        int
	LimitsRejected int64
	// UsageFromEngines and UsageFromNodes count the reports of engines about their usage
	// that were taken from the engines themselves and from other nodes. UsageRejected
	// counts the invalid ones, and UsageFresh the engines with a fresh report.
	UsageFromEngines, UsageFromNodes, UsageRejected int64
	UsageFresh                                      int
	// Cooling counts the engines that have asked this node for a cool-down.
	Cooling int
	// Partitioned reports that the node does not reach most engines that other nodes reach.
	Partitioned bool
	// EnginesTried counts the engines that the node has lately tried to reach, and
	// EnginesUnreached those that it failed to reach.
	EnginesTried, EnginesUnreached int
	// Watching reports that the node watches the store and the store answers. Leads
	// reports that the node holds the lease under which layers are placed, or is the
	// acting leader. Places reports that the node places layers.
	Watching, Leads, Places bool
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	s := n.snap.Load()
	out := Status{ConfigVersion: s.config.Version, ListRevision: s.list.Revision.Count(), StoreEra: s.list.Revision.Era(), Nodes: len(s.members), Unreadable: s.unreadable, Retained: s.retained, Watching: s.self.Watching, Leads: s.self.Leads, Places: n.places.Load()}
	out.Suspects, out.Quarantined = n.quarantine.Count()
	out.QuarantinedParts = n.parts.Quarantined()
	out.Limited, out.LimitsRejected = n.limits.CountLimited(), n.limitsRejected.Load()
	out.SuspectsRejected = n.suspectsRejected.Load()
	reach := n.links.Summary()
	out.Partitioned = s.self.Partitioned
	out.EnginesTried, out.EnginesUnreached = reach.Tried, reach.Unreached
	now := n.clock.Now()
	if !s.configAt.IsZero() {
		out.ConfigAge = now.Sub(s.configAt)
	}
	if !s.listAt.IsZero() {
		out.ListAge = now.Sub(s.listAt)
	}
	if s.traffic != nil {
		u := s.traffic.View.UsageTable().Counts(now)
		out.UsageFromEngines, out.UsageFromNodes, out.UsageRejected, out.UsageFresh = u.FromEngines, u.FromNodes, u.Rejected, u.Fresh
	}
	for _, e := range s.engines {
		if s.traffic != nil {
			if seen, ok := s.traffic.View.ByID(e.ID); ok && seen.CoolingFor(now) > 0 {
				out.Cooling++
			}
		}
		if e.Leaving {
			out.Leaving++
		} else {
			out.Ready++
		}
	}
	return out
}
