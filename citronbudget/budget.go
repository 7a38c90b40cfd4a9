// Package citronbudget limits how many retries the nodes send.
//
// When engines fail, every request in flight wants a retry at the same time.
// Without a limit the retries add to the ordinary load when capacity is
// lowest, and the failure spreads. All nodes share one retry budget per
// service: a fraction of the service's requests plus a fixed slack, counted
// in a sliding window.
//
// Each node holds its own part of the budget in escrow: the fraction of the
// requests that it received lately, and one of equal parts of the slack. It may use its
// part without asking anyone. The parts add up to the whole budget, so the nodes
// stay within it whether or not they hear of each other.
//
//	recent requests x ratio ----+
//	slack / number of nodes ----+--> part of this node --> retries
//	                                  |            ^
//	                        loans to  v            | loans from
//	                               other nodes that have retries left
//
// A failure affects the nodes unevenly: the nodes in the zone of the failed
// engine need many retries at once, the other nodes none. A node in need
// therefore borrows. The lender gives up what it lends, so the total does not
// grow, even if the answer is lost on the way.
//
// What a process has sent stays in the window when the process ends, and what it
// may still send does not return to the others when they no longer hear it:
//
//   - A process that has just started has no part of the slack until all that an
//     earlier process of its node can have sent has left the window.
//   - The number of parts does not fall because nodes are silent (Population).
//
// Callers move from nodes that fail to others. Both nodes then count a part of
// the same demand, so a node also stops at the limit for what it knows all nodes to
// have sent.
package citronbudget

import (
	"math"
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
	// bucketsPerWindow is the number of buckets in a window. The window moves in steps of one
	// bucket, so requests are counted over that many buckets, and retries over one more.
	bucketsPerWindow = 80
	// recentBuckets is the number of buckets in which a request allows retries. A node that
	// fails may just have used what its requests of that time allow, and its callers, who
	// move to other nodes, bring the same again there.
	recentBuckets = bucketsPerWindow / 4
	// loanBuckets is how long a loan may be used, in buckets.
	loanBuckets = 4
)

// reservedSlack is the fraction of the slack that several nodes do not divide. A node that no
// longer hears others notices it after a while, and knows less than it counts on until then.
const reservedSlack = 0.05

// bucketTime returns the length of a bucket.
func (l Limits) bucketTime() time.Duration { return l.Window / bucketsPerWindow }

// loanTime returns how long a loan may be used.
func (l Limits) loanTime() time.Duration { return loanBuckets * l.bucketTime() }

// Usage is the number of requests and retries sent for a service in a window.
type Usage struct{ Requests, Retries float64 }

// bucket counts what happened in one bucket of a window.
type bucket struct {
	Usage
	// ofRequests and ofSlack are how many retries of this node's part of the budget were used
	// or lent: of the fraction of the requests, and of the slack.
	ofRequests, ofSlack float64
}

// serviceWindow holds the sliding window of one service.
type serviceWindow struct {
	// slot is the number of the current bucket since the process started.
	slot int64
	// buckets is a ring of the buckets up to loanBuckets after the current one: loans are
	// charged at the time at which they end.
	buckets [bucketsPerWindow + 1 + loanBuckets]bucket
	// others is what the other nodes have sent, as far as this node knows.
	others Usage
	// loans are the retries that other nodes lent this one.
	loans []Loan
	// sent and denied count the retries that were sent and denied since the start.
	sent, denied int64
}

// Loan is a number of retries that a node may use in place of the lender.
type Loan struct {
	Retries int
	Until   time.Time
}

// at returns the bucket that is back buckets before the current one.
func (w *serviceWindow) at(back int64) *bucket {
	n := int64(len(w.buckets))
	return &w.buckets[(w.slot-back+n)%n]
}

// sum returns the sum of a value over the newest n buckets and those to come.
func (w *serviceWindow) sum(n int64, value func(*bucket) float64) float64 {
	total := 0.0
	for back := int64(-loanBuckets); back < n; back++ {
		total += value(w.at(back))
	}
	return total
}

// own returns what this node has sent in the window.
func (w *serviceWindow) own() Usage {
	return Usage{
		Requests: w.requests(bucketsPerWindow),
		Retries:  w.sum(bucketsPerWindow+1, func(k *bucket) float64 { return k.Retries }),
	}
}

// requests returns the requests of the newest n buckets.
func (w *serviceWindow) requests(n int64) float64 {
	return w.sum(n, func(k *bucket) float64 { return k.Requests })
}

// Share is the share of the slack that a node may use.
type Share struct {
	// Parts is the number of equal parts into which the slack is divided, or zero if this node
	// has none. Index tells which part it has, as some are larger by one retry than others.
	Parts, Index int
	// SomeSilent reports that this node does not hear some of the nodes that may have a part,
	// so that it does not know what all nodes have sent.
	SomeSilent bool
}

// of returns the part of a slack, in whole retries.
func (s Share) of(slack float64) float64 {
	switch {
	case s.Parts <= 0:
		return 0
	case s.Parts > 1:
		slack *= 1 - reservedSlack
	}
	i := float64(min(max(s.Index, 0), s.Parts-1))
	return math.Floor((i+1)*slack/float64(s.Parts)) - math.Floor(i*slack/float64(s.Parts))
}

// Budget counts the requests and retries of one node. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	limits  Limits
	started time.Time
	windows map[string]*serviceWindow
	share   Share
}

// New returns the budget of a process that started at the given time. It has no share of the
// slack before UpdateFleet.
func New(l Limits, started time.Time) *Budget {
	return &Budget{limits: l, started: started, windows: map[string]*serviceWindow{}}
}

// Window returns the length of the sliding window.
func (b *Budget) Window() time.Duration { return b.limits.Window }

