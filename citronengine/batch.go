package citronengine

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
)

// batchTick is the length of one batch: the engine takes up to its
// capacity's worth of waiting steps each tick, highest priority first.
const batchTick = 5 * time.Millisecond

// batcher is the stand-in's continuous batching: waiting steps share the
// declared capacity, ordered by priority and then arrival. Its goroutine
// lives only while steps wait.
type batcher struct {
	clock    citronclock.Clock
	capacity int

	mu      sync.Mutex
	queue   stepQueue
	seq     int64
	running bool
	// credit is the tokens this batch may still run; negative after a
	// step that cost more than one batch.
	credit float64
	last   time.Time
}

func newBatcher(clock citronclock.Clock, capacity int) *batcher {
	return &batcher{clock: clock, capacity: capacity}
}

func (b *batcher) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// wait returns once the step's batch has run.
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
	s := &queuedStep{cost: cost, priority: priority, seq: b.seq, run: make(chan struct{})}
	heap.Push(&b.queue, s)
	if !b.running {
		b.running = true
		go b.loop()
	}
	b.mu.Unlock()
	select {
	case <-s.run:
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

// refill adds the capacity of the time since the last refill, at most two
// batches' worth: an idle engine cannot save up.
func (b *batcher) refill() {
	now := b.clock.Now()
	perTick := float64(b.capacity) * batchTick.Seconds()
	if !b.last.IsZero() {
		b.credit += now.Sub(b.last).Seconds() * float64(b.capacity)
	}
	b.credit = min(b.credit, max(2*perTick, 1))
	b.last = now
}

func (b *batcher) loop() {
	for {
		_ = b.clock.Sleep(context.Background(), batchTick)
		b.mu.Lock()
		b.refill()
		for len(b.queue) > 0 && b.credit > 0 {
			s := heap.Pop(&b.queue).(*queuedStep)
			b.credit -= float64(s.cost)
			close(s.run)
		}
		if len(b.queue) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
	}
}

type queuedStep struct {
	cost, priority int
	seq            int64
	index          int
	run            chan struct{}
}

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
