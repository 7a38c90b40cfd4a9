// Package citronlist is the list of engines as one node believes it: what the
// store and other nodes bring, and what engines say of themselves where they
// know better.
//
//	whole list, changes -> put, drop -> Engines -> traffic, placement
//	reports of engines  -> starts.go -^     |
//	outage of the store -> lapse.go  -------+-> Passed -> other nodes
//
// The higher revision wins, whoever brings it. A List is used by one goroutine.
package citronlist

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
)

// Settings of a list.
type Settings struct {
	// Prefix is that of the entries' keys; an engine's name follows it.
	Prefix string
	// Decode reads an entry.
	Decode func(key string, text []byte) (citronmodel.Engine, error)
	// DrainWithin is the time after which an engine that leaves gets no new
	// work from any node; zero: usualDrain.
	DrainWithin time.Duration
	Clock       citronclock.Clock
	Log         *slog.Logger
	// Ended is told of engines that are known to have ended, so that the
	// requests that run on them are moved at once.
	Ended func(citronmodel.Engine)
}

// List is a list of engines.
type List struct {
	set Settings
	// entries are the listed engines by key.
	entries  map[string]entry
	index    index
	revision citronkv.Revision
	// version counts the changes of what Engines returns.
	version int
	// passed is the list as it is passed on, made anew when it changes.
	passed *Passed
	// removed are the entries that went lately, and removedSince the
	// revision after which none is missing from them.
	removed      []citronkv.Item
	removedSince citronkv.Revision
	// byAddr are the keys of the entries that name an address.
	byAddr map[string]string
	// rejected is the revision of each entry that could not be read, so that
	// it is logged once.
	rejected map[string]citronkv.Revision
	// overtaken are older entries of engines, by key, and returned is when the
	// store last came back from an older copy (era.go).
	overtaken map[string][]past
	returned  time.Time
	// eraBegan is the revision of the first list of the era.
	eraBegan citronkv.Revision
	// returning: the list that is being taken is the first of an era.
	returning bool
	// firsthand: what is being taken is from the store. Only then is each
	// engine logged; the other nodes would log the same again.
	firsthand bool
	// away: the store was away for all nodes within the last seconds.
	away bool
	// vanished are the times at which entries went lately; cause is why
	// engines stay in use all the same, and kept how many do.
	vanished []time.Time
	cause    lapseCause
	kept     int
}

// entry is an engine of the list.
type entry struct {
	engine citronmodel.Engine
	item   citronkv.Item
	// entryBorn is the start that the entry tells of; the engine may be known
	// to have started anew since.
	entryBorn int64
	// lapsed is when the entry was found missing; zero while it is there.
	lapsed time.Time
	// uncopied: it is missing in the copy from which the store returned.
	uncopied bool
	// kept: it stays in use although its entry is missing.
	kept bool
	// spoiled: another writer has put something unreadable in its place.
	spoiled bool
}

// New returns an empty list.
func New(set Settings) *List {
	if set.DrainWithin <= 0 {
		set.DrainWithin = usualDrain
	}
	return &List{set: set, entries: map[string]entry{}, index: newIndex(), byAddr: map[string]string{}, rejected: map[string]citronkv.Revision{}, overtaken: map[string][]past{}}
}

// Revision is that of the newest list taken, zero before the first.
func (l *List) Revision() citronkv.Revision { return l.revision }

// Version grows whenever Engines would return something else.
func (l *List) Version() int { return l.version }

// Len counts the engines of the list, in use or not.
func (l *List) Len() int { return len(l.entries) }

// Unreadable counts the entries that name no engine, of another writer.
func (l *List) Unreadable() int { return len(l.rejected) }

// Kept counts the engines that stay in use although their entries are missing.
func (l *List) Kept() int { return l.kept }

// TakeWhole takes the whole list as of a revision and reports whether that was
// news. Firsthand: it is from the store, not from another node.
func (l *List) TakeWhole(ctx context.Context, items []citronkv.Item, revision citronkv.Revision, firsthand bool) bool {
	if !revision.After(l.revision) && !l.revision.IsZero() {
		return false
	}
	l.firsthand = firsthand
	l.returning = l.beginEra(ctx, items, revision)
	defer func() { l.returning = false }()
	seen := map[string]bool{}
	for _, it := range items {
		seen[it.Key] = true
		l.put(ctx, it)
	}
	for key, e := range l.entries {
		if !seen[key] {
			l.drop(ctx, key, e, revision)
		}
	}
	maps.DeleteFunc(l.rejected, func(key string, _ citronkv.Revision) bool { return !seen[key] })
	if l.revision.IsZero() {
		l.removedSince = revision
	}
	l.taken(ctx, revision)
	return true
}

