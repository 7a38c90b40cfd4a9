package citronnode_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"github.com/matryer/is"
)

// The store turns one node away and serves the others. The operator changes
// the configuration: callers of that node must not be served by the old one
// for as long as the store likes, so it learns the new one from the others.
func TestConfigReachesNodeThatTheStoreTurnsAway(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	a, b := f.add("a", "z1"), f.add("b", "z1")
	eventually(t, "both nodes have version 1", func() bool { return a.version() == 1 && b.version() == 1 })
	b.gate.closed.Store(true)
	f.config("2")
	eventually(t, "version 2 at the node turned away", func() bool { return b.version() == 2 })
}

// The same at its start: it has never seen the store, and still gets all.
func TestNodeStartsWithoutTheStore(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	f.engine(citronmodel.Engine{ID: "e1", Service: "app", Addr: "e1:1"})
	a := f.add("a", "z1")
	eventually(t, "first node ready", a.Ready)
	b := f.add("b", "z1")
	b.gate.closed.Store(true)
	eventually(t, "second node has configuration and engines", func() bool {
		return b.version() == 1 && len(b.Traffic().View.ByService["app"]) == 1
	})
}

// A fleet of nine nodes: each watch is answered at every change and priced,
// so only a few nodes watch. All get a new configuration; and when the store
// turns all of those away that watch, others step in, or the fleet would keep
// the old one for as long as the store likes.
func TestFewNodesWatchForAll(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	for i := range 9 {
		f.add(fmt.Sprintf("n%d", i), "z1")
	}
	all := func(version int64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.nodes, func(m *member) bool { return m.version() != version })
		}
	}
	watching := func() []*member {
		return slices.DeleteFunc(slices.Clone(f.nodes), func(m *member) bool { return m.gate.watches.Load() == 0 })
	}
	eventually(t, "version 1 everywhere", all(1))
	eventually(t, "four nodes watch", func() bool { return len(watching()) == 4 })
	f.config("2")
	eventually(t, "version 2 everywhere", all(2))
	for _, m := range f.nodes[:4] {
		m.gate.closed.Store(true)
	}
	f.config("3")
	eventually(t, "version 3 everywhere, from those that did not watch", all(3))
}

// Watches hear nothing while the configuration changes, as when the store
// drops its history. A node whose own watch is silent learns from one whose
// watch is not; callers never see the old version for a watch's whole time.
func TestSilentWatchKeepsNoOldVersion(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	a, b := f.add("a", "z1"), f.add("b", "z2")
	eventually(t, "both nodes have version 1", func() bool { return a.version() == 1 && b.version() == 1 })
	b.gate.silent.Store(true)
	f.config("2")
	eventually(t, "version 2 behind the silent watch", func() bool { return b.version() == 2 })
}

// A configuration that cannot be read, or an older one, changes nothing.
func TestBadOrOldConfigIsNotTaken(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.config("5")
	a := f.add("a", "z1")
	eventually(t, "version 5", func() bool { return a.version() == 5 })
	f.config("nonsense")
	f.config("4")
	f.config("6")
	eventually(t, "version 6", func() bool { return a.version() == 6 })
	f.config("3")
	time.Sleep(300 * time.Millisecond)
	is.Equal(a.version(), int64(6))
}

