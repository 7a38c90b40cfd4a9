package citronlist

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// entryItem returns the entry of engine i, written at the given count in era 0.
func entryItem(i int, count int64, change func(*citronmodel.Engine)) citronkv.Item {
	e := citronmodel.Engine{ID: fmt.Sprint(i), Addr: fmt.Sprintf("a%d:1", i)}
	if change != nil {
		change(&e)
	}
	text, _ := json.Marshal(e) // a struct of plain values always encodes
	return citronkv.Item{Key: key(i), Value: text, Revision: citronkv.RevisionOf(0, count)}
}

// inEra returns copies of the items as a store in the given era returns them.
func inEra(era int64, items ...citronkv.Item) []citronkv.Item {
	out := make([]citronkv.Item, len(items))
	for i, it := range items {
		it.Revision = citronkv.RevisionOf(era, it.Revision.Count())
		out[i] = it
	}
	return out
}

// leaving marks an engine as leaving.
func leaving(e *citronmodel.Engine) { e.Leaving = true }

// usedIDs returns the IDs of the engines that get new work.
func (l *List) usedIDs() map[string]bool {
	out := map[string]bool{}
	for _, e := range l.Engines(nil) {
		if !e.Leaving {
			out[e.ID] = true
		}
	}
	return out
}

// Guards against a list that is no longer updated after the store was restored from an
// older copy, because the revisions in that copy are lower than those seen before.
func TestListOfLaterEraReplacesHigherRevisions(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 10, 2*time.Second)
	items := inEra(1, entryItem(0, 1, nil), entryItem(1, 2, leaving))
	is.True(l.ApplyFull(t.Context(), items, citronkv.RevisionOf(1, 4), true))
	is.True(!l.usedIDs()["1"])
	// Changes of the earlier era are ignored in the new one.
	is.True(!l.ApplyChanges(t.Context(), []citronkv.Item{entryItem(0, 11, leaving)}, citronkv.RevisionOf(0, 10), citronkv.RevisionOf(0, 11), false))
	is.True(l.usedIDs()["0"])
	// Numbers that are assigned again in the new era stand for other writes.
	is.True(l.ApplyChanges(t.Context(), inEra(1, entryItem(0, 5, leaving)), citronkv.RevisionOf(1, 4), citronkv.RevisionOf(1, 5), true))
	is.True(!l.usedIDs()["0"])
}

// Guards against sending work to engines that left or disappeared after the copy was
// made: the restored copy still lists them as ready.
func TestRestoredStoreDoesNotReviveEngines(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 10, 2*time.Second)
	copied := make([]citronkv.Item, 10)
	for i := range copied {
		copied[i] = entryItem(i, int64(i+1), nil)
	}
	is.True(l.ApplyChanges(t.Context(), []citronkv.Item{entryItem(0, 11, leaving), {Key: key(1), Revision: citronkv.RevisionOf(0, 12), Deleted: true}}, citronkv.RevisionOf(0, 10), citronkv.RevisionOf(0, 12), true))
	clock.Advance(3 * time.Second)
	l.Tick(t.Context(), false)
	is.True(l.ApplyFull(t.Context(), inEra(1, copied...), citronkv.RevisionOf(1, 10), true))
	is.True(!l.usedIDs()["0"])
	is.True(!l.usedIDs()["1"])
	is.Equal(len(l.usedIDs()), 8)
	// Engine 1 writes its entry again, so it is present after all.
	is.True(l.ApplyChanges(t.Context(), inEra(1, entryItem(1, 11, nil)), citronkv.RevisionOf(1, 10), citronkv.RevisionOf(1, 11), true))
	is.True(l.usedIDs()["1"])
}

// Guards against dropping engines that joined after the copy was made. The restored store
// lacks their entries until they write them again, for which they have ExpiryGrace. An
// engine that does not write its entry by then must no longer be used.
func TestEnginesMissingAfterRestoreAreRetainedForGrace(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 3, 2*time.Second)
	is.True(l.ApplyChanges(t.Context(), []citronkv.Item{entryItem(3, 11, nil), entryItem(4, 12, nil)}, citronkv.RevisionOf(0, 3), citronkv.RevisionOf(0, 12), true))
	is.True(l.ApplyFull(t.Context(), inEra(1, entryItem(0, 1, nil), entryItem(1, 2, nil), entryItem(2, 3, nil)), citronkv.RevisionOf(1, 3), true))
	is.Equal(len(l.usedIDs()), 5)
	clock.Advance(citronhealth.ExpiryGrace / 2)
	is.True(l.ApplyChanges(t.Context(), inEra(1, entryItem(3, 4, nil)), citronkv.RevisionOf(1, 3), citronkv.RevisionOf(1, 4), true))
	clock.Advance(citronhealth.ExpiryGrace)
	l.Tick(t.Context(), false)
	is.True(l.usedIDs()["3"])
	is.True(!l.usedIDs()["4"])
}

