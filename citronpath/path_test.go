package citronpath_test

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var spec = citronmodel.Spec{
	Layers: 8, LayerMB: 1000, TokenBytes: 8000, StepMS: 1, PerSeqMS: 0.005, ContextMSPerK: 0.006, PromptTokensPerS: 160_000,
	Kinds: map[string]citronmodel.Kind{
		"fast": {Name: "fast", MemoryMB: 20_000, StepFactor: 2, PromptFactor: 3},
		"slow": {Name: "slow", MemoryMB: 20_000, StepFactor: 16, PromptFactor: 8},
	},
}

var now = time.Now()

func engine(id, zone, kind string, from, to int) citronmodel.Engine {
	return citronmodel.Engine{ID: id, Service: "m", Addr: id, Zone: zone, Kind: kind, Layers: citronmodel.Span{From: from, To: to}}
}

func view(engines ...citronmodel.Engine) []*citronpool.Engine {
	return citronpool.Build(engines, nil).ByService["m"]
}

func query() citronpath.Query { return citronpath.Query{Spec: spec, Zone: "a", Now: now} }

func ids(p citronpath.Path) string {
	out := ""
	for _, h := range p {
		out += fmt.Sprintf("%s[%d,%d) ", h.Engine.ID, h.Span.From, h.Span.To)
	}
	return out
}

// For any set of engines, a path must run every layer exactly once and in order,
// use each engine at most once, and use only engines that hold the layers and are
// neither leaving nor avoided. Otherwise an engine would refuse the request, or its
// tokens would be wrong. A path must exist whenever such engines hold all layers.
func TestPathIsAnExactCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []citronmodel.Engine
		avoid := map[string]bool{}
		held := make([]bool, spec.Layers)
		for i := range rapid.IntRange(0, 9).Draw(t, "engines") {
			from := rapid.IntRange(0, spec.Layers).Draw(t, "from")
			e := engine(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "kind"), from, rapid.IntRange(from, spec.Layers).Draw(t, "to"))
			e.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			if rapid.IntRange(0, 4).Draw(t, "avoid") == 0 {
				avoid[e.ID] = true
			}
			for l := e.Layers.From; l < e.Layers.To && !e.Leaving && !avoid[e.ID]; l++ {
				held[l] = true
			}
			engines = append(engines, e)
		}
		all := true
		for _, h := range held {
			all = all && h
		}
		q := query()
		q.Avoid = avoid
		p, ok := citronpath.Choose(view(engines...), q)
		if ok != all {
			t.Fatalf("Choose found a path: %v; the usable engines hold all layers: %v", ok, all)
		}
		at, seen := 0, map[string]bool{}
		for _, h := range p {
			if h.Span.From != at || h.Span.Empty() || !h.Engine.Layers.Covers(h.Span) || seen[h.Engine.ID] || h.Engine.Leaving || avoid[h.Engine.ID] {
				t.Fatalf("hop %s of path %s has the wrong layers, or its engine is used twice, leaving or avoided", h.Engine.ID, ids(p))
			}
			at, seen[h.Engine.ID] = h.Span.To, true
		}
		if ok && at != spec.Layers {
			t.Fatalf("path ends at layer %d, want %d: %s", at, spec.Layers, ids(p))
		}
	})
}

