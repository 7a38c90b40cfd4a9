package citronnode_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
)

// Guards against a node that serves callers by an old configuration for as long as the
// store rejects it. The store rejects one node and serves the other while the operator
// changes the configuration. The rejected node must learn it from the other.
func TestConfigReachesNodeRejectedByStore(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	a, b := f.addNode("a", "z1"), f.addNode("b", "z1")
	eventually(t, "both nodes have version 1", func() bool { return a.version() == 1 && b.version() == 1 })
	b.gate.rejecting.Store(true)
	f.putConfig("2")
	eventually(t, "the rejected node has version 2", func() bool { return b.version() == 2 })
}

// Guards against a node that cannot start because the store rejects it. It must get the
// configuration and the engines from another node.
func TestNodeStartsWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	f.putEngine(citronmodel.Engine{ID: "e1", Service: "app", Addr: "e1:1"})
	a := f.addNode("a", "z1")
	eventually(t, "the first node is ready", a.Ready)
	b := f.addNode("b", "z1")
	b.gate.rejecting.Store(true)
	eventually(t, "the second node has the configuration and the engines", func() bool {
		return b.version() == 1 && len(b.Traffic().View.ByService["app"]) == 1
	})
}

// Guards against nodes that all watch the store, and against a fleet that keeps an old
// configuration. Each watch is billed and answered at every change, so only four of nine
// nodes may watch, and all nodes must get a new configuration. They must also get one
// while the store rejects four of the nodes, the first four to be started. Those need not
// be the watching ones.
func TestFewNodesWatchForTheFleet(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	for i := range 9 {
		f.addNode(fmt.Sprintf("n%d", i), "z1")
	}
	all := func(version int64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.nodes, func(m *member) bool { return m.version() != version })
		}
	}
	watching := func() []*member {
		return slices.DeleteFunc(slices.Clone(f.nodes), func(m *member) bool { return m.gate.watches.Load() == 0 })
	}
	eventually(t, "all nodes have version 1", all(1))
	eventually(t, "four nodes watch", func() bool { return len(watching()) == 4 })
	f.putConfig("2")
	eventually(t, "all nodes have version 2", all(2))
	for _, m := range f.nodes[:4] {
		m.gate.rejecting.Store(true)
	}
	f.putConfig("3")
	eventually(t, "all nodes have version 3, from nodes that did not watch before", all(3))
}

// Guards against a node that serves an old configuration until its stalled watch ends. A
// watch may report nothing while the configuration changes, as when the store drops its
// history. The node must learn of the change from a node whose watch is not stalled.
func TestStalledWatchDoesNotKeepOldConfig(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	a, b := f.addNode("a", "z1"), f.addNode("b", "z2")
	eventually(t, "both nodes have version 1", func() bool { return a.version() == 1 && b.version() == 1 })
	b.gate.stalled.Store(true)
	f.putConfig("2")
	eventually(t, "the node with the stalled watch has version 2", func() bool { return b.version() == 2 })
}

// Guards against a node that stops following the configuration because one version cannot
// be decoded, and against a node that goes back to an older version.
func TestInvalidOrOlderConfigIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.putConfig("5")
	a := f.addNode("a", "z1")
	eventually(t, "the node has version 5", func() bool { return a.version() == 5 })
	f.putConfig("nonsense")
	f.putConfig("4")
	f.putConfig("6")
	eventually(t, "the node has version 6", func() bool { return a.version() == 6 })
	f.putConfig("3")
	time.Sleep(300 * time.Millisecond)
	is.Equal(a.version(), int64(6))
}

// Guards against one engine entry that cannot be decoded and keeps the other engines from
// being used. The entry must be skipped.
func TestInvalidEngineEntryIsSkipped(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	_, err := f.store.Put(context.Background(), "engines/bad", []byte("{"), citronkv.Absent, 0)
	is.New(t).NoErr(err)
	f.putEngine(citronmodel.Engine{ID: "e1", Service: "app", Addr: "e1:1"})
	a := f.addNode("a", "z1")
	eventually(t, "the valid engine is listed", func() bool {
		return a.Traffic() != nil && len(a.Traffic().View.ByService["app"]) == 1
	})
}

func engines(n int) []citronmodel.Engine {
	out := make([]citronmodel.Engine, n)
	for i := range out {
		out[i] = citronmodel.Engine{ID: fmt.Sprintf("e%d", i), Service: "app", Addr: fmt.Sprintf("e%d:1", i)}
	}
	return out
}

func (m *member) usable() int {
	n := 0
	if s := m.Traffic(); s != nil {
		for _, e := range s.View.ByService["app"] {
			if !e.Leaving {
				n++
			}
		}
	}
	return n
}

