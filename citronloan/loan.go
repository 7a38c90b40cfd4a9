// Package citronloan has a node that needs more repeats than it was dealt borrow
// them from other nodes (citronbudget).
//
// The load it answers: the engines of a zone die at the peak, and each of its
// nodes has more requests to send again than it was dealt repeats, while most
// nodes of the fleet need none of theirs. Refused for that, callers would have
// to come back although an engine is free.
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
	// lenders is how many nodes are asked at once, for borrowEach repeats
	// each: most have a few, and some none.
	lenders    = 3
	borrowEach = 4
	// borrowTimeout bounds the wait for loans. A request waits meanwhile, and
	// nodes that are well answer within a few milliseconds.
	borrowTimeout = 30 * time.Millisecond
	// borrowPause follows a round in which nobody lent anything: the budget is
	// used up, or this node is cut off.
	borrowPause = 100 * time.Millisecond
)

// Borrower asks other nodes for loans, once at a time for each service. It is
// safe for use by many goroutines.
type Borrower struct {
	budget *citronbudget.Budget
	peers  *citronpeer.Client
	clock  citronclock.Clock
	// members are the nodes that may be asked.
	members func() []citronpeer.Member

	mu     sync.Mutex
	rounds map[string]*round
	// emptyAt is when nobody lent anything for a service.
	emptyAt map[string]time.Time
}

// round is one asking around; got is set before done is closed.
type round struct {
	done chan struct{}
	got  int
}

// New returns a borrower that adds loans to a budget.
func New(budget *citronbudget.Budget, peers *citronpeer.Client, clock citronclock.Clock, members func() []citronpeer.Member) *Borrower {
	return &Borrower{budget: budget, peers: peers, clock: clock, members: members, rounds: map[string]*round{}, emptyAt: map[string]time.Time{}}
}

// Borrow has other nodes lend this one repeats for a service, and reports
// whether any did. It takes borrowTimeout at most.
func (b *Borrower) Borrow(service string) bool {
	r, first := b.join(service)
	if r == nil {
		return false
	}
	if first {
		r.got = b.ask(service)
		b.end(service, r)
	}
	<-r.done
	return r.got > 0
}

// join returns the round that is under way for a service, or begins one. It
// returns none if the last brought nothing a moment ago.
func (b *Borrower) join(service string) (r *round, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.rounds[service]; r != nil {
		return r, false
	}
	if b.clock.Now().Sub(b.emptyAt[service]) < borrowPause {
		return nil, false
	}
	r = &round{done: make(chan struct{})}
	b.rounds[service] = r
	return r, true
}

func (b *Borrower) end(service string, r *round) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rounds, service)
	if r.got == 0 {
		b.emptyAt[service] = b.clock.Now()
	}
	close(r.done)
}

// ask asks some nodes, drawn at random, and returns how many repeats they lent.
func (b *Borrower) ask(service string) int {
	members := b.members()
	loans := make([]int, min(lenders, len(members)))
	var wait sync.WaitGroup
	for i := range loans {
		addr := members[rand.IntN(len(members))].Peer
		wait.Go(func() { loans[i] = b.askOne(addr, service) })
	}
	wait.Wait()
	got := 0
	for _, n := range loans {
		got += n
	}
	return got
}

// askOne returns how many repeats the node at addr lent.
func (b *Borrower) askOne(addr, service string) int {
	l, err := b.peers.Borrow(context.Background(), addr, service, borrowEach, borrowTimeout)
	if err != nil {
		return 0 // it is cut off or slow; others may lend
	}
	now := b.clock.Now()
	until := now.Add(time.Duration(l.LeftMS) * time.Millisecond)
	b.budget.Borrowed(service, citronbudget.Loan{Repeats: l.Repeats, Until: until}, now)
	return max(0, l.Repeats)
}

// Lend gives another node up to so many repeats of a budget.
func Lend(budget *citronbudget.Budget, service string, want int, now time.Time) citronpeer.Loan {
	l := budget.Lend(service, want, now)
	return citronpeer.Loan{Repeats: l.Repeats, LeftMS: max(0, l.Until.Sub(now).Milliseconds())}
}