// TestChoice checks which path is chosen for typical placements and loads.
func TestChoice(t *testing.T) {
	zoneB := []citronmodel.Engine{engine("b1", "b", "fast", 0, 4), engine("b2", "b", "fast", 4, 8)}
	for _, c := range []struct {
		name    string
		engines []citronmodel.Engine
		change  func(*citronpath.Query, []*citronpool.Engine)
		want    string
	}{
		{
			"own zone has all layers",
			append(zoneB, engine("a1", "a", "fast", 0, 4), engine("a2", "a", "fast", 4, 8)),
			nil, "a1[0,4) a2[4,8) ",
		},
		{
			"own zone lacks layers: the request runs entirely in another zone",
			append(zoneB, engine("a1", "a", "fast", 0, 4)), nil, "b1[0,4) b2[4,8) ",
		},
		{
			"no zone has all layers: the path combines two zones",
			[]citronmodel.Engine{engine("a1", "a", "fast", 0, 4), engine("b2", "b", "fast", 4, 8)},
			nil, "a1[0,4) b2[4,8) ",
		},
		{
			"surge: requests of other nodes fill the own zone",
			append(zoneB, engine("a1", "a", "fast", 0, 4), engine("a2", "a", "fast", 4, 8)),
			func(q *citronpath.Query, _ []*citronpool.Engine) {
				q.OthersTokens = map[string]int64{"a": int64(spec.CacheTokens("fast", 4))}
			},
			"b1[0,4) b2[4,8) ",
		},
		{
			"two engines hold the same layers: the less loaded one",
			[]citronmodel.Engine{engine("a1", "a", "fast", 0, 8), engine("a2", "a", "fast", 0, 8)},
			func(_ *citronpath.Query, es []*citronpool.Engine) { es[0].Begin(100_000) }, "a2[0,8) ",
		},
		{
			"the faster engine runs the layers that both hold",
			[]citronmodel.Engine{engine("a1", "a", "slow", 0, 8), engine("a2", "a", "fast", 2, 8)},
			nil, "a1[0,2) a2[2,8) ",
		},
		{
			"an engine of the own zone reports a slowdown",
			append(zoneB, engine("a1", "a", "fast", 0, 4), engine("a2", "a", "fast", 4, 8)),
			func(_ *citronpath.Query, es []*citronpool.Engine) { es[2].RecordSlowdown(5, now) }, "b1[0,4) b2[4,8) ",
		},
		{
			"a running request keeps its first engine",
			[]citronmodel.Engine{engine("a1", "a", "slow", 0, 4), engine("a2", "a", "fast", 0, 4), engine("a3", "a", "fast", 4, 8)},
			func(q *citronpath.Query, _ []*citronpool.Engine) { q.FirstID = "a1" }, "a1[0,4) a3[4,8) ",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			es, q := view(c.engines...), query()
			if c.change != nil {
				c.change(&q, es)
			}
			p, ok := citronpath.Choose(es, q)
			is.True(ok)
			is.Equal(ids(p), c.want)
		})
	}
}

// BenchmarkChoose measures one choice for services with 10 to 1000 engines in
// three zones. The services with 10 and 40 engines lack layers, so that no path
// exists there.
func BenchmarkChoose(b *testing.B) {
	big := spec
	big.Layers = 80
	for _, n := range []int{10, 40, 100, 1000} {
		var engines []citronmodel.Engine
		for i := range n {
			at := (i / 3 % 16) * 5
			engines = append(engines, engine(fmt.Sprint(i), string(rune('a'+i%3)), "fast", at, at+5))
		}
		es := view(engines...)
		q := query()
		q.Spec = big
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				citronpath.Choose(es, q)
			}
		})
	}
}

// When a zone loses one of its replicas at peak load, the remaining engines with
// the same layers get its streams too. An engine may have cache for more than a
// hundred requests and yet run only eight at once. It refuses the excess, which
// costs a retry or fails the request although another zone has free slots. An
// engine's capacity must therefore be limited by its request slots too, not only
// by its cache.
func TestSlotsLimitEngineCapacity(t *testing.T) {
	is := is.New(t)
	es := view(engine("a1", "a", "fast", 0, 8), engine("b1", "b", "fast", 0, 8))
	q := query()
	q.Spec.Slots, q.Spec.MeanTokens = 8, 900
	q.OthersTokens = map[string]int64{"a": 7 * 900}
	is.True(q.Spec.CacheTokens("fast", 8) > 100*900)
	p, ok := citronpath.Choose(es, q)
	is.True(ok)
	is.Equal(ids(p), "b1[0,8) ")
	q.OthersTokens["a"] = 2 * 900
	p, _ = citronpath.Choose(es, q)
	is.Equal(ids(p), "a1[0,8) ")
}

// manyBoundaries returns the engines of five zones with three replicas each. The
// replicas of a zone are divided at different layers.
func manyBoundaries(layers int) []citronmodel.Engine {
	var out []citronmodel.Engine
	sizes := []int{4, 6, 4, 22, 6, 4, 6, 4, 4, 6}
	for zone := range 5 {
		for replica := range 3 {
			for at, i := 0, zone+3*replica; at < layers; i++ {
				to := min(layers, at+sizes[i%len(sizes)])
				out = append(out, engine(fmt.Sprint(len(out)), string(rune('a'+zone)), "fast", at, to))
				at = to
			}
		}
	}
	return out
}

// BenchmarkChooseLarge measures one choice in a fleet of 190 engines with many
// different layer boundaries.
func BenchmarkChooseLarge(b *testing.B) {
	big := spec
	big.Layers = 80
	es := view(manyBoundaries(big.Layers)...)
	q := query()
	q.Spec = big
	for range b.N {
		citronpath.Choose(es, q)
	}
}

// Guards against an empty path, or a panic, for a model without layers.
func TestModelWithoutLayersHasNoPath(t *testing.T) {
	is := is.New(t)
	for _, layers := range []int{0, -1} {
		_, ok := citronpath.Choose(nil, citronpath.Query{Spec: citronmodel.Spec{Layers: layers}, Now: time.Now()})
		is.True(!ok)
	}
}