// Guards against rejecting all callers because the list of engines is empty. The entries
// of all engines disappear at once, and most are back a second later. Nothing proves an
// outage of the store, but the engines are healthy. DrainWithin is the time after which a
// leaving engine must get no new work, so the engines stay in use for three fifths of it,
// but at most for ExpiryGrace. Here that is 2.5 s, because three fifths of five seconds
// are longer.
func TestEnginesStayInUseWhenEntriesExpireTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.drainWithin = 5 * time.Second
	f.putConfig("1")
	for _, e := range engines(12) {
		f.putEngine(e)
	}
	a := f.addNode("a", "z1")
	eventually(t, "the node uses twelve engines", func() bool { return a.usable() == 12 })
	for _, e := range engines(12) {
		is.NoErr(f.store.Delete(context.Background(), "engines/"+e.ID, citronkv.AnyRevision))
	}
	time.Sleep(time.Second)
	is.Equal(a.usable(), 12)
	for _, e := range engines(10) {
		f.putEngine(e)
	}
	eventually(t, "the two engines that are not back are removed", func() bool {
		return a.usable() == 10 && len(a.Traffic().View.ByService["app"]) == 10
	})
}

// Guards against sending work to an engine that leaves without announcing it: its entry
// disappears while the store is healthy. The engine must get no new work and then be
// removed from the list; how soon is not measured.
func TestSingleMissingEntryMeansEngineLeaves(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	for _, e := range engines(12) {
		f.putEngine(e)
	}
	a := f.addNode("a", "z1")
	eventually(t, "the node uses twelve engines", func() bool { return a.usable() == 12 })
	is.New(t).NoErr(f.store.Delete(context.Background(), "engines/e3", citronkv.AnyRevision))
	eventually(t, "the node uses eleven engines", func() bool { return a.usable() == 11 })
	eventually(t, "the engine is removed from the list", func() bool { return len(a.Traffic().View.ByService["app"]) == 11 })
}

// Guards against sending callers to another zone without need, and to a node that is
// stopping.
func TestDirectoryPrefersOwnZone(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	a, b, c := f.addNode("a", "z1"), f.addNode("b", "z1"), f.addNode("c", "z2")
	count := func(m *member, zone string) string { return fmt.Sprint(len(m.Addresses(zone))) }
	eventually(t, "callers get nodes of their own zone if it has two, and of all zones if it has one", func() bool {
		return count(a, "z1") == "2" && count(c, "z1") == "2" && count(c, "z2") == "3"
	})
	go b.Drain(context.Background())
	eventually(t, "the stopping node is not returned", func() bool {
		return count(a, "z2") == "2" && count(c, "z2") == "2" && count(b, "z2") == "2"
	})
}

// Guards against a new leader that moves the layers of engines that work. The node that
// places layers dies, and an engine leaves. Another node takes over, finds the engines as
// they are, and must fill the gap with at most two orders.
func TestNewLeaderPlacesOnlyMissingLayers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.putConfig("1")
	for i := range 3 {
		f.putEngine(citronmodel.Engine{ID: fmt.Sprintf("m%d", i), Service: "model", Addr: fmt.Sprintf("m%d:1", i), Zone: "z1", Kind: "fast"})
	}
	a := f.addNode("a", "z1")
	covered := func(m *member) bool {
		held := make([]bool, spec.Layers)
		if s := m.Traffic(); s != nil {
			for _, e := range s.View.ByService["model"] {
				for l := e.Layers.From; l < e.Layers.To; l++ {
					held[l] = true
				}
			}
		}
		for _, h := range held {
			if !h {
				return false
			}
		}
		return true
	}
	eventually(t, "all layers are held", func() bool { return covered(a) })
	time.Sleep(500 * time.Millisecond) // spare layer ranges are placed
	b := f.addNode("b", "z1")
	eventually(t, "the second node knows all layers", func() bool { return covered(b) })
	before := f.orders.count()
	a.stop()
	// An engine leaves; only a leader has its layers placed elsewhere.
	is.NoErr(f.store.Delete(context.Background(), "engines/"+b.Traffic().View.ByService["model"][0].ID, citronkv.AnyRevision))
	eventually(t, "the new leader fills the gap", func() bool {
		return len(b.Traffic().View.ByService["model"]) == 2 && covered(b)
	})
	is.True(f.orders.count()-before <= 2)
}

