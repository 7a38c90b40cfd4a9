package citronforecast_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronforecast"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Now()

func testSpec() citronmodel.Spec {
	return citronmodel.Spec{
		Layers: 8, LayerMB: 1000, TokenBytes: 8000, StepMS: 1, PerSeqMS: 0.005, ContextMSPerK: 0.006, PromptTokensPerS: 16_000, PromptChunk: 512, StepsPerPass: 4, Slots: 8, MeanTokens: 1000,
		Kinds: map[string]citronmodel.Kind{"fast": {Name: "fast", MemoryMB: 20_000, StepFactor: 2, PromptFactor: 3}},
	}
}

// twoHops returns a path of two engines in zone a, each with half of the layers.
func twoHops() citronpath.Path {
	var p citronpath.Path
	for i, s := range []citronmodel.Span{{From: 0, To: 4}, {From: 4, To: 8}} {
		e := citronmodel.Engine{ID: fmt.Sprint(i), Service: "m", Zone: "a", Kind: "fast", Layers: s}
		p = append(p, citronpath.Hop{Engine: citronpool.Build([]citronmodel.Engine{e}, nil).ByService["m"][0], Span: s})
	}
	return p
}

var anyInt = rapid.OneOf(rapid.IntRange(-5, 5000), rapid.SampledFrom([]int{math.MinInt, -1e9, 0, 1e9, math.MaxInt}))

// drawSpec returns a specification of which some values may be absurd.
func drawSpec(t *rapid.T) citronmodel.Spec {
	anyFloat := rapid.OneOf(rapid.Float64Range(0, 100), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300}))
	s := testSpec()
	for _, x := range []*float64{&s.StepMS, &s.PerSeqMS, &s.ContextMSPerK, &s.PromptTokensPerS, &s.TokenBytes, &s.LayerMB} {
		*x = anyFloat.Draw(t, "declared")
	}
	s.PromptChunk, s.StepsPerPass, s.Slots = anyInt.Draw(t, "chunk"), anyInt.Draw(t, "steps"), anyInt.Draw(t, "slots")
	s.Layers = rapid.IntRange(-1, 10).Draw(t, "layers")
	s.Kinds["fast"] = citronmodel.Kind{MemoryMB: anyFloat.Draw(t, "memory"), StepFactor: anyFloat.Draw(t, "step factor"), PromptFactor: anyFloat.Draw(t, "prompt factor")}
	return s
}

// Guards against a negative or unbounded forecast, or a panic, for impossible declarations,
// and against a forecast that falls when the prompt or the load of an engine grows. It would
// send requests to the fullest engines.
func TestForecastIsBoundedAndMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, spec, p := citronforecast.New(), testSpec(), twoHops()
		if rapid.Bool().Draw(t, "absurd") {
			spec = drawSpec(t)
		}
		r := citronforecast.Request{Route: "r", PromptTokens: anyInt.Draw(t, "prompt"), OutputTokens: anyInt.Draw(t, "output"), OutputHint: anyInt.Draw(t, "hint")}
		for range rapid.IntRange(0, 3).Draw(t, "observations") {
			m.ObserveFirstEvent(r, "a", time.Duration(anyInt.Draw(t, "predicted")), time.Duration(anyInt.Draw(t, "actual")), start)
			m.ObserveOutput(r, anyInt.Draw(t, "generated"), start)
		}
		check := func(what string, before, after time.Duration) {
			if after < before || before < 0 || after > 10*time.Minute {
				t.Fatalf("%s: forecast changed from %v to %v", what, before, after)
			}
		}
		longer := r
		if longer.PromptTokens < math.MaxInt-1000 {
			longer.PromptTokens += rapid.IntRange(0, 1000).Draw(t, "more prompt")
		}
		first, pause := m.FirstEvent(r, p, spec, start), m.Pause(p, spec, start)
		check("longer prompt", first, m.FirstEvent(longer, p, spec, start))
		need, needLonger := m.Tokens(r), m.Tokens(longer)
		if need < 0 || needLonger < need || needLonger > 1<<25 {
			t.Fatalf("cache need changed from %d to %d with a longer prompt", need, needLonger)
		}
		p[rapid.IntRange(0, 1).Draw(t, "hop")].Engine.Begin(rapid.IntRange(0, 1e9).Draw(t, "load"))
		check("more load", first, m.FirstEvent(r, p, spec, start))
		check("more load", pause, m.Pause(p, spec, start))
		p[0].Engine.RecordSlowdown(rapid.SampledFrom([]float64{0, 0.5, 2, 1e6, math.Inf(1), math.NaN()}).Draw(t, "slowdown"), start)
		check("slowdown", first, m.FirstEvent(r, p, spec, start))
		check("slowdown", pause, m.Pause(p, spec, start))
	})
}

