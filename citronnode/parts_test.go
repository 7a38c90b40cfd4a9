package citronnode_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpoison"
	"citrondeck.dev/citrondeck/citronquarantine"
	"github.com/matryer/is"
)

const (
	crashingPart citronpoison.Part = 7
	soundPart    citronpoison.Part = 8
)

// nodesRefusing returns how many nodes refuse requests with a part.
func (f *fleet) nodesRefusing(p citronpoison.Part) int {
	n := 0
	for _, m := range f.nodes {
		if _, admitted := m.Parts().Admit(1, []citronpoison.Part{p}).(citronpart.Admitted); !admitted {
			n++
		}
	}
	return n
}

// crashEngines records crashes under different requests that share two parts, each seen by
// another node. Requests run successfully with soundPart all the while.
func (f *fleet) crashEngines(count int) {
	for i := range count {
		m := f.nodes[i%len(f.nodes)]
		m.Parts().RecordCrash(citronquarantine.EngineKey(fmt.Sprintf("i-%d", i)), citronpoison.Run{Request: uint64(i), Customer: uint64(1 + i%2), Parts: []citronpoison.Part{soundPart, crashingPart}})
		time.Sleep(150 * time.Millisecond) // simultaneous crashes count as one
		f.nodes[0].Parts().RecordSuccess([]citronpoison.Part{soundPart}, time.Now())
	}
}

// Guards against requests with one part in common that crash engine after engine because each
// reaches another node, and each node sees one crash. The store rejects a third of the nodes
// meanwhile.
func TestCrashesSeenByFiveNodesQuarantinePartFleetWide(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.net = newMesh()
	f.putConfig("1")
	const size = 45
	for i := range size {
		m := f.addNode(fmt.Sprintf("z%d-n%03d", i%5, i), fmt.Sprintf("z%d", i%5))
		m.gate.rejecting.Store(i%3 == 1)
	}
	f.awaitFullMembership()
	f.crashEngines(5)
	from := time.Now()
	eventually(t, "all nodes refuse requests with the part", func() bool { return f.nodesRefusing(crashingPart) == size })
	took := time.Since(from)
	t.Logf("%d nodes refused the part within %v", size, took)
	is.True(took < knownWithin)
	is.Equal(f.nodesRefusing(soundPart), 0)
}

// Guards against refusing a sound request that its caller sends again and again, because it was
// on three engines that crashed under requests with one part in common.
func TestVictimsOfPartAreNotQuarantined(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.putConfig("1")
	for _, name := range []string{"a", "b", "c"} {
		f.addNode(name, "z1")
	}
	f.awaitFullMembership()
	for i := range 3 {
		f.nodes[i].Quarantine().RecordCrash(suspect, fmt.Sprintf("i-%d", i), time.Time{})
	}
	eventually(t, "all nodes quarantine the request", func() bool { return f.nodesQuarantining(suspect) == 3 })
	f.crashEngines(5)
	eventually(t, "no node quarantines it once the part is found", func() bool {
		return f.nodesRefusing(crashingPart) == 3 && f.nodesQuarantining(suspect) == 0
	})
	f.nodes[0].Quarantine().RecordCrash(suspect, "i-3", time.Time{})
	f.nodes[1].Quarantine().RecordCrash(suspect, "i-9", time.Time{})
	is.New(t).Equal(f.nodesQuarantining(suspect), 0) // one of the two has another cause
}

// Guards against a part that crashes engines again after all nodes restarted at once, and
// against more than one trial of it at a time in the fleet.
func TestQuarantinedPartSurvivesFleetRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.putConfig("1")
	names := []string{"a", "b", "c"}
	for _, name := range names {
		f.addNode(name, "z1")
	}
	f.awaitFullMembership()
	f.crashEngines(5)
	eventually(t, "all nodes refuse requests with the part", func() bool { return f.nodesRefusing(crashingPart) == len(names) })
	eventually(t, "the record is in the store", func() bool {
		items, _, err := f.store.Range(context.Background(), "deck/parts/")
		return err == nil && len(items) == 1
	})
	for _, m := range f.nodes {
		m.stop()
	}
	f.nodes = nil
	for _, name := range names {
		f.addNode(name, "z1")
	}
	from := time.Now()
	eventually(t, "all nodes refuse them again", func() bool { return f.nodesRefusing(crashingPart) == len(names) })
	is.True(time.Since(from) < knownWithin)
	var claimed atomic.Int64
	var all sync.WaitGroup
	for i := range 30 {
		all.Go(func() {
			if f.nodes[i%len(names)].ClaimTrial(context.Background(), citronpart.Trial{Part: crashingPart, Generation: 2, N: 1}) {
				claimed.Add(1)
			}
		})
	}
	all.Wait()
	is.Equal(claimed.Load(), int64(1))
	f.nodes[1].Parts().RecordSuccess([]citronpoison.Part{crashingPart}, time.Now())
	eventually(t, "no node refuses them after a successful run", func() bool { return f.nodesRefusing(crashingPart) == 0 })
}

// Guards against a faulty node that has parts refused by records or crashes that no healthy
// node sends.
func TestInvalidPartsAreRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.putConfig("1")
	m := f.addNode("a", "z1")
	quarantined := int(citronpart.Quarantined)
	client := citronpeer.Client{HC: http.DefaultClient, Timeout: time.Second}
	for _, state := range []citronpeer.GossipState{
		{Parts: []citronpeer.PartRecord{{Part: 7, State: quarantined, Generation: 0}}},
		{Parts: []citronpeer.PartRecord{{Part: 7, State: quarantined, Generation: 1 << 40}}},
		{Parts: []citronpeer.PartRecord{{Part: 7, State: 9, Generation: 1}}},
		{Parts: []citronpeer.PartRecord{{Part: 7, State: quarantined, Generation: 1, SinceMS: -5000}}},
		{Parts: []citronpeer.PartRecord{{Part: 7, State: quarantined, Generation: 1, SinceMS: 1 << 50}}},
		{Parts: make([]citronpeer.PartRecord, citronpart.MaxRecords+1)},
		{Crashes: []citronpeer.Crash{{Engine: 1, AgeMS: -5000, Runs: []citronpeer.Run{{Parts: []uint64{7}}}}}},
		{Crashes: []citronpeer.Crash{{Engine: 1, Runs: []citronpeer.Run{{Parts: make([]uint64, 1000)}}}}},
	} {
		state.From = citronpeer.Member{Name: "stranger"}
		_, err := client.Update(context.Background(), m.addr, state)
		is.NoErr(err)
	}
	is.True(m.Parts().Empty())
}
