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

var suspect = citronquarantine.PrintOf("council", "POST", "h", "/nest/7", []byte("a plan"))

// barredAt is how many nodes do not let a request run.
func (f *fleet) barredAt(p citronquarantine.Print) int {
	n := 0
	for _, m := range f.nodes {
		if _, barred := m.Quarantine().Blocked(p); barred {
			n++
		}
	}
	return n
}

func (f *fleet) untilAllKnowAll() {
	f.t.Helper()
	eventually(f.t, "all know all", func() bool {
		for _, n := range f.nodes {
			if n.Status().Nodes < len(f.nodes)-1 {
				return false
			}
		}
		return true
	})
}

// knownWithin is the time after which a request that crashed its third engine must
// not be sent on by any node.
const knownWithin = 3 * time.Second

// Guards against a request that comes to another node each time, so that each of
// them starts to count from zero. A third of the nodes are turned away by the
// store meanwhile.
func TestAllNodesKnowWhatThreeNodesSaw(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.net = newMesh()
	f.config("1")
	const size = 45
	for i := range size {
		m := f.add(fmt.Sprintf("z%d-n%03d", i%5, i), fmt.Sprintf("z%d", i%5))
		m.gate.closed.Store(i%3 == 1)
	}
	f.untilAllKnowAll()
	for i := range 3 {
		f.nodes[i*size/3].Quarantine().Crashed(suspect, fmt.Sprintf("i-%d", i), time.Time{})
	}
	from := time.Now()
	eventually(t, "all nodes bar the request", func() bool { return f.barredAt(suspect) == size })
	took := time.Since(from)
	t.Logf("known by %d nodes within %v", size, took)
	is.True(took < knownWithin)
}

// Guards against a node that starts, or had stood still, and lets a request run
// that all others bar.
func TestNodeThatStartsLearnsWhatIsBarred(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.config("1")
	for _, name := range []string{"a", "b", "c"} {
		f.add(name, "z1")
	}
	f.untilAllKnowAll()
	for i := range 3 {
		f.nodes[0].Quarantine().Crashed(suspect, fmt.Sprintf("i-%d", i), time.Time{})
	}
	eventually(t, "all nodes bar the request", func() bool { return f.barredAt(suspect) == 3 })
	time.Sleep(2 * time.Second) // it is no news any more
	f.add("d", "z1")
	eventually(t, "the new node bars it too", func() bool { return f.barredAt(suspect) == 4 })
	f.nodes[3].Quarantine().Succeeded(suspect)
	eventually(t, "all hear that it ran well", func() bool { return f.barredAt(suspect) == 0 })
}

// Guards against a request that crashes three more engines when all nodes have
// started at once and remember nothing.
func TestBarredRequestOutlivesARestartOfAllNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.config("1")
	names := []string{"a", "b", "c"}
	for _, name := range names {
		f.add(name, "z1")
	}
	f.untilAllKnowAll()
	for i := range 3 {
		f.nodes[i].Quarantine().Crashed(suspect, fmt.Sprintf("i-%d", i), time.Time{})
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
			f.add(name, "z1")
		}
	}
	restart()
	from := time.Now()
	eventually(t, "all nodes bar the request", func() bool { return f.barredAt(suspect) == len(names) })
	is.True(time.Since(from) < knownWithin)
	// It turns out to be sound, and stays so.
	f.nodes[0].Quarantine().Succeeded(suspect)
	eventually(t, "no node bars it", func() bool { return f.barredAt(suspect) == 0 })
}

// Guards against messages that no sound node sends: impossible counts and ages, or
// a flood of fingerprints. They are counted and bar nothing.
func TestImpossibleSuspectsAreCounted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.config("1")
	m := f.add("a", "z1")
	crashes := func(count int, age int64) []citronpeer.SuspectCrash {
		var out []citronpeer.SuspectCrash
		for i := range count {
			out = append(out, citronpeer.SuspectCrash{Engine: uint64(i), AgeMS: age})
		}
		return out
	}
	flood := make([]citronpeer.Suspect, citronquarantine.MaxGossipRecords+1)
	for i := range flood {
		p := citronquarantine.PrintOf("council", "POST", "h", fmt.Sprint(i), nil)
		flood[i] = citronpeer.Suspect{Print: p.String(), Crashes: crashes(3, 1)}
	}
	client := citronpeer.Client{HC: http.DefaultClient, Timeout: time.Second}
	bad := [][]citronpeer.Suspect{
		{{Print: suspect.String(), Crashes: crashes(3, -5000)}},
		{{Print: suspect.String(), Crashes: crashes(1000, 1)}},
		{{Print: suspect.String(), Crashes: crashes(3, 1<<62)}},
		{{Print: suspect.String()}},
		{{Print: "no fingerprint", Crashes: crashes(3, 1)}},
		flood,
	}
	for _, told := range bad {
		_, err := client.News(context.Background(), m.addr, citronpeer.Knowledge{From: citronpeer.Member{Name: "stranger"}, Suspects: told})
		is.NoErr(err)
	}
	is.Equal(m.Status().SuspectsRejected, int64(len(bad)))
	is.Equal(m.Status().Suspects, 0)
	is.Equal(f.barredAt(suspect), 0)
}
