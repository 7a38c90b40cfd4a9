// Package citronlist maintains one node's view of the list of engines. It merges the
// entries that arrive from the store and from other nodes with what the engines
// themselves report, if that is newer.
//
//	full list, changes -> applyEntry, markMissing -> Engines -> traffic, placement
//	engine reports     -> restarts.go --^     |
//	engine responses   -> leaving.go ---------+
//	store outages      -> retain.go ----------+-> Snapshot -> other nodes
//
// The higher revision wins, whichever source it comes from. A List must be used by one
// goroutine only.
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

// Settings configures a List.
type Settings struct {
	// Prefix is the prefix of the entries' keys; the name of the engine follows it.
	Prefix string
	// Decode parses an entry. It returns an error if the entry does not describe an
	// engine.
	Decode func(key string, text []byte) (citronmodel.Engine, error)
	// DrainWithin is the time after which an engine that leaves gets no new work from
	// any node. If it is not positive, defaultDrain applies.
	DrainWithin time.Duration
	Clock       citronclock.Clock
	Log         *slog.Logger
	// OnEnded is called with each engine that is known to have ended, so that the requests
	// running on it are moved at once.
	OnEnded func(citronmodel.Engine)
}

// List is a node's view of the engines.
type List struct {
	set Settings
	// entries holds the listed engines by entry key.
	entries  map[string]entry
	index    index
	revision citronkv.Revision
	// version counts the changes to the result of Engines.
	version int
	// snapshot is the list as sent to other nodes, or nil if it has to be rebuilt.
	snapshot *Snapshot
	// removed holds the latest removals. It is complete for all revisions after
	// removedSince.
	removed      []citronkv.Item
	removedSince citronkv.Revision
	// byAddr maps the address of an engine to the key of its entry.
	byAddr map[string]string
	// rejected holds the revision of each unreadable entry by key, so that each revision
	// is logged only once.
	rejected map[string]citronkv.Revision
	// superseded holds the earlier versions of entries by key. restoredAt is when this
	// node last found that the store was restored from an older copy (see era.go).
	superseded map[string][]supersededEntry
	restoredAt time.Time
	// leaving holds the statements of engines that they are leaving, by engine ID (see
	// leaving.go).
	leaving map[string]leavingStatement
	// eraStart is the revision of the first list of the current era.
	eraStart citronkv.Revision
	// firstOfEra is true while the first list of an era is being applied.
	firstOfEra bool
	// fromStore is true if the update being applied comes from the store. Changed engines
	// are logged only then; otherwise every node would log the same changes again.
	fromStore bool
	// outage is true if the store is unreachable for all nodes, or was within the last
	// ExpiryGrace.
	outage bool
	// removalTimes are the times at which entries were found missing within the last
	// ExpiryGrace, except in the first list of an era. reason says why engines with
	// missing entries stay in use, and retained is the number of such engines.
	removalTimes []time.Time
	reason       retainReason
	retained     int
}

// entry is the state of one listed engine.
type entry struct {
	engine citronmodel.Engine
	item   citronkv.Item
	// listedStartMS is the start time given by the entry. The engine may be known to have
	// restarted since.
	listedStartMS int64
	// missingSince is when the entry was found missing; zero while it is present.
	missingSince time.Time
	// missingInRestore is true if the entry is missing in the copy from which the store
	// was restored.
	missingInRestore bool
	// retained is true if the engine stays in use although its entry is missing.
	retained bool
	// overwritten is true if another writer replaced the entry with unreadable data.
	overwritten bool
}

// New returns an empty list.
func New(set Settings) *List {
	if set.DrainWithin <= 0 {
		set.DrainWithin = defaultDrain
	}
	return &List{set: set, entries: map[string]entry{}, index: newIndex(), byAddr: map[string]string{}, rejected: map[string]citronkv.Revision{}, superseded: map[string][]supersededEntry{}, leaving: map[string]leavingStatement{}}
}

