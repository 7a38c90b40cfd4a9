// Package citronbudget limits how often a node sends requests again.
//
// When engines fail, every request in flight wants a second try at once.
// Without a limit the second tries arrive on top of the ordinary load just
// when capacity is lowest, and the failure spreads. The nodes share one
// budget for each service: a share of its requests plus a fixed slack in any
// window. Each node keeps to its part without talking to the others.
package citronbudget

import (
	"sync"
	"time"
)

// Limits is the budget that all nodes share.
type Limits struct {
	// Ratio is repeats allowed for each request in a window.
	Ratio float64
	// Slack is repeats allowed in a window beside those.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// slices a window is divided into; a slice more is kept, so that any
	// span of a window's length is covered.
	slices = 20
	// margin is the part of the budget that a node uses: the rest covers
	// nodes that take more than their share of the traffic.
	margin = 0.8
)

type counts struct{ requests, repeats float64 }

type ring struct {
	slot   int64
	slices [slices + 1]counts
}

// Budget counts the requests and repeats of one node.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	nodes  int
	rings  map[string]*ring
}

// New returns a budget for one node of one.
func New(l Limits) *Budget { return &Budget{limits: l, nodes: 1, rings: map[string]*ring{}} }

// Share sets how many nodes divide the slack.
func (b *Budget) Share(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, nodes)
}

func (b *Budget) at(service string, now time.Time) *ring {
	slot := now.UnixNano() / int64(b.limits.Window/slices)
	r := b.rings[service]
	if r == nil {
		r = &ring{slot: slot}
		b.rings[service] = r
	}
	for r.slot < slot {
		r.slot++
		r.slices[r.slot%(slices+1)] = counts{}
		if slot-r.slot > slices {
			r.slot = slot - slices - 1
		}
	}
	return r
}

// Request counts a caller's request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service, now)
	r.slices[r.slot%(slices+1)].requests++
}

// Take counts a repeat if the budget allows it.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service, now)
	var sum counts
	for _, c := range r.slices {
		sum.requests += c.requests
		sum.repeats += c.repeats
	}
	if sum.repeats+1 > margin*(b.limits.Ratio*sum.requests+b.limits.Slack/float64(b.nodes)) {
		return false
	}
	r.slices[r.slot%(slices+1)].repeats++
	return true
}
