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

// written is an entry as it was written with a count of the store.
func entryItem(i int, number int64, change func(*citronmodel.Engine)) citronkv.Item {
	e := citronmodel.Engine{ID: fmt.Sprint(i), Addr: fmt.Sprintf("a%d:1", i)}
	if change != nil {
		change(&e)
	}
	text, _ := json.Marshal(e) // of plain values
	return citronkv.Item{Key: key(i), Value: text, Revision: citronkv.RevisionOf(0, number)}
}

// inEra is what a store says of items in an era.
func inEra(era int64, items ...citronkv.Item) []citronkv.Item {
	out := make([]citronkv.Item, len(items))
	for i, it := range items {
		it.Revision = citronkv.RevisionOf(era, it.Revision.Number())
		out[i] = it
	}
	return out
}

func leaving(e *citronmodel.Engine) { e.Leaving = true }

// used are the engines that get new work.
func (l *List) usedIDs() map[string]bool {
	out := map[string]bool{}
	for _, e := range l.Engines(nil) {
		if !e.Leaving {
			out[e.ID] = true
		}
	}
	return out
}

// Guards against a list that stands still after the store came back from an older
// copy, because its revisions are lower than those seen before.
func TestListOfLaterEraReplacesHigherRevisions(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 10, 2*time.Second)
	items := inEra(1, entryItem(0, 1, nil), entryItem(1, 2, leaving))
	is.True(l.TakeWhole(t.Context(), items, citronkv.RevisionOf(1, 4), true))
	is.True(!l.usedIDs()["1"])
	// Changes of the old era mean nothing in the new one.
	is.True(!l.TakeChanges(t.Context(), []citronkv.Item{entryItem(0, 11, leaving)}, citronkv.RevisionOf(0, 10), citronkv.RevisionOf(0, 11), false))
	is.True(l.usedIDs()["0"])
	// Counts that were given out again are other writes.
	is.True(l.TakeChanges(t.Context(), inEra(1, entryItem(0, 5, leaving)), citronkv.RevisionOf(1, 4), citronkv.RevisionOf(1, 5), true))
	is.True(!l.usedIDs()["0"])
}

// Guards against work for engines that were seen to leave, or to go, after the copy
// was made: the copy says that they are ready.
func TestRestoredStoreDoesNotReviveEngines(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 10, 2*time.Second)
	copied := make([]citronkv.Item, 10)
	for i := range copied {
		copied[i] = entryItem(i, int64(i+1), nil)
	}
	is.True(l.TakeChanges(t.Context(), []citronkv.Item{entryItem(0, 11, leaving), {Key: key(1), Revision: citronkv.RevisionOf(0, 12), Deleted: true}}, citronkv.RevisionOf(0, 10), citronkv.RevisionOf(0, 12), true))
	clock.Advance(3 * time.Second)
	l.Tick(t.Context(), false)
	is.True(l.TakeWhole(t.Context(), inEra(1, copied...), citronkv.RevisionOf(1, 10), true))
	is.True(!l.usedIDs()["0"])
	is.True(!l.usedIDs()["1"])
	is.Equal(len(l.usedIDs()), 8)
	// The second wrote its entry again: it is there after all.
	is.True(l.TakeChanges(t.Context(), inEra(1, entryItem(1, 11, nil)), citronkv.RevisionOf(1, 10), citronkv.RevisionOf(1, 11), true))
	is.True(l.usedIDs()["1"])
}

// Guards against taking engines for gone that came after the copy was made, before
// they could write their entries again, and against using them on if they do not.
func TestEnginesMissingAfterRestoreAreRetainedForGrace(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 3, 2*time.Second)
	is.True(l.TakeChanges(t.Context(), []citronkv.Item{entryItem(3, 11, nil), entryItem(4, 12, nil)}, citronkv.RevisionOf(0, 3), citronkv.RevisionOf(0, 12), true))
	is.True(l.TakeWhole(t.Context(), inEra(1, entryItem(0, 1, nil), entryItem(1, 2, nil), entryItem(2, 3, nil)), citronkv.RevisionOf(1, 3), true))
	is.Equal(len(l.usedIDs()), 5)
	clock.Advance(citronhealth.LapseGrace / 2)
	is.True(l.TakeChanges(t.Context(), inEra(1, entryItem(3, 4, nil)), citronkv.RevisionOf(1, 3), citronkv.RevisionOf(1, 4), true))
	clock.Advance(citronhealth.LapseGrace)
	l.Tick(t.Context(), false)
	is.True(l.usedIDs()["3"])
	is.True(!l.usedIDs()["4"])
}

// Guards against a node that passes changes on as if the other had the list of the
// same era.
func TestNodeOfOlderEraGetsFullList(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 3, 2*time.Second)
	is.True(l.TakeWhole(t.Context(), inEra(1, entryItem(0, 1, nil)), citronkv.RevisionOf(1, 1), true))
	doc, err := l.Passed().After(citronkv.RevisionOf(0, 3))
	is.NoErr(err)
	is.True(doc.Base.IsZero())
	is.Equal(doc.Revision, citronkv.RevisionOf(1, 1))
}

// Whatever engines write and however often the store returns from a copy, a list
// that follows it never uses an engine that was seen to leave or to go and has not
// written its entry since, and agrees with the store once all have written.
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
			l.TakeWhole(t.Context(), items, rev, true)
		}
		const engines = 100 // few of them change, so that no outage is suspected
		engine := rapid.IntRange(0, 4)
		for i := range engines {
			write(i, nil)
		}
		read()
		backup := kv.Copy()
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { write(engine.Draw(t, "engine"), nil); read() },
			"leave": func(t *rapid.T) { write(engine.Draw(t, "engine"), leaving); read() },
			"go": func(t *rapid.T) {
				i := engine.Draw(t, "engine")
				if kv.Delete(t.Context(), key(i), citronkv.AnyRevision) == nil {
					gone[i] = true // else nobody is told
				}
				read()
			},
			"copy": func(*rapid.T) { backup = kv.Copy() },
			"return": func(*rapid.T) {
				kv.Return(backup)
				read()
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Second)
				l.Tick(t.Context(), false)
			},
			"": func(t *rapid.T) {
				for i, left := range gone {
					if left && l.usedIDs()[fmt.Sprint(i)] && l.Revision().Era() > 0 {
						t.Fatalf("engine %d is used though it has left", i)
					}
				}
			},
		})
		for i := range engines {
			write(i, nil)
		}
		read()
		if n := len(l.usedIDs()); n != engines {
			t.Fatalf("%d engines are used of %d that wrote", n, engines)
		}
	})
}
