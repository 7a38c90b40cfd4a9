package citronroute_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronroute"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func buildSnapshot(svc citronfleet.Service, avoid map[string]citronroute.Reason) *citronroute.Snapshot {
	f := citronfleet.Fleet{Services: []citronfleet.Service{svc}}
	return citronroute.NewPool(http.DefaultClient, "").Build(f, avoid, nil, true)
}

// TestChainCoversEachLayerOnce uses random layer ranges with some engines
// avoided, and computes the reachable boundaries by dynamic programming as the
// reference. A chain must be found exactly if one exists, and must cover every
// layer once and in order with engines that are not avoided. A chain that repeats
// or skips a layer gives wrong tokens.
func TestChainCoversEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		layers := rapid.IntRange(1, 12).Draw(rt, "layers")
		svc := citronfleet.Service{Name: "m", Kind: citronfleet.Model, Layers: layers}
		avoid := map[string]citronroute.Reason{}
		reach := make([]bool, layers+1)
		reach[0] = true
		for i := range rapid.IntRange(1, 20).Draw(rt, "engines") {
			from := rapid.IntRange(0, layers-1).Draw(rt, "from")
			to := rapid.IntRange(from+1, layers).Draw(rt, "to")
			name := fmt.Sprintf("e%d", i)
			svc.Engines = append(svc.Engines, citronfleet.Backend{Name: name, Addr: name, Range: [2]int{from, to}})
			if rapid.IntRange(0, 3).Draw(rt, "avoided") == 0 {
				avoid[name] = citronroute.Leaving
			}
		}
		for b := range layers {
			for _, e := range svc.Engines {
				if reach[b] && e.Range[0] == b && avoid[e.Name] == "" {
					reach[e.Range[1]] = true
				}
			}
		}
		pick := citronroute.Picker{Snapshot: buildSnapshot(svc, avoid)}
		chain := pick.Chain(svc, 0)
		if (chain != nil) != reach[layers] {
			rt.Fatalf("Chain found a chain: %v, want %v as in the reference", chain != nil, reach[layers])
		}
		next := 0
		for _, b := range chain {
			if b.Spec.Range[0] != next || avoid[b.Spec.Name] != "" {
				rt.Fatalf("at layer %d the chain continues with engine %s [%d,%d), avoided for reason %q; want an engine that begins at that layer and is not avoided", next, b.Spec.Name, b.Spec.Range[0], b.Spec.Range[1], avoid[b.Spec.Name])
			}
			next = b.Spec.Range[1]
		}
		if chain != nil && next != layers {
			rt.Fatalf("the chain ends at layer %d of %d", next, layers)
		}
	})
}

// grid returns a model service with one engine per stage and replica.
func grid(stages, replicas int) citronfleet.Service {
	svc := citronfleet.Service{Name: "m", Kind: citronfleet.Model, Layers: 8 * stages}
	for r := range replicas {
		for s := range stages {
			name := fmt.Sprintf("e%d-%d", s, r)
			svc.Engines = append(svc.Engines, citronfleet.Backend{Name: name, Addr: name, Range: [2]int{8 * s, 8 * (s + 1)}, Capacity: 400})
		}
	}
	return svc
}

// TestChainsSpreadEvenly checks that chains of bound requests spread evenly:
// no engine may have two requests more than another that holds the same
// layers. Otherwise requests queue at one engine while another is idle.
func TestChainsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	svc := grid(4, 5)
	s := buildSnapshot(svc, nil)
	held := map[string]int{}
	for range 52 {
		pick := citronroute.Picker{Snapshot: s}
		for _, b := range pick.Chain(svc, 0) {
			b.Bind()
			held[b.Spec.Name]++
		}
	}
	for name, n := range held {
		is.True(n == 10 || n == 11) // 52 requests over 5 replicas
		_ = name
	}
	is.Equal(len(held), 20)
}

// TestWindow checks that the window is the entry's even share of the requests
// that keep the engines busy at the wanted token gap, and the fallback for a
// service without a declared capacity.
func TestWindow(t *testing.T) {
	is := is.New(t)
	svc := grid(2, 5) // 2000 tokens/s
	s := buildSnapshot(svc, nil)
	is.Equal(s.Window(svc, 100*time.Millisecond, 7), 200)
	s.Entries = make([]citronroute.EntryAddr, 4)
	is.Equal(s.Window(svc, 100*time.Millisecond, 7), 50)
	is.Equal(s.Window(citronfleet.Service{Kind: citronfleet.Plain}, time.Second, 7), 7)
}

// BenchmarkChain picks a chain for a model on 40 engines and for one on 164.
func BenchmarkChain(b *testing.B) {
	for _, replicas := range []int{10, 41} {
		b.Run(fmt.Sprintf("engines=%d", 4*replicas), func(b *testing.B) {
			svc := grid(4, replicas)
			s := buildSnapshot(svc, nil)
			b.ReportAllocs()
			for b.Loop() {
				pick := citronroute.Picker{Snapshot: s}
				_ = pick.Chain(svc, 0)
			}
		})
	}
}

// BenchmarkBuild builds a snapshot, as the entry does after each change of the
// configuration or of the state of entries and back ends, for fleets with 1 and 25
// models on 164 engines each.
func BenchmarkBuild(b *testing.B) {
	for _, models := range []int{1, 25} {
		b.Run(fmt.Sprintf("models=%d/engines=%d", models, models*164), func(b *testing.B) {
			var f citronfleet.Fleet
			for m := range models {
				svc := grid(4, 41)
				svc.Name = fmt.Sprint(m)
				for i := range svc.Engines {
					svc.Engines[i].Name += svc.Name
				}
				f.Services = append(f.Services, svc)
			}
			pool := citronroute.NewPool(http.DefaultClient, "")
			b.ReportAllocs()
			for b.Loop() {
				pool.Build(f, nil, nil, true)
			}
		})
	}
}
