package citronnode_test

import (
	"context"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"github.com/matryer/is"
)

// drainPromise is the time after which an engine whose entry has gone gets no
// new work from any node.
const drainPromise = 2 * time.Second

// settled is how long a fleet has run before something goes wrong: a node that
// has just started cannot know how the store did before.
const settled = 3 * time.Second

// twelve starts nodes of these names before twelve engines and returns when they
// are settled.
func twelve(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := newFleet(t)
	f.config("1")
	for _, e := range engines(12) {
		f.engine(e)
	}
	for _, name := range names {
		f.add(name, "z1")
	}
	eventually(t, "all nodes use twelve engines, hear each other, and some watch the store", func() bool {
		watching := 0
		for _, m := range f.nodes {
			st := m.Status()
			if m.usable() != 12 || st.Nodes != len(names)-1 {
				return false
			}
			if st.Watching {
				watching++
			}
		}
		return watching >= min(len(names), 4)
	})
	time.Sleep(settled)
	return f
}

// remove takes entries from the list.
func (f *fleet) remove(ids ...string) {
	f.t.Helper()
	for _, id := range ids {
		if err := f.store.Delete(context.Background(), "engines/"+id, citronkv.AnyRevision); err != nil {
			f.t.Fatal(err)
		}
	}
}

// afterPromise is how long the engines in use are looked at from the moment on
// at which an engine that left may get no more work.
const afterPromise = 400 * time.Millisecond

// keepsPromise reports nodes that do not use just so many engines from the
// moment on at which an engine that left may get no more work.
func (f *fleet) keepsPromise(left time.Time, want int) {
	f.t.Helper()
	time.Sleep(time.Until(left.Add(drainPromise)))
	for time.Since(left) < drainPromise+afterPromise {
		for i, m := range f.nodes {
			if n := m.usable(); n != want {
				f.t.Fatalf("%v after engines left, node %d uses %d of the %d that stay", time.Since(left), i, n, want)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leader is the node that places layers, nil while none does.
func (f *fleet) leader() *member {
	for _, m := range f.nodes {
		if m.Status().Leads {
			return m
		}
	}
	return nil
}

// A node that led stood still until its lease had run out. When it went on, the
// store answered its renewal with "no such key", and the node took that answer
// for an outage of the store. An engine left a second later without having said
// that it would: its entry went, and all nodes heard of it within 10 ms. That
// one node put the missing entry down to the outage, and sent requests to the
// engine for 2.5 s more. Its log, with times in seconds:
//
//	13.57 leader.resigned err="POST /kv-keep/61062109581936: key not found"
//	14.81 engines.changed peer=10.3.64.42:8145 missing=true
//	17.32 engines.changed peer=10.3.64.42:8145 gone=true lapsed=2.508s
func TestAnswerOfTheStoreIsNoOutage(t *testing.T) {
	is := is.New(t)
	f := twelve(t, "a", "b", "c", "d", "e", "f")
	eventually(t, "a node leads", func() bool { return f.leader() != nil })
	led := f.leader()
	held, err := f.store.Get(context.Background(), "deck/leader")
	is.NoErr(err)
	is.NoErr(f.store.Revoke(context.Background(), held.Lease))
	eventually(t, "it has given up leading", func() bool { return !led.Status().Leads })
	left := time.Now()
	f.remove("e3")
	f.keepsPromise(left, 11)
}

// An engine's entry goes because the engine leaves, while something else is
// wrong that does not keep engines from writing their entries. Callers must not
// be sent to the engine for longer than is promised, whatever the node that
// sends them has just been through.
func TestLeavingEngineIsNotTakenForAnOutage(t *testing.T) {
	turnAway := func(nodes []*member, yes bool) {
		for _, m := range nodes {
			m.gate.closed.Store(yes)
		}
	}
	cases := []struct {
		name  string
		wrong func(t *testing.T, f *fleet)
		leave []string
	}{
		{"the store turns one node away and serves the others", func(t *testing.T, f *fleet) {
			turnAway(f.nodes[1:2], true)
			eventually(t, "the node notices", func() bool { return !f.nodes[1].Status().Watching })
		}, []string{"e3"}},
		{"one node's watch has hung and the node notices late", func(t *testing.T, f *fleet) {
			f.nodes[1].gate.silent.Store(true)
			eventually(t, "the node notices", func() bool { return !f.nodes[1].Status().Watching })
			f.nodes[1].gate.silent.Store(false)
		}, []string{"e3"}},
		{"all watches are cut and the store answers again at once", func(t *testing.T, f *fleet) {
			turnAway(f.nodes, true)
			eventually(t, "all nodes notice", func() bool {
				for _, m := range f.nodes {
					if m.Status().Watching {
						return false
					}
				}
				return true
			})
			turnAway(f.nodes, false)
		}, []string{"e3"}},
		{"the store turns one node away, and the others have just started", func(t *testing.T, f *fleet) {
			turnAway(f.nodes[:1], true)
			time.Sleep(2600 * time.Millisecond) // over two heartbeats of 1.2 s
			for _, m := range f.nodes[1:] {
				m.stop()
			}
			f.nodes = f.nodes[:1]
			f.add("d", "z1")
			f.add("e", "z1")
			eventually(t, "the new nodes use all engines and hear the old one", func() bool {
				for _, m := range f.nodes {
					if m.usable() != 12 || m.Status().Nodes < 2 {
						return false
					}
				}
				return true
			})
		}, []string{"e3"}},
		{"half of the engines leave at the same moment", func(*testing.T, *fleet) {}, []string{"e0", "e1", "e2", "e3", "e4", "e5"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := twelve(t, "a", "b", "c")
			c.wrong(t, f)
			left := time.Now()
			f.remove(c.leave...)
			f.keepsPromise(left, 12-len(c.leave))
		})
	}
}

// The store is away for all nodes, and for engines, for longer than entries
// last without renewal. It comes back without the entries; those of engines
// that live are back after a second. Meanwhile callers are served by all of
// them. What is not back two seconds later has ended.
func TestEnginesThatLapseInAnOutageStayInUse(t *testing.T) {
	t.Parallel()
	f := twelve(t, "a", "b", "c")
	for _, m := range f.nodes {
		m.gate.closed.Store(true)
	}
	time.Sleep(2600 * time.Millisecond) // over two heartbeats of 1.2 s
	var all []string
	for _, e := range engines(12) {
		all = append(all, e.ID)
	}
	f.remove(all...)
	for _, m := range f.nodes {
		m.gate.closed.Store(false)
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, m := range f.nodes {
			if n := m.usable(); n != 12 {
				t.Fatalf("node %d uses %d engines of twelve that are well", i, n)
			}
		}
	}
	for _, e := range engines(10) {
		f.engine(e)
	}
	eventually(t, "the two that are not back are gone", func() bool {
		for _, m := range f.nodes {
			if m.usable() != 10 || len(m.Traffic().View.ByService["app"]) != 10 {
				return false
			}
		}
		return true
	})
}