// Revision returns the revision of the latest update applied, or zero before the first.
func (l *List) Revision() citronkv.Revision { return l.revision }

// Version returns a number that increases whenever the result of Engines may change.
func (l *List) Version() int { return l.version }

// Len returns the number of engines in the list, including those not in use.
func (l *List) Len() int { return len(l.entries) }

// Unreadable returns the number of entries that do not describe an engine. They come
// from another writer.
func (l *List) Unreadable() int { return len(l.rejected) }

// Retained returns the number of retained engines: those in use although their entries are
// missing.
func (l *List) Retained() int { return l.retained }

// ApplyFull applies the full list at the given revision and reports whether it was newer
// than the current list. fromStore tells whether it comes from the store rather than
// from another node.
func (l *List) ApplyFull(ctx context.Context, items []citronkv.Item, revision citronkv.Revision, fromStore bool) bool {
	if !revision.After(l.revision) && !l.revision.IsZero() {
		return false
	}
	l.fromStore = fromStore
	l.firstOfEra = l.beginEra(ctx, items, revision)
	defer func() { l.firstOfEra = false }()
	seen := map[string]bool{}
	for _, it := range items {
		seen[it.Key] = true
		l.applyEntry(ctx, it)
	}
	for key, e := range l.entries {
		if !seen[key] {
			l.markMissing(ctx, key, e, revision)
		}
	}
	maps.DeleteFunc(l.rejected, func(key string, _ citronkv.Revision) bool { return !seen[key] })
	if l.revision.IsZero() {
		l.removedSince = revision
	}
	l.finishUpdate(ctx, revision)
	return true
}

// ApplyChanges applies the changes between the revisions base and revision, and reports
// whether the list was updated. It ignores changes that are already known, and changes
// that build on a list which this node does not have.
func (l *List) ApplyChanges(ctx context.Context, items []citronkv.Item, base, revision citronkv.Revision, fromStore bool) bool {
	if !revision.After(l.revision) || base.After(l.revision) || l.revision.IsZero() {
		return false // already known, or based on a list that this node does not have
	}
	l.fromStore = fromStore
	for _, it := range items {
		if !it.Revision.After(l.revision) {
			continue
		}
		if !it.Deleted {
			l.applyEntry(ctx, it)
			continue
		}
		if e, ok := l.entries[it.Key]; ok {
			l.markMissing(ctx, it.Key, e, it.Revision)
		}
	}
	if len(items) == 0 {
		return false
	}
	l.finishUpdate(ctx, revision)
	return true
}

// finishUpdate completes an update: it sets the revision and reviews the missing
// entries.
func (l *List) finishUpdate(ctx context.Context, revision citronkv.Revision) {
	l.revision = revision
	l.invalidate()
	l.reviewMissing(ctx)
}

// invalidate marks the results of Engines and Snapshot as outdated.
func (l *List) invalidate() {
	l.version++
	l.snapshot = nil
}

// applyEntry adds or updates an engine from its entry.
func (l *List) applyEntry(ctx context.Context, it citronkv.Item) {
	old, had := l.entries[it.Key]
	if l.isSuperseded(it) {
		return
	}
	e, err := l.set.Decode(it.Key, it.Value)
	if err != nil {
		l.rejectEntry(ctx, it, err)
		return
	}
	if l.resolveAddressConflict(ctx, it, e) {
		return
	}
	updated := entry{engine: e, item: it, listedStartMS: e.StartMS}
	if had && old.engine.StartMS > e.StartMS && e.StartMS > 0 {
		updated.engine = old.engine // the entry was written before the engine restarted
	}
	if had && old.engine.ID != updated.engine.ID {
		l.reportEnded(ctx, old.engine, updated.engine.ID)
	}
	if l.fromStore && (!had || old.engine != updated.engine || !old.missingSince.IsZero()) {
		citronevent.Log(ctx, l.set.Log, citronevent.EnginesChanged, "engine", e.ID, "peer", e.Addr, "service", e.Service, "zone", e.Zone, "kind", e.Kind, "from", e.Layers.From, "to", e.Layers.To, "leaving", e.Leaving)
	}
	if had && fingerprintOf(old.item) != fingerprintOf(it) {
		l.rememberSuperseded(old.item)
	}
	delete(l.rejected, it.Key)
	l.setEntry(it.Key, updated)
	l.byAddr[e.Addr] = it.Key
}

