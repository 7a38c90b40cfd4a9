package citronnode_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/matryer/is"
)

// usableAt is at how many nodes an engine gets new work.
func (f *fleet) usableAt(id string) int {
	n := 0
	for _, m := range f.nodes {
		if s := m.Traffic(); s != nil {
			if e, ok := s.View.ByID(id); ok && !e.Leaving {
				n++
			}
		}
	}
	return n
}

func appEngine(id string) citronmodel.Engine {
	return citronmodel.Engine{ID: id, Instance: id, Service: "app", Addr: id + ":1", Zone: "z1"}
}

// Guards against a fleet whose list stands still, or goes back, when the store comes
// back from an older copy: an engine that leaves afterwards would stay in use, one
// that comes would not be seen, and one that left in the gap would be used again.
func TestStoreThatReturnsFromACopyIsFollowed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.net = newMesh()
	f.config("1")
	const size = 12
	for i := range 20 {
		f.engine(appEngine(fmt.Sprintf("e%d", i)))
	}
	for i := range size {
		m := f.add(fmt.Sprintf("z%d-n%d", i%3, i), fmt.Sprintf("z%d", i%3))
		m.gate.closed.Store(i%4 == 3) // some only hear of it
	}
	f.untilAllKnowAll()
	eventually(t, "all use all", func() bool { return f.usableAt("e0") == size && f.usableAt("e19") == size })
	made := f.store.Copy()

	// In the gap one engine leaves, one comes, and much is written.
	gone := appEngine("e0")
	gone.Leaving = true
	f.engine(gone)
	f.engine(appEngine("late"))
	for i := range 200 {
		e := appEngine(fmt.Sprintf("e%d", 10+i%5))
		e.Slots = i
		f.engine(e)
	}
	f.config("2")
	eventually(t, "the gap is known", func() bool { return f.usableAt("e0") == 0 && f.usableAt("late") == size })

	f.store.Return(made)
	from := time.Now()
	f.engine(appEngine("late")) // the engine writes its entry again
	f.engine(appEngine("new"))
	left := appEngine("e1")
	left.Leaving = true
	f.engine(left)
	eventually(t, "the list of the new era is in use", func() bool {
		is.Equal(f.usableAt("e0"), 0)
		return f.usableAt("new") == size && f.usableAt("e1") == 0
	})
	t.Logf("in use at %d nodes within %v", size, time.Since(from))
	is.True(time.Since(from) < 2*time.Second)
	is.Equal(f.usableAt("late"), size)
	for _, m := range f.nodes {
		is.Equal(m.version(), int64(2)) // a configuration never reverts
		is.Equal(m.Status().StoreEra, int64(1))
	}
}

// Guards against what nodes wrote to the store being gone for good after it came back
// from an older copy: the address of a node, who leads, and what is barred.
func TestNodesWriteAgainWhatACopyLacks(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.config("1")
	made := f.store.Copy()
	for _, name := range []string{"a", "b", "c"} {
		f.add(name, "z1")
	}
	f.untilAllKnowAll()
	for i := range 3 {
		f.nodes[0].Quarantine().Crashed(suspect, fmt.Sprintf("i-%d", i), time.Time{})
	}
	there := func() bool {
		for _, prefix := range []string{"deck/nodes/a", "deck/leader", "deck/barred/"} {
			if items, _, err := f.store.Range(context.Background(), prefix); err != nil || len(items) == 0 {
				return false
			}
		}
		return true
	}
	eventually(t, "all is written", there)
	f.store.Return(made)
	f.config("1")
	f.engine(appEngine("e1"))
	eventually(t, "all is written again", there)
	leaders := 0
	for _, m := range f.nodes {
		if m.Status().Leads {
			leaders++
		}
	}
	if leaders > 1 {
		t.Fatalf("%d nodes lead", leaders)
	}
	_, rev, err := f.store.Range(context.Background(), "config")
	if err != nil || rev.Era() != 1 {
		t.Fatalf("era of %v: %v", rev, err)
	}
}

// Guards against lists of other nodes that cannot be, of eras beyond what a store may
// have come to, or that cannot be read: taken, all that follow would be old news.
func TestImpossibleListsAreNotTaken(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.config("1")
	m := f.add("a", "z1")
	f.engine(appEngine("e0"))
	eventually(t, "the engine is used", func() bool { return f.usableAt("e0") == 1 })
	client := citronpeer.Client{HC: http.DefaultClient, Timeout: time.Second}
	for _, told := range []citronpeer.ListDocument{
		{Revision: citronkv.RevisionOf(citronkv.LastEra, citronkv.LastNumber), Body: []byte("[]")},
		{Revision: citronkv.RevisionOf(1000, 1), Body: []byte("[]")},
		{Revision: citronkv.RevisionOf(1, 1), Body: []byte("{")},
		{Revision: citronkv.RevisionOf(1, 1), Base: citronkv.RevisionOf(0, 900), Body: []byte("[]")},
		{Revision: citronkv.AnyRevision, Body: []byte("[]")},
	} {
		_, err := client.News(context.Background(), m.addr, citronpeer.Knowledge{From: citronpeer.Member{Name: "stranger"}, Engines: told})
		is.NoErr(err)
	}
	f.engine(appEngine("e1"))
	eventually(t, "the next engine is used", func() bool { return f.usableAt("e1") == 1 })
	is.Equal(f.usableAt("e0"), 1)
	is.Equal(m.Status().StoreEra, int64(0))
}

// Guards against two nodes that give orders at once, on the strength of leases of two
// eras: the store returns twice within a second, and turns one node away meanwhile.
func TestOneNodeLeadsWhileTheStoreReturns(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	made := f.store.Copy()
	for i := range 5 {
		f.add(fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%2))
	}
	f.untilAllKnowAll()
	placers := func() (names []string) {
		for _, m := range f.nodes {
			if m.Status().Places {
				names = append(names, m.name)
			}
		}
		return names
	}
	eventually(t, "a node places layers", func() bool { return len(placers()) == 1 })
	for i := range 3 {
		f.nodes[i].gate.closed.Store(true)
		f.store.Return(made)
		for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			if names := placers(); len(names) > 1 {
				t.Fatalf("%v place at once", names)
			}
		}
		f.nodes[i].gate.closed.Store(false)
	}
	eventually(t, "a node places layers again", func() bool { return len(placers()) == 1 })
}
