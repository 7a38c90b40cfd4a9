package citronengine

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
)

// batchTick is the duration of a batch. In each tick, the engine runs queued steps up
// to its capacity, highest priority first.
const batchTick = 5 * time.Millisecond

// batcher simulates the continuous batching of an engine. Queued steps share the
// capacity, ordered by priority and then by arrival. Its goroutine runs only while
// steps are queued.
type batcher struct {
	clock    citronclock.Clock
	capacity int

	mu      sync.Mutex
	queue   stepQueue
	seq     int64
	running bool
	// credit is the number of tokens that the current batch can still run. It is
	// negative after a step that cost more than the remaining credit.
	credit float64
	last   time.Time
}

func newBatcher(clock citronclock.Clock, capacity int) *batcher {
	return &batcher{clock: clock, capacity: capacity}
}

// waiting returns the number of queued steps.
func (b *batcher) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// wait blocks until a batch takes the step or ctx ends. It does not block without a
// capacity limit, or if no step is queued and the credit covers the cost.
func (b *batcher) wait(ctx context.Context, cost, priority int) error {
	if b.capacity <= 0 {
		return ctx.Err()
	}
	b.mu.Lock()
	b.refill()
	if len(b.queue) == 0 && b.credit >= float64(cost) {
		b.credit -= float64(cost)
		b.mu.Unlock()
		return ctx.Err()
	}
	b.seq++
	s := &queuedStep{cost: cost, priority: priority, seq: b.seq, taken: make(chan struct{})}
	heap.Push(&b.queue, s)
	if !b.running {
		b.running = true
		go b.loop()
	}
	b.mu.Unlock()
	select {
	case <-s.taken:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.index >= 0 {
		heap.Remove(&b.queue, s.index)
	}
	return ctx.Err()
}

// refill adds the capacity of the time since the last refill. The credit is limited to
// two batches (at least one token), so that an idle engine does not accumulate more.
// The caller holds b.mu.
func (b *batcher) refill() {
	now := b.clock.Now()
	perTick := float64(b.capacity) * batchTick.Seconds()
	if !b.last.IsZero() {
		b.credit += now.Sub(b.last).Seconds() * float64(b.capacity)
	}
	b.credit = min(b.credit, max(2*perTick, 1))
	b.last = now
}

// loop takes queued steps each batchTick until the queue is empty.
func (b *batcher) loop() {
	for {
		_ = b.clock.Sleep(context.Background(), batchTick)
		b.mu.Lock()
		b.refill()
		for len(b.queue) > 0 && b.credit > 0 {
			s := heap.Pop(&b.queue).(*queuedStep)
			b.credit -= float64(s.cost)
			close(s.taken)
		}
		if len(b.queue) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
	}
}

// queuedStep is a step in the queue. index is its position there, or -1 after it was
// removed.
type queuedStep struct {
	cost, priority int
	seq            int64
	index          int
	taken          chan struct{} // closed when a batch takes the step
}

// stepQueue implements heap.Interface: higher priorities first, then earlier arrivals.
type stepQueue []*queuedStep

func (q stepQueue) Len() int { return len(q) }

func (q stepQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q stepQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *stepQueue) Push(x any) {
	s := x.(*queuedStep)
	s.index = len(*q)
	*q = append(*q, s)
}

func (q *stepQueue) Pop() any {
	old := *q
	s := old[len(old)-1]
	*q = old[:len(old)-1]
	s.index = -1
	return s
}
