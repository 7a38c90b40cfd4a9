package citronnode

// The control loop: the one goroutine that owns what this node believes.
// Documents come from the store and from other nodes alike; the higher
// revision wins, whoever brings it, so a node never goes back.

import (
	"context"
	"maps"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronlist"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronroster"
	"citrondeck.dev/citrondeck/citrontable"
)

const (
	// inboxSize lets sources go on while the loop builds a table.
	inboxSize = 256
	// tickEvery is how often the loop looks at what time changes; each tick is a
	// beat of this node.
	tickEvery = citronpeer.BeatEvery
	// deadNews is how long a node tells others of an engine that it found
	// dead; they check for themselves.
	deadNews = 1500 * time.Millisecond
)

// Where a document came from, for the log.
const (
	sourceStore = "store"
	sourceNode  = "node"
)

// message is an input of the control loop.
type message interface{ isMessage() }

// listSeen brings the whole list of engines as of a revision.
type listSeen struct {
	items    []citronkv.Item
	revision citronkv.Revision
	source   string
}

// listChanged brings the changes of the list after base up to a revision.
type listChanged struct {
	items          []citronkv.Item
	base, revision citronkv.Revision
	source         string
}

// membersSeen brings news of other nodes: some whole, of others the gauges or
// just that they live; and what zones do together.
type membersSeen struct {
	// from is the node that tells it, told what it has heard of others.
	from   citronpeer.Member
	told   citronpeer.Diff
	digest citronpeer.Digest
	sums   []citronpeer.Sum
}

func (listSeen) isMessage()    {}
func (listChanged) isMessage() {}
func (membersSeen) isMessage() {}

// control is the state of the loop.
type control struct {
	n      *Node
	config citronpeer.ConfigDocument
	table  *citrontable.Table
	// list is what is believed of the engines; listVersion is that of the
	// view.
	list        *citronlist.List
	listVersion int
	// era is that of the list, and eraAt when it began if this node saw that.
	era     int64
	eraAt   time.Time
	members *citronroster.Table
	sums    *citronroster.Sums
	self    citronpeer.Member
	view    *citronpool.View
	// listSince is when the first list came, listAt when it last changed,
	// configAt when the configuration did.
	listSince, listAt, configAt time.Time
	// storeAway: the store was away for all nodes within the last seconds.
	storeAway bool
	// changed: the configuration did, and the view is to be built anew.
	// membersDue: what is known of the nodes is to be gathered.
	changed, membersDue bool
	// joined are the nodes heard of, or heard differently of, since the last
	// tick.
	joined []string
}

func newControl(n *Node) *control {
	c := &control{n: n, members: citronroster.NewTable(n.set.Name, n.set.Zone), sums: citronroster.NewSums(n.set.Zone), self: n.snap.Load().self}
	c.list = citronlist.New(citronlist.Settings{
		Prefix: n.src.EnginePrefix, Decode: n.src.DecodeEngine, DrainWithin: n.set.DrainWithin, Clock: n.clock, Log: n.log, Ended: c.ended,
	})
	return c
}

func (n *Node) loop(ctx context.Context) {
	c := newControl(n)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		// A new configuration goes before all other news: callers are served
		// by the old one until it is in force.
		select {
		case <-n.configs.ready:
			c.takeNewest(ctx)
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-n.configs.ready:
			c.takeNewest(ctx)
		case m := <-n.control:
			c.take(ctx, m)
		case <-tick.C:
			c.tick(ctx)
		}
		c.publish()
	}
}

func (c *control) take(ctx context.Context, m message) {
	switch m := m.(type) {
	case listSeen:
		if c.list.TakeWhole(ctx, m.items, m.revision, m.source == sourceStore) {
			c.listTaken(ctx, m.source)
		}
	case listChanged:
		if c.list.TakeChanges(ctx, m.items, m.base, m.revision, m.source == sourceStore) {
			c.listTaken(ctx, m.source)
		}
	case membersSeen:
		c.mergeMembers(citronpeer.Diff{Members: []citronpeer.Member{m.from}})
		c.mergeMembers(m.told)
		c.takeGauges(m.told.Gauges)
		c.takeDigest(m.digest)
		c.takeSums(m.sums)
	}
}

// listTaken is called when news of the list was taken.
func (c *control) listTaken(ctx context.Context, source string) {
	c.listAt = c.n.clock.Now()
	if era := c.list.Revision().Era(); era != c.era {
		c.era = era
		if !c.listSince.IsZero() {
			c.eraAt = c.listAt
		}
		c.n.quarantine.InvalidateSaved()
		wake(c.n.barredNews)
	}
	if c.listSince.IsZero() {
		c.listSince = c.listAt
	}
	c.n.tell()
	e := citronevent.EnginesChanged
	if source != sourceStore {
		e = citronevent.EnginesHeard // a line of each node for each change would hide all else
	}
	citronevent.Log(ctx, c.n.log, e, "revision", c.list.Revision().String(), "engines", c.list.Len(), "source", source)
}

// ended has the requests moved that run on an engine that has ended.
func (c *control) ended(e citronmodel.Engine) {
	if c.view == nil {
		return
	}
	if seen, ok := c.view.ByID(e.ID); ok {
		seen.Replace(c.n.clock.Now())
	}
}

// noteStarts takes from traffic which engines told that they had started anew,
// and has the other nodes hear of it.
func (c *control) noteStarts(ctx context.Context) {
	if c.view != nil {
		for _, e := range c.view.StartedAnew() {
			c.list.StartedAnew(ctx, e.Instance, e.LaterStart())
		}
	}
	starts := c.list.Starts()
	if len(starts) > len(c.self.Starts) {
		c.n.alarm()
	}
	c.self.Starts = starts
}

