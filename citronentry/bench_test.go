package citronentry_test

// The benchmarks report times but assert none. Run them with
//
//	go test -run '^$' -bench . ./citronentry ./citronroute ./citronconfig
//
// The recovery benchmarks and BenchmarkConfigInEffect report the distribution
// over their iterations as p50, p95 and maximum, in milliseconds.

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronconfig"
	"citrondeck.dev/citrondeck/citronentry"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencyStats collects durations and reports their distribution. It records
// microseconds, up to ten minutes.
type latencyStats struct{ h *hdrhistogram.Histogram }

// newLatencyStats returns an empty latencyStats.
func newLatencyStats() latencyStats { return latencyStats{hdrhistogram.New(1, 600_000_000, 3)} }

// add records d, rounded up to one microsecond if shorter.
func (s latencyStats) add(d time.Duration) { _ = s.h.RecordValue(max(1, d.Microseconds())) }

// report adds the p50, p95 and maximum to the result of b and hides the
// default ns/op.
func (s latencyStats) report(b *testing.B) {
	b.ReportMetric(float64(s.h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(s.h.ValueAtQuantile(95))/1000, "p95-ms")
	b.ReportMetric(float64(s.h.Max())/1000, "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkModelRequest measures a model request of 8 tokens through two
// stages. The entry and the engines share one process, so the result is an
// upper bound of the entry's own cost.
func BenchmarkModelRequest(b *testing.B) {
	r := newModelHarness(b, 8, 1, twoStages, nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if a := r.ask(0, "p", 8); a.status != http.StatusOK {
				b.Error(a.body)
			}
		}
	})
}

// BenchmarkNonIdempotentRequest measures a non-idempotent plain request, which
// takes two ledger writes and one call. kv-writes/op also includes the entry's
// lease renewals.
func BenchmarkNonIdempotentRequest(b *testing.B) {
	r := newPlainHarness(b, 1, 2)
	var mu sync.Mutex
	n := 0
	w0 := r.kv.Counts().Writes
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			n++
			key := fmt.Sprintf("k%d", n)
			mu.Unlock()
			if a := r.submit(0, "release", key, time.Minute); a.status != http.StatusOK {
				b.Error(a.body)
			}
		}
	})
	b.ReportMetric(float64(r.kv.Counts().Writes-w0)/float64(b.N), "kv-writes/op")
}

// benchRecovery measures the time from a fault until the request in flight at
// that moment gets its response. injectFault applies the fault to engine b1,
// which runs a step of the request then.
func benchRecovery(b *testing.B, injectFault func(*testBackend), tokens int) {
	s := newLatencyStats()
	for range b.N {
		r := newModelHarnessWithSettings(b, 8, 1, twoStages, nil, func(s *citronentry.Settings) { s.ProbeTimeout = 0 }) // 0 selects the default
		target := r.engines["b1"]
		hold := make(chan struct{})
		target.hold = hold
		got := make(chan answer, 1)
		go func() { got <- r.ask(0, "p", tokens) }()
		for target.work.Load() == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		start := time.Now()
		injectFault(target)
		if a := <-got; a.status != http.StatusOK {
			b.Fatal(a.body)
		}
		s.add(time.Since(start))
		close(hold)
		r.stop()
	}
	s.report(b)
}

// BenchmarkRecoveryEngineKilled kills an engine during a request, so that its
// connections reset.
func BenchmarkRecoveryEngineKilled(b *testing.B) {
	benchRecovery(b, func(target *testBackend) { target.set(resetBefore); target.srv.CloseClientConnections() }, 8)
}

// BenchmarkRecoveryEngineFrozen freezes an engine during a request.
func BenchmarkRecoveryEngineFrozen(b *testing.B) {
	benchRecovery(b, func(target *testBackend) { target.set(frozen) }, 8)
}

// BenchmarkRecoveryLeaving measures the time from the moment an engine starts
// to leave until the last call reaches it, while a caller sends one request after
// the other for a second. The engine is marked in the instance list, or rejects
// new requests by itself.
func BenchmarkRecoveryLeaving(b *testing.B) {
	for _, source := range []string{"by the list", "by itself"} {
		b.Run(strings.ReplaceAll(source, " ", "-"), func(b *testing.B) {
			s := newLatencyStats()
			for range b.N {
				r := newModelHarness(b, 4, 1, oneStage, nil)
				a1 := r.engines["a1"]
				_ = r.ask(0, "warm", 1)
				start := time.Now()
				last := start
				if source == "by itself" {
					a1.engine.SetLeaving()
				} else {
					r.instances.Store(&[]citronkv.Instance{{Name: "a1", State: citronkv.Leaving}})
				}
				for time.Since(start) < time.Second {
					before := a1.work.Load()
					_ = r.ask(0, "p", 1)
					if a1.work.Load() > before {
						last = time.Now()
					}
				}
				s.add(last.Sub(start))
				r.stop()
			}
			s.report(b)
		})
	}
}

// BenchmarkRecoveryKVOutage measures the time from the end of a KV outage
// until a non-idempotent request is served again, and how long a request during
// the outage waits for its refusal. Such a request is not held until the outage
// ends.
func BenchmarkRecoveryKVOutage(b *testing.B) {
	s, rejections := newLatencyStats(), newLatencyStats()
	r := newPlainHarness(b, 1, 1)
	n := 0
	for range b.N {
		r.kv.SetFaults(citronkv.Faults{Down: true})
		for range 20 {
			n++
			t0 := time.Now()
			if a := r.submit(0, "release", fmt.Sprintf("k%d", n), time.Minute); a.code != "outcome_unknown" {
				b.Fatal(a.body)
			}
			rejections.add(time.Since(t0))
		}
		r.kv.SetFaults(citronkv.Faults{})
		back := time.Now()
		for {
			n++
			if r.submit(0, "release", fmt.Sprintf("k%d", n), time.Minute).status == http.StatusOK {
				break
			}
		}
		s.add(time.Since(back))
	}
	b.ReportMetric(float64(rejections.h.ValueAtQuantile(95))/1000, "refusal-p95-ms")
	s.report(b)
}

// BenchmarkConfigInEffect measures the time from the beginning of a
// configuration change until it is in effect on every entry, and the number of KV
// calls per change.
func BenchmarkConfigInEffect(b *testing.B) {
	for _, entries := range []int{3, 6, 9} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			r := newModelHarness(b, 8, entries, twoStages, nil)
			cfg := citronconfig.Config{KV: r.kv, Clock: citronclock.Real{}}
			text := modelFleet(8, twoStages, r.engines)
			s := newLatencyStats()
			c0 := r.kv.Counts()
			t0 := time.Now()
			for range b.N {
				start := time.Now()
				ch, err := cfg.Apply(context.Background(), "f", []byte(text), "bench", citronkv.AnyRevision)
				if err != nil {
					b.Fatal(err)
				}
				for _, e := range r.entries {
					for ch.Revision.After(e.Revision()) {
						time.Sleep(50 * time.Microsecond)
					}
				}
				s.add(time.Since(start))
			}
			c := r.kv.Counts()
			renewals := time.Since(t0).Seconds() * float64(entries) // lease renewals, one per second and entry
			b.ReportMetric((float64(c.Writes-c0.Writes)-renewals)/float64(b.N), "kv-writes/change")
			b.ReportMetric(float64(c.Reads-c0.Reads)/float64(b.N), "kv-reads/change")
			b.ReportMetric(float64(c.Watches-c0.Watches)/float64(b.N), "kv-watches/change")
			s.report(b)
		})
	}
}