// rejectEntry handles an entry that cannot be decoded because another writer wrote it.
// If it replaced the entry of an engine, that engine gets no new work until it writes
// its entry again, which it does at every heartbeat.
func (l *List) rejectEntry(ctx context.Context, it citronkv.Item, err error) {
	if l.rejected[it.Key] == it.Revision {
		return
	}
	l.rejected[it.Key] = it.Revision
	citronevent.Log(ctx, l.set.Log, citronevent.EngineRejected, "key", it.Key, "revision", it.Revision.String(), "bytes", len(it.Value), "err", err)
	if e, ok := l.entries[it.Key]; ok {
		l.markMissing(ctx, it.Key, e, it.Revision)
		e = l.entries[it.Key]
		e.overwritten = true
		l.setEntry(it.Key, e)
	}
}

// resolveAddressConflict handles an entry that names the same address as another entry
// of the same service. An address belongs to one process at a time, so the later entry
// shows that the engine of the earlier one has ended and was restarted under another ID.
// resolveAddressConflict reports whether the given entry is the earlier one, which the
// caller then ignores. Without this check, requests were sent to ended engines, and
// refused, until their entries expired after three heartbeats.
func (l *List) resolveAddressConflict(ctx context.Context, it citronkv.Item, e citronmodel.Engine) bool {
	key, ok := l.byAddr[e.Addr]
	other, listed := l.entries[key]
	if !ok || !listed || key == it.Key || other.engine.Addr != e.Addr || other.engine.Service != e.Service {
		return false
	}
	if other.item.Revision.After(it.Revision) {
		return true
	}
	l.reportEnded(ctx, other.engine, e.ID)
	l.rememberSuperseded(other.item)
	l.rememberRemoval(citronkv.Item{Key: key, Revision: it.Revision, Deleted: true})
	l.deleteEntry(key)
	return false
}

// reportEnded logs that an engine is known to have ended, and calls Settings.OnEnded.
// laterID is the ID of the engine that took its place.
func (l *List) reportEnded(ctx context.Context, e citronmodel.Engine, laterID string) {
	citronevent.Log(ctx, l.set.Log, citronevent.EngineRestarted, "engine", e.ID, "peer", e.Addr, "later", laterID)
	l.set.OnEnded(e)
}

// markMissing records that the entry of an engine is missing. It does not determine
// whether the engine has died: requests to a dead engine fail, and reviewMissing decides
// whether the engine stays in use.
func (l *List) markMissing(ctx context.Context, key string, e entry, revision citronkv.Revision) {
	if !e.missingSince.IsZero() {
		return
	}
	l.rememberRemoval(citronkv.Item{Key: key, Revision: revision, Deleted: true})
	e.missingInRestore = l.firstOfEra
	if !e.missingInRestore {
		l.rememberSuperseded(e.item)
	}
	e.missingSince = l.set.Clock.Now()
	l.setEntry(key, e)
	if !e.missingInRestore {
		l.removalTimes = append(l.removalTimes, e.missingSince)
	}
	citronevent.Log(ctx, l.set.Log, citronevent.EnginesChanged, "engine", e.engine.ID, "peer", e.engine.Addr, "missing", true)
}

// maxLoggedIDs is the maximum number of engine IDs in a log line.
const maxLoggedIDs = 5

// firstIDs sorts ids and returns at most the first maxLoggedIDs of them.
func firstIDs(ids []string) []string {
	slices.Sort(ids)
	return ids[:min(maxLoggedIDs, len(ids))]
}
