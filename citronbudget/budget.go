// Package citronbudget limits how many retries the nodes send.
//
// When engines fail, every request in flight wants a retry at the same time.
// Without a limit the retries add to the ordinary load when capacity is
// lowest, and the failure spreads. All nodes share one retry budget per
// service: a fraction of the service's requests plus a fixed slack, counted
// in a sliding window.
//
// A failure affects the nodes unevenly: the nodes in the zone of the failed
// engine need many retries at once, the other nodes none. The budget is
// therefore not divided permanently. Nodes tell each other how many retries
// they have used. In each allocation interval the nodes divide a fraction of
// what was left at the last update into equal shares. A node in need thus gets
// more and more of what the other nodes leave, and all nodes together stay
// within the limit however late in an interval they use their shares.
//
// In a large fleet an equal share is only one or two retries, so a node in
// need borrows from other nodes. The lender gives up what it lends, so the
// total does not grow, even if the answer is lost on the way.
package citronbudget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits is the retry budget that all nodes share.
type Limits struct {
	// Ratio is the number of retries allowed per request in a window.
	Ratio float64
	// Slack is the number of retries allowed in a window on top of Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// bucketsPerWindow is the number of buckets in a window. One more bucket is
	// kept, so that the buckets cover any time span as long as a window.
	bucketsPerWindow = 20
	// allocatableShare is the fraction of the remaining budget that all nodes
	// together may use before updates about the used retries arrive. The rest is
	// reserved for updates that are later than usual.
	allocatableShare = 0.8
	// allocationInterval is the minimum time between two allocations, and the
	// time after which a node no longer lends from its allowance. In a small
	// fleet updates about used retries reach all nodes within it.
	allocationInterval = 800 * time.Millisecond
)

// Usage is the number of requests and retries sent for a service in a window.
type Usage struct{ Requests, Retries float64 }

// serviceWindow holds the sliding window and the allowance of one service.
type serviceWindow struct {
	// slot is the number of the current bucket since the Unix epoch.
	slot    int64
	buckets [bucketsPerWindow + 1]Usage
	// others is what the other nodes have sent, as of their last update, which arrived at
	// othersAt.
	others   Usage
	othersAt time.Time
	// allowance is the number of retries that this node may still use in this
	// interval. loans are the retries that other nodes lent it.
	allowance float64
	loans     []Loan
	// sent and denied count the retries that were sent and denied since the start.
	sent, denied int64
}

// Loan is a number of retries that a node may use in place of the lender,
// until the lender's allocation interval ends.
type Loan struct {
	Retries int
	Until   time.Time
}

func (w *serviceWindow) total() Usage {
	var total Usage
	for _, u := range w.buckets {
		total.Requests += u.Requests
		total.Retries += u.Retries
	}
	return total
}

// Budget counts the requests and retries of one node. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	limits  Limits
	windows map[string]*serviceWindow
	nodes   int
	// updateAge is the maximum age of what is known of the other nodes' usage.
	updateAge time.Duration
	// allocated is when the current allowances were computed.
	allocated time.Time
	// draw returns a random number from 0 to 1 (exclusive).
	draw func() float64
}

// New returns the budget of the only node of a fleet. UpdateOthers sets the number of
// nodes.
func New(l Limits) *Budget { return NewWithDraw(l, rand.Float64) }

// NewWithDraw is New with a source of random numbers from 0 to 1 (exclusive), so that a run
// can be repeated. The budget calls draw while it holds its lock.
func NewWithDraw(l Limits, draw func() float64) *Budget {
	return &Budget{limits: l, nodes: 1, windows: map[string]*serviceWindow{}, draw: draw}
}

// windowAt returns the window of a service, advanced to now.
func (b *Budget) windowAt(service string, now time.Time) *serviceWindow {
	slot := now.UnixNano() / int64(b.limits.Window/bucketsPerWindow)
	w := b.windows[service]
	if w == nil {
		w = &serviceWindow{slot: slot}
		b.windows[service] = w
		w.allowance = b.allocate(w)
	}
	if slot-w.slot > bucketsPerWindow {
		w.buckets = [bucketsPerWindow + 1]Usage{}
		w.slot = slot
	}
	for w.slot < slot {
		w.slot++
		w.buckets[w.slot%(bucketsPerWindow+1)] = Usage{}
	}
	return w
}

