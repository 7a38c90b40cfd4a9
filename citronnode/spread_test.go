package citronnode_test

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronquarantine"
)

// spreadSizes are the fleets for which the spreading of news is measured.
var spreadSizes = []int{30, 300}

// fleetOf starts a fleet of five zones, and waits until all nodes know all.
func fleetOf(b *testing.B, size int) (*fleet, *mesh) {
	b.Helper()
	f := newFleet(b)
	m := newMesh()
	f.net = m
	f.config("1")
	for _, e := range engines(200) {
		f.engine(e)
	}
	for i := range size {
		f.add(fmt.Sprintf("z%d-n%03d", i%5, i), fmt.Sprintf("z%d", i%5))
	}
	f.untilAllKnowAll()
	time.Sleep(2 * time.Second)
	return f, m
}

// BenchmarkBarredRequestSpreads gives the time until all nodes bar a request that
// three of them saw crash an engine each, and what is sent meanwhile.
func BenchmarkBarredRequestSpreads(b *testing.B) {
	for _, size := range spreadSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f, m := fleetOf(b, size)
			m.bytes.Store(0)
			b.ResetTimer()
			for i := range b.N {
				p := citronquarantine.PrintOf("council", "POST", "h", fmt.Sprint(i), nil)
				for k := range 3 {
					f.nodes[k*size/3].Quarantine().Crashed(p, fmt.Sprintf("i-%d", k), time.Time{})
				}
				eventually(b, "all nodes bar the request", func() bool { return f.barredAt(p) == size })
			}
			b.ReportMetric(float64(m.bytes.Load())/1024/float64(size)/float64(b.N), "KB/node")
		})
	}
}

// BenchmarkReturnOfTheStore gives the time from the return of the store from an
// older copy until all nodes use the list of the new era, and the calls to the store.
func BenchmarkReturnOfTheStore(b *testing.B) {
	for _, size := range spreadSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f, _ := fleetOf(b, size)
			calls := func() (n int64) {
				for _, m := range f.nodes {
					n += m.gate.calls.Load()
				}
				return n
			}
			before := calls()
			b.ResetTimer()
			for i := range b.N {
				made := f.store.Copy()
				for k := range 20 {
					f.engine(appEngine(fmt.Sprintf("gap%d", k)))
				}
				f.store.Return(made)
				f.engine(appEngine(fmt.Sprintf("new%d", i)))
				eventually(b, "all use the new era", func() bool { return f.usableAt(fmt.Sprintf("new%d", i)) == size })
			}
			b.ReportMetric(float64(calls()-before)/float64(b.N), "calls")
		})
	}
}
