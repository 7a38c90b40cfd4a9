package citronnode

// The list of engines as this node believes it: what the store and other nodes
// bring, and what engines say of themselves where they know better.

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citrontable"
)

const (
	// lapseFewest and lapsePart say how many entries that go within
	// lapseGrace are too many for a coincidence.
	lapseFewest = 4
	lapsePart   = 6
	// usualDrain stands for settings without DrainWithin.
	usualDrain = 2 * time.Second
	// doubtShare is the part of DrainWithin for which engines whose entries
	// went at once stay in use without a proof of an outage. Half of a fleet
	// may indeed leave at once; the rest of the time is for the news to reach
	// all nodes, and for requests on their way.
	doubtShare = 0.6
)

// lapseCause says why engines whose entries are missing stay in use.
type lapseCause string

const (
	lapseNot    lapseCause = ""
	lapseOutage lapseCause = "the store was away"
	lapseMany   lapseCause = "many entries went at once"
)

// listed is an entry of the list of engines.
type listed struct {
	engine citronmodel.Engine
	item   citronkv.Item
	// entryBorn is the start that the entry tells of; the engine may be known
	// to have started anew since.
	entryBorn int64
	// lapsed is when the entry was found missing; zero while it is there.
	lapsed time.Time
	// kept: it stays in use although its entry is missing.
	kept bool
	// spoiled: another writer has put something unreadable in its place.
	spoiled bool
}

func (c *control) takeList(ctx context.Context, m listSeen) {
	if m.revision <= c.listRev && c.listRev > 0 {
		return
	}
	c.firsthand = m.source == sourceStore
	seen := map[string]bool{}
	for _, it := range m.items {
		seen[it.Key] = true
		c.put(ctx, it)
	}
	for key, l := range c.list {
		if !seen[key] {
			c.drop(ctx, key, l, m.revision)
		}
	}
	maps.DeleteFunc(c.rejected, func(key string, _ int64) bool { return !seen[key] })
	if c.listRev == 0 {
		c.removedSince = m.revision
	}
	c.noteList(ctx, m.revision, m.source)
}

func (c *control) takeChanges(ctx context.Context, m listChanged) {
	if m.revision <= c.listRev || m.base > c.listRev || c.listRev == 0 {
		return // old news, or changes of a list that this node does not have
	}
	c.firsthand = m.source == sourceStore
	for _, it := range m.items {
		if it.Revision <= c.listRev {
			continue
		}
		if !it.Deleted {
			c.put(ctx, it)
			continue
		}
		if l, ok := c.list[it.Key]; ok {
			c.drop(ctx, it.Key, l, it.Revision)
		}
	}
	if len(m.items) > 0 {
		c.noteList(ctx, m.revision, m.source)
	}
}

func (c *control) noteList(ctx context.Context, revision int64, source string) {
	c.listRev, c.listAt = revision, c.n.clock.Now()
	if c.listSince.IsZero() {
		c.listSince = c.n.clock.Now()
	}
	c.changed = true
	c.reviewLapsed(ctx)
	c.passed = passedList{}
	c.n.tell()
	citronevent.Log(ctx, c.n.log, citronevent.EnginesChanged, "revision", revision, "engines", len(c.list), "source", source)
}

// put takes an entry.
func (c *control) put(ctx context.Context, it citronkv.Item) {
	old, had := c.list[it.Key]
	e, err := c.n.src.DecodeEngine(it.Key, it.Value)
	if err != nil {
		c.reject(ctx, it, err)
		return
	}
	if c.superseded(ctx, it, e) {
		return
	}
	l := listed{engine: e, item: it, entryBorn: e.Born}
	if had && old.engine.Born > e.Born && e.Born > 0 {
		l.engine = old.engine // the entry is of an earlier start
	}
	if had && old.engine.ID != l.engine.ID {
		c.end(ctx, old.engine, l.engine.ID)
	}
	if c.firsthand && (!had || old.engine != l.engine || !old.lapsed.IsZero()) {
		citronevent.Log(ctx, c.n.log, citronevent.EnginesChanged, "engine", e.ID, "peer", e.Addr, "service", e.Service, "zone", e.Zone, "kind", e.Kind, "from", e.Layers.From, "to", e.Layers.To, "leaving", e.Leaving)
	}
	delete(c.rejected, it.Key)
	c.list[it.Key] = l
	c.byAddr[e.Addr] = it.Key
}