// allocate returns the number of retries that this node may use in the next
// interval. It rounds a fraction up with a probability equal to that fraction.
// Otherwise many nodes with less than one retry each could use nothing of what
// is left.
func (b *Budget) allocate(w *serviceWindow) float64 {
	own := w.total()
	limit := b.limits.Ratio*(own.Requests+w.others.Requests) + b.limits.Slack
	left := max(0, limit-own.Retries-w.others.Retries)
	whole, fraction := math.Modf(b.shareForInterval() * left / float64(b.nodes))
	if b.draw() < fraction {
		whole++
	}
	return whole
}

// shareForInterval returns the fraction of the remaining budget that is
// allocated in one interval. Several intervals may pass before updates about
// the first one arrive; their allocations together stay within
// allocatableShare.
func (b *Budget) shareForInterval() float64 {
	unreported := max(1, b.updateAge.Seconds()/allocationInterval.Seconds())
	return allocatableShare / (1 + unreported)
}

// UpdateOthers records what the other nodes have sent, the maximum age of this
// information and the number of nodes. It computes new allowances if the
// current interval has ended.
func (b *Budget) UpdateOthers(others map[string]Usage, updateAge time.Duration, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes, b.updateAge = max(1, nodes), updateAge
	for service, u := range others {
		_, known := b.windows[service]
		w := b.windowAt(service, now)
		w.others, w.othersAt = u, now
		if !known {
			w.allowance = b.allocate(w)
		}
	}
	for service, w := range b.windows {
		if _, known := others[service]; !known && now.Sub(w.othersAt) > b.limits.Window {
			b.windowAt(service, now).others = Usage{} // all of it has left the window
		}
	}
	if now.Sub(b.allocated) < allocationInterval {
		return
	}
	b.allocated = now
	for service := range b.windows {
		w := b.windowAt(service, now)
		w.allowance = b.allocate(w)
	}
}

// Used returns what this node has sent in the last window, by service.
func (b *Budget) Used(now time.Time) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Usage{}
	for service := range b.windows {
		out[service] = b.windowAt(service, now).total()
	}
	return out
}

// Status is what a node knows of the budget of one service.
type Status struct {
	// Own is what this node has sent in the last window, Others what the other nodes
	// have sent as far as this node knows.
	Own, Others Usage
	// Limit is the number of retries that all nodes together may send in the window,
	// Allowance how many more of them this node may send now.
	Limit, Allowance float64
	// Sent and Denied count the retries that were sent and denied since the start.
	Sent, Denied int64
}

// Status returns the state of the budget by service, and the number of nodes among which
// it is divided.
func (b *Budget) Status(now time.Time) (services map[string]Status, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	services = make(map[string]Status, len(b.windows))
	for service := range b.windows {
		w := b.windowAt(service, now)
		own := w.total()
		services[service] = Status{Own: own, Others: w.others, Limit: b.limits.Ratio*(own.Requests+w.others.Requests) + b.limits.Slack, Allowance: w.allowance, Sent: w.sent, Denied: w.denied}
	}
	return services, b.nodes
}

// CountRequest counts a caller's request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	w.buckets[w.slot%(bucketsPerWindow+1)].Requests++
}

// TakeRetry counts a retry if the budget allows it, and reports whether it does.
func (b *Budget) TakeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	if w.allowance >= 1 {
		w.allowance--
	} else if !w.takeBorrowed(now) {
		w.denied++
		return false
	}
	w.sent++
	w.buckets[w.slot%(bucketsPerWindow+1)].Retries++
	return true
}

// takeBorrowed takes one retry from an unexpired loan, and reports whether
// there was one. If not, it drops all loans.
func (w *serviceWindow) takeBorrowed(now time.Time) bool {
	for i := range w.loans {
		if l := &w.loans[i]; l.Retries > 0 && now.Before(l.Until) {
			l.Retries--
			return true
		}
	}
	w.loans = nil
	return false
}

// Lend gives up to want retries of this node's allowance to another node. This
// node gives them up even if the borrower never receives the answer.
func (b *Budget) Lend(service string, want int, now time.Time) Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := b.allocated.Add(allocationInterval)
	if !now.Before(until) {
		return Loan{}
	}
	w := b.windowAt(service, now)
	n := max(0, min(want, int(w.allowance)))
	w.allowance -= float64(n)
	return Loan{Retries: n, Until: until}
}

// AddLoan adds a loan from another node and reports whether it did. It ignores a loan of
// no retries, and one that ends more than allocationInterval after now: no lender's
// interval lasts that long.
func (b *Budget) AddLoan(service string, l Loan, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Retries <= 0 || l.Until.Sub(now) > allocationInterval {
		return false
	}
	w := b.windowAt(service, now)
	w.loans = append(w.loans, l)
	return true
}
