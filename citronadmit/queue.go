package citronadmit

import (
	"slices"
	"time"
)

// Request holds the properties of a request that determine its admission.
type Request struct {
	Customer string
	// Weight is the customer's weight in fair queueing; less than 1 counts as 1.
	Weight int
	// Tokens is the size of the request in fair queueing; less than 1 counts as 1.
	Tokens int
	// Priority orders the queue; lower values are admitted first. Where the range is
	// bounded, 0 is the most urgent.
	Priority int
	// RefusedBefore is true if the caller has been refused once already. A second refusal
	// would lose the request, so it goes ahead of others of its priority.
	RefusedBefore bool
	// Deadline is when the caller stops waiting; zero means no deadline. The queue itself
	// ignores it.
	Deadline time.Time
}

// Queue holds waiting requests, ordered by priority, then those whose callers were refused
// before, then by weighted fair queueing over customers, then by arrival. The zero value is
// an empty queue. A Queue is not safe for concurrent use.
type Queue struct {
	// waiting is sorted. Insertion moves at most a few thousand pointers.
	waiting []*Waiting
	seq     int64
	// Fair queueing gives each request a tag, its virtual finish time. virtualTime
	// is the highest tag admitted since the queue was last empty. lastTag is the
	// newest tag of each customer.
	virtualTime float64
	lastTag     map[string]float64
}

// Waiting is a request in a queue, or one that has left it.
type Waiting struct {
	Request
	tag float64
	seq int64
	// The following fields belong to the owner of the queue: ticket to a Gate, turn to
	// a Line.
	ticket *ticket
	turn   *turn
}

// New returns r with its fair-queueing tag, as if it arrived now. It is not in the queue
// until Push.
func (q *Queue) New(r Request) *Waiting {
	q.seq++
	cost := float64(max(1, r.Tokens)) / float64(max(1, r.Weight))
	return &Waiting{Request: r, tag: max(q.virtualTime, q.lastTag[r.Customer]) + cost, seq: q.seq}
}

// Push adds a request that New returned.
func (q *Queue) Push(w *Waiting) {
	if q.lastTag == nil {
		q.lastTag = map[string]float64{}
	}
	q.lastTag[w.Customer] = w.tag
	q.waiting = slices.Insert(q.waiting, q.Ahead(w), w)
}

// Len returns the number of requests in the queue.
func (q *Queue) Len() int { return len(q.waiting) }

// Ahead returns the number of requests in the queue that are ahead of w.
func (q *Queue) Ahead(w *Waiting) int {
	i, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	return i
}

// First returns the request to be admitted next, or nil if the queue is empty.
func (q *Queue) First() *Waiting {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Last returns the request to be admitted last, or nil if the queue is empty.
func (q *Queue) Last() *Waiting {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[len(q.waiting)-1]
}

// InOrder returns the waiting requests in the order of admission. The queue may be changed
// while the result is used.
func (q *Queue) InOrder() []*Waiting { return slices.Clone(q.waiting) }

// Admit takes an admitted request out of the queue and charges it to its customer. It
// reports whether the request was in the queue.
func (q *Queue) Admit(w *Waiting) bool {
	if !q.take(w) {
		return false
	}
	q.virtualTime = max(q.virtualTime, w.tag)
	q.resetIfEmpty()
	return true
}

// Remove takes a request that gave up, or is refused, out of the queue. Its customer's next
// requests do not wait for its turn. It reports whether the request was in the queue.
func (q *Queue) Remove(w *Waiting) bool {
	if !q.take(w) {
		return false
	}
	delete(q.lastTag, w.Customer)
	for _, o := range q.waiting {
		if o.Customer == w.Customer {
			q.lastTag[o.Customer] = max(q.lastTag[o.Customer], o.tag)
		}
	}
	q.resetIfEmpty()
	return true
}

// take removes w from the sorted slice and reports whether it was there.
func (q *Queue) take(w *Waiting) bool {
	i, ok := slices.BinarySearchFunc(q.waiting, w, compare)
	if ok {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	return ok
}

// resetIfEmpty forgets the tags once the queue is empty. Old tags would delay a customer
// because of a burst that has already been served, and the map would grow with every
// customer ever seen.
func (q *Queue) resetIfEmpty() {
	if len(q.waiting) == 0 {
		clear(q.lastTag)
		q.virtualTime = 0
	}
}

// compare orders a and b by admission. It returns zero only if they are the same request.
func compare(a, b *Waiting) int {
	switch {
	case a.Priority != b.Priority:
		return sign(a.Priority < b.Priority)
	case a.RefusedBefore != b.RefusedBefore:
		return sign(a.RefusedBefore)
	case a.tag != b.tag:
		return sign(a.tag < b.tag)
	case a.seq != b.seq:
		return sign(a.seq < b.seq)
	}
	return 0
}

// sign returns -1 if the first of two requests is ahead, and 1 if not.
func sign(ahead bool) int {
	if ahead {
		return -1
	}
	return 1
}