// reject takes an entry that cannot be read, of another writer. It names no
// engine; the one whose entry it took the place of gets no new work until it
// writes its entry again, which it does at every heartbeat.
func (c *control) reject(ctx context.Context, it citronkv.Item, err error) {
	if c.rejected[it.Key] == it.Revision {
		return
	}
	c.rejected[it.Key] = it.Revision
	citronevent.Log(ctx, c.n.log, citronevent.EngineRejected, "key", it.Key, "revision", it.Revision, "bytes", len(it.Value), "err", err)
	if l, ok := c.list[it.Key]; ok {
		c.drop(ctx, it.Key, l, it.Revision)
		l = c.list[it.Key]
		l.spoiled = true
		c.list[it.Key] = l
	}
}

// superseded deals with an entry that names the address of another of the same
// service. An address belongs to one process at a time, so the later entry
// tells that the engine of the earlier one has ended: it started anew there
// under another id. It reports whether the entry is itself the earlier one.
// Without this, requests went to engines that had ended until their entries
// ran out after three heartbeats, and were refused.
func (c *control) superseded(ctx context.Context, it citronkv.Item, e citronmodel.Engine) bool {
	key, ok := c.byAddr[e.Addr]
	other, listed := c.list[key]
	if !ok || !listed || key == it.Key || other.engine.Addr != e.Addr || other.engine.Service != e.Service {
		return false
	}
	if other.item.Revision > it.Revision {
		return true
	}
	c.end(ctx, other.engine, e.ID)
	c.note(citronkv.Item{Key: key, Revision: it.Revision, Deleted: true})
	delete(c.list, key)
	return false
}

// end marks an engine that is known to have ended, so that the requests that
// run on it are moved at once.
func (c *control) end(ctx context.Context, e citronmodel.Engine, later string) {
	citronevent.Log(ctx, c.n.log, citronevent.EngineReborn, "engine", e.ID, "peer", e.Addr, "later", later)
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
			c.startedAnew(ctx, e.Instance, e.LaterStart())
		}
	}
	starts := map[string]int64{}
	for _, l := range c.list {
		if l.engine.Born > l.entryBorn {
			starts[l.engine.Instance] = l.engine.Born
		}
	}
	if len(starts) > len(c.self.Starts) {
		c.n.alarm()
	}
	c.self.Starts = starts
}

// startedAnew takes an engine's own word that it started anew; its entry still
// tells of the start before.
func (c *control) startedAnew(ctx context.Context, instance string, born int64) {
	key := c.n.src.EnginePrefix + instance
	l, ok := c.list[key]
	if !ok || l.engine.Born == 0 || l.engine.Born >= born {
		return
	}
	old := l.engine
	l.engine = old.Reborn(born)
	c.list[key] = l
	c.changed = true
	c.end(ctx, old, l.engine.ID)
}

// drop notes that an engine's entry is gone. If the engine died, it is found dead
// by those who use it; if not, reviewLapsed decides whether it stays in use.
func (c *control) drop(ctx context.Context, key string, l listed, revision int64) {
	if !l.lapsed.IsZero() {
		return
	}
	c.note(citronkv.Item{Key: key, Revision: revision, Deleted: true})
	l.lapsed = c.n.clock.Now()
	c.list[key] = l
	c.vanished = append(c.vanished, l.lapsed)
	citronevent.Log(ctx, c.n.log, citronevent.EnginesChanged, "engine", l.engine.ID, "peer", l.engine.Addr, "missing", true)
}

