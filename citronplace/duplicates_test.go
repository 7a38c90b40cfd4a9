package citronplace_test

import (
	"testing"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronplace"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// setMeanTokens sets the mean number of tokens per request of the model until the
// test ends. It limits the cache that a zone can use; by default there is no limit.
func setMeanTokens(t *testing.T, tokens int) {
	t.Helper()
	spec.MeanTokens = tokens
	t.Cleanup(func() { spec.MeanTokens = 0 })
}

// duplicatedLayers returns how many layers more than one engine holds.
func duplicatedLayers(engines []citronplace.Engine) int {
	held := make([]int, spec.Layers)
	for _, e := range engines {
		for l := e.Layers.From; l < e.Layers.To; l++ {
			held[l]++
		}
	}
	n := 0
	for _, h := range held {
		if h > 1 {
			n++
		}
	}
	return n
}

// TestZoneWithSpareMemoryDuplicatesLayers guards against the loss of all
// streams of a zone when one engine dies at peak load. If another engine of
// the zone holds its layers, the streams continue there within the zone and
// new callers are served at once; if none does, all of them go to another
// zone. So a zone with more memory than its requests can fill as cache must
// hold many layers twice. Every layer must still be held, and each engine must
// keep four fifths of the cache that the requests can fill. A third of the
// engines must be dispensable: without any one of them, the others hold all layers.
func TestZoneWithSpareMemoryDuplicatesLayers(t *testing.T) {
	is := is.New(t)
	setMeanTokens(t, 300)
	engines := decideUntilStable(t, fleet("z", 1, 10, 4))
	is.Equal(len(citronplace.Gaps(spec, engines)), 0)
	is.True(duplicatedLayers(engines) >= 20)
	for _, e := range engines {
		is.True(!e.Layers.Empty()) // no engine is idle
		// The requests of one first engine, 192 slots of 300 tokens each, fill
		// this cache. An engine that duplicates layers keeps four fifths of it.
		is.True(spec.CacheTokens(e.Kind, e.Layers.Len()) >= 192*300*0.8)
	}
	served := 0
	for _, lost := range engines {
		left := without(engines, func(e citronplace.Engine) bool { return e.ID == lost.ID })
		if len(citronplace.Gaps(spec, left)) == 0 {
			served++
			is.True(countMoved(left, carryOut(left, citronplace.Decide(spec, left, nil))) <= 2) // without a gap, hardly any engine is moved
		}
	}
	t.Logf("%d layers held twice; %d of %d engines can be lost without a gap", duplicatedLayers(engines), served, len(engines))
	is.True(served >= len(engines)/3)
}

// TestZoneWithoutSpareMemoryDuplicatesNothing checks that a zone whose requests
// need all of its cache gives up none of it for duplicate layers. The smallest
// cache of an engine must be the same as if requests could fill any cache.
func TestZoneWithoutSpareMemoryDuplicatesNothing(t *testing.T) {
	is := is.New(t)
	engines := decideUntilStable(t, fleet("z", 1, 6, 6))
	before := 1e18
	for _, e := range engines {
		before = min(before, spec.CacheTokens(e.Kind, e.Layers.Len()))
	}
	setMeanTokens(t, 2000)
	after := 1e18
	for _, e := range decideUntilStable(t, fleet("z", 1, 6, 6)) {
		after = min(after, spec.CacheTokens(e.Kind, e.Layers.Len()))
	}
	is.Equal(after, before)
}

// TestDuplicatedPlacementHoldsAllLayers checks random zones, with one replica
// and with several, random needs for cache and random losses of engines:
// duplicate layers never displace the only holder of a layer, no engine holds
// more layers than fit into its memory, and the placement stabilizes.
func TestDuplicatedPlacementHoldsAllLayers(t *testing.T) {
	setMeanTokens(t, 1)
	rapid.Check(t, func(t *rapid.T) {
		spec.MeanTokens = rapid.SampledFrom([]int{100, 300, 900, 2000}).Draw(t, "tokens")
		engines := fleet("z", rapid.IntRange(0, 4).Draw(t, "large"), rapid.IntRange(0, 16).Draw(t, "small"), rapid.IntRange(0, 12).Draw(t, "slow"))
		for range rapid.IntRange(1, 4).Draw(t, "losses") {
			capacity := 0
			engines = decideUntilStable(t, engines)
			for _, e := range engines {
				capacity += spec.MaxLayers(e.Kind)
				if e.Layers.Len() > spec.MaxLayers(e.Kind) {
					t.Fatalf("%s holds %d layers but has memory for %d", e.ID, e.Layers.Len(), spec.MaxLayers(e.Kind))
				}
			}
			if gaps := citronplace.Gaps(spec, engines); capacity >= spec.Layers && len(gaps) > 0 {
				t.Fatalf("gaps %v though the engines have memory for %d layers", gaps, capacity)
			}
			if len(engines) == 0 {
				return
			}
			lost := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
			engines = without(engines, func(e citronplace.Engine) bool { return e.ID == engines[lost].ID })
		}
	})
}

// TestSpareEngineDuplicatesLayersWithLeastCache guards against spares that
// duplicate the layers with the most cache. Every layer is held twice, but four of
// the six engines hold 30 layers each, as after a quick repair, and have less cache
// than the two that hold 20. The spare must duplicate layers of those four.
func TestSpareEngineDuplicatesLayersWithLeastCache(t *testing.T) {
	is := is.New(t)
	setMeanTokens(t, 1000)
	engines := fleet("z", 6, 1, 0)
	spans := []citronmodel.Span{{From: 0, To: 20}, {From: 0, To: 20}, {From: 20, To: 50}, {From: 20, To: 50}, {From: 50, To: 80}, {From: 50, To: 80}}
	spare, next := "", 0
	for i, e := range engines {
		if e.Kind != "large" {
			spare = e.ID
			continue
		}
		engines[i].Layers, engines[i].Target = spans[next], spans[next]
		next++
	}
	order, ok := citronplace.Decide(spec, engines, nil)[spare]
	is.True(ok)
	is.True(order.From >= 20)
}