// An entry of the list that cannot be read is left out, the others serve.
func TestBadEngineEntryIsLeftOut(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	_, err := f.store.Put(context.Background(), "engines/bad", []byte("{"), citronkv.Absent, 0)
	is.New(t).NoErr(err)
	f.engine(citronmodel.Engine{ID: "e1", Service: "app", Addr: "e1:1"})
	a := f.add("a", "z1")
	eventually(t, "the good engine is listed", func() bool {
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

// The entries of all engines go at once and are back within two seconds. Nothing
// proves an outage, but callers must be served by the engines, which are well,
// not refused because the list is empty, for as long as may be: five seconds
// here until an engine that leaves must get no new work.
func TestEntriesThatLapseTogetherStayInUse(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.drain = 5 * time.Second
	f.config("1")
	for _, e := range engines(12) {
		f.engine(e)
	}
	a := f.add("a", "z1")
	eventually(t, "twelve engines", func() bool { return a.usable() == 12 })
	for _, e := range engines(12) {
		is.NoErr(f.store.Delete(context.Background(), "engines/"+e.ID, citronkv.AnyRevision))
	}
	time.Sleep(time.Second)
	is.Equal(a.usable(), 12)
	for _, e := range engines(10) {
		f.engine(e)
	}
	eventually(t, "the two that are not back are gone", func() bool {
		return a.usable() == 10 && len(a.Traffic().View.ByService["app"]) == 10
	})
}

// One engine's entry goes while the store is well: the engine leaves without
// having said so. It must get no new work, at once.
func TestEntryThatGoesAloneMeansLeaving(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	for _, e := range engines(12) {
		f.engine(e)
	}
	a := f.add("a", "z1")
	eventually(t, "twelve engines", func() bool { return a.usable() == 12 })
	is.New(t).NoErr(f.store.Delete(context.Background(), "engines/e3", citronkv.AnyRevision))
	eventually(t, "eleven in use", func() bool { return a.usable() == 11 })
	eventually(t, "and then off the list", func() bool { return len(a.Traffic().View.ByService["app"]) == 11 })
}

// Callers are sent to their own zone, never to a node that is stopping.
func TestDirectory(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	a, b, c := f.add("a", "z1"), f.add("b", "z1"), f.add("c", "z2")
	names := func(m *member, zone string) string { return fmt.Sprint(len(m.Addresses(zone))) }
	eventually(t, "own zone where it has two nodes, all where it has one", func() bool {
		return names(a, "z1") == "2" && names(c, "z1") == "2" && names(c, "z2") == "3"
	})
	go b.Drain(context.Background())
	eventually(t, "the stopping node is not named", func() bool {
		return names(a, "z2") == "2" && names(c, "z2") == "2" && names(b, "z2") == "2"
	})
}

// The node that places layers dies. Another takes over, finds the engines as
// they are, and orders only what is missing: what works is not moved.
func TestNewLeaderOrdersOnlyWhatIsMissing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.config("1")
	for i := range 3 {
		f.engine(citronmodel.Engine{ID: fmt.Sprintf("m%d", i), Service: "model", Addr: fmt.Sprintf("m%d:1", i), Zone: "z1", Kind: "fast"})
	}
	a := f.add("a", "z1")
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
	time.Sleep(500 * time.Millisecond) // spares are placed
	b := f.add("b", "z1")
	eventually(t, "second node knows all layers", func() bool { return covered(b) })
	before := f.orders.count()
	a.stop()
	// An engine goes; only a leader has its layers placed elsewhere.
	is.NoErr(f.store.Delete(context.Background(), "engines/"+b.Traffic().View.ByService["model"][0].ID, citronkv.AnyRevision))
	eventually(t, "the new leader fills the hole", func() bool {
		return len(b.Traffic().View.ByService["model"]) == 2 && covered(b)
	})
	is.True(f.orders.count()-before <= 2)
}

// The store is away for everybody, and an engine dies. Nobody can be elected
// now; the leader that was has to fill the hole, or callers of the zone wait
// for the store to come back.
func TestLeaderGoesOnWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	for i := range 3 {
		f.engine(citronmodel.Engine{ID: fmt.Sprintf("m%d", i), Service: "model", Addr: fmt.Sprintf("m%d:1", i), Zone: "z1", Kind: "fast"})
	}
	b := f.add("b", "z1")
	eventually(t, "the first node leads", func() bool { return f.orders.count() > 0 })
	a := f.add("a", "z1") // would stand in for a leader that resigned
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
	a.gate.closed.Store(true)
	b.gate.closed.Store(true)
	time.Sleep(1500 * time.Millisecond) // two lives of the lease
	for _, e := range a.Traffic().View.ByService["model"] {
		if e.Layers.To == spec.Layers {
			f.orders.kill(e.Addr)
			for _, m := range []*member{a, b} {
				own, _ := m.Traffic().View.ByID(e.ID)
				own.Dead(time.Now())
			}
		}
	}
	eventually(t, "an order fills the hole", func() bool { return f.orders.count() > before })
	is.New(t).Equal(f.orders.givers(before)[0], "b")
}

// The same, and the leader dies as well before it could act.
func TestHoleIsFilledWithoutLeaderAndStore(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	for i := range 3 {
		f.engine(citronmodel.Engine{ID: fmt.Sprintf("m%d", i), Service: "model", Addr: fmt.Sprintf("m%d:1", i), Zone: "z1", Kind: "fast"})
	}
	a := f.add("a", "z1")
	eventually(t, "the first node leads", func() bool { return f.orders.count() >= 2 })
	b, c := f.add("b", "z1"), f.add("c", "z1")
	eventually(t, "all are ready", func() bool { return b.Ready() && c.Ready() })
	time.Sleep(2500 * time.Millisecond) // their lists count as whole
	b.gate.closed.Store(true)
	c.gate.closed.Store(true)
	a.stop()
	before := f.orders.count()
	for _, e := range b.Traffic().View.ByService["model"] {
		if e.Layers.To == spec.Layers {
			f.orders.kill(e.Addr)
			stop := make(chan struct{})
			defer close(stop)
			go func() { // requests keep finding it dead
				for own, _ := b.Traffic().View.ByID(e.ID); ; time.Sleep(50 * time.Millisecond) {
					select {
					case <-stop:
						return
					default:
						own.Dead(time.Now())
					}
				}
			}()
		}
	}
	eventually(t, "an order fills the hole", func() bool { return f.orders.count() > before })
}

// One node is refused because of an engine. The others of its zone hear of it
// in one message and leave the engine alone for a moment, instead of each
// having a request of its own refused.
func TestAccusationReachesTheZone(t *testing.T) {
	f := newFleet(t)
	f.config("1")
	for _, e := range engines(2) {
		e.Zone = "z1"
		f.engine(e)
	}
	a, b := f.add("a", "z1"), f.add("b", "z1")
	eventually(t, "both nodes know the engines and each other", func() bool {
		return a.usable() == 2 && b.usable() == 2 && len(a.Addresses("z1")) == 2
	})
	eventually(t, "the other node avoids the accused engine", func() bool {
		at, _ := a.Traffic().View.ByID("e1")
		at.Accuse(time.Now())
		a.Accuse(at)
		time.Sleep(20 * time.Millisecond)
		there, _ := b.Traffic().View.ByID("e1")
		other, _ := b.Traffic().View.ByID("e0")
		return there.Accused(time.Now()) && !there.Usable(time.Now()) && other.Usable(time.Now())
	})
}