// Guards against sending only the changes since some revision to a node whose list is of
// an earlier era. That revision means nothing in the new era, so the node must get the
// full list.
func TestNodeOfOlderEraGetsFullList(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 3, 2*time.Second)
	is.True(l.ApplyFull(t.Context(), inEra(1, entryItem(0, 1, nil)), citronkv.RevisionOf(1, 1), true))
	doc, err := l.Snapshot().ChangesSince(citronkv.RevisionOf(0, 3))
	is.NoErr(err)
	is.True(doc.Base.IsZero())
	is.Equal(doc.Revision, citronkv.RevisionOf(1, 1))
}

// Guards against a restored store that brings back engines which have left, or that keeps
// engines out of use. The list follows a store through any sequence of writes and
// restores. From the first restore on, it never uses an engine that was seen to leave or
// disappear and has not written its entry since. It uses all engines once all have
// written.
func TestListFollowsRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := citronclock.NewManual(time.Unix(0, 0))
		kv := citronkv.NewServer(clock, 0)
		l := newList(clock, 2*time.Second)
		gone := map[int]bool{}
		write := func(i int, change func(*citronmodel.Engine)) {
			it := entryItem(i, 0, change)
			if _, err := kv.Put(t.Context(), it.Key, it.Value, citronkv.AnyRevision, 0); err != nil {
				t.Fatal(err)
			}
			gone[i] = change != nil
		}
		read := func() {
			items, rev, err := kv.Range(t.Context(), "engines/")
			if err != nil {
				t.Fatal(err)
			}
			l.ApplyFull(t.Context(), items, rev, true)
		}
		const engines = 100 // only five of them change, so that no mass removal is detected
		engine := rapid.IntRange(0, 4)
		for i := range engines {
			write(i, nil)
		}
		read()
		backup := kv.Snapshot()
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { write(engine.Draw(t, "engine"), nil); read() },
			"leave": func(t *rapid.T) { write(engine.Draw(t, "engine"), leaving); read() },
			"go": func(t *rapid.T) {
				i := engine.Draw(t, "engine")
				if kv.Delete(t.Context(), key(i), citronkv.AnyRevision) == nil {
					gone[i] = true // Delete fails if there is no entry, and then no removal is seen
				}
				read()
			},
			"copy": func(*rapid.T) { backup = kv.Snapshot() },
			"return": func(*rapid.T) {
				kv.Restore(backup)
				read()
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Second)
				l.Tick(t.Context(), false)
			},
			"": func(t *rapid.T) {
				for i, left := range gone {
					if left && l.usedIDs()[fmt.Sprint(i)] && l.Revision().Era() > 0 {
						t.Fatalf("engine %d is in use although it has left", i)
					}
				}
			},
		})
		for i := range engines {
			write(i, nil)
		}
		read()
		if n := len(l.usedIDs()); n != engines {
			t.Fatalf("%d engines are in use, want all %d that wrote their entries", n, engines)
		}
	})
}

// Guards against sending work to an engine that left, because the restored copy is older than
// the last few heartbeats, each of which wrote the engine's entry again.
func TestCopyOlderThanManyHeartbeatsDoesNotReviveEngine(t *testing.T) {
	is := is.New(t)
	const heartbeat = 1200 * time.Millisecond
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 10, 2*time.Second)
	copied := inEra(1, entryItem(0, 1, nil), entryItem(1, 2, nil))
	count := int64(10)
	for range int(supersededMaxAge/heartbeat) - 1 {
		count++
		clock.Advance(heartbeat)
		is.True(l.ApplyChanges(t.Context(), []citronkv.Item{entryItem(0, count, nil)}, citronkv.RevisionOf(0, count-1), citronkv.RevisionOf(0, count), true))
	}
	is.True(l.ApplyChanges(t.Context(), []citronkv.Item{entryItem(0, count+1, leaving)}, citronkv.RevisionOf(0, count), citronkv.RevisionOf(0, count+1), true))
	is.True(!l.usedIDs()["0"])
	is.True(l.ApplyFull(t.Context(), copied, citronkv.RevisionOf(1, 4), true))
	is.True(!l.usedIDs()["0"])
	is.True(l.usedIDs()["1"])
}
