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
// theirs. In a large fleet an equal part is a repeat or two, so a node in need
// borrows from others what they were dealt: what is lent is theirs no more,
// and all together have what they had, also if the answer is lost on the way.
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
	// sureShare is the part of what is left of the budget that all nodes
	// together may use before anybody knows of it. The rest is for news that
	// is later than usual.
	sureShare = 0.8
	// interval is for how long a part is dealt; in a small fleet news of what
	// was used reaches all nodes in it.
	interval = 800 * time.Millisecond
)

// Usage is what was sent for a service in a window.
type Usage struct{ Requests, Repeats float64 }

type ring struct {
	slot   int64
	slices [slices + 1]Usage
	// others is what the other nodes have sent, by their last news.
	others Usage
	// allowance is what this node may still use in this interval, loans what
	// others lent it.
	allowance float64
	loans     []Loan
}

// Loan is repeats that a node may use in place of the one that lent them, until
// that one's interval ends.
type Loan struct {
	Repeats int
	Until   time.Time
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
	// newsAge is how old the news of what others have used may be.
	newsAge time.Duration
	dealt   time.Time
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
	whole, fraction := math.Modf(b.dealShare() * left / float64(b.nodes))
	if rand.Float64() < fraction {
		whole++
	}
	return whole
}

// dealShare is the part of what is left that is dealt in an interval: what is
// dealt until news of the first of it has come stays within sureShare.
func (b *Budget) dealShare() float64 {
	unknown := max(1, b.newsAge.Seconds()/interval.Seconds())
	return sureShare / (1 + unknown)
}

// Learn takes what the other nodes have used, how old that news may be, and how
// many nodes there are.
func (b *Budget) Learn(others map[string]Usage, newsAge time.Duration, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, u := range others {
		b.at(service, now).others = u
	}
	b.nodes, b.newsAge = max(1, nodes), newsAge
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
	if r.allowance >= 1 {
		r.allowance--
	} else if !r.useLoan(now) {
		return false
	}
	r.slices[r.slot%(slices+1)].Repeats++
	return true
}

// useLoan takes a repeat from what others lent, and reports whether it could.
func (r *ring) useLoan(now time.Time) bool {
	for i := range r.loans {
		if l := &r.loans[i]; l.Repeats > 0 && now.Before(l.Until) {
			l.Repeats--
			return true
		}
	}
	r.loans = nil
	return false
}

// Lend gives up to want repeats of this node's part to another node. They are
// given up even if the other does not hear of it.
func (b *Budget) Lend(service string, want int, now time.Time) Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := b.dealt.Add(interval)
	if !now.Before(until) {
		return Loan{}
	}
	r := b.at(service, now)
	n := max(0, min(want, int(r.allowance)))
	r.allowance -= float64(n)
	return Loan{Repeats: n, Until: until}
}

// Borrowed takes a loan.
func (b *Budget) Borrowed(service string, l Loan, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Repeats <= 0 || l.Until.Sub(now) > interval {
		return
	}
	r := b.at(service, now)
	r.loans = append(r.loans, l)
}
