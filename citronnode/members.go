package citronnode

// The other nodes, as the control loop knows them.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronroster"
)

// mergeMembers merges what another node knows of whole members.
func (c *control) mergeMembers(told citronpeer.Diff) {
	now := c.n.clock.Now()
	for i, m := range told.Members {
		news, changed := c.members.Take(m, now.Add(-told.Age(i)), now)
		if !news {
			continue
		}
		c.suspect(m.Dead)
		for instance, born := range m.Starts {
			c.list.StartedAnew(context.Background(), instance, born)
		}
		if !changed {
			continue
		}
		c.membersDue = true
		c.joined = append(c.joined, m.Name)
		if m.Leaving {
			c.n.tell()
		}
	}
}

// takeGauges takes news of nodes that are known whole.
func (c *control) takeGauges(gauges []citronpeer.Gauge) {
	now := c.n.clock.Now()
	for _, g := range gauges {
		if k, back := c.members.TakeGauge(g, now); back {
			c.back(k)
		}
	}
}

// takeDigest takes from another node's digest that nodes live.
func (c *control) takeDigest(d citronpeer.Digest) {
	for _, k := range c.members.TakeDigest(d, c.n.clock.Now()) {
		c.back(k)
	}
}

// back notes that a node that was lost is not.
func (c *control) back(k *citronroster.Known) {
	c.membersDue = true
	c.joined = append(c.joined, k.Name)
}

// takeSums takes what other zones do.
func (c *control) takeSums(sums []citronpeer.Sum) {
	now := c.n.clock.Now()
	for _, s := range sums {
		c.sums.Take(s, now)
	}
}

// ageMembers asks nodes that were not heard of for some time, and takes those
// that do not answer for lost.
func (c *control) ageMembers(ctx context.Context, now time.Time) {
	ask, lost := c.members.Age(now)
	for _, k := range ask {
		go c.n.fetch(ctx, k.Peer)
	}
	if len(lost) == 0 {
		return
	}
	names := make([]string, len(lost))
	for i, k := range lost {
		names[i] = k.Name
	}
	citronevent.Log(ctx, c.n.log, citronevent.MemberLost, "lost", len(lost), "members", names[:min(mostNames, len(names))], "peer", lost[0].Peer, "age", now.Sub(lost[0].Heard))
}

// mostNames bounds the names in a log line.
const mostNames = 5

// logJoined logs in one line which nodes were heard of: a line for each would
// grow with the square of the nodes when they restart in turn.
func (c *control) logJoined(ctx context.Context) {
	if len(c.joined) == 0 {
		return
	}
	ready, leaving := 0, 0
	for k := range c.members.All() {
		if takesCallers(k.Member) {
			ready++
		}
		if k.Leaving {
			leaving++
		}
	}
	citronevent.Log(ctx, c.n.log, citronevent.MemberJoined, "changed", len(c.joined), "members", c.joined[:min(mostNames, len(c.joined))], "ready", ready, "leaving", leaving)
	c.joined = nil
}

// goalsMemory is how long the goals of a leader that is not heard of any
// more are believed: a lease runs out and most loads end within it.
const goalsMemory = 6 * time.Second

// lateGoals are the goals that a leader told of last.
func (c *control) lateGoals(now time.Time) map[string]citronmodel.Span {
	var last *citronroster.Known
	for k := range c.members.All() {
		if len(k.Goals) > 0 && now.Sub(k.Heard) < goalsMemory && (last == nil || k.Heard.After(last.Heard)) {
			last = k
		}
	}
	out := map[string]citronmodel.Span{}
	if last == nil {
		return out
	}
	for id, s := range last.Goals {
		out[id] = citronmodel.Span{From: s[0], To: s[1]}
	}
	return out
}

// gather puts what is known of the nodes into a snapshot, and has the budget
// learn what they have used. It looks at every node, so it is done once a tick
// and not with every message.
func (c *control) gather(s *snapshot) {
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
			others.Add(e.Load, e.Sent)
		}
	}
	own := others.Clone()
	own.Add(c.self.Load, c.self.Sent)
	c.sums.Set(citronpeer.Sum{Load: own.Load, Sent: own.Sent}, now)
	s.sums = c.sums.Tell(now)
	for _, sum := range s.sums {
		if sum.Zone != c.self.Zone {
			others.Add(sum.Load, sum.Sent)
		}
	}
	s.others = others.Load
	newsAge := 2 * c.members.NearGap()
	for _, sum := range s.sums {
		newsAge = max(newsAge, 2*c.members.NearGap()+time.Duration(sum.AgeMS)*time.Millisecond)
	}
	s.roster = citronroster.New(c.self.Zone, append(alive, citronroster.Entry{Member: c.self, Print: citronroster.Of(c.self)}))
	s.goals = c.lateGoals(now)
	used := map[string]citronbudget.Usage{}
	for service, u := range others.Sent {
		used[service] = citronbudget.Usage(u)
	}
	c.n.budget.Learn(used, newsAge, len(alive)+1, now)
}
