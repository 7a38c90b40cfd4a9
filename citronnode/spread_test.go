package citronnode_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronquarantine"
	"citrondeck.dev/citrondeck/citronupstream"
)

// benchmarkFleetSizes are the numbers of nodes of the fleets in which the benchmarks of
// this file measure how updates spread.
var benchmarkFleetSizes = []int{30, 300}

// startBenchmarkFleet starts a fleet of five zones with 200 engines and waits until all
// nodes know each other and the updates of the start are over.
func startBenchmarkFleet(b *testing.B, size int) (*fleet, *mesh) {
	b.Helper()
	f := newFleet(b)
	m := newMesh()
	f.net = m
	f.putConfig("1")
	for _, e := range engines(200) {
		f.putEngine(e)
	}
	for i := range size {
		f.addNode(fmt.Sprintf("z%d-n%03d", i%5, i), fmt.Sprintf("z%d", i%5))
	}
	f.awaitFullMembership()
	time.Sleep(2 * time.Second)
	return f, m
}

// BenchmarkQuarantineSpreads measures the time until all nodes quarantine a request
// that three of them saw crash one engine each, and the bytes sent meanwhile.
func BenchmarkQuarantineSpreads(b *testing.B) {
	for _, size := range benchmarkFleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f, m := startBenchmarkFleet(b, size)
			m.bytes.Store(0)
			b.ResetTimer()
			for i := range b.N {
				p := citronquarantine.FingerprintOf("council", "POST", "h", fmt.Sprint(i), nil)
				for k := range 3 {
					f.nodes[k*size/3].Quarantine().RecordCrash(p, fmt.Sprintf("i-%d", k), time.Time{})
				}
				eventually(b, "all nodes quarantine the request", func() bool { return f.nodesQuarantining(p) == size })
			}
			b.ReportMetric(float64(m.bytes.Load())/1024/float64(size)/float64(b.N), "KB/node")
		})
	}
}

// BenchmarkStoreRestore measures the time from the restore of the store from an older
// copy until all nodes use the list of the new era, and the calls to the store.
func BenchmarkStoreRestore(b *testing.B) {
	for _, size := range benchmarkFleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f, _ := startBenchmarkFleet(b, size)
			calls := func() (n int64) {
				for _, m := range f.nodes {
					n += m.gate.calls.Load()
				}
				return n
			}
			before := calls()
			b.ResetTimer()
			for i := range b.N {
				backup := f.store.Snapshot()
				for k := range 20 {
					f.putEngine(appEngine(fmt.Sprintf("gap%d", k)))
				}
				f.store.Restore(backup)
				f.putEngine(appEngine(fmt.Sprintf("new%d", i)))
				eventually(b, "all nodes use the list of the new era", func() bool { return f.nodesUsing(fmt.Sprintf("new%d", i)) == size })
			}
			b.ReportMetric(float64(calls()-before)/float64(b.N), "calls")
		})
	}
}

// BenchmarkLimitSpreads measures the time until all nodes know a rate limit that one of
// them learned, and the bytes sent meanwhile.
func BenchmarkLimitSpreads(b *testing.B) {
	for _, size := range benchmarkFleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f, m := startBenchmarkFleet(b, size)
			f.putEngine(appEngine("limited"))
			eventually(b, "all nodes know the engine", func() bool { return f.nodesUsing("limited") == size })
			m.bytes.Store(0)
			b.ResetTimer()
			for i := range b.N {
				n := f.nodes[i%size]
				n.Limits().Observe("limited", n.Limits().Get("limited"), citronupstream.PerSecond(1000-float64(i)))
				version := n.Limits().Get("limited").Version
				eventually(b, "all nodes know the limit", func() bool {
					for _, o := range f.nodes {
						if o.Limits().Get("limited").Version < version {
							return false
						}
					}
					return true
				})
			}
			b.ReportMetric(float64(m.bytes.Load())/1024/float64(size)/float64(b.N), "KB/node")
		})
	}
}

// BenchmarkPermit measures the time in which a node gets a permit from another node over
// a loopback connection, and the processor time of both.
func BenchmarkPermit(b *testing.B) {
	f := newFleet(b)
	f.putConfig("1")
	f.putEngine(appEngine("limited"))
	f.addNode("a", "z1")
	f.addNode("b", "z1")
	f.awaitFullMembership()
	eventually(b, "all nodes know the engine", func() bool { return f.nodesUsing("limited") == 2 })
	f.nodes[0].Limits().Observe("limited", citronlimit.Record{}, citronupstream.PerSecond(1e9))
	eventually(b, "both nodes know the limit", func() bool { return f.nodesLimiting("limited") == 2 })
	e, _ := f.nodes[0].Traffic().View.ByID("limited")
	requester := f.nodes[0]
	for _, m := range f.nodes {
		if issuer, _ := citronpermit.IssuerFor("limited", e.Zone, []citronpeer.Member{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}}); m.name != issuer.Name {
			requester = m
		}
	}
	cpu := processorTime()
	b.ResetTimer()
	for range b.N {
		if _, granted := requester.Permit(context.Background(), e, time.Second).(citronpermit.Granted); !granted {
			b.Fatal("permit was denied")
		}
	}
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}