// takeConfig puts a decoded configuration in force.
func (c *control) takeConfig(ctx context.Context, d decodedConfig) {
	if c.table != nil && d.table.Version <= c.table.Version {
		return
	}
	c.table, c.configAt = d.table, c.n.clock.Now()
	c.config = citronpeer.ConfigDocument{Version: d.table.Version, Body: d.body}
	c.changed = true
	c.n.tell()
	citronevent.Log(ctx, c.n.log, citronevent.TableApplied, "version", d.table.Version, "source", d.source)
}

// suspect leaves engines alone that another node found dead.
func (c *control) suspect(ids []string) {
	if c.view == nil {
		return
	}
	for _, id := range ids {
		if e, ok := c.view.ByID(id); ok {
			e.Suspect(c.n.clock.Now())
		}
	}
}

func (c *control) tick(ctx context.Context) {
	now := c.n.clock.Now()
	c.ageMembers(ctx, now)
	c.watchStore(ctx, now) // after those who are lost are known
	c.logJoined(ctx)
	c.self.Beat++
	c.self.Leaving = c.n.leaving.Load()
	c.self.Ready = c.n.Ready()
	c.self.Leads = c.n.leads.Load()
	c.self.Watching = c.n.answered.Load() == followed
	c.noteStarts(ctx)
	c.n.limits.Tick()
	c.tellGoals()
	c.self.Load = c.n.loads.Sums()
	c.self.Sent = map[string]citronpeer.Sent{}
	for service, u := range c.n.budget.Used(now) {
		c.self.Sent[service] = citronpeer.Sent(u)
	}
	if c.view != nil {
		dead := c.view.Dead(now.Add(-deadNews))
		if len(dead) > len(c.self.Dead) {
			c.n.alarm()
		}
		c.self.Dead = dead
	}
	c.membersDue = true
}

// watchStore tells others how the store serves this node, and the list whether
// it was away for all.
func (c *control) watchStore(ctx context.Context, now time.Time) {
	c.self.Store = c.n.health.Status(now)
	statuses := []citronhealth.Status{c.self.Store}
	for k := range c.members.All() {
		if k.Alive && !k.Stale {
			statuses = append(statuses, k.Store)
		}
	}
	if away := citronhealth.Away(statuses...); away != c.storeAway {
		c.storeAway = away
		c.logStore(ctx, now, statuses)
	}
	c.list.Tick(ctx, c.storeAway)
}

// logStore logs what is believed of the store and on what that rests.
func (c *control) logStore(ctx context.Context, now time.Time, statuses []citronhealth.Status) {
	unanswered, back, answered, served := 0, 0, 0, 0
	for _, s := range statuses {
		unanswered += one(s.Away)
		back += one(s.Back)
		answered += one(s.Answered)
		served += one(s.Served)
	}
	args := []any{"away", c.storeAway, "nodes", len(statuses), "unanswered", unanswered, "back", back, "answered", answered, "served", served}
	if f := c.n.health.Failed(); f != nil {
		args = append(args, "step", f.Name, "key", f.Key, "age", now.Sub(f.Ended), "err", f.Err)
	}
	citronevent.Log(ctx, c.n.log, citronevent.StoreAway, args...)
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// tellGoals has the others know what this node as the leader wants engines
// to hold: if it dies, the next leader goes on with that.
func (c *control) tellGoals() {
	goals := map[string][2]int{}
	if f := c.n.goals.Load(); f != nil {
		for id, s := range (*f)() {
			goals[id] = [2]int{s.From, s.To}
		}
	}
	if !maps.Equal(goals, c.self.Goals) {
		c.self.Goals = goals
		c.n.tell()
	}
}

// settle is how long after the first list a node waits before it says that
// it is ready: on a cold start engines are still registering.
const settle = 300 * time.Millisecond

// listWhole is how long after its first list a node may take it for whole:
// entries that lapsed before that are back by then. Entries that lapse later
// stay in its list meanwhile.
const listWhole = 2200 * time.Millisecond

// publish makes the newest state visible to traffic, gossip and placement.
func (c *control) publish() {
	old := c.n.snap.Load()
	s := &snapshot{eraAt: c.eraAt, config: c.config, configAt: c.configAt, listAt: c.listAt, self: c.self, traffic: old.traffic, engines: old.engines}
	s.listWhole = !c.listSince.IsZero() && c.n.clock.Now().Sub(c.listSince) > listWhole
	s.listSettled = !c.listSince.IsZero() && c.n.clock.Now().Sub(c.listSince) > settle
	s.unreadable = c.list.Unreadable()
	s.kept = c.list.Kept()
	if c.membersDue {
		c.membersDue = false
		c.gather(s)
	} else {
		s.members, s.stale, s.roster, s.sums, s.others, s.goals = old.members, old.stale, old.roster, old.sums, old.others, old.goals
	}
	if c.changed || c.listVersion != c.list.Version() {
		c.changed, c.listVersion = false, c.list.Version()
		s.engines = c.list.Engines(c.services())
		if c.view == nil || !sameEngines(s.engines, old.engines) {
			c.view = citronpool.Build(s.engines, c.view)
			c.n.limits.Retain(c.view.Has)
		}
	}
	if c.table != nil {
		s.traffic = &citronforward.State{Table: c.table, View: c.view, ListRevision: c.list.Revision(), Others: s.others}
	}
	s.list = c.list.Passed()
	c.n.snap.Store(s)
}

// sameEngines reports whether a and b are one slice: the list returns the same while
// nothing has changed.
func sameEngines(a, b []citronmodel.Engine) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// services are those of the configuration, nil without one.
func (c *control) services() map[string]citrontable.Service {
	if c.table == nil {
		return nil
	}
	return c.table.Services
}