// mostRemoved bounds the removals that are remembered; a node that has not
// heard of so many gets the whole list.
const mostRemoved = 200

// note remembers a removal for nodes that have an older list.
func (c *control) note(it citronkv.Item) {
	c.removed = append(slices.Clip(c.removed), it) // snapshots share the old one
	if len(c.removed) > mostRemoved {
		c.removedSince = c.removed[0].Revision
		c.removed = c.removed[1:]
	}
}

// lapseCause returns why engines whose entries are missing stay in use, if they
// do (outage.go).
func (c *control) lapseCause(now time.Time) lapseCause {
	c.vanished = slices.DeleteFunc(c.vanished, func(t time.Time) bool { return now.Sub(t) > lapseGrace })
	switch {
	case c.storeAway():
		return lapseOutage
	case len(c.vanished) >= max(lapseFewest, len(c.list)/lapsePart):
		return lapseMany
	}
	return lapseNot
}

// storeAway reports whether the store was away for all nodes within the last
// seconds: some were in trouble, and none was served.
func (c *control) storeAway() bool {
	trouble, served := c.self.Trouble, c.self.Served
	for _, m := range c.members {
		trouble = trouble || m.alive && m.Trouble
		served = served || m.alive && m.Served
	}
	return trouble && !served
}

// keeps reports whether an engine whose entry is missing stays in use.
func (c *control) keeps(l listed, now time.Time) bool {
	switch c.lapse {
	case lapseOutage:
		return true
	case lapseMany:
		drain := c.n.set.DrainWithin
		if drain <= 0 {
			drain = usualDrain
		}
		return now.Sub(l.lapsed) < time.Duration(doubtShare*float64(drain))
	}
	return false
}

// reviewLapsed decides anew which engines stay in use although their entries are
// missing, and logs what changed and on what that rests: an engine that stays by
// mistake gets work that it no longer takes.
func (c *control) reviewLapsed(ctx context.Context) {
	now := c.n.clock.Now()
	before := c.lapse
	c.lapse = c.lapseCause(now)
	changed := []string{}
	kept := 0
	for key, l := range c.list {
		if l.lapsed.IsZero() || l.spoiled {
			continue
		}
		if keep := c.keeps(l, now); keep != l.kept {
			l.kept = keep
			c.list[key] = l
			c.changed = true
			changed = append(changed, l.engine.ID)
		}
		if l.kept {
			kept++
		}
	}
	c.kept = kept
	if c.lapse != before || len(changed) > 0 {
		slices.Sort(changed)
		c.logLapse(ctx, changed)
	}
}

func (c *control) logLapse(ctx context.Context, changed []string) {
	args := []any{"kept", c.kept, "changed", len(changed), "engines", changed[:min(mostNames, len(changed))], "reason", string(c.lapse), "vanished", len(c.vanished), "trouble", c.self.Trouble, "served", c.self.Served}
	if f := c.n.health.state(c.n.clock.Now()).failed; f != nil {
		args = append(args, "step", f.Name, "key", f.Key, "age", c.n.clock.Now().Sub(f.Ended), "err", f.Err)
	}
	citronevent.Log(ctx, c.n.log, citronevent.EntriesKept, args...)
}

func (c *control) engines() []citronmodel.Engine {
	out := make([]citronmodel.Engine, 0, len(c.list))
	var services map[string]citrontable.Service
	if c.table != nil {
		services = c.table.Services
	}
	for _, l := range c.list {
		e := l.engine
		if _, known := services[e.Service]; services != nil && !known {
			continue // of another writer, or not yet configured
		}
		e.Leaving = e.Leaving || l.spoiled || !l.lapsed.IsZero() && !l.kept
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (c *control) items() []citronkv.Item {
	items := make([]citronkv.Item, 0, len(c.list))
	for _, l := range c.list {
		if l.lapsed.IsZero() {
			items = append(items, l.item)
		}
	}
	return items
}
