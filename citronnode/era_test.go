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

// nodesUsing returns how many nodes send new work to an engine.
func (f *fleet) nodesUsing(id string) int {
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

// Guards against a fleet whose list of engines stops changing, or reverts, when the
// store is restored from an older copy. An engine that leaves afterwards would stay in
// use, a new engine would not be seen, and one that left after the copy was made would
// be used again.
func TestNodesFollowRestoredStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.net = newMesh()
	f.putConfig("1")
	const size = 12
	for i := range 20 {
		f.putEngine(appEngine(fmt.Sprintf("e%d", i)))
	}
	for i := range size {
		m := f.addNode(fmt.Sprintf("z%d-n%d", i%3, i), fmt.Sprintf("z%d", i%3))
		m.gate.rejecting.Store(i%4 == 3) // these nodes learn of the restore from other nodes only
	}
	f.awaitFullMembership()
	eventually(t, "all nodes use all engines", func() bool { return f.nodesUsing("e0") == size && f.nodesUsing("e19") == size })
	copied := f.store.Snapshot()

	// After the copy is made, one engine leaves, one joins, and many entries change.
	gone := appEngine("e0")
	gone.Leaving = true
	f.putEngine(gone)
	f.putEngine(appEngine("late"))
	for i := range 200 {
		e := appEngine(fmt.Sprintf("e%d", 10+i%5))
		e.Slots = i
		f.putEngine(e)
	}
	f.putConfig("2")
	eventually(t, "all nodes know the changes since the copy", func() bool {
		for _, m := range f.nodes {
			if m.version() != 2 {
				return false
			}
		}
		return f.nodesUsing("e0") == 0 && f.nodesUsing("late") == size
	})

	f.store.Restore(copied)
	from := time.Now()
	f.putEngine(appEngine("late")) // the engine renews its entry
	f.putEngine(appEngine("new"))
	left := appEngine("e1")
	left.Leaving = true
	f.putEngine(left)
	eventually(t, "all nodes use the list of the new era", func() bool {
		is.Equal(f.nodesUsing("e0"), 0)
		return f.nodesUsing("new") == size && f.nodesUsing("e1") == 0
	})
	t.Logf("%d nodes use the new list after %v", size, time.Since(from))
	is.True(time.Since(from) < 2*time.Second)
	is.Equal(f.nodesUsing("late"), size)
	for _, m := range f.nodes {
		is.Equal(m.Status().StoreEra, int64(1))
	}
	// Meanwhile, the nodes that watch the store read the older configuration.
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, m := range f.nodes {
			is.Equal(m.version(), int64(2)) // a configuration never reverts
		}
	}
}

// Guards against records that stay missing after the store is restored from an older
// copy without them: the address of a node, the leader key and the quarantined requests.
// The nodes must write them again, and at most one node may lead then.
func TestNodesRewriteRecordsMissingAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.putConfig("1")
	copied := f.store.Snapshot()
	for _, name := range []string{"a", "b", "c"} {
		f.addNode(name, "z1")
	}
	f.awaitFullMembership()
	for i := range 3 {
		f.nodes[0].Quarantine().RecordCrash(suspect, fmt.Sprintf("i-%d", i), time.Time{})
	}
	allWritten := func() bool {
		for _, prefix := range []string{"deck/nodes/a", "deck/leader", "deck/barred/"} {
			if items, _, err := f.store.Range(context.Background(), prefix); err != nil || len(items) == 0 {
				return false
			}
		}
		return true
	}
	eventually(t, "all records are in the store", allWritten)
	f.store.Restore(copied)
	f.putConfig("1")
	f.putEngine(appEngine("e1"))
	eventually(t, "all records are in the store again", allWritten)
	leaders := 0
	for _, m := range f.nodes {
		if m.Status().Leads {
			leaders++
		}
	}
	if leaders > 1 {
		t.Fatalf("%d nodes lead, want at most 1", leaders)
	}
	_, rev, err := f.store.Range(context.Background(), "config")
	if err != nil || rev.Era() != 1 {
		t.Fatalf("revision %v has era %d, want 1 (error: %v)", rev, rev.Era(), err)
	}
}

// Guards against invalid lists from other nodes: of an era too far ahead, unreadable,
// with the changes since a revision that the node does not have, or at AnyRevision, which
// no list has. A node that accepted one could treat all later lists as outdated.
func TestInvalidEngineListsAreRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.putConfig("1")
	m := f.addNode("a", "z1")
	f.putEngine(appEngine("e0"))
	eventually(t, "the node uses the engine", func() bool { return f.nodesUsing("e0") == 1 })
	client := citronpeer.Client{HC: http.DefaultClient, Timeout: time.Second}
	for _, list := range []citronpeer.ListDocument{
		{Revision: citronkv.RevisionOf(citronkv.MaxEra, citronkv.MaxCount), Body: []byte("[]")},
		{Revision: citronkv.RevisionOf(1000, 1), Body: []byte("[]")},
		{Revision: citronkv.RevisionOf(1, 1), Body: []byte("{")},
		{Revision: citronkv.RevisionOf(1, 1), Base: citronkv.RevisionOf(0, 900), Body: []byte("[]")},
		{Revision: citronkv.AnyRevision, Body: []byte("[]")},
	} {
		_, err := client.Update(context.Background(), m.addr, citronpeer.GossipState{From: citronpeer.Member{Name: "stranger"}, Engines: list})
		is.NoErr(err)
	}
	f.putEngine(appEngine("e1"))
	eventually(t, "the node uses the next engine", func() bool { return f.nodesUsing("e1") == 1 })
	is.Equal(f.nodesUsing("e0"), 1)
	is.Equal(m.Status().StoreEra, int64(0))
}

// Guards against two nodes that give orders at once under leases of two eras, while the
// store is restored repeatedly within a few seconds and rejects one node at a time.
func TestSingleLeaderDuringStoreRestores(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	copied := f.store.Snapshot()
	for i := range 5 {
		f.addNode(fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%2))
	}
	f.awaitFullMembership()
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
		f.nodes[i].gate.rejecting.Store(true)
		f.store.Restore(copied)
		for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			if names := placers(); len(names) > 1 {
				t.Fatalf("nodes %v place layers at the same time", names)
			}
		}
		f.nodes[i].gate.rejecting.Store(false)
	}
	eventually(t, "a node places layers again", func() bool { return len(placers()) == 1 })
}
