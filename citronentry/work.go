package citronentry

import "sync"

// work counts the requests in flight and, once closed, takes no new ones.
// Counting and closing share a lock: were the "stopping?" check apart from
// the count, a request could pass the check, the shutdown see a count of
// zero and end, and the request be cut off unanswered.
type work struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{}
}

func newWork() *work { return &work{idle: make(chan struct{})} }

// enter counts a new request; false once closed.
func (w *work) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.n++
	return true
}

// hold counts more work of a request that is already counted; the
// function it returns ends it.
func (w *work) hold() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n++
	return sync.OnceFunc(w.leave)
}

func (w *work) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n--
	if w.closed && w.n == 0 {
		close(w.idle)
	}
}

// close turns new requests away and returns a channel that is closed once
// none is in flight. It is called once.
func (w *work) close() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.n == 0 {
		close(w.idle)
	}
	return w.idle
}

func (w *work) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n
}
