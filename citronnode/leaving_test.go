package citronnode_test

import (
	"context"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"github.com/matryer/is"
)

// drainDeadline is the time after which no node sends new work to an engine whose entry
// was removed.
const drainDeadline = 2 * time.Second

// warmUp is how long a fleet runs before a test introduces a fault. A node that has
// just started has no history of the store's health.
const warmUp = 3 * time.Second

// startFleetWithTwelveEngines starts nodes with the given names before twelve engines, and
// returns when they have stabilized.
func startFleetWithTwelveEngines(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := newFleet(t)
	f.putConfig("1")
	for _, e := range engines(12) {
		f.putEngine(e)
	}
	for _, name := range names {
		f.addNode(name, "z1")
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
	time.Sleep(warmUp)
	return f
}

// remove removes entries from the list.
func (f *fleet) remove(ids ...string) {
	f.t.Helper()
	for _, id := range ids {
		if err := f.store.Delete(context.Background(), "engines/"+id, citronkv.AnyRevision); err != nil {
			f.t.Fatal(err)
		}
	}
}

// observeFor is how long the tests watch the number of engines in use after
// drainDeadline.
const observeFor = 400 * time.Millisecond

// requireUsable fails the test if, for observeFor after the drain deadline, a node uses
// any number of engines but want.
func (f *fleet) requireUsable(left time.Time, want int) {
	f.t.Helper()
	time.Sleep(time.Until(left.Add(drainDeadline)))
	for time.Since(left) < drainDeadline+observeFor {
		for i, m := range f.nodes {
			if n := m.usable(); n != want {
				f.t.Fatalf("%v after engines left, node %d uses %d engines, want %d", time.Since(left), i, n, want)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leader returns the node that leads, or nil while none does.
func (f *fleet) leader() *member {
	for _, m := range f.nodes {
		if m.Status().Leads {
			return m
		}
	}
	return nil
}

// Guards against an error answer of the store that is taken for an outage. A leader is
// suspended until its lease has expired. When it resumes, the store answers its renewal
// with "key not found". If the node took that for an outage, it would keep an engine in
// use that leaves afterwards without notice: its entry is removed, which the node would
// attribute to the outage, and it would send requests to the engine for another 2.5 s.
// Here the lease is revoked instead of the leader being suspended.
func TestStoreErrorAnswerIsNotAnOutage(t *testing.T) {
	is := is.New(t)
	f := startFleetWithTwelveEngines(t, "a", "b", "c", "d", "e", "f")
	eventually(t, "a node leads", func() bool { return f.leader() != nil })
	formerLeader := f.leader()
	held, err := f.store.Get(context.Background(), "deck/leader")
	is.NoErr(err)
	is.NoErr(f.store.Revoke(context.Background(), held.Lease))
	eventually(t, "the former leader no longer leads", func() bool { return !formerLeader.Status().Leads })
	left := time.Now()
	f.remove("e3")
	f.requireUsable(left, 11)
}

// Guards against a leaving engine that is kept in use because of an unrelated fault,
// one that does not keep engines from writing their entries. No node may send callers to
// the engine after the drain deadline, whatever faults the node has seen before.
func TestLeavingEngineIsNotMistakenForOutage(t *testing.T) {
	setRejecting := func(nodes []*member, rejecting bool) {
		for _, m := range nodes {
			m.gate.rejecting.Store(rejecting)
		}
	}
	cases := []struct {
		name        string
		injectFault func(t *testing.T, f *fleet)
		leave       []string
	}{
		{"the store rejects one node and serves the others", func(t *testing.T, f *fleet) {
			setRejecting(f.nodes[1:2], true)
			eventually(t, "the node notices", func() bool { return !f.nodes[1].Status().Watching })
		}, []string{"e3"}},
		{"one node's watch is stalled and the node notices late", func(t *testing.T, f *fleet) {
			f.nodes[1].gate.stalled.Store(true)
			eventually(t, "the node notices", func() bool { return !f.nodes[1].Status().Watching })
			f.nodes[1].gate.stalled.Store(false)
		}, []string{"e3"}},
		{"all watches are cut and the store answers again at once", func(t *testing.T, f *fleet) {
			setRejecting(f.nodes, true)
			eventually(t, "all nodes notice", func() bool {
				for _, m := range f.nodes {
					if m.Status().Watching {
						return false
					}
				}
				return true
			})
			setRejecting(f.nodes, false)
		}, []string{"e3"}},
		{"the store rejects one node, and the others have just started", func(t *testing.T, f *fleet) {
			setRejecting(f.nodes[:1], true)
			time.Sleep(2600 * time.Millisecond) // over two heartbeats of 1.2 s
			for _, m := range f.nodes[1:] {
				m.stop()
			}
			f.nodes = f.nodes[:1]
			f.addNode("d", "z1")
			f.addNode("e", "z1")
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
			f := startFleetWithTwelveEngines(t, "a", "b", "c")
			c.injectFault(t, f)
			left := time.Now()
			f.remove(c.leave...)
			f.requireUsable(left, 12-len(c.leave))
		})
	}
}

// Guards against healthy engines that go out of use because their entries expired in an
// outage. The store is unavailable to all nodes and engines for so long that entries can
// expire, and comes back without them. All engines must stay in use for a second, until
// ten of the twelve have written their entries again. The two others have ended and must
// then be removed.
func TestEnginesExpiredDuringOutageStayInUse(t *testing.T) {
	t.Parallel()
	f := startFleetWithTwelveEngines(t, "a", "b", "c")
	for _, m := range f.nodes {
		m.gate.rejecting.Store(true)
	}
	time.Sleep(2600 * time.Millisecond) // over two heartbeats of 1.2 s
	var all []string
	for _, e := range engines(12) {
		all = append(all, e.ID)
	}
	f.remove(all...)
	for _, m := range f.nodes {
		m.gate.rejecting.Store(false)
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, m := range f.nodes {
			if n := m.usable(); n != 12 {
				t.Fatalf("node %d uses %d of twelve healthy engines", i, n)
			}
		}
	}
	for _, e := range engines(10) {
		f.putEngine(e)
	}
	eventually(t, "the two engines that did not write their entries again are removed", func() bool {
		for _, m := range f.nodes {
			if m.usable() != 10 || len(m.Traffic().View.ByService["app"]) != 10 {
				return false
			}
		}
		return true
	})
}
