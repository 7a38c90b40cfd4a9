package citronnode_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronupstream"
	"citrondeck.dev/citrondeck/citronusage"
	"github.com/matryer/is"
)

// reportingEngines answer report requests with their usage, and record when each was
// asked and by which node.
type reportingEngines struct {
	soundEngines
	node string
	log  *polls
	// frozen makes report requests wait until they are canceled.
	frozen bool
}

// polls are the report requests to all engines.
type polls struct {
	mu    sync.Mutex
	by    map[string]string
	count map[string]int
	used  int64
}

func (r *reportingEngines) Report(ctx context.Context, addr string) (citronupstream.Report, error) {
	if r.frozen {
		<-ctx.Done()
		return citronupstream.Report{}, ctx.Err()
	}
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.log.by[addr] = r.node
	r.log.count[addr]++
	return citronupstream.Report{Usage: &citronusage.Figures{Running: 3, Used: r.log.used, Total: 1000}}, nil
}

// usageFleet starts two nodes in a zone and one in another, and four engines in the zone.
func usageFleet(t *testing.T) (*fleet, *polls) {
	f := newFleet(t)
	f.delayMessages(1)
	f.usageInterval = 400 * time.Millisecond
	f.putConfig("1")
	for i := range 4 {
		id := fmt.Sprint("e", i)
		f.putEngine(citronmodel.Engine{ID: id, Instance: id, Service: "model", Addr: id + ":1", Zone: "z1", Kind: "fast", Layers: citronmodel.Span{To: 4}})
	}
	p := &polls{by: map[string]string{}, count: map[string]int{}, used: 800}
	for _, n := range [][2]string{{"a", "z1"}, {"b", "z1"}, {"c", "z2"}} {
		m := f.addNode(n[0], n[1])
		m.engines.setUpstream(&reportingEngines{node: n[0], log: p})
	}
	time.Sleep(2 * warmUp)
	return f, p
}

// shares returns the used shares of the engines that a node has fresh reports of.
func (m *member) shares() map[string]float64 {
	out := map[string]float64{}
	for _, e := range m.Traffic().View.ByService["model"] {
		if u, ok := e.Usage(time.Now()); ok {
			out[e.ID] = u.Share()
		}
	}
	return out
}

// Guards against reports that only the observer has, engines that several nodes or nodes of
// other zones poll, and polls that are more frequent than set or no rarer at engines with
// free capacity.
func TestUsageReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, p := usageFleet(t)
		want := map[string]float64{"e0": 0.8, "e1": 0.8, "e2": 0.8, "e3": 0.8}
		for _, m := range f.nodes {
			is.Equal(m.shares(), want)
			is.Equal(m.Status().UsageFresh, 4)
		}
		is.True(f.nodes[2].Status().UsageFromNodes > 0)
		is.Equal(f.nodes[2].Status().UsageFromEngines, int64(0))
		pollsIn := func(d time.Duration) int {
			p.mu.Lock()
			p.count = map[string]int{}
			p.mu.Unlock()
			time.Sleep(d)
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.count["e0:1"]
		}
		n := pollsIn(8 * time.Second) // 20 intervals
		is.True(n >= 16 && n <= 22)
		p.mu.Lock()
		p.used = 100
		p.mu.Unlock()
		time.Sleep(4 * time.Second)
		n = pollsIn(40 * time.Second) // 10 longer intervals
		is.True(n >= 8 && n <= 11)
	})
}

// Guards against engines whose usage stays unknown after their observer was killed, and
// against a fleet that goes on using the last report of a frozen one.
func TestObserverIsReplaced(t *testing.T) {
	for name, stop := range map[string]func(*member){
		"killed":     func(m *member) { m.stop() },
		"polls hang": func(m *member) { m.engines.setUpstream(&reportingEngines{frozen: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, p := usageFleet(t)
				observed := 0
				p.mu.Lock()
				for _, by := range p.by {
					if by == "a" {
						observed++
					}
				}
				p.mu.Unlock()
				is.True(observed > 0)
				stop(f.nodes[0])
				time.Sleep(4 * time.Second)
				n := len(f.nodes[2].shares())
				if name == "killed" {
					is.Equal(n, 4) // b has taken over
				} else {
					is.Equal(n, 4-observed) // these engines' usage is unknown
				}
			})
		})
	}
}

// Guards against impossible figures of another node that are used or stop the exchange.
func TestInvalidUsageOfOtherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := usageFleet(t)
		id := uint64(citronusage.IDOf("e0"))
		state := citronpeer.GossipState{From: citronpeer.Member{Name: "x", Zone: "z1"}, Usage: []citronpeer.UsageReport{
			{Engine: id, Permille: -1},
			{Engine: id, Permille: 2001},
			{Engine: id, Age10MS: -1},
			{Engine: id, Age10MS: 1 << 60},
			{Engine: id, Running: -1},
			{Engine: 1, Permille: 500}, // of an engine that nobody knows
		}}
		c := f.nodes[2]
		_, err := (&citronpeer.Client{HC: &http.Client{Transport: f.net.(*mesh)}, Timeout: time.Second}).Update(context.Background(), c.addr, state)
		is.NoErr(err)
		is.Equal(c.Status().UsageRejected, int64(5))
		is.Equal(c.shares()["e0"], 0.8)
	})
}

// BenchmarkObservedFleet measures the cost for a node of 256 engines in its zone that are
// six tenths full, with and without reports, and how many engines each node knows.
func BenchmarkObservedFleet(b *testing.B) {
	const size, count = 16, 256
	for _, interval := range []time.Duration{0, 400 * time.Millisecond} {
		b.Run(interval.String(), func(b *testing.B) {
			f, m := newFleet(b), newMesh()
			f.net, f.usageInterval = m, interval
			f.putConfig("1")
			for i := range count {
				id := fmt.Sprint("e", i)
				f.putEngine(citronmodel.Engine{ID: id, Instance: id, Service: "model", Addr: id + ":1", Zone: "z1", Kind: "fast", Layers: citronmodel.Span{To: 4}})
			}
			p := &polls{by: map[string]string{}, count: map[string]int{}, used: 800}
			for i := range size {
				name := fmt.Sprint("n", i)
				f.addNode(name, "z1").engines.setUpstream(&reportingEngines{node: name, log: p})
			}
			f.awaitFullMembership()
			time.Sleep(4 * time.Second)
			m.bytes.Store(0)
			from, cpu := time.Now(), processorTime()
			b.ResetTimer()
			time.Sleep(time.Duration(b.N) * time.Second)
			seconds := time.Since(from).Seconds() * size
			b.ReportMetric(float64((processorTime()-cpu).Milliseconds())/seconds, "ms/s/node")
			b.ReportMetric(float64(m.bytes.Load())/1024/seconds, "KB/s/node")
			fresh := 0
			for _, n := range f.nodes {
				fresh += n.Status().UsageFresh
			}
			b.ReportMetric(float64(fresh)/size, "known/node")
		})
	}
}
