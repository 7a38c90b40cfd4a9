package citronnode

// The control loop's view of the other nodes.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronroster"
)

// mergeMembers merges complete entries that another node sent.
func (c *control) mergeMembers(diff citronpeer.Diff) {
	now := c.n.clock.Now()
	for i, m := range diff.Members {
		updated, changed := c.members.RecordMember(m, now.Add(-diff.Age(i)), now)
		if !updated {
			continue
		}
		if !m.Partitioned {
			c.avoidDead(context.Background(), m.Name, m.Dead)
		}
		for instance, startedAt := range m.Starts {
			c.list.RecordRestart(context.Background(), instance, startedAt)
		}
		if !changed {
			continue
		}
		c.collectDue = true
		c.n.refusals.Forget(m.Peer)
		c.changedMembers = append(c.changedMembers, m.Name)
		if m.Leaving {
			c.n.notifyPeers()
		}
	}
}

// mergeGauges merges gauges of nodes whose complete entries are known.
func (c *control) mergeGauges(gauges []citronpeer.GaugeUpdate) {
	now := c.n.clock.Now()
	for _, g := range gauges {
		if k, back := c.members.RecordGauges(g, now); back {
			c.memberReturned(k)
		}
	}
}

// mergeDigest learns from another node's digest which nodes are alive.
func (c *control) mergeDigest(d citronpeer.Digest) {
	for _, k := range c.members.RecordDigest(d, c.n.clock.Now()) {
		c.memberReturned(k)
	}
}

// memberReturned records that a lost node is back.
func (c *control) memberReturned(k *citronroster.TrackedMember) {
	c.collectDue = true
	c.changedMembers = append(c.changedMembers, k.Name)
}

// mergeZoneTotals merges the totals of other zones.
func (c *control) mergeZoneTotals(sums []citronpeer.ZoneTotals) {
	now := c.n.clock.Now()
	for _, s := range sums {
		c.zoneTotals.Merge(s, now)
	}
}

// ageMembers probes the nodes that have not been heard of for some time, and logs the
// nodes that have just become lost.
func (c *control) ageMembers(ctx context.Context, now time.Time) {
	overdue, lost := c.members.Age(now)
	for _, k := range overdue {
		go c.n.exchangeUpdate(ctx, k.Peer)
	}
	if len(lost) == 0 {
		return
	}
	names := make([]string, len(lost))
	for i, k := range lost {
		names[i] = k.Name
		c.n.refusals.Forget(k.Peer)
	}
	citronevent.Log(ctx, c.n.log, citronevent.MemberLost, "lost", len(lost), "members", names[:min(maxLoggedNames, len(names))], "peer", lost[0].Peer, "age", now.Sub(lost[0].LastHeard))
}

// maxLoggedNames limits the node names in a log line.
const maxLoggedNames = 5

// logChangedMembers logs in one line which nodes appeared, returned or changed. With one
// line for each node, the logs of the fleet would grow with the square of the number of
// nodes when they restart in turn.
func (c *control) logChangedMembers(ctx context.Context) {
	if len(c.changedMembers) == 0 {
		return
	}
	ready, leaving := 0, 0
	for k := range c.members.All() {
		if acceptsCallers(k.Member) {
			ready++
		}
		if k.Leaving {
			leaving++
		}
	}
	citronevent.Log(ctx, c.n.log, citronevent.MemberJoined, "changed", len(c.changedMembers), "members", c.changedMembers[:min(maxLoggedNames, len(c.changedMembers))], "ready", ready, "leaving", leaving)
	c.changedMembers = nil
}

// targetRetention is how long the target layer ranges of a leader that is no longer
// heard of remain valid. Within this time its lease expires and most loads finish.
const targetRetention = 6 * time.Second

// lastKnownTargets returns the target layer ranges that a leader announced last.
func (c *control) lastKnownTargets(now time.Time) map[string]citronmodel.Span {
	var last *citronroster.TrackedMember
	for k := range c.members.All() {
		if len(k.TargetLayers) > 0 && now.Sub(k.LastHeard) < targetRetention && (last == nil || k.LastHeard.After(last.LastHeard)) {
			last = k
		}
	}
	out := map[string]citronmodel.Span{}
	if last == nil {
		return out
	}
	for id, s := range last.TargetLayers {
		out[id] = citronmodel.Span{From: s[0], To: s[1]}
	}
	return out
}

// collectMembers writes the state of the other nodes into a snapshot and reports what they
// have sent to the retry budget. It visits every node, so it runs once per tick and when a
// node has appeared, returned or changed, but not for every message.
func (c *control) collectMembers(s *snapshot) {
	now := c.n.clock.Now()
	alive := c.members.Alive(now)
	s.members = make([]citronpeer.Member, len(alive))
	s.stale = map[string]bool{}
	others := citronroster.NewTotal()
	for i, e := range alive {
		s.members[i] = e.Member
		if e.Age > citronroster.FreshFor {
			s.stale[e.Name] = true
		}
		if e.Zone == c.self.Zone {
			others.Add(e.Load, nil)
		}
		for _, id := range e.LeavingEngines {
			c.list.RecordLeaving(context.Background(), id, false)
		}
	}
	sent := citronroster.NewTotal()
	sent.Add(nil, c.members.Sent(now, c.n.budget.Window()))
	own := citronroster.Total{Load: others.Load, Sent: sent.Sent}.Clone()
	own.Add(c.self.Load, c.self.Sent)
	c.zoneTotals.Set(citronpeer.ZoneTotals{Load: own.Load, Sent: own.Sent}, now)
	s.zoneTotals = c.zoneTotals.Current(now)
	for _, sum := range s.zoneTotals {
		if sum.Zone != c.self.Zone {
			others.Add(sum.Load, nil)
		}
	}
	sent.Add(nil, c.zoneTotals.Sent(now, c.n.budget.Window()))
	s.otherNodesCache = others.Load
	if c.view != nil && c.n.usesUsage(s) {
		c.view.SetZoneTokens(others.Load, c.self.Load)
	}
	s.roster = citronroster.New(c.self.Zone, append(alive, citronroster.Entry{Member: c.self, Fingerprint: citronroster.Fingerprint(c.self)}))
	s.targets = c.lastKnownTargets(now)
	c.updateBudget(alive, sent.Sent, now)
}