// TakeChanges takes the changes of the list after base up to a revision and
// reports whether they were news.
func (l *List) TakeChanges(ctx context.Context, items []citronkv.Item, base, revision citronkv.Revision, firsthand bool) bool {
	if !revision.After(l.revision) || base.After(l.revision) || l.revision.IsZero() {
		return false // old news, or changes of a list that this node does not have
	}
	l.firsthand = firsthand
	for _, it := range items {
		if !it.Revision.After(l.revision) {
			continue
		}
		if !it.Deleted {
			l.put(ctx, it)
			continue
		}
		if e, ok := l.entries[it.Key]; ok {
			l.drop(ctx, it.Key, e, it.Revision)
		}
	}
	if len(items) == 0 {
		return false
	}
	l.taken(ctx, revision)
	return true
}

// taken ends the taking of news.
func (l *List) taken(ctx context.Context, revision citronkv.Revision) {
	l.revision = revision
	l.changed()
	l.reviewLapsed(ctx)
}

// changed has the engines, and the list that is passed on, made anew.
func (l *List) changed() {
	l.version++
	l.passed = nil
}

// put takes an entry.
func (l *List) put(ctx context.Context, it citronkv.Item) {
	old, had := l.entries[it.Key]
	if l.isOvertaken(it) {
		return
	}
	e, err := l.set.Decode(it.Key, it.Value)
	if err != nil {
		l.reject(ctx, it, err)
		return
	}
	if l.superseded(ctx, it, e) {
		return
	}
	now := entry{engine: e, item: it, entryBorn: e.Born}
	if had && old.engine.Born > e.Born && e.Born > 0 {
		now.engine = old.engine // the entry is of an earlier start
	}
	if had && old.engine.ID != now.engine.ID {
		l.end(ctx, old.engine, now.engine.ID)
	}
	if l.firsthand && (!had || old.engine != now.engine || !old.lapsed.IsZero()) {
		citronevent.Log(ctx, l.set.Log, citronevent.EnginesChanged, "engine", e.ID, "peer", e.Addr, "service", e.Service, "zone", e.Zone, "kind", e.Kind, "from", e.Layers.From, "to", e.Layers.To, "leaving", e.Leaving)
	}
	if had && printOf(old.item) != printOf(it) {
		l.overtake(old.item)
	}
	delete(l.rejected, it.Key)
	l.store(it.Key, now)
	l.byAddr[e.Addr] = it.Key
}

// reject takes an entry that cannot be read, of another writer. It names no
// engine; the one whose entry it took the place of gets no new work until it
// writes its entry again, which it does at every heartbeat.
func (l *List) reject(ctx context.Context, it citronkv.Item, err error) {
	if l.rejected[it.Key] == it.Revision {
		return
	}
	l.rejected[it.Key] = it.Revision
	citronevent.Log(ctx, l.set.Log, citronevent.EngineRejected, "key", it.Key, "revision", it.Revision.String(), "bytes", len(it.Value), "err", err)
	if e, ok := l.entries[it.Key]; ok {
		l.drop(ctx, it.Key, e, it.Revision)
		e = l.entries[it.Key]
		e.spoiled = true
		l.store(it.Key, e)
	}
}

// superseded deals with an entry that names the address of another of the same
// service. An address belongs to one process at a time, so the later entry
// tells that the engine of the earlier one has ended: it started anew there
// under another id. It reports whether the entry is itself the earlier one.
// Without this, requests went to engines that had ended until their entries
// ran out after three heartbeats, and were refused.
func (l *List) superseded(ctx context.Context, it citronkv.Item, e citronmodel.Engine) bool {
	key, ok := l.byAddr[e.Addr]
	other, listed := l.entries[key]
	if !ok || !listed || key == it.Key || other.engine.Addr != e.Addr || other.engine.Service != e.Service {
		return false
	}
	if other.item.Revision.After(it.Revision) {
		return true
	}
	l.end(ctx, other.engine, e.ID)
	l.overtake(other.item)
	l.note(citronkv.Item{Key: key, Revision: it.Revision, Deleted: true})
	l.discard(key)
	return false
}

// end tells that an engine is known to have ended.
func (l *List) end(ctx context.Context, e citronmodel.Engine, later string) {
	citronevent.Log(ctx, l.set.Log, citronevent.EngineReborn, "engine", e.ID, "peer", e.Addr, "later", later)
	l.set.Ended(e)
}

// drop notes that an engine's entry is gone. If the engine died, it is found dead
// by those who use it; if not, reviewLapsed decides whether it stays in use.
func (l *List) drop(ctx context.Context, key string, e entry, revision citronkv.Revision) {
	if !e.lapsed.IsZero() {
		return
	}
	l.note(citronkv.Item{Key: key, Revision: revision, Deleted: true})
	e.uncopied = l.returning
	if !e.uncopied {
		l.overtake(e.item)
	}
	e.lapsed = l.set.Clock.Now()
	l.store(key, e)
	if !e.uncopied {
		l.vanished = append(l.vanished, e.lapsed)
	}
	citronevent.Log(ctx, l.set.Log, citronevent.EnginesChanged, "engine", e.engine.ID, "peer", e.engine.Addr, "missing", true)
}

// mostNames bounds the engines named in a log line.
const mostNames = 5

// names are the first few of some engines, in order.
func names(ids []string) []string {
	slices.Sort(ids)
	return ids[:min(mostNames, len(ids))]
}
