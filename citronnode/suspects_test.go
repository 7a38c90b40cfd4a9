package citronnode_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronquarantine"
	"github.com/matryer/is"
)

var suspect = citronquarantine.FingerprintOf("council", "POST", "h", "/nest/7", []byte("a plan"))

// nodesQuarantining returns how many nodes quarantine a request.
func (f *fleet) nodesQuarantining(p citronquarantine.Fingerprint) int {
	n := 0
	for _, m := range f.nodes {
		if _, quarantined := m.Quarantine().QuarantinedFor(p); quarantined {
			n++
		}
	}
	return n
}

func (f *fleet) awaitFullMembership() {
	f.t.Helper()
	eventually(f.t, "all nodes know each other", func() bool {
		for _, n := range f.nodes {
			if n.Status().Nodes < len(f.nodes)-1 {
				return false
			}
		}
		return true
	})
}

// knownWithin is the time after which no node may send on a request that crashed its
// third engine.
const knownWithin = 3 * time.Second

// Guards against a request that crashes engine after engine because it reaches a different
// node each time and each node counts its crashes from zero. Three of 45 nodes each see one
// crash, and all must quarantine the request. The store rejects a third of the nodes
// meanwhile.
func TestCrashesSeenByThreeNodesQuarantineFleetWide(t *testing.T) {
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
	for i := range 3 {
		f.nodes[i*size/3].Quarantine().RecordCrash(suspect, fmt.Sprintf("i-%d", i), time.Time{})
	}
	from := time.Now()
	eventually(t, "all nodes quarantine the request", func() bool { return f.nodesQuarantining(suspect) == size })
	took := time.Since(from)
	t.Logf("%d nodes quarantined the request within %v", size, took)
	is.True(took < knownWithin)
}

// Guards against a node that starts and runs a request that all other nodes quarantine,
// although the record is no longer among the recent ones. Once the request has run
// successfully on the new node, all nodes must release it.
func TestStartingNodeLearnsQuarantine(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.putConfig("1")
	for _, name := range []string{"a", "b", "c"} {
		f.addNode(name, "z1")
	}
	f.awaitFullMembership()
	for i := range 3 {
		f.nodes[0].Quarantine().RecordCrash(suspect, fmt.Sprintf("i-%d", i), time.Time{})
	}
	eventually(t, "all nodes quarantine the request", func() bool { return f.nodesQuarantining(suspect) == 3 })
	time.Sleep(2 * time.Second) // its record is no longer recent
	f.addNode("d", "z1")
	eventually(t, "the new node quarantines it too", func() bool { return f.nodesQuarantining(suspect) == 4 })
	f.nodes[3].Quarantine().RecordSuccess(suspect)
	eventually(t, "all nodes learn that it succeeded", func() bool { return f.nodesQuarantining(suspect) == 0 })
}

// Guards against a request that crashes three more engines after all nodes restarted at
// once and lost what they had in memory.
func TestQuarantineSurvivesFleetRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.putConfig("1")
	names := []string{"a", "b", "c"}
	for _, name := range names {
		f.addNode(name, "z1")
	}
	f.awaitFullMembership()
	for i := range 3 {
		f.nodes[i].Quarantine().RecordCrash(suspect, fmt.Sprintf("i-%d", i), time.Time{})
	}
	eventually(t, "the record is in the store", func() bool {
		items, _, err := f.store.Range(context.Background(), "deck/barred/")
		return err == nil && len(items) == 1
	})
	restart := func() {
		for _, m := range f.nodes {
			m.stop()
		}
		f.nodes = nil
		for _, name := range names {
			f.addNode(name, "z1")
		}
	}
	restart()
	from := time.Now()
	eventually(t, "all nodes quarantine the request", func() bool { return f.nodesQuarantining(suspect) == len(names) })
	is.True(time.Since(from) < knownWithin)
	// The request turns out to be harmless, so no node may quarantine it any longer.
	f.nodes[0].Quarantine().RecordSuccess(suspect)
	eventually(t, "no node quarantines it", func() bool { return f.nodesQuarantining(suspect) == 0 })
}

// Guards against a faulty node that quarantines requests by messages that no healthy node
// sends: impossible counts and ages, an unreadable fingerprint, or a flood of them. Such
// messages must be counted and quarantine nothing.
func TestInvalidSuspectsAreCounted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.putConfig("1")
	m := f.addNode("a", "z1")
	crashes := func(count int, age int64) []citronpeer.SuspectCrash {
		var out []citronpeer.SuspectCrash
		for i := range count {
			out = append(out, citronpeer.SuspectCrash{Engine: uint64(i), AgeMS: age})
		}
		return out
	}
	flood := make([]citronpeer.Suspect, citronquarantine.MaxGossipRecords+1)
	for i := range flood {
		p := citronquarantine.FingerprintOf("council", "POST", "h", fmt.Sprint(i), nil)
		flood[i] = citronpeer.Suspect{Fingerprint: p.String(), Crashes: crashes(3, 1)}
	}
	client := citronpeer.Client{HC: http.DefaultClient, Timeout: time.Second}
	invalid := [][]citronpeer.Suspect{
		{{Fingerprint: suspect.String(), Crashes: crashes(3, -5000)}},
		{{Fingerprint: suspect.String(), Crashes: crashes(1000, 1)}},
		{{Fingerprint: suspect.String(), Crashes: crashes(3, 1<<62)}},
		{{Fingerprint: suspect.String()}},
		{{Fingerprint: "no fingerprint", Crashes: crashes(3, 1)}},
		flood,
	}
	for _, suspects := range invalid {
		_, err := client.Update(context.Background(), m.addr, citronpeer.GossipState{From: citronpeer.Member{Name: "stranger"}, Suspects: suspects})
		is.NoErr(err)
	}
	is.Equal(m.Status().SuspectsRejected, int64(len(invalid)))
	is.Equal(m.Status().Suspects, 0)
	is.Equal(f.nodesQuarantining(suspect), 0)
}