// windowAt returns the window of a service, advanced to now. Time is counted from the start,
// by the monotonic clock: a step of the wall clock must not empty the window.
func (b *Budget) windowAt(service string, now time.Time) *serviceWindow {
	slot := int64(max(0, now.Sub(b.started)) / b.limits.bucketTime())
	w := b.windows[service]
	if w == nil {
		w = &serviceWindow{slot: slot}
		b.windows[service] = w
	}
	w.slot = max(w.slot, slot-int64(len(w.buckets)))
	for w.slot < slot {
		w.slot++
		*w.at(-loanBuckets) = bucket{}
	}
	return w
}

// left returns how much this node has left of its part of the budget of a service: of the
// fraction of its recent requests, and of its share of the slack.
func (b *Budget) left(w *serviceWindow, now time.Time) (ofRequests, ofSlack float64) {
	requests := w.requests(recentBuckets)
	if b.share.SomeSilent {
		// Each node may use its part when its requests happen to be many. Together the
		// nodes would then use more than their requests of any one window allow.
		requests -= math.Sqrt(requests)
	}
	ofRequests = b.limits.Ratio*requests - w.sum(recentBuckets+1, func(k *bucket) float64 { return k.ofRequests })
	if now.Sub(b.started) > b.limits.Window+b.limits.loanTime() {
		ofSlack = b.share.of(b.limits.Slack) - w.sum(bucketsPerWindow+1, func(k *bucket) float64 { return k.ofSlack })
	}
	return max(0, math.Floor(ofRequests)), max(0, ofSlack)
}

// charge takes up to n retries of this node's part of the budget and returns how many it took.
// They count as used in the bucket that is back buckets before the current one, or after it if
// back is negative.
func (b *Budget) charge(w *serviceWindow, n, back int, now time.Time) int {
	ofRequests, ofSlack := b.left(w, now)
	ofRequests = min(ofRequests, float64(n))
	ofSlack = min(ofSlack, float64(n)-ofRequests)
	at := w.at(int64(back))
	at.ofRequests += ofRequests
	at.ofSlack += ofSlack
	return int(ofRequests + ofSlack)
}

// limit returns how many retries all nodes may send in the window, as far as this node knows
// the requests.
func (b *Budget) limit(w *serviceWindow) float64 {
	return b.limits.Ratio*(w.own().Requests+w.others.Requests) + b.limits.Slack
}

// usedUp reports whether all nodes together have used the budget, as far as this node knows.
func (b *Budget) usedUp(w *serviceWindow) bool {
	return w.own().Retries+w.others.Retries+1 > b.limit(w)
}

// UpdateFleet records what the other nodes have sent in the last window, by service, and
// this node's share of the slack.
func (b *Budget) UpdateFleet(others map[string]Usage, share Share, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	for service := range others {
		b.windowAt(service, now)
	}
	for service, w := range b.windows {
		w.others = others[service]
	}
}

// Used returns what this node has sent in the last window, by service.
func (b *Budget) Used(now time.Time) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Usage{}
	for service := range b.windows {
		out[service] = b.windowAt(service, now).own()
	}
	return out
}

// Status is what a node knows of the budget of one service.
type Status struct {
	// Own is what this node has sent in the last window, Others what the other nodes
	// have sent as far as this node knows.
	Own, Others Usage
	// Limit is the number of retries that all nodes together may send in the window,
	// Allowance how many this node may still send of its part and of loans.
	Limit, Allowance float64
	// Sent and Denied count the retries that were sent and denied since the start.
	Sent, Denied int64
}

// Status returns the state of the budget by service, and the number of parts into which the
// slack is divided, or zero if this node has no share of it.
func (b *Budget) Status(now time.Time) (services map[string]Status, parts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	services = make(map[string]Status, len(b.windows))
	for service := range b.windows {
		w := b.windowAt(service, now)
		ofRequests, ofSlack := b.left(w, now)
		allowance := ofRequests + ofSlack
		for _, l := range w.loans {
			if now.Before(l.Until) {
				allowance += float64(l.Retries)
			}
		}
		services[service] = Status{Own: w.own(), Others: w.others, Limit: b.limit(w), Allowance: allowance, Sent: w.sent, Denied: w.denied}
	}
	return services, b.share.Parts
}

// CountRequest counts a caller's request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowAt(service, now).at(0).Requests++
}

// TakeRetry counts a retry if the budget allows it, and reports whether it does.
func (b *Budget) TakeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	if b.usedUp(w) || !w.takeBorrowed(now) && b.charge(w, 1, 0, now) == 0 { // loans end, so they are used first
		w.denied++
		return false
	}
	w.at(0).Retries++
	w.sent++
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

// MayBorrow reports whether a loan could make a retry possible: as far as this node knows,
// all nodes together have not used the budget.
func (b *Budget) MayBorrow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.usedUp(b.windowAt(service, now))
}

// Lend gives up to want retries of this node's part to another node. This node gives them up
// even if the borrower never receives the answer.
func (b *Budget) Lend(service string, want int, now time.Time) Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	if want <= 0 || b.usedUp(w) {
		return Loan{}
	}
	n := b.charge(w, want, -loanBuckets, now)
	if n == 0 {
		return Loan{}
	}
	return Loan{Retries: n, Until: now.Add(b.limits.loanTime())}
}

// AddLoan adds a loan from another node and reports whether it did. It ignores a loan of
// no retries, and one that lasts longer than any node lends.
func (b *Budget) AddLoan(service string, l Loan, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Retries <= 0 || l.Until.Sub(now) > b.limits.loanTime() {
		return false
	}
	w := b.windowAt(service, now)
	w.loans = append(w.loans, l)
	return true
}
