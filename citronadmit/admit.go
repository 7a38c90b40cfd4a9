// Package citronadmit decides, for one service at one entry, which request
// goes on now, which waits and which is refused at once.
//
// A surge brings more requests than the engines can carry. Sending them
// all on makes every queue at every engine long, so that all requests are
// late together and urgent ones wait behind the rest. So an entry sends on
// at most a window of requests; the others wait here, ordered by priority
// and, within a priority, by weighted fair queueing over customers, so a
// large customer's burst cannot starve a small one. A request that would
// wait past its deadline, or finds the queue full, is refused at once with
// the time after which asking again makes sense.
package citronadmit

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cockroachdb/errors"
)

// ErrOverloaded means the request was refused before anything was sent; see
// Refusal for when to come back.
var ErrOverloaded = errors.New("more requests than the service can carry")

// Refusal is the error of a request refused at once.
type Refusal struct {
	// RetryAfter is when the queue ahead should have drained.
	RetryAfter time.Duration
	Reason     string
}

func (r *Refusal) Error() string { return ErrOverloaded.Error() + ": " + r.Reason }

// Is makes errors.Is(err, ErrOverloaded) true.
func (r *Refusal) Is(target error) bool { return target == ErrOverloaded }

// Request is what the gate needs to know of one request.
type Request struct {
	Customer string
	// Weight is the customer's share; less than 1 counts as 1.
	Weight   int
	Priority int
	// Deadline is when the caller stops waiting; zero is never.
	Deadline time.Time
}

// smoothing is the weight of the newest service time in the running mean.
const smoothing = 0.1

// Gate admits the requests of one service.
type Gate struct {
	clock citronclock.Clock

	mu       sync.Mutex
	window   int
	maxQueue int
	inflight int
	queue    waiters
	seq      int64
	// virtual is the fair-queueing clock: the tag of the last admitted
	// request. lastTag is each customer's newest tag.
	virtual float64
	lastTag map[string]float64
	// hold is the running mean of how long a request keeps its place.
	hold time.Duration
}

// New returns a gate that sends on at most window requests at once and
// lets at most maxQueue wait.
func New(clock citronclock.Clock, window, maxQueue int) *Gate {
	return &Gate{clock: clock, window: max(1, window), maxQueue: maxQueue, lastTag: map[string]float64{}}
}

// Resize changes the window, as when engines or entries come or go.
func (g *Gate) Resize(window int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window = max(1, window)
	g.dispatch()
}

// Depth returns how many requests are sent on and how many wait.
func (g *Gate) Depth() (inflight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inflight, len(g.queue)
}

// Acquire waits for a place and returns the function that gives it back.
// It returns a Refusal at once when the request cannot make its deadline,
// or the context's error if that ends first; either way nothing was sent.
func (g *Gate) Acquire(ctx context.Context, r Request) (func(), error) {
	g.mu.Lock()
	if g.inflight < g.window && len(g.queue) == 0 {
		g.inflight++
		g.mu.Unlock()
		return g.releaser(), nil
	}
	if err := g.refuse(r); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	w := g.enqueue(r)
	g.mu.Unlock()

	select {
	case <-w.admitted:
		return g.releaser(), nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 { // admitted in the same moment: give the place back
		g.inflight--
		g.dispatch()
	} else {
		heap.Remove(&g.queue, w.index)
	}
	return nil, errors.Wrap(ctx.Err(), "wait for admission")
}

// refuse says whether r should be turned away now.
func (g *Gate) refuse(r Request) error {
	ahead := 0
	for _, w := range g.queue {
		if w.req.Priority >= r.Priority {
			ahead++
		}
	}
	wait := time.Duration(float64(g.hold) * float64(ahead+1) / float64(g.window))
	if len(g.queue) >= g.maxQueue {
		return &Refusal{RetryAfter: wait, Reason: "the queue is full"}
	}
	if !r.Deadline.IsZero() && g.clock.Now().Add(wait+g.hold).After(r.Deadline) {
		return &Refusal{RetryAfter: wait, Reason: "the wait would pass the deadline"}
	}
	return nil
}

func (g *Gate) enqueue(r Request) *waiter {
	tag := max(g.virtual, g.lastTag[r.Customer]) + 1/float64(max(1, r.Weight))
	g.lastTag[r.Customer] = tag
	g.seq++
	w := &waiter{req: r, tag: tag, seq: g.seq, admitted: make(chan struct{})}
	heap.Push(&g.queue, w)
	return w
}

// dispatch admits waiters while there is room; the lock is held.
func (g *Gate) dispatch() {
	for g.inflight < g.window && len(g.queue) > 0 {
		w := heap.Pop(&g.queue).(*waiter)
		g.virtual = max(g.virtual, w.tag)
		g.inflight++
		close(w.admitted)
	}
	if len(g.queue) == 0 {
		// An idle queue keeps no debts: old tags would only hold back a
		// customer for a burst long served, and the map would grow with
		// every customer ever seen.
		clear(g.lastTag)
		g.virtual = 0
	}
}

func (g *Gate) releaser() func() {
	start := g.clock.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			took := g.clock.Now().Sub(start)
			if g.hold == 0 {
				g.hold = took
			}
			g.hold += time.Duration(smoothing * float64(took-g.hold))
			g.inflight--
			g.dispatch()
		})
	}
}

type waiter struct {
	req      Request
	tag      float64
	seq      int64
	index    int
	admitted chan struct{}
}

// waiters is a heap: highest priority first, then lowest tag, then oldest.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.req.Priority != b.req.Priority {
		return a.req.Priority > b.req.Priority
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.seq < b.seq
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