// Guards against a correction that oscillates or stops short: an estimate that is always off
// by a factor must become right within a few seconds, in its zone only, and must return to
// the declared times when nothing has been observed for a while.
func TestConstantErrorIsLearnedAndForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, p, spec := citronforecast.New(), twoHops(), testSpec()
		r := citronforecast.Request{Route: "r", PromptTokens: 1000, OutputTokens: 1000, OutputHint: 100}
		factor := rapid.Float64Range(0.01, 100).Draw(t, "factor")
		bounded := min(10, max(0.1, factor))
		now := start
		declared := citronforecast.DeclaredFirstEvent(r, p, spec, now)
		for range 8 {
			now = now.Add(500 * time.Millisecond)
			m.ObserveFirstEvent(r, "a", declared, time.Duration(factor*float64(declared)), now)
			m.ObserveOutput(r, int(factor*100), now)
		}
		near := func(what string, got, want float64) {
			if math.Abs(got-want) > want/50+1 {
				t.Fatalf("factor %.3f, %s: got %.1f, want %.1f", factor, what, got, want)
			}
		}
		near("first event in us", float64(m.FirstEvent(r, p, spec, now).Microseconds()), bounded*float64(declared.Microseconds()))
		near("cache need", float64(m.Tokens(r)), 1000+max(10, min(1000, float64(int(factor*100)))))
		other := r
		other.Route, other.OutputHint = "another route", 100
		near("another route, first event in us", float64(m.FirstEvent(other, p, spec, now).Microseconds()), bounded*float64(declared.Microseconds()))
		near("another route, cache need", float64(m.Tokens(other)), 1100)
		for _, h := range p {
			h.Engine.Zone = "b"
		}
		near("another zone", float64(m.FirstEvent(r, p, spec, now).Microseconds()), float64(declared.Microseconds()))
		for _, h := range p {
			h.Engine.Zone = "a"
		}
		near("later", float64(m.FirstEvent(r, p, spec, now.Add(time.Minute)).Microseconds()), float64(declared.Microseconds()))
	})
}

// Guards against an estimate that ignores a term of the declared times. One engine of half
// the layers needs 500 * 3 / 2 / 16 = 46.9 ms for the prompt and 1 ms for the token step.
func TestDeclaredTimes(t *testing.T) {
	is := is.New(t)
	p, spec := twoHops(), testSpec()
	r := citronforecast.Request{PromptTokens: 500}
	is.Equal(citronforecast.DeclaredFirstEvent(r, p, spec, start).Round(100*time.Microsecond), 96800*time.Microsecond) // 2 * (0.5 + 46.9 + 1)
	is.Equal(citronforecast.New().Pause(p, spec, start), 105*time.Millisecond)                                         // 2 * (0.5 + 4 * 1 + 48)
	p[0].Engine.Begin(800)                                                                                             // a tenth of its 8 slots of 1,000 tokens
	is.Equal(citronforecast.DeclaredFirstEvent(r, p, spec, start).Round(100*time.Microsecond), 103600*time.Microsecond)
}

// Guards against memory that grows with the number of routes, and against data races.
func TestManyRoutesAtTheSameTime(t *testing.T) {
	is := is.New(t)
	m, p, spec := citronforecast.New(), twoHops(), testSpec()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for j := range 1000 {
				r := citronforecast.Request{Route: fmt.Sprint(i, "-", j), PromptTokens: 10, OutputTokens: 100, OutputHint: 10}
				m.ObserveFirstEvent(r, "a", time.Second, 2*time.Second, start)
				m.ObserveOutput(r, 20, start)
				_, _, _ = m.Tokens(r), m.FirstEvent(r, p, spec, start), m.Pause(p, spec, start)
			}
		})
	}
	wg.Wait()
	is.True(m.Len() <= 1024)
}

// BenchmarkFirstEvent measures a forecast from full windows of observations.
func BenchmarkFirstEvent(b *testing.B) {
	m, p, spec := citronforecast.New(), twoHops(), testSpec()
	r := citronforecast.Request{Route: "r", PromptTokens: 1000}
	for i := range 64 {
		m.ObserveFirstEvent(r, "a", time.Second, time.Duration(i)*50*time.Millisecond, start)
	}
	for range b.N {
		m.FirstEvent(r, p, spec, start)
	}
}
