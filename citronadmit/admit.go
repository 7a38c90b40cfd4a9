// Package citronadmit implements admission control for one service at one node.
// It decides whether a request is admitted now, waits in a queue or is rejected
// immediately.
//
// In a surge more requests arrive than the engines can serve. Forwarding all of
// them fills the queue of every engine, so all requests become late and urgent
// ones wait behind the rest. The requests that cannot be served now therefore wait
// in a Queue that is ordered by priority and, within a priority, by weighted fair
// queueing over customers, so that a large customer's burst cannot starve a small
// customer.
//
// A Gate, used by the older API, limits the number of requests in flight to a
// window. A request that is not expected to finish before its deadline or that
// finds the queue full of requests ahead of it is rejected immediately with a time
// after which a retry is useful. If the queue is full, the last request in it makes
// room for one ahead of it and is rejected.
//
// A Line, used for streams, has no window: each waiting request decides by Decide
// whether the engines have capacity for it, with headroom for more urgent ones that
// is derived from their Demand.
package citronadmit

import (
	"context"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cockroachdb/errors"
)

// ErrOverloaded is matched by every Refusal. The request was rejected before
// anything was sent to an engine.
var ErrOverloaded = errors.New("more requests than the service can carry")

// Refusal is the error for a request that is rejected, at once or when one ahead of it takes
// its place in the queue.
type Refusal struct {
	// RetryAfter is the estimated time that the request would have waited in the
	// queue.
	RetryAfter time.Duration
	// Reason says which limit the request would have exceeded.
	Reason string
}

func (r *Refusal) Error() string { return ErrOverloaded.Error() + ": " + r.Reason }

// Is reports whether target is ErrOverloaded, for errors.Is.
func (r *Refusal) Is(target error) bool { return target == ErrOverloaded }

// smoothing is the weight of the newest holding time in the exponential moving
// average.
const smoothing = 0.1

// Gate controls the admission of requests to one service.
type Gate struct {
	clock citronclock.Clock

	mu       sync.Mutex
	window   int
	maxQueue int
	inflight int
	queue    Queue
	// holdTime is the exponential moving average of the time for which an admitted
	// request holds its slot.
	holdTime time.Duration
}

// New returns a gate that admits at most window requests at a time and lets at most
// maxQueue requests wait.
func New(clock citronclock.Clock, window, maxQueue int) *Gate {
	return &Gate{clock: clock, window: max(1, window), maxQueue: maxQueue}
}

// Resize changes the window, for example when engines or entries are added or
// removed.
func (g *Gate) Resize(window int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window = max(1, window)
	g.dispatch()
}

// Depth returns the number of requests in flight and the number that wait.
func (g *Gate) Depth() (inflight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inflight, g.queue.Len()
}

// Acquire waits for a slot and returns the function that releases it. It returns
// a Refusal immediately if the queue is full or the request cannot meet its
// deadline, and the context's error if the context ends first. In both cases the
// request has not been sent.
func (g *Gate) Acquire(ctx context.Context, r Request) (func(), error) {
	g.mu.Lock()
	if g.inflight < g.window && g.queue.Len() == 0 {
		g.inflight++
		g.mu.Unlock()
		return g.releaser(), nil
	}
	w := g.queue.New(r)
	t := &ticket{decided: make(chan struct{})}
	w.ticket = t
	if err := g.checkLimits(w); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	g.enqueue(w)
	g.mu.Unlock()

	select {
	case <-t.decided:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case t.refusal != nil:
		return nil, t.refusal
	case ctx.Err() == nil:
		return g.releaser(), nil
	case !g.queue.Remove(w): // admitted at the same time: release the slot
		g.inflight--
	}
	g.dispatch()
	return nil, errors.Wrap(ctx.Err(), "wait for admission")
}

// checkLimits returns a Refusal if w has to be rejected now. The caller holds the
// lock.
func (g *Gate) checkLimits(w *Waiting) error {
	ahead := g.queue.Ahead(w)
	wait := g.waitBehind(ahead)
	if ahead >= g.maxQueue {
		return &Refusal{RetryAfter: wait, Reason: reasonFull}
	}
	if !w.Deadline.IsZero() && g.clock.Now().Add(wait+g.holdTime).After(w.Deadline) {
		return &Refusal{RetryAfter: wait, Reason: "the request would not finish before its deadline"}
	}
	return nil
}

// reasonFull is the reason of a Refusal for want of room in the queue.
const reasonFull = "the queue is full"

// waitBehind estimates how long a request waits behind the given number of others.
func (g *Gate) waitBehind(ahead int) time.Duration {
	return time.Duration(float64(g.holdTime) * float64(ahead+1) / float64(g.window))
}

// enqueue adds w to the queue. If the queue was full, the last request in it is
// refused. The caller holds the lock.
func (g *Gate) enqueue(w *Waiting) {
	g.queue.Push(w)
	if g.queue.Len() <= g.maxQueue {
		return
	}
	last := g.queue.Last()
	g.queue.Remove(last)
	last.ticket.refusal = &Refusal{RetryAfter: g.waitBehind(g.queue.Len()), Reason: reasonFull}
	close(last.ticket.decided)
}

// dispatch admits waiting requests while the window has free slots. The caller
// holds the lock.
func (g *Gate) dispatch() {
	for g.inflight < g.window && g.queue.Len() > 0 {
		w := g.queue.First()
		g.queue.Admit(w)
		g.inflight++
		close(w.ticket.decided)
	}
}

// releaser returns the function that releases the slot of a request admitted now.
func (g *Gate) releaser() func() {
	start := g.clock.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			took := g.clock.Now().Sub(start)
			if g.holdTime == 0 {
				g.holdTime = took
			}
			g.holdTime += time.Duration(smoothing * float64(took-g.holdTime))
			g.inflight--
			g.dispatch()
		})
	}
}

// ticket tells a request in the queue of a Gate how it was decided.
type ticket struct {
	// decided is closed once the request is admitted, or refused after all.
	decided chan struct{}
	refusal *Refusal
}
