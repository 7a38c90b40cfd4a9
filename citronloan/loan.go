// Package citronloan lets a node that needs more retries than its share of the
// retry budget (citronbudget) borrow them from other nodes.
//
// When the engines of a zone fail at the peak, each of the zone's nodes has
// more requests to retry than its share allows, while most nodes of the fleet
// need none of theirs. If those requests were refused, their callers would have
// to send them again although an engine is free.
package citronloan

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronpeer"
)

const (
	// lendersPerRound is the number of loans that a round requests concurrently, each
	// from a randomly chosen node. Most nodes have a few retries to lend, and some have
	// none.
	lendersPerRound = 3
	// maxRetriesPerLender is the maximum number of retries requested in one loan.
	maxRetriesPerLender = 4
	// borrowTimeout limits the wait for loans, because a request is waiting
	// for them. Healthy nodes answer within a few milliseconds.
	borrowTimeout = 30 * time.Millisecond
	// emptyRoundPause is the pause after a round in which no node lent
	// anything: the budget is used up, or this node is cut off.
	emptyRoundPause = 100 * time.Millisecond
)

// Borrower asks other nodes for loans, in one round at a time per service. It
// is safe for concurrent use.
type Borrower struct {
	budget *citronbudget.Budget
	peers  *citronpeer.Client
	clock  citronclock.Clock
	// members returns the nodes that may be asked.
	members func() []citronpeer.Member

	mu     sync.Mutex
	rounds map[string]*round
	// waiting counts the calls of Borrow in progress, by service.
	waiting map[string]int
	// emptyRoundAt is when the last round for a service ended without a loan.
	emptyRoundAt map[string]time.Time
}

// round is one round of requests for loans. It sets borrowed before it closes
// done.
type round struct {
	done     chan struct{}
	borrowed int
}

// New returns a borrower that adds loans to a budget.
func New(budget *citronbudget.Budget, peers *citronpeer.Client, clock citronclock.Clock, members func() []citronpeer.Member) *Borrower {
	return &Borrower{budget: budget, peers: peers, clock: clock, members: members, rounds: map[string]*round{}, waiting: map[string]int{}, emptyRoundAt: map[string]time.Time{}}
}

// Borrow asks other nodes to lend retries for a service, and reports whether
// any node did. It takes at most borrowTimeout. Concurrent calls for a service
// share a round.
func (b *Borrower) Borrow(service string) bool {
	r, first := b.joinRound(service)
	if r == nil {
		return false
	}
	defer b.leave(service)
	if first {
		r.borrowed = b.runRound(service)
		b.endRound(service, r)
	}
	<-r.done
	return r.borrowed > 0
}

// joinRound returns the current round for a service, or starts one. It returns
// nil if the last round ended without a loan less than emptyRoundPause ago.
func (b *Borrower) joinRound(service string) (r *round, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.rounds[service]; r != nil {
		b.waiting[service]++
		return r, false
	}
	if b.clock.Now().Sub(b.emptyRoundAt[service]) < emptyRoundPause {
		return nil, false
	}
	r = &round{done: make(chan struct{})}
	b.rounds[service] = r
	b.waiting[service]++
	return r, true
}

// leave ends a call of Borrow.
func (b *Borrower) leave(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[service]--
}

// RetriesPerLender returns how many retries to request in each loan if this number of
// requests wait for one retry each. A retry that is lent and not used is lost to all nodes
// until it has left the lender's window.
func RetriesPerLender(waiting, lenders int) int {
	if lenders < 1 {
		return 0
	}
	return min(maxRetriesPerLender, max(1, (waiting+lenders-1)/lenders))
}

func (b *Borrower) endRound(service string, r *round) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rounds, service)
	if r.borrowed == 0 {
		b.emptyRoundAt[service] = b.clock.Now()
	}
	close(r.done)
}

// runRound asks randomly chosen nodes for loans, and returns the number of
// retries they lent. It may ask the same node more than once.
func (b *Borrower) runRound(service string) int {
	members := b.members()
	loans := make([]int, min(lendersPerRound, len(members)))
	b.mu.Lock()
	want := RetriesPerLender(b.waiting[service], len(loans))
	b.mu.Unlock()
	var wait sync.WaitGroup
	for i := range loans {
		addr := members[rand.IntN(len(members))].Peer
		wait.Go(func() { loans[i] = b.borrowFrom(addr, service, want) })
	}
	wait.Wait()
	borrowed := 0
	for _, n := range loans {
		borrowed += n
	}
	return borrowed
}

// borrowFrom asks the node at addr for a loan and returns the number of retries that it lent.
func (b *Borrower) borrowFrom(addr, service string, want int) int {
	l, err := b.peers.Borrow(context.Background(), addr, service, want, borrowTimeout)
	if err != nil {
		return 0 // The node is cut off or slow; other nodes may lend.
	}
	now := b.clock.Now()
	until := now.Add(time.Duration(l.LeftMS) * time.Millisecond)
	if !b.budget.AddLoan(service, citronbudget.Loan{Retries: l.Retries, Until: until}, now) {
		return 0
	}
	return l.Retries
}

// Lend gives another node up to want retries of a budget.
func Lend(budget *citronbudget.Budget, service string, want int, now time.Time) citronpeer.Loan {
	l := budget.Lend(service, want, now)
	return citronpeer.Loan{Retries: l.Retries, LeftMS: max(0, l.Until.Sub(now).Milliseconds())}
}
