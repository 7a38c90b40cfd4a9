// Package citronbudget limits how often nodes send requests again.
//
// When engines fail, every request in flight wants a second try at once.
// Without a limit the second tries arrive on top of the ordinary load just
// when capacity is lowest, and the failure spreads. The nodes share one
// budget for each service: a share of its requests plus a fixed slack in any
// window.
//
// A failure hits the nodes unevenly: those of the zone whose engine died
// need many repeats at once, the others none. So the budget is not divided
// for good. Nodes tell each other what they have used; in each interval a
// node may use an equal part of what was left at the last news, so that a
// node in need gets more and more of what the others leave, and all of them
// together cannot pass the limit however late within an interval they use
// theirs.
package citronbudget

import (
	"math"
	"math/rand/v2"
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
	// slices a window is divided into; one more is kept, so that any span
	// of a window's length is covered.
	slices = 20
	// dealShare is the part of what is left of the budget that is dealt in an
	// interval. What all nodes use just before an interval ends is not yet
	// known when the next is dealt, so two intervals' parts can be used before
	// anybody knows of the first: together they have to stay under what is
	// left. A tenth less than half is for the news that is late. A fixed half
	// of the whole limit, less what is used, is no safer and dealt nothing
	// from there on: of 367 requests that one engine had refused, 344 were
	// given up after it while three fifths of the budget were left.
	dealShare = 0.4
	// interval is the time in which news reaches all nodes.
	interval = 800 * time.Millisecond
)

// Usage is what was sent for a service in a window.
type Usage struct{ Requests, Repeats float64 }

type ring struct {
	slot   int64
	slices [slices + 1]Usage
	// others is what the other nodes have sent, by their last news.
	others Usage
	// allowance is what this node may still use in this interval.
	allowance float64
}

func (r *ring) sum() Usage {
	var sum Usage
	for _, u := range r.slices {
		sum.Requests += u.Requests
		sum.Repeats += u.Repeats
	}
	return sum
}

// Budget counts the requests and repeats of one node.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	rings  map[string]*ring
	nodes  int
	dealt  time.Time
}

// New returns a budget for one node of one.
func New(l Limits) *Budget { return &Budget{limits: l, nodes: 1, rings: map[string]*ring{}} }

func (b *Budget) at(service string, now time.Time) *ring {
	slot := now.UnixNano() / int64(b.limits.Window/slices)
	r := b.rings[service]
	if r == nil {
		r = &ring{slot: slot}
		b.rings[service] = r
		r.allowance = b.part(r)
	}
	if slot-r.slot > slices {
		r.slices = [slices + 1]Usage{}
		r.slot = slot
	}
	for r.slot < slot {
		r.slot++
		r.slices[r.slot%(slices+1)] = Usage{}
	}
	return r
}

// part is what this node may use of what is left. A part of a repeat is dealt
// as a whole one as often as it says: many nodes with a fraction each could
// otherwise use none of what is left.
func (b *Budget) part(r *ring) float64 {
	own := r.sum()
	limit := b.limits.Ratio*(own.Requests+r.others.Requests) + b.limits.Slack
	left := max(0, limit-own.Repeats-r.others.Repeats)
	whole, fraction := math.Modf(dealShare * left / float64(b.nodes))
	if rand.Float64() < fraction {
		whole++
	}
	return whole
}

// Learn takes what the other nodes have used, and how many nodes there are.
func (b *Budget) Learn(others map[string]Usage, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, u := range others {
		b.at(service, now).others = u
	}
	b.nodes = max(1, nodes)
	if now.Sub(b.dealt) < interval {
		return
	}
	b.dealt = now
	for service := range b.rings {
		r := b.at(service, now)
		r.allowance = b.part(r)
	}
}

// Used returns what this node has sent in the last window.
func (b *Budget) Used(now time.Time) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Usage{}
	for service := range b.rings {
		out[service] = b.at(service, now).sum()
	}
	return out
}

// Request counts a caller's request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service, now)
	r.slices[r.slot%(slices+1)].Requests++
}

// Take counts a repeat if the budget allows it.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service, now)
	if r.allowance < 1 {
		return false
	}
	r.allowance--
	r.slices[r.slot%(slices+1)].Repeats++
	return true
}
