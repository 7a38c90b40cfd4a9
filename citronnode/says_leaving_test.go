package citronnode_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// leavingUpstreams are fake upstreams that may say in their responses that they are leaving,
// and serve on.
type leavingUpstreams struct {
	mu sync.Mutex
	// leaving holds the engines that say so.
	leaving map[string]bool
	// toldAt is when a node first got such a response, by the names of the node and the
	// engine.
	toldAt map[[2]string]time.Time
	// late counts the requests that arrived at an engine drainDeadline or more after it
	// told the node.
	late   int
	served map[string]int
}

func newLeavingUpstreams() *leavingUpstreams {
	return &leavingUpstreams{leaving: map[string]bool{}, toldAt: map[[2]string]time.Time{}, served: map[string]int{}}
}

// leave makes an engine say that it is leaving.
func (u *leavingUpstreams) leave(engine string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving[engine] = true
}

// arrive records a request and reports whether the engine says that it is leaving.
func (u *leavingUpstreams) arrive(node, engine string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, key := time.Now(), [2]string{node, engine}
	u.served[engine]++
	told, ok := u.toldAt[key]
	if ok && now.Sub(told) >= drainDeadline {
		u.late++
	}
	if u.leaving[engine] && !ok {
		u.toldAt[key] = now
	}
	return u.leaving[engine]
}

// told returns how many nodes an engine has told that it is leaving, and the number of
// late requests.
func (u *leavingUpstreams) told() (nodes, late int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.toldAt), u.late
}

func (u *leavingUpstreams) reachedFrom(node string) citronupstream.Engines {
	return leavingUpstreamsOfNode{u, node}
}

// leavingUpstreamsOfNode are the upstreams as one node reaches them.
type leavingUpstreamsOfNode struct {
	*leavingUpstreams
	node string
}

func (u leavingUpstreamsOfNode) Send(_ context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	leaving := u.arrive(u.node, c.Engine.ID)
	time.Sleep(workTime(c.Engine.ID))
	return &citronupstream.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), FromEngine: true, Leaving: leaving}, nil
}

func (leavingUpstreamsOfNode) Report(context.Context, string) (citronupstream.Report, error) {
	return citronupstream.Report{}, nil
}

func (leavingUpstreamsOfNode) Repath(context.Context, string, string, citronpath.Path) error {
	return errors.New("no streams")
}

// Guards against nodes that send an engine new work after its responses said that it is
// leaving, because the list of engines does not say so yet, cannot be read, or says again
// that the engine is in service.
func TestEngineThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fleet)
	}{
		{"the list says nothing", func(*fleet) {}},
		{"the store does not answer", func(f *fleet) { f.storeUnavailable.Store(true) }},
		{"its entry goes and comes back", func(f *fleet) {
			if err := f.store.Delete(context.Background(), "engines/i-0", citronkv.AnyRevision); err != nil {
				f.t.Error(err)
			}
			time.Sleep(300 * time.Millisecond)
			f.putEngine(startedApp(0))
		}},
		{"the list and the configuration change", func(f *fleet) {
			f.putEngine(startedApp(7))
			f.putConfig("2")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t)
			f.startApps(3, 3)
			u := newLeavingUpstreams()
			from := time.Now()
			time.AfterFunc(time.Second, func() { u.leave("i-0") })
			time.AfterFunc(1500*time.Millisecond, func() { c.change(f) })
			out := f.generateLoad(u, 150, from.Add(7*time.Second))
			nodes, late := u.told()
			t.Logf("%d nodes were told, %d late requests; served %v; answers %v", nodes, late, u.served, out.byStatus)
			is.True(nodes > 0)
			is.Equal(late, 0)
			is.Equal(len(out.byStatus), 1) // the other upstreams serve the rest
			is.True(out.count(http.StatusOK) > 0)
		})
	}
}

// Guards against nodes, and a leader that places layers, that learn only from the list or
// from a request of their own that an engine is leaving, although another node was told.
func TestNodesTellEachOtherThatAnEngineIsLeaving(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.startApps(9, 3)
	u := newLeavingUpstreams()
	u.leave("i-0")
	fw := f.nodes[4].forwarder(u)
	out := &answers{byStatus: map[int]int{}}
	for len(u.toldAt) == 0 {
		fw.Serve(context.Background(), &citronupstream.Request{ID: "r", Method: "POST", Host: "h", Path: "/x", Target: "/x", Header: http.Header{}, Received: time.Now(), CallerTimeout: 2 * time.Second}, out)
	}
	eventually(t, "all nodes know that the engine is leaving", func() bool {
		for _, m := range f.nodes {
			if m.Status().Leaving != 1 {
				return false
			}
		}
		return true
	})
	f.addNode("late", "z1")
	eventually(t, "a node that starts knows it too", func() bool { return f.nodes[9].Status().Leaving == 1 })
	is.Equal(len(out.byStatus), 1)
	is.True(out.count(http.StatusOK) > 0)
}
