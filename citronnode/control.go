package citronnode

// The control loop is the only goroutine that modifies the node's state. Documents
// arrive from the store and from other nodes. The higher revision wins regardless of its
// source, so a node never goes back to an older document.

import (
	"context"
	"maps"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
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
	// inboxSize lets sources continue to send while the loop builds a table.
	inboxSize = 256
	// tickInterval is how often the loop checks time-dependent state. Each tick
	// increments the heartbeat counter of this node.
	tickInterval = citronpeer.MinHeartbeatInterval
	// deadReportAge is how long a node keeps reporting an engine that it found dead. Other
	// nodes avoid the engine briefly, and the leader checks it before it gives its layers
	// to other engines.
	deadReportAge = 1500 * time.Millisecond
)

// Origins of a document, as logged.
const (
	sourceStore = "store"
	sourceNode  = "node"
)

// message is an input of the control loop.
type message interface{ isMessage() }

// listSnapshot is the whole list of engines as of a revision.
type listSnapshot struct {
	items    []citronkv.Item
	revision citronkv.Revision
	source   string
}

// listDelta is the set of changes to the list of engines after base, up to revision.
// base is zero if they come from the store: the list that they follow has then been sent
// to the loop before.
type listDelta struct {
	items          []citronkv.Item
	base, revision citronkv.Revision
	source         string
}

// memberUpdate is an update about other nodes: complete entries, gauges, or only the
// heartbeat counters in a digest, together with the zone totals.
type memberUpdate struct {
	// from is the node that sent the update. diff is what it knows about others.
	from       citronpeer.Member
	diff       citronpeer.Diff
	digest     citronpeer.Digest
	zoneTotals []citronpeer.ZoneTotals
}

func (listSnapshot) isMessage() {}
func (listDelta) isMessage()    {}
func (memberUpdate) isMessage() {}

// control is the state of the control loop.
type control struct {
	n      *Node
	config citronpeer.ConfigDocument
	table  *citrontable.Table
	// list is the current list of engines. listVersion is the version of the list that
	// view was built from.
	list        *citronlist.List
	listVersion int
	// era is the store era of the list: the number of times the store has been restored
	// from an older copy, which is the high part of a revision. eraAt is when the era
	// began, or zero if this node did not observe its start.
	era        int64
	eraAt      time.Time
	members    *citronroster.Table
	zoneTotals *citronroster.ZoneTotals
	self       citronpeer.Member
	view       *citronpool.View
	// listSince is when the first list arrived. listAt and configAt are when the list
	// and the configuration last changed.
	listSince, listAt, configAt time.Time
	// storeUnavailable reports that the store is unavailable to all nodes, or was within the
	// last citronhealth.ExpiryGrace.
	storeUnavailable bool
	// configChanged means that the view must be rebuilt for a new configuration.
	// collectDue means that the state of the other nodes must be collected for the next
	// snapshot.
	configChanged, collectDue bool
	// population counts the nodes that share bounds, as of countedAt. share is this node's share
	// of the retry budget's slack.
	population *citronbudget.Population
	countedAt  time.Time
	share      citronbudget.Share
	budgetLog  budgetLog
	// changedMembers holds the names of nodes that appeared, returned or changed since the
	// last tick.
	changedMembers []string
}

func newControl(n *Node) *control {
	c := &control{n: n, members: citronroster.NewTable(n.settings.Name, n.settings.Zone), zoneTotals: citronroster.NewZoneTotals(n.settings.Zone), self: n.snap.Load().self, population: citronbudget.NewPopulation(n.settings.Name, n.clock.Now())}
	c.list = citronlist.New(citronlist.Settings{
		Prefix: n.sources.EnginePrefix, Decode: n.sources.DecodeEngine, DrainWithin: n.settings.DrainWithin, Clock: n.clock, Log: n.log, OnEnded: c.onEngineEnded,
	})
	return c
}

func (n *Node) loop(ctx context.Context) {
	c := newControl(n)
	tick := citronclock.NewTimer(tickInterval)
	defer tick.Stop()
	for {
		// A new configuration takes precedence over all other input: requests are served
		// with the old one until the new one is in effect.
		select {
		case <-n.configs.ready:
			c.applyNewestConfig(ctx)
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-n.configs.ready:
			c.applyNewestConfig(ctx)
		case m := <-n.control:
			c.handleMessage(ctx, m)
		case <-tick.C:
			tick.Reset(tickInterval)
			c.tick(ctx)
		}
		c.publish()
	}
}

func (c *control) handleMessage(ctx context.Context, m message) {
	switch m := m.(type) {
	case listSnapshot:
		if c.list.ApplyFull(ctx, m.items, m.revision, m.source == sourceStore) {
			c.onListChanged(ctx, m.source)
		}
	case listDelta:
		if c.list.ApplyChanges(ctx, m.items, m.base, m.revision, m.source == sourceStore) {
			c.onListChanged(ctx, m.source)
		}
	case memberUpdate:
		c.mergeMembers(citronpeer.Diff{Members: []citronpeer.Member{m.from}})
		c.mergeMembers(m.diff)
		c.mergeGauges(m.diff.Gauges)
		c.mergeDigest(m.digest)
		c.mergeZoneTotals(m.zoneTotals)
	}
}

