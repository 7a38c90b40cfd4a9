package citronforecast

import (
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// maxSamples is the number of outcomes kept for each ratio, maxRatios the number of
	// ratios. Together they take about 600 KB.
	maxSamples = 32
	maxRatios  = 1024
	// minRatio and maxRatio bound each learned ratio, so that a few absurd outcomes can
	// neither rule out a zone for ever nor hide its load.
	minRatio, maxRatio = 0.1, 10
	// priorWeight is the weight of the assumption that holds without outcomes. A new
	// outcome has the weight 1.
	priorWeight = 1
)

// sample is one ratio of an actual to an estimated value.
type sample struct {
	ratio float64
	at    time.Time
}

// ratio learns the median of the newest samples. The weight of a sample halves with each
// half-life, so that the ratio returns to the prior when there are no new samples.
type ratio struct {
	halfLife time.Duration
	samples  []sample
	next     int // index of the oldest sample once all are in use
	newestAt time.Time
}

// newest returns the time of the newest sample.
func (r *ratio) newest() time.Time {
	if r == nil {
		return time.Time{}
	}
	return r.newestAt
}

func (r *ratio) add(x float64, at time.Time) {
	s := sample{clamp(x, minRatio, maxRatio), at}
	if at.After(r.newestAt) {
		r.newestAt = at
	}
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % maxSamples
}

// median returns the weighted median of the samples and the prior.
func (r *ratio) median(prior float64, now time.Time) float64 {
	if r == nil {
		return prior
	}
	type weighted struct{ ratio, weight float64 }
	var buf [maxSamples + 1]weighted
	all, total := append(buf[:0], weighted{prior, priorWeight}), float64(priorWeight)
	for _, s := range r.samples {
		age := max(0, now.Sub(s.at))
		w := math.Exp2(-age.Seconds() / r.halfLife.Seconds())
		all, total = append(all, weighted{s.ratio, w}), total+w
	}
	slices.SortFunc(all, func(a, b weighted) int {
		switch {
		case a.ratio < b.ratio:
			return -1
		case a.ratio > b.ratio:
			return 1
		}
		return 0
	})
	below := 0.0
	for _, w := range all {
		if below += w.weight; 2*below >= total {
			return w.ratio
		}
	}
	return prior
}

// ratioKind is what a ratio is learned of.
type ratioKind int

const (
	// firstEvent is the time to the first event.
	firstEvent ratioKind = iota
	// hintedOutput is the number of output tokens of requests with a usable hint,
	// unhintedOutput that of the others.
	hintedOutput
	unhintedOutput
)

// ratioKey identifies a ratio. An empty route stands for all routes of a zone.
type ratioKey struct {
	kind        ratioKind
	route, zone string
}

// ratios holds the most recently updated ratios.
type ratios struct {
	byKey map[ratioKey]*list.Element
	// newest holds *entry values, the most recently updated first.
	newest list.List
}

type entry struct {
	key   ratioKey
	ratio ratio
}

// get returns the ratio, or nil if nothing is known.
func (s *ratios) get(k ratioKey) *ratio {
	if el, ok := s.byKey[k]; ok {
		return &el.Value.(*entry).ratio
	}
	return nil
}

// add adds a sample to the ratio. It evicts the least recently updated one if there are too
// many.
func (s *ratios) add(k ratioKey, halfLife time.Duration, x float64, now time.Time) {
	el, ok := s.byKey[k]
	if !ok {
		if s.byKey == nil {
			s.byKey = map[ratioKey]*list.Element{}
		}
		if s.newest.Len() >= maxRatios {
			oldest := s.newest.Back()
			delete(s.byKey, oldest.Value.(*entry).key)
			s.newest.Remove(oldest)
		}
		el = s.newest.PushFront(&entry{key: k, ratio: ratio{halfLife: halfLife}})
		s.byKey[k] = el
	}
	s.newest.MoveToFront(el)
	el.Value.(*entry).ratio.add(x, now)
}
