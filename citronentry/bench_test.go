package citronentry_test

// Benchmarks. None of them asserts a time. Run them with
//
//	go test -run '^$' -bench . ./citronentry ./citronroute ./citronconfig
//
// The recovery ones report distributions over their iterations: p50, p95
// and max, in milliseconds.

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

type spread struct{ h *hdrhistogram.Histogram }

func newSpread() spread { return spread{hdrhistogram.New(1, 600_000_000, 3)} }

func (s spread) add(d time.Duration) { _ = s.h.RecordValue(max(1, d.Microseconds())) }

func (s spread) report(b *testing.B) {
	b.ReportMetric(float64(s.h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(s.h.ValueAtQuantile(95))/1000, "p95-ms")
	b.ReportMetric(float64(s.h.Max())/1000, "max-ms")
	b.ReportMetric(0, "ns/op")
}

// One model request of 8 tokens through two stages, entry and engines in
// this process: an upper bound of the entry's own cost.
func BenchmarkModelRequest(b *testing.B) {
	r := newModelRig(b, 8, 1, twoByTwo, nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if a := r.ask(0, "p", 8); a.status != http.StatusOK {
				b.Error(a.body)
			}
		}
	})
}

// One non-idempotent plain request: two ledger writes and one call.
func BenchmarkOnceRequest(b *testing.B) {
	r := newPlainRig(b, 1, 2)
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

// recover measures one fault: a request is under way when it strikes, and
// the time runs until that request's answer is there.
func benchRecovery(b *testing.B, strike func(*backendHandle), tokens int) {
	s := newSpread()
	for range b.N {
		r := newTunedRig(b, 8, 1, twoByTwo, nil, func(s *citronentry.Settings) { s.ProbeTimeout = 0 }) // the default
		victim := r.engines["b1"]
		hold := make(chan struct{})
		victim.hold = hold
		got := make(chan answer, 1)
		go func() { got <- r.ask(0, "p", tokens) }()
		for victim.work.Load() == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		start := time.Now()
		strike(victim)
		if a := <-got; a.status != http.StatusOK {
			b.Fatal(a.body)
		}
		s.add(time.Since(start))
		close(hold)
		r.stop()
	}
	s.report(b)
}

// An engine is killed with a request in its hands: its connections reset.
func BenchmarkRecoveryEngineKilled(b *testing.B) {
	benchRecovery(b, func(v *backendHandle) { v.set(resetBefore); v.srv.CloseClientConnections() }, 8)
}

// An engine freezes with a request in its hands.
func BenchmarkRecoveryEngineFrozen(b *testing.B) {
	benchRecovery(b, func(v *backendHandle) { v.set(frozen) }, 8)
}

// An upstream starts leaving while requests stream in: the time until the
// last new call reached it.
func BenchmarkRecoveryLeaving(b *testing.B) {
	for _, told := range []string{"by the list", "by itself"} {
		b.Run(strings.ReplaceAll(told, " ", "-"), func(b *testing.B) {
			s := newSpread()
			for range b.N {
				r := newModelRig(b, 4, 1, oneStage, nil)
				a1 := r.engines["a1"]
				_ = r.ask(0, "warm", 1)
				start := time.Now()
				last := start
				if told == "by itself" {
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

// The KV service is down for a while: the time from its return until a
// cut release is served again, and how many were refused meanwhile with
// their final answer (never held).
func BenchmarkRecoveryKVOutage(b *testing.B) {
	s, refusal := newSpread(), newSpread()
	r := newPlainRig(b, 1, 1)
	n := 0
	for range b.N {
		r.kv.SetFaults(citronkv.Faults{Down: true})
		for range 20 {
			n++
			t0 := time.Now()
			if a := r.submit(0, "release", fmt.Sprintf("k%d", n), time.Minute); a.code != "outcome_unknown" {
				b.Fatal(a.body)
			}
			refusal.add(time.Since(t0))
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
	b.ReportMetric(float64(refusal.h.ValueAtQuantile(95))/1000, "refusal-p95-ms")
	s.report(b)
}

// A configuration change: the time from apply until it is in force at
// every entry, and the KV calls it costs.
func BenchmarkConfigInForce(b *testing.B) {
	for _, entries := range []int{3, 6, 9} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			r := newModelRig(b, 8, entries, twoByTwo, nil)
			cfg := citronconfig.Config{KV: r.kv, Clock: citronclock.Real{}}
			text := modelFleet(8, twoByTwo, r.engines)
			s := newSpread()
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
			rest := time.Since(t0).Seconds() * float64(entries) // keepalives, one a second each
			b.ReportMetric((float64(c.Writes-c0.Writes)-rest)/float64(b.N), "kv-writes/change")
			b.ReportMetric(float64(c.Reads-c0.Reads)/float64(b.N), "kv-reads/change")
			b.ReportMetric(float64(c.Watches-c0.Watches)/float64(b.N), "kv-watches/change")
			s.report(b)
		})
	}
}
