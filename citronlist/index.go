package citronlist

// What of the list has changed, and which of its entries are due for something. Nodes
// look at it ten times a second, and engines of a large fleet come and go all the time:
// neither may cost by the length of the list.

import (
	"cmp"
	"slices"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citrontable"
)

// index holds the keys of entries by what is to be done with them.
type index struct {
	// lapsed are missing, reborn started later than their entries tell.
	lapsed, reborn map[string]bool
	// changed are those that built does not have as they are now.
	changed map[string]bool
	// built is what Engines returned last, by engine id, ids the ids in it by key, and
	// builtFor the services for which it was made.
	built    []citronmodel.Engine
	ids      map[string]string
	builtFor map[string]citrontable.Service
	// items are the entries that are passed on, at where each is by key, and unpassed
	// the keys that items does not have as they are now.
	items    []citronkv.Item
	at       map[string]int
	unpassed map[string]bool
}

func newIndex() index {
	return index{lapsed: map[string]bool{}, reborn: map[string]bool{}, changed: map[string]bool{}, ids: map[string]string{}, at: map[string]int{}, unpassed: map[string]bool{}}
}

// store puts an entry in the list.
func (l *List) store(key string, e entry) {
	l.entries[key] = e
	l.index.changed[key], l.index.unpassed[key] = true, true
	mark(l.index.lapsed, key, !e.lapsed.IsZero())
	mark(l.index.reborn, key, e.engine.Born > e.entryBorn)
}

// discard takes an entry out of the list.
func (l *List) discard(key string) {
	delete(l.entries, key)
	l.index.changed[key], l.index.unpassed[key] = true, true
	delete(l.index.lapsed, key)
	delete(l.index.reborn, key)
}

func mark(keys map[string]bool, key string, is bool) {
	if is {
		keys[key] = true
	} else {
		delete(keys, key)
	}
}

// mostPatched is the part of the list up to which changes are put into what was built
// before.
const mostPatched = 8

// Engines returns the engines of the services that are configured, by id; without a
// configuration all of them. It returns the same slice as before if nothing has changed.
func (l *List) Engines(services map[string]citrontable.Service) []citronmodel.Engine {
	x := &l.index
	if x.built == nil || !sameServices(x.builtFor, services) || len(x.changed) > len(l.entries)/mostPatched {
		l.build(services)
	} else {
		l.patch()
	}
	clear(x.changed)
	return x.built
}

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

// inUse is an entry's engine as it may be used. It reports whether the engine's service
// is configured; it is not while the entry is of another writer.
func (e entry) inUse(services map[string]citrontable.Service) (citronmodel.Engine, bool) {
	out := e.engine
	out.Leaving = out.Leaving || e.spoiled || !e.lapsed.IsZero() && !e.kept
	_, known := services[out.Service]
	return out, known || services == nil
}

func (l *List) build(services map[string]citrontable.Service) {
	x := &l.index
	x.builtFor = services
	clear(x.ids)
	x.built = make([]citronmodel.Engine, 0, len(l.entries))
	for key, listed := range l.entries {
		if e, ok := listed.inUse(services); ok {
			x.built = append(x.built, e)
			x.ids[key] = e.ID
		}
	}
	slices.SortFunc(x.built, func(a, b citronmodel.Engine) int { return cmp.Compare(a.ID, b.ID) })
}

// patch puts what has changed into a copy of what was built before.
func (l *List) patch() {
	x := &l.index
	copied := false
	own := func() {
		if !copied {
			x.built, copied = slices.Clone(x.built), true
		}
	}
	for key := range x.changed {
		listed, ok := l.entries[key]
		var e citronmodel.Engine
		if ok {
			e, ok = listed.inUse(x.builtFor)
		}
		if id, had := x.ids[key]; had {
			at, _ := findEngine(x.built, id)
			if ok && id == e.ID {
				if x.built[at] != e {
					own()
					x.built[at] = e
				}
				continue
			}
			own()
			x.built = slices.Delete(x.built, at, at+1)
			delete(x.ids, key)
		}
		if ok {
			own()
			at, _ := findEngine(x.built, e.ID)
			x.built = slices.Insert(x.built, at, e)
			x.ids[key] = e.ID
		}
	}
}

func findEngine(engines []citronmodel.Engine, id string) (int, bool) {
	return slices.BinarySearchFunc(engines, id, func(e citronmodel.Engine, id string) int { return cmp.Compare(e.ID, id) })
}

// passedItems are the entries that are there, in no order. What readers have of them
// stays as it is.
func (l *List) passedItems() []citronkv.Item {
	x := &l.index
	if len(x.unpassed) == 0 {
		return x.items
	}
	x.items = append(make([]citronkv.Item, 0, len(x.items)+len(x.unpassed)), x.items...)
	for key := range x.unpassed {
		e, ok := l.entries[key]
		at, had := x.at[key]
		switch there := ok && e.lapsed.IsZero(); {
		case there && had:
			x.items[at] = e.item
		case there:
			x.at[key] = len(x.items)
			x.items = append(x.items, e.item)
		case had:
			last := len(x.items) - 1
			x.items[at] = x.items[last]
			x.at[x.items[at].Key] = at
			x.items = x.items[:last]
			delete(x.at, key)
		}
	}
	clear(x.unpassed)
	return x.items
}
