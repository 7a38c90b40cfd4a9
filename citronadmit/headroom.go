package citronadmit

import (
	"math"
	"sync"
	"time"
)

const (
	// demandInterval is the length of the intervals in which arriving tokens are summed,
	// and demandWindow the number of them that headroom is derived from: 10 s cover the
	// bursts of a few seconds that it is reserved for.
	demandInterval = 500 * time.Millisecond
	demandWindow   = 20
	// minHeadroom and maxHeadroom bound the headroom for each more urgent level, as a
	// share of capacity. A level that is quiet may still begin a burst, and one that
	// varies a lot must not keep the others out.
	minHeadroom = 0.02
	maxHeadroom = 0.15
	// MaxLevels is the number of priority levels that are told apart.
	MaxLevels = 10
)

// Demand records the tokens that arrive for one service by priority level. The zero value is
// ready for use, and it is safe for concurrent use.
type Demand struct {
	mu sync.Mutex
	// since is the first interval that was recorded in full or in part, -1 before.
	since   int64
	started bool
	arrived [MaxLevels]arrivals
}

// arrivals holds the tokens of the newest intervals, by interval number modulo its length.
// One slot more than demandWindow holds the interval in progress.
type arrivals [demandWindow + 1]struct {
	interval int64
	tokens   float64
}

// Record counts the tokens of a request that arrived now.
func (d *Demand) Record(level, tokens int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := now.UnixNano() / int64(demandInterval)
	if !d.started {
		d.since, d.started = n, true
	}
	slot := &d.arrived[min(max(level, 0), MaxLevels-1)][n%(demandWindow+1)]
	if slot.interval != n {
		slot.interval, slot.tokens = n, 0
	}
	slot.tokens += float64(max(0, tokens))
}

// Headroom returns the share of capacity to be reserved for the levels that are more urgent
// than level. Capacity
// is the number of tokens that this node's requests could have in progress if the engines
// were full; if it is not positive, the least headroom is returned.
func (d *Demand) Headroom(level int, capacity float64, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0.0
	for l := range min(level, MaxLevels) {
		share := minHeadroom
		if capacity > 0 {
			share = min(maxHeadroom, max(minHeadroom, d.deviation(l, now)/capacity))
		}
		sum += share
	}
	return sum
}

// deviation returns the mean absolute deviation of the tokens that arrived in the complete
// intervals of the window. The caller holds the lock.
func (d *Demand) deviation(level int, now time.Time) float64 {
	current := now.UnixNano() / int64(demandInterval)
	first := max(current-demandWindow, d.since)
	n := current - first
	if !d.started || n < 2 {
		return 0
	}
	var tokens [demandWindow]float64
	sum := 0.0
	for i := first; i < current; i++ {
		if slot := d.arrived[level][i%(demandWindow+1)]; slot.interval == i {
			tokens[i-first] = slot.tokens
			sum += slot.tokens
		}
	}
	mean, deviation := sum/float64(n), 0.0
	for _, t := range tokens[:n] {
		deviation += math.Abs(t - mean)
	}
	return deviation / float64(n)
}
