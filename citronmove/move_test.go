package citronmove_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronmove"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes rapid's seed so that CI runs are reproducible.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var spec = citronmodel.Spec{
	Layers: 80, LayerMB: 1000, TokenBytes: 590_000, StepMS: 1, PerSeqMS: 0.005, ContextMSPerK: 0.006, PromptTokensPerS: 160_000,
	Kinds: map[string]citronmodel.Kind{"a": {Name: "a", MemoryMB: 80_000, StepFactor: 2, PromptFactor: 3}, "b": {Name: "b", MemoryMB: 80_000, StepFactor: 2.2, PromptFactor: 3.3}},
}

// replay moves 95 streams of 900 tokens that have been silent for the given time from three
// lost engines to the engines that hold the same layers. Each engine processes streams in
// order of arrival. It returns how many streams keep a pause of 250 ms and, for each lost
// layer range, the highest share of the streams at one engine times the number of engines.
func replay(silence time.Duration, spread bool, kinds ...string) (kept int, most float64) {
	span := func(i int) citronmodel.Span { return citronmodel.Span{From: 20 * i, To: 20*i + 20} }
	var list []citronmodel.Engine
	for _, zone := range []string{"z1", "z2", "z3"} {
		for r, kind := range kinds { // r 0 is the path whose engines are lost in z1
			for i := range 4 {
				id := fmt.Sprintf("%s-%d-%d", zone, r, i)
				list = append(list, citronmodel.Engine{ID: id, Addr: id, Service: "m", Zone: zone, Kind: kind, Layers: span(i)})
			}
		}
	}
	v := citronpool.Build(list, nil)
	avoid := map[string]bool{}
	var current citronpath.Path
	for i := range 4 {
		e, _ := v.ByID(fmt.Sprintf("z1-0-%d", i))
		current = append(current, citronpath.Hop{Engine: e, Span: span(i)})
		avoid[e.ID] = i > 0
	}
	busy, load := map[string]time.Duration{}, map[string]float64{}
	for n := range 95 {
		q := citronpath.Query{Spec: spec, Zone: "z1", Now: time.Now(), Avoid: avoid, FirstID: "z1-0-0", CurrentPath: current}
		if spread {
			q.MoveCost = func(e *citronpool.Engine) float64 {
				return citronmove.Cost(fmt.Sprint("stream-", n), e.ID, citronmove.Weight(spec, e.Kind, 1-q.Utilization(e)))
			}
		}
		p, ok := citronpath.Choose(v.ByService["m"], q)
		if !ok || !p.OneZone() {
			continue
		}
		at := silence
		for _, h := range p[1:] {
			load[h.Engine.ID]++
			at = max(at, busy[h.Engine.ID]) + citronmove.PrefillTime(spec, h.Engine.Kind, h.Span.Len(), 900)
			busy[h.Engine.ID] = at
			most = max(most, load[h.Engine.ID]*float64(len(kinds)-1)/95)
		}
		if at <= 250*time.Millisecond {
			kept++
		}
	}
	return kept, most
}

// Guards against moving all streams of a lost path to the cheapest engines, whose queues
// then exceed the allowed pause, after a silence of 140 ms.
func TestReplayThreeAdjacentEnginesLost(t *testing.T) {
	is := is.New(t)
	for _, kinds := range [][]string{{"a", "a"}, {"a", "a", "b"}} { // replicas in each zone
		before, _ := replay(140*time.Millisecond, false, kinds...)
		spread, _ := replay(140*time.Millisecond, true, kinds...)
		after, most := replay(85*time.Millisecond, true, kinds...)
		t.Logf("%d replicas: kept %d before, %d spread, %d spread and earlier; most loaded %.2f of the mean", len(kinds), before, spread, after, most)
		is.True(2*after >= 3*before)
		is.True(spread >= before)
		is.True(most <= 1.5)
	}
}

// Guards against a delay that is negative or over 600 ms, or that is longer for a stream
// with more slack, whatever the load figures are.
func TestDelayIsBoundedAndMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-10, 100_000).Draw(t, name)) * time.Millisecond
		}
		m := citronmove.Move{
			Stream: rapid.String().Draw(t, "id"), AllowedPause: ms("allowed"), Silence: ms("silence"), Prefill: ms("prefill"),
			Streams: rapid.Int64().Draw(t, "streams"), OwnTokens: rapid.Int64().Draw(t, "own"), AllTokens: rapid.Int64().Draw(t, "all"), Holders: rapid.Int().Draw(t, "holders"),
		}
		d := m.Delay()
		if d < 0 || d > citronmove.MaxDelay || m.Slack() >= 0 && d != 0 {
			t.Fatalf("delay %v with slack %v", d, m.Slack())
		}
		less := m
		less.Silence += ms("more")
		if less.Slack() < m.Slack() && less.Delay() < d {
			t.Fatalf("delay falls from %v to %v with less slack", d, less.Delay())
		}
	})
}

// Guards against engines that get more streams than their weight allows for.
func TestSpreadFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 1), 2, 5).Draw(t, "weights")
		salt := rapid.Uint32().Draw(t, "salt")
		const streams = 4000
		got, sum := make([]float64, len(weights)), 0.0
		for n := range streams {
			best, lowest := 0, math.Inf(1)
			for i, w := range weights {
				if c := citronmove.Cost(fmt.Sprint(salt, "-", n), fmt.Sprint("e", i), w); c < lowest {
					best, lowest = i, c
				}
			}
			got[best]++
		}
		for _, w := range weights {
			sum += w
		}
		for i, w := range weights {
			if want := streams * w / sum; math.Abs(got[i]-want) > 6*math.Sqrt(want) {
				t.Fatalf("engine %d got %v streams, want about %v", i, got[i], want)
			}
		}
	})
}
