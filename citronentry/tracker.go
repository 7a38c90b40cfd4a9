package citronentry

import "sync"

// requestTracker counts the requests in flight and, once closed, rejects new
// ones. One lock guards both the count and the closed flag. With separate locks, a
// request could pass the check of the flag, the shutdown could then see a
// count of zero and end, and the request would be cut off without an answer.
type requestTracker struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed once the tracker is closed and no request is in flight.
	idle chan struct{}
}

func newRequestTracker() *requestTracker { return &requestTracker{idle: make(chan struct{})} }

// enter counts a new request. It returns false if the tracker is closed.
func (t *requestTracker) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.inFlight++
	return true
}

// acquire counts additional work for a request that is already counted, also
// after close. The function that it returns ends that work.
func (t *requestTracker) acquire() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	return sync.OnceFunc(t.leave)
}

// leave ends what one call of enter or acquire counted.
func (t *requestTracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if t.closed && t.inFlight == 0 {
		close(t.idle)
	}
}

// close makes enter reject new requests and returns a channel that is closed
// once no request is in flight. It must be called only once.
func (t *requestTracker) close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.inFlight == 0 {
		close(t.idle)
	}
	return t.idle
}

// count returns the number of requests in flight.
func (t *requestTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}
