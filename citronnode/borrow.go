package citronnode

// Loans of repeats between nodes.
//
// The load they answer: the engines of a zone die at the peak, and each of its
// nodes has more requests to send again than it was dealt repeats, while most
// nodes of the fleet need none of theirs. Refused for that, callers would have
// to come back although an engine is free.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
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

// borrower asks for loans, once at a time for each service.
type borrower struct {
	mu     sync.Mutex
	rounds map[string]*round
	// emptyAt is when nobody lent anything for a service.
	emptyAt map[string]time.Time
}

// round is one asking around.
type round struct {
	done chan struct{}
	got  int
}

// Borrow has other nodes lend this one repeats for a service, and reports
// whether any did. It takes borrowTimeout at most.
func (n *Node) Borrow(service string) bool {
	b := &n.borrower
	b.mu.Lock()
	if r := b.rounds[service]; r != nil {
		b.mu.Unlock()
		<-r.done
		return r.got > 0
	}
	now := n.clock.Now()
	if now.Sub(b.emptyAt[service]) < borrowPause {
		b.mu.Unlock()
		return false
	}
	r := &round{done: make(chan struct{})}
	b.rounds[service] = r
	b.mu.Unlock()
	r.got = n.askLenders(service)
	b.mu.Lock()
	delete(b.rounds, service)
	if r.got == 0 {
		b.emptyAt[service] = n.clock.Now()
	}
	b.mu.Unlock()
	close(r.done)
	return r.got > 0
}

// askLenders asks some nodes, drawn at random, and returns how many repeats
// they lent.
func (n *Node) askLenders(service string) int {
	members := n.snap.Load().members
	var wait sync.WaitGroup
	var mu sync.Mutex
	got := 0
	for range min(lenders, len(members)) {
		addr := members[rand.IntN(len(members))].Peer
		wait.Go(func() {
			l, err := n.peers.Borrow(context.Background(), addr, service, borrowEach, borrowTimeout)
			if err != nil {
				return // it is cut off or slow; the others may lend
			}
			now := n.clock.Now()
			n.budget.Borrowed(service, citronbudget.Loan{Repeats: l.Repeats, Until: now.Add(time.Duration(l.LeftMS) * time.Millisecond)}, now)
			mu.Lock()
			defer mu.Unlock()
			got += max(0, l.Repeats)
		})
	}
	wait.Wait()
	return got
}

// Lend implements citronpeer.Lender.
func (a answerer) Lend(service string, want int) citronpeer.Loan {
	now := a.n.clock.Now()
	l := a.n.budget.Lend(service, want, now)
	return citronpeer.Loan{Repeats: l.Repeats, LeftMS: max(0, l.Until.Sub(now).Milliseconds())}
}
