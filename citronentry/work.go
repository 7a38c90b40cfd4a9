package citronentry

import "sync"

// requestTracker counts the requests in flight and, once closed, rejects new ones. One
// lock guards both the count and the closed flag. With separate locks, a
// request could pass the check of the flag, the shutdown could then see a
// count of zero and end, and the request would be cut off without an answer.
type requestTracker struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed once work is closed and no request is in flight.
	idle chan struct{}
}

func newRequestTracker() *requestTracker { return &requestTracker{idle: make(chan struct{})} }

// enter counts a new request. It returns false if work is closed.
func (w *requestTracker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.inFlight++
	return true
}

// acquire counts additional work for a request that is already counted, also
// after close. The function that it returns ends that work.
func (w *requestTracker) acquire() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight++
	return sync.OnceFunc(w.leave)
}

// leave ends what one call of enter or acquire counted.
func (w *requestTracker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if w.closed && w.inFlight == 0 {
		close(w.idle)
	}
}

// close makes enter reject new requests and returns a channel that is closed
// once no request is in flight. It must be called only once.
func (w *requestTracker) close() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.inFlight == 0 {
		close(w.idle)
	}
	return w.idle
}

// count returns the number of requests in flight.
func (w *requestTracker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}