// onListChanged records that the list accepted an update and informs other nodes.
func (c *control) onListChanged(ctx context.Context, source string) {
	c.listAt = c.n.clock.Now()
	if era := c.list.Revision().Era(); era != c.era {
		c.era = era
		if !c.listSince.IsZero() {
			c.eraAt = c.listAt
		}
		c.n.quarantine.InvalidateSaved()
		c.n.parts.InvalidateSaved()
		wake(c.n.quarantineChanged)
	}
	if c.listSince.IsZero() {
		c.listSince = c.listAt
	}
	c.n.notifyPeers()
	e := citronevent.EnginesChanged
	if source != sourceStore {
		e = citronevent.EnginesLearned // logged at debug level, because one line per node and change would hide all others
	}
	citronevent.Log(ctx, c.n.log, e, "revision", c.list.Revision().String(), "engines", c.list.Len(), "source", source)
}

// onEngineEnded marks an engine that has ended, so that the requests that run on it are
// moved to other engines.
func (c *control) onEngineEnded(e citronmodel.Engine) {
	if c.view == nil {
		return
	}
	if seen, ok := c.view.ByID(e.ID); ok {
		seen.MarkReplaced(c.n.clock.Now())
	}
}

// recordRestarts records the engine restarts that were observed in traffic and shares
// them with other nodes.
func (c *control) recordRestarts(ctx context.Context) {
	if c.view != nil {
		for _, e := range c.view.Restarted() {
			c.list.RecordRestart(ctx, e.Instance, e.RestartedAt())
		}
	}
	starts := c.list.RestartTimes()
	if len(starts) > len(c.self.Starts) {
		c.n.notifyLeader()
	}
	c.self.Starts = starts
}

// announceLeaving tells other nodes which engines said that they are leaving.
func (c *control) announceLeaving() {
	leaving := c.list.AnnouncedLeaving()
	if len(leaving) > len(c.self.LeavingEngines) {
		c.n.notifyLeader()
	}
	c.self.LeavingEngines = leaving
}

// applyConfig puts a decoded configuration into effect unless it is not newer than the
// active one.
func (c *control) applyConfig(ctx context.Context, d decodedConfig) {
	if c.table != nil && d.table.Version <= c.table.Version {
		return
	}
	c.table, c.configAt = d.table, c.n.clock.Now()
	c.config = citronpeer.ConfigDocument{Version: d.table.Version, Body: d.body}
	c.configChanged = true
	c.n.notifyPeers()
	citronevent.Log(ctx, c.n.log, citronevent.TableApplied, "version", d.table.Version, "source", d.source)
	for _, p := range d.table.ClampedPriorities() {
		citronevent.Log(ctx, c.n.log, citronevent.PriorityClamped, "version", d.table.Version, "route", p.Route, "customer", p.Customer, "priority", p.Value, "used", p.Used)
	}
}

// heardRecently is how long after something arrived from an engine another node's word that it
// is dead counts for nothing. Sound engines under load are heard of more often.
const heardRecently = 150 * time.Millisecond

// avoidDead temporarily stops using the engines that another node found dead, unless this
// node has heard of them since.
func (c *control) avoidDead(ctx context.Context, from string, ids []string) {
	if c.view == nil {
		return
	}
	now := c.n.clock.Now()
	var avoided []string
	for _, id := range ids {
		e, ok := c.view.ByID(id)
		if !ok || c.n.links.HeardSince(e.Addr, now.Add(-heardRecently-c.n.lag.Since(now.Add(-heardRecently)))) {
			continue
		}
		if e.Healthy(now) {
			avoided = append(avoided, id)
		}
		e.AvoidBriefly(now)
	}
	if len(avoided) > 0 {
		citronevent.Log(ctx, c.n.log, citronevent.EnginesReported, "peer", from, "count", len(avoided), "engines", avoided[:min(maxLoggedNames, len(avoided))])
	}
}

func (c *control) tick(ctx context.Context) {
	now := c.n.clock.Now()
	c.ageMembers(ctx, now)
	c.updateStoreStatus(ctx, now) // after ageMembers, which determines the lost nodes
	c.logChangedMembers(ctx)
	c.self.Heartbeat++
	c.self.Leaving = c.n.leaving.Load()
	c.self.Ready = c.n.Ready()
	c.self.Leads = c.n.leads.Load()
	c.self.Watching = c.n.watchedPrefixes.Load() == followedPrefixes
	c.recordRestarts(ctx)
	c.announceLeaving()
	c.updateLinks(ctx)
	c.n.limits.Tick()
	c.n.detectParts(ctx)
	c.logBudget(ctx, now)
	c.publishTargets()
	c.self.Load = c.n.loads.ZoneTotals()
	c.self.Sent = map[string]citronpeer.Sent{}
	for service, u := range c.n.budget.Used(now) {
		c.self.Sent[service] = citronpeer.Sent(u)
	}
	if c.view != nil {
		for _, id := range c.view.TakeLeaving(now) {
			if c.list.RecordLeaving(ctx, id, true) {
				c.n.notifyPeers()
			}
		}
		dead := c.view.DeadAfter(now.Add(-deadReportAge))
		if len(dead) > len(c.self.Dead) {
			c.n.notifyLeader()
		}
		c.self.Dead = dead
	}
	c.collectDue = true
}

