package citronreach

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronlink"
	"citrondeck.dev/citrondeck/citronrelay"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// explain returns the error of a call to an engine that neither this node nor a helper could
// reach. own is this node's own error, or nil if it did not try.
//
//	something arrived from it since        it lives: ErrUnreachable
//	own call timed out on a late node      nothing is known: ErrUnreachable
//	helper reaches neighbors, not it       the engine does not answer anybody
//	both connections were refused          its process has ended as well
//	no helper can tell, own links work     this node's own error counts, unless the engine
//	                                       answers when it is asked again
//	no helper can tell, own links fail     nothing is known: ErrUnreachable
func (g *Engines) explain(ctx context.Context, addr string, began time.Time, own, helper error) error {
	switch {
	case g.Links.HeardSince(addr, began):
	case errors.Is(helper, citronrelay.ErrRefused) && (own == nil || errors.Is(own, syscall.ECONNREFUSED)):
		return errors.Mark(helper, syscall.ECONNREFUSED)
	case errors.IsAny(helper, citronrelay.ErrRefused, citronrelay.ErrUnreached):
		return helper
	case g.isInconclusive(own, began):
	case own != nil && g.proof.linksWork(ctx, g.Neighbors(addr)) && (errors.Is(own, syscall.ECONNREFUSED) || !g.answers(ctx, addr)):
		return own
	}
	err := helper
	if own != nil {
		err = own
	}
	return unreachable(addr, err)
}

// answers asks an engine once more after a call to it could not be sent. On a link that loses
// packets one attempt fails now and then, while neighbors are reached.
func (g *Engines) answers(ctx context.Context, addr string) bool {
	limit, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	if g.reach(limit, addr) != nil {
		return false
	}
	g.Links.RecordReached(addr)
	return true
}

// unreachable returns the error of a call that tells nothing about the engine at addr. Its
// cause stands in the text only, so that it is not taken for the state of the engine.
func unreachable(addr string, cause error) error {
	return errors.Mark(errors.Newf("no way to %s: %v", addr, cause), citronupstream.ErrUnreachable)
}

const (
	// maxProofEngines is how many neighbors of an engine a node tries to reach at once to
	// prove that its links work. One of them is enough, and some may be dead.
	maxProofEngines = 5
	// proofTimeout limits the time for that. A caller waits meanwhile.
	proofTimeout = 100 * time.Millisecond
	// checkTimeout limits the time for a check of one link. It is longer, because a node that
	// is short of processor time would take its own links for broken.
	checkTimeout = 300 * time.Millisecond
)

// Neighbors are the engines of a group, without the one that they are neighbors of.
type Neighbors struct {
	Group string
	Addrs []string
}

// prover proves that the links of this node to a group of engines work. Calls that need a
// proof at the same time share one.
type prover struct {
	links *citronlink.Links
	reach func(ctx context.Context, addr string) error
	clock citronclock.Clock

	mu sync.Mutex
	// running holds the attempts in progress by group.
	running map[string]*proof
}

// proof is one attempt to reach the engines of a group. ok is set before done is closed.
type proof struct {
	group string
	begun time.Time
	done  chan struct{}
	ok    bool
}

// linksWork reports whether this node reaches one of the neighbors from now on. What it
// reached before proves nothing: its links may have failed since.
func (p *prover) linksWork(ctx context.Context, n Neighbors) bool {
	since := p.clock.Now()
	for ctx.Err() == nil {
		q := p.join(ctx, n)
		select {
		case <-q.done:
		case <-ctx.Done():
			return false
		}
		if !q.begun.Before(since) {
			return q.ok
		}
		if p.links.ReachedSince(n.Addrs, since) {
			return true
		}
	}
	return false
}

// join returns the attempt in progress, or begins one.
func (p *prover) join(ctx context.Context, n Neighbors) *proof {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.running[n.Group]; q != nil {
		return q
	}
	if p.running == nil {
		p.running = map[string]*proof{}
	}
	q := &proof{group: n.Group, begun: p.clock.Now(), done: make(chan struct{})}
	p.running[n.Group] = q
	go p.run(context.WithoutCancel(ctx), q, n.Addrs)
	return q
}

// end ends an attempt.
func (p *prover) end(q *proof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, q.group)
	close(q.done)
}

// run tries to reach some of the engines, until one is reached.
func (p *prover) run(ctx context.Context, q *proof, addrs []string) {
	defer p.end(q)
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	order := rand.Perm(len(addrs))
	order = order[:min(len(order), maxProofEngines)]
	results := make(chan error, len(order))
	for _, i := range order {
		go func() {
			err := p.reach(ctx, addrs[i])
			if err == nil {
				p.links.RecordReached(addrs[i])
			}
			results <- err
		}()
	}
	for range order {
		if <-results == nil {
			q.ok = true
			return
		}
	}
}