// Guards against a gap that stays until the store is back, while the callers of the zone
// wait. The store is unavailable to all nodes, and an engine dies. No leader can be
// elected, so the current leader must fill the gap although it cannot renew its lease.
func TestLeaderContinuesDuringStoreOutage(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	for i := range 3 {
		f.putEngine(citronmodel.Engine{ID: fmt.Sprintf("m%d", i), Service: "model", Addr: fmt.Sprintf("m%d:1", i), Zone: "z1", Kind: "fast"})
	}
	b := f.addNode("b", "z1")
	eventually(t, "the first node leads", func() bool { return f.orders.count() > 0 })
	a := f.addNode("a", "z1") // another node that could give orders
	held := func() (n int) {
		if s := a.Traffic(); s != nil {
			for _, e := range s.View.ByService["model"] {
				n += e.Layers.Len()
			}
		}
		return n
	}
	eventually(t, "all engines hold layers", func() bool { return held() >= spec.Layers })
	before := f.orders.count()
	a.gate.rejecting.Store(true)
	b.gate.rejecting.Store(true)
	time.Sleep(1500 * time.Millisecond) // over two lifetimes of the lease
	for _, e := range a.Traffic().View.ByService["model"] {
		if e.Layers.To == spec.Layers {
			f.orders.markDead(e.Addr)
			for _, m := range []*member{a, b} {
				own, _ := m.Traffic().View.ByID(e.ID)
				own.MarkDead(time.Now())
			}
		}
	}
	eventually(t, "an order fills the gap", func() bool { return f.orders.count() > before })
	is.New(t).Equal(f.orders.issuersAfter(before)[0], "b")
}

// Guards against a gap that stays until the store is back because there is no leader. The
// store is unavailable to all nodes, and an engine and the leader die. Another node must
// act as leader and fill the gap.
func TestActingLeaderFillsGapDuringStoreOutage(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	for i := range 3 {
		f.putEngine(citronmodel.Engine{ID: fmt.Sprintf("m%d", i), Service: "model", Addr: fmt.Sprintf("m%d:1", i), Zone: "z1", Kind: "fast"})
	}
	a := f.addNode("a", "z1")
	eventually(t, "the first node leads", func() bool { return f.orders.count() >= 2 })
	b, c := f.addNode("b", "z1"), f.addNode("c", "z1")
	eventually(t, "the second and third node are ready", func() bool { return b.Ready() && c.Ready() })
	time.Sleep(2500 * time.Millisecond) // their lists count as complete
	b.gate.rejecting.Store(true)
	c.gate.rejecting.Store(true)
	a.stop()
	before := f.orders.count()
	for _, e := range b.Traffic().View.ByService["model"] {
		if e.Layers.To == spec.Layers {
			f.orders.markDead(e.Addr)
			stop := make(chan struct{})
			defer close(stop)
			go func() { // requests keep finding it dead
				for own, _ := b.Traffic().View.ByID(e.ID); ; time.Sleep(50 * time.Millisecond) {
					select {
					case <-stop:
						return
					default:
						own.MarkDead(time.Now())
					}
				}
			}()
		}
	}
	eventually(t, "an order fills the gap", func() bool { return f.orders.count() > before })
}

// Guards against nodes that each learn of a faulty engine by a rejected request of their
// own. A request of one node is rejected because of an engine. The other nodes of its zone
// must hear of it and avoid that engine, and only that one, for a moment.
func TestAccusationReachesTheZone(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	for _, e := range engines(2) {
		e.Zone = "z1"
		f.putEngine(e)
	}
	a, b := f.addNode("a", "z1"), f.addNode("b", "z1")
	eventually(t, "both nodes know the engines and each other", func() bool {
		return a.usable() == 2 && b.usable() == 2 && len(a.Addresses("z1")) == 2
	})
	var probed atomic.Pointer[string]
	b.ProbeAccusedThrough(func(e *citronpool.Engine, _ bool) { probed.Store(&e.ID) })
	eventually(t, "the other node avoids the accused engine", func() bool {
		accused, _ := a.Traffic().View.ByID("e1")
		accused.Accuse(time.Now())
		a.Accuse(accused)
		time.Sleep(20 * time.Millisecond)
		there, _ := b.Traffic().View.ByID("e1")
		other, _ := b.Traffic().View.ByID("e0")
		return there.Accused(time.Now()) && !there.Usable(time.Now()) && other.Usable(time.Now())
	})
	if id := probed.Load(); id == nil || *id != "e1" {
		t.Fatal("the other node does not probe the accused engine")
	}
}

// Guards against accusations that are lost because another engine was accused within the
// same 20 ms: engines that fail together are accused together, and the streams of other
// nodes through the second one would stall until they find out by themselves.
func TestEnginesAccusedTogetherReachTheZone(t *testing.T) {
	f := newFleet(t)
	f.putConfig("1")
	for _, e := range engines(3) {
		e.Zone = "z1"
		f.putEngine(e)
	}
	a, b := f.addNode("a", "z1"), f.addNode("b", "z1")
	eventually(t, "both nodes know the engines and each other", func() bool {
		return a.usable() == 3 && b.usable() == 3 && len(a.Addresses("z1")) == 2
	})
	for _, id := range []string{"e0", "e1", "e2"} {
		e, _ := a.Traffic().View.ByID(id)
		a.Accuse(e)
	}
	eventually(t, "the other node knows all accused engines", func() bool {
		for _, id := range []string{"e0", "e1", "e2"} {
			if e, _ := b.Traffic().View.ByID(id); !e.Accused(time.Now()) {
				return false
			}
		}
		return true
	})
}