// updateStoreStatus publishes whether the store serves this node, and tells the list of
// engines whether the store is, or recently was, unavailable to all nodes.
func (c *control) updateStoreStatus(ctx context.Context, now time.Time) {
	c.self.Store = c.n.health.Status(now)
	statuses := []citronhealth.Status{c.self.Store}
	for k := range c.members.All() {
		if k.Alive && !k.Stale {
			statuses = append(statuses, k.Store)
		}
	}
	if outage := citronhealth.ConfirmedOutage(statuses...); outage != c.storeUnavailable {
		c.storeUnavailable = outage
		c.logStoreStatus(ctx, now, statuses)
	}
	c.list.Tick(ctx, c.storeUnavailable)
}

// logStoreStatus logs whether the store is considered unavailable, with the evidence.
func (c *control) logStoreStatus(ctx context.Context, now time.Time, statuses []citronhealth.Status) {
	unanswered, back, answered, served := 0, 0, 0, 0
	for _, s := range statuses {
		unanswered += boolToInt(s.Outage)
		back += boolToInt(s.Recovered)
		answered += boolToInt(s.Answered)
		served += boolToInt(s.Served)
	}
	args := []any{"away", c.storeUnavailable, "nodes", len(statuses), "unanswered", unanswered, "back", back, "answered", answered, "served", served}
	if f := c.n.health.LastFailed(); f != nil {
		args = append(args, "step", f.Name, "key", f.Key, "age", now.Sub(f.Ended), "err", f.Err)
	}
	citronevent.Log(ctx, c.n.log, citronevent.StoreUnavailable, args...)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// publishTargets publishes the target layer ranges that this node has chosen as the
// leader. If it dies, the next leader continues with them.
func (c *control) publishTargets() {
	targets := map[string][2]int{}
	if f := c.n.targets.Load(); f != nil {
		for id, s := range (*f)() {
			targets[id] = [2]int{s.From, s.To}
		}
	}
	if !maps.Equal(targets, c.self.TargetLayers) {
		c.self.TargetLayers = targets
		c.n.notifyPeers()
	}
}

// listStableDelay is how long a node waits after its first list before it reports that
// it is ready. On a cold start, engines are still registering.
const listStableDelay = 300 * time.Millisecond

// listCompleteAfter is the time that must pass after the first list before a node considers
// the list complete. Entries that expired before the first list are back by then. Entries
// that expire later are retained in the list meanwhile.
const listCompleteAfter = 2200 * time.Millisecond

// publish makes the newest state visible to traffic, gossip and placement.
func (c *control) publish() {
	old := c.n.snap.Load()
	s := &snapshot{eraAt: c.eraAt, config: c.config, configAt: c.configAt, listAt: c.listAt, self: c.self, traffic: old.traffic, engines: old.engines}
	s.listComplete = !c.listSince.IsZero() && c.n.clock.Now().Sub(c.listSince) > listCompleteAfter
	s.listStable = !c.listSince.IsZero() && c.n.clock.Now().Sub(c.listSince) > listStableDelay
	s.unreadable = c.list.Unreadable()
	s.retained = c.list.Retained()
	if c.collectDue {
		c.collectDue = false
		c.collectMembers(s)
	} else {
		s.members, s.stale, s.roster, s.zoneTotals, s.otherNodesCache, s.targets = old.members, old.stale, old.roster, old.zoneTotals, old.otherNodesCache, old.targets
	}
	if c.configChanged || c.listVersion != c.list.Version() {
		c.configChanged, c.listVersion = false, c.list.Version()
		s.engines = c.list.Engines(c.services())
		if c.view == nil || !sameEngines(s.engines, old.engines) {
			c.view = citronpool.Build(s.engines, c.view)
			c.view.OnInvalidUsage(func(engine string, err error) { c.n.logInvalidUsage(context.Background(), "engine", engine, err) })
			c.n.limits.Retain(c.view.Has)
		}
	}
	if c.table != nil {
		s.traffic = &citronforward.State{Table: c.table, View: c.view, ListRevision: c.list.Revision(), OtherNodesCache: s.otherNodesCache}
	}
	s.list = c.list.Snapshot()
	c.n.snap.Store(s)
}

// sameEngines reports whether a and b are the same slice. The list returns the same
// slice as long as nothing has changed.
func sameEngines(a, b []citronmodel.Engine) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// services returns the services of the active configuration, or nil without one.
func (c *control) services() map[string]citrontable.Service {
	if c.table == nil {
		return nil
	}
	return c.table.Services
}
