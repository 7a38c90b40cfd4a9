package citronplace_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"citrondeck.dev/citrondeck/citronplace"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// minHolders returns the number of engines that hold the layer with the fewest
// holders.
func minHolders(engines []citronplace.Engine) int {
	held := make([]int, spec.Layers)
	for _, e := range engines {
		for l := e.Layers.From; l < e.Layers.To; l++ {
			held[l]++
		}
	}
	n := held[0]
	for _, h := range held {
		n = min(n, h)
	}
	return n
}

// TestLargeZoneSurvivesAnySingleLoss simulates a zone of 25 to 35 engines that
// loses one of them at peak load. The zone must serve its callers also before the
// gap is filled, so every layer must be held twice, and the loss of any single
// engine must leave no layer without a holder. Afterwards every layer must be held
// twice again, with at most 16 engines moved. A zone of ten or fifteen engines does
// not have the memory for a second replica in addition to the cache of its requests.
func TestLargeZoneSurvivesAnySingleLoss(t *testing.T) {
	for _, size := range [][3]int{{4, 10, 11}, {3, 14, 16}, {2, 24, 9}} {
		is := is.New(t)
		engines := decideUntilStable(t, fleet("z", size[0], size[1], size[2]))
		is.Equal(minHolders(engines), 2)
		for _, lost := range engines {
			left := without(engines, func(e citronplace.Engine) bool { return e.ID == lost.ID })
			is.True(minHolders(left) >= 1)
			after := decideUntilStable(t, left)
			is.Equal(minHolders(after), 2) // the second replica is complete again
			is.True(countMoved(left, after) <= 16)
		}
	}
	is.New(t).Equal(minHolders(decideUntilStable(t, fleet("z", 2, 4, 4))), 1)
	is.New(t).Equal(minHolders(decideUntilStable(t, fleet("z", 1, 10, 4))), 1)
}

// TestLargePlacementHoldsAllLayers checks that, whichever engines a large zone
// loses, the placement stabilizes, stays within the memory of every engine,
// and holds every layer as long as the remaining engines have the memory for
// all layers.
func TestLargePlacementHoldsAllLayers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := fleet("z", rapid.IntRange(0, 5).Draw(t, "large"), rapid.IntRange(6, 24).Draw(t, "small"), rapid.IntRange(4, 16).Draw(t, "slow"))
		slices.SortFunc(engines, func(a, b citronplace.Engine) int { return cmp.Compare(a.ID, b.ID) })
		for range rapid.IntRange(1, 6).Draw(t, "losses") {
			engines = decideUntilStable(t, engines)
			capacity := 0
			for _, e := range engines {
				capacity += spec.MaxLayers(e.Kind)
				if e.Layers.Len() > spec.MaxLayers(e.Kind) {
					t.Fatalf("%s holds %d layers but has memory for %d", e.ID, e.Layers.Len(), spec.MaxLayers(e.Kind))
				}
			}
			if capacity >= spec.Layers && minHolders(engines) < 1 {
				t.Fatalf("some layer has no holder though the engines have memory for %d layers: %v", capacity, engines)
			}
			lost := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
			engines = without(engines, func(e citronplace.Engine) bool { return e.ID == engines[lost].ID })
		}
	})
}

// TestNoRequestIsCutWhileOtherReplicasServe simulates a zone with three
// replicas that loses eight engines at once. The streams that ran through these
// engines soon move to engines of the other replicas. An order that does not wait
// for running requests would break them a second time, to fill a gap in one
// replica whose layers the other replicas hold. So no order may cut requests
// while the remaining engines together hold all layers.
func TestNoRequestIsCutWhileOtherReplicasServe(t *testing.T) {
	is := is.New(t)
	engines := decideUntilStable(t, fleet("z", 3, 21, 20))
	orders := 0
	for first := range engines {
		lost := map[string]bool{}
		for i := range 8 {
			lost[engines[(first+i*5)%len(engines)].ID] = true
		}
		left := without(engines, func(e citronplace.Engine) bool { return lost[e.ID] })
		if minHolders(left) == 0 {
			continue
		}
		plan := citronplace.Decide(spec, left, nil)
		orders += len(plan)
		for id, o := range plan {
			if o.Cut {
				t.Fatalf("%s is ordered to hold %v without waiting for its requests, after the loss of %v", id, o.Span, lost)
			}
		}
	}
	is.True(orders > 0)
}

// evenCacheTokens returns the cache, in tokens, that each engine of a zone
// would have if the weights of the given number of replicas could be divided
// evenly over the memory of its engines, without regard to whole layers.
func evenCacheTokens(engines []citronplace.Engine, replicas float64) float64 {
	memory := 0.0
	for _, e := range engines {
		memory += spec.Kinds[e.Kind].MemoryMB
	}
	weights := replicas * float64(spec.Layers) * spec.LayerMB
	return (memory - weights) * 1e6 / (replicas * spec.TokenBytes)
}

// TestDamagedReplicaIsNotRepairedWithTooLittleCache simulates a zone with three
// replicas that loses a random sixth of its engines at peak load, and almost half
// of those that hold the layers from a random one on. A replica may then have few
// engines left. If its layers were divided over these, they would have cache for
// few of the requests. They would refuse the rest, and would load for seconds
// although the other replicas serve the zone. So no engine may be ordered to take
// on layers if it would keep less than half of the cache that an engine of the zone
// should have.
func TestDamagedReplicaIsNotRepairedWithTooLittleCache(t *testing.T) {
	setMeanTokens(t, 980)
	is := is.New(t)
	engines := decideUntilStable(t, fleet("z", 3, 21, 20))
	usefulTokens := float64(spec.Slots * spec.MeanTokens)
	orders := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		lost := map[string]bool{}
		from := rng.IntN(spec.Layers)
		for _, e := range engines {
			if e.Layers.From >= from && rng.IntN(3) == 0 || rng.IntN(6) == 0 {
				lost[e.ID] = true
			}
		}
		left := without(engines, func(e citronplace.Engine) bool { return lost[e.ID] })
		if minHolders(left) == 0 {
			continue
		}
		plan := citronplace.Decide(spec, left, nil)
		orders += len(plan)
		evenTokens := min(usefulTokens, evenCacheTokens(left, 3))
		for _, e := range left {
			o, ok := plan[e.ID]
			if cache := spec.CacheTokens(e.Kind, o.Len()); ok && o.Len() > e.Layers.Len() && cache < evenTokens/2 {
				t.Fatalf("%s is ordered to hold %v, which leaves cache for %.0f tokens, after the loss of %v", e.ID, o.Span, cache, lost)
			}
		}
	}
	is.True(orders > 0)
}
