package citronlist

// This file tracks which entries of the list have changed and which need attention. Each
// node checks this ten times a second, and in a large fleet engines join and leave all
// the time. So a check must not go through the whole list, and a change must not rebuild
// the results entry by entry. After a change, the previous result is copied once and then
// patched, because callers may still use it.

import (
	"cmp"
	"slices"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citrontable"
)

// index holds the keys of entries that need attention, and the results built from the
// list.
type index struct {
	// missing holds the keys whose entries are missing from the store; restarted holds
	// the keys of engines that started later than their entries say.
	missing, restarted map[string]bool
	// staleEngines holds the keys whose current state is not yet in engines.
	staleEngines map[string]bool
	// engines is the latest result of List.Engines, sorted by engine ID. idByKey maps
	// entry keys to the engine IDs in it. engineServices are the services it was built
	// for.
	engines        []citronmodel.Engine
	idByKey        map[string]string
	engineServices map[string]citrontable.Service
	// sharedItems are the entries sent to other nodes, and itemIndex gives the position
	// of each by key. staleItems holds the keys whose current state is not yet in
	// sharedItems.
	sharedItems []citronkv.Item
	itemIndex   map[string]int
	staleItems  map[string]bool
}

// newIndex returns an empty index.
func newIndex() index {
	return index{missing: map[string]bool{}, restarted: map[string]bool{}, staleEngines: map[string]bool{}, idByKey: map[string]string{}, itemIndex: map[string]int{}, staleItems: map[string]bool{}}
}

// setEntry adds or replaces an entry and updates the index.
func (l *List) setEntry(key string, e entry) {
	l.entries[key] = e
	l.index.staleEngines[key], l.index.staleItems[key] = true, true
	setMember(l.index.missing, key, !e.missingSince.IsZero())
	setMember(l.index.restarted, key, e.engine.StartMS > e.listedStartMS)
}

// deleteEntry removes an entry from the list and from the index.
func (l *List) deleteEntry(key string) {
	delete(l.entries, key)
	l.index.staleEngines[key], l.index.staleItems[key] = true, true
	delete(l.index.missing, key)
	delete(l.index.restarted, key)
}

// setMember adds key to keys if member is true, and removes it otherwise.
func setMember(keys map[string]bool, key string, member bool) {
	if member {
		keys[key] = true
	} else {
		delete(keys, key)
	}
}

// rebuildDivisor limits patching of the previous result: if more than 1/rebuildDivisor
// of the entries have changed, the engines are rebuilt from scratch.
const rebuildDivisor = 8

// Engines returns the engines of the configured services, sorted by ID. If services is
// nil, there is no configuration and all engines are returned. The result is the same
// slice as before if nothing has changed, and must not be modified.
func (l *List) Engines(services map[string]citrontable.Service) []citronmodel.Engine {
	x := &l.index
	if x.engines == nil || !sameServices(x.engineServices, services) || len(x.staleEngines) > len(l.entries)/rebuildDivisor {
		l.rebuildEngines(services)
	} else {
		l.patchEngines()
	}
	clear(x.staleEngines)
	return x.engines
}

// sameServices reports whether a and b name the same services. It distinguishes nil, for
// no configuration, from an empty map.
func sameServices(a, b map[string]citrontable.Service) bool {
	if (a == nil) != (b == nil) || len(a) != len(b) {
		return false
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			return false
		}
	}
	return true
}

// leaving reports whether the engine is leaving as far as its entry tells: the entry says
// so, was overwritten, or is missing and not retained.
func (e entry) leaving() bool {
	return e.engine.Leaving || e.overwritten || !e.missingSince.IsZero() && !e.retained
}

// effectiveEngine returns the engine of an entry as other parts of the node see it: an
// engine is marked as leaving if its entry or the engine itself says so. The second result
// reports whether the engine's service is configured.
func (l *List) effectiveEngine(e entry, services map[string]citrontable.Service) (citronmodel.Engine, bool) {
	out := e.engine
	_, saysLeaving := l.leaving[out.ID]
	out.Leaving = saysLeaving || e.leaving()
	_, configured := services[out.Service]
	return out, configured || services == nil
}

// rebuildEngines builds the result of Engines from all entries.
func (l *List) rebuildEngines(services map[string]citrontable.Service) {
	x := &l.index
	x.engineServices = services
	clear(x.idByKey)
	x.engines = make([]citronmodel.Engine, 0, len(l.entries))
	for key, listed := range l.entries {
		if e, ok := l.effectiveEngine(listed, services); ok {
			x.engines = append(x.engines, e)
			x.idByKey[key] = e.ID
		}
	}
	slices.SortFunc(x.engines, func(a, b citronmodel.Engine) int { return cmp.Compare(a.ID, b.ID) })
}

// patchEngines applies the changed entries to a copy of the previous result.
func (l *List) patchEngines() {
	x := &l.index
	cloned := false
	cloneOnce := func() {
		if !cloned {
			x.engines, cloned = slices.Clone(x.engines), true
		}
	}
	for key := range x.staleEngines {
		listed, ok := l.entries[key]
		var e citronmodel.Engine
		if ok {
			e, ok = l.effectiveEngine(listed, x.engineServices)
		}
		if id, had := x.idByKey[key]; had {
			at, _ := findEngine(x.engines, id)
			if ok && id == e.ID {
				if x.engines[at] != e {
					cloneOnce()
					x.engines[at] = e
				}
				continue
			}
			cloneOnce()
			x.engines = slices.Delete(x.engines, at, at+1)
			delete(x.idByKey, key)
		}
		if ok {
			cloneOnce()
			at, _ := findEngine(x.engines, e.ID)
			x.engines = slices.Insert(x.engines, at, e)
			x.idByKey[key] = e.ID
		}
	}
}

// findEngine returns the position of the engine with the given ID in engines, which are
// sorted by ID, and whether it is there.
func findEngine(engines []citronmodel.Engine, id string) (int, bool) {
	return slices.BinarySearchFunc(engines, id, func(e citronmodel.Engine, id string) int { return cmp.Compare(e.ID, id) })
}

// snapshotItems returns the entries present in the store, in no particular order. It
// never modifies a slice that it has returned before.
func (l *List) snapshotItems() []citronkv.Item {
	x := &l.index
	if len(x.staleItems) == 0 {
		return x.sharedItems
	}
	x.sharedItems = append(make([]citronkv.Item, 0, len(x.sharedItems)+len(x.staleItems)), x.sharedItems...)
	for key := range x.staleItems {
		e, ok := l.entries[key]
		at, had := x.itemIndex[key]
		switch present := ok && e.missingSince.IsZero(); {
		case present && had:
			x.sharedItems[at] = e.item
		case present:
			x.itemIndex[key] = len(x.sharedItems)
			x.sharedItems = append(x.sharedItems, e.item)
		case had:
			last := len(x.sharedItems) - 1
			x.sharedItems[at] = x.sharedItems[last]
			x.itemIndex[x.sharedItems[at].Key] = at
			x.sharedItems = x.sharedItems[:last]
			delete(x.itemIndex, key)
		}
	}
	clear(x.staleItems)
	return x.sharedItems
}
