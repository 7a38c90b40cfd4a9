package citronadmit

import (
	"context"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cockroachdb/errors"
)

const (
	// lineInterval is how often the waiting requests of a line are tried at least.
	// Capacity also becomes free without notice, by streams of other nodes that end.
	lineInterval = 20 * time.Millisecond
	// minLineSleep keeps a request whose turn is overdue from trying without a pause.
	minLineSleep = time.Millisecond
)

// Line holds the requests for one service that wait at this node for capacity. Unlike a
// Gate it has no window of its own: each request decides by itself whether it is admitted,
// and the line determines the order in which they may. It is safe for concurrent use.
type Line struct {
	clock citronclock.Clock

	mu    sync.Mutex
	queue Queue
	// triedAt is when all requests were last tried.
	triedAt time.Time
}

// turn is the state of a request in a line.
type turn struct {
	// try decides whether the request is admitted now. If it returns Admit, it has taken
	// the capacity.
	try func() Decision
	// restricted is true if the request cannot use some engines that others can.
	restricted bool
	// until is when the request stops waiting.
	until time.Time
	// decision is nil while the request waits. wake ends its sleep.
	decision Decision
	wake     context.CancelFunc
}

// NewLine returns an empty line.
func NewLine(clock citronclock.Clock) *Line { return &Line{clock: clock} }

// Len returns the number of waiting requests.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len()
}

// Await waits for the decision about a request and returns Admit or Reject, or the context's
// error if it ends first. try is called when it is the request's turn, by any goroutine but
// never by two at once, and not after Await has returned. It must not call the line. If it
// returns Admit, it has taken the capacity, and that stands even if the context has ended.
// restricted is true if the request cannot use some engines that others can: its failure to
// find capacity says nothing about the requests behind it.
func (l *Line) Await(ctx context.Context, r Request, restricted bool, try func() Decision) (Decision, error) {
	l.mu.Lock()
	empty := l.queue.Len() == 0
	l.mu.Unlock()
	var until time.Time
	if empty {
		d := try()
		wait, ok := d.(Wait)
		if !ok {
			return d, nil
		}
		until = wait.Until
	}
	sleepCtx, wake := context.WithCancel(ctx)
	defer wake()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &turn{try: try, restricted: restricted, until: until, wake: wake}
	w := l.queue.New(r)
	w.turn = t
	l.queue.Push(w)
	if l.queue.Len() > 1 {
		l.tryUpTo(w)
	}
	for t.decision == nil {
		l.sleep(sleepCtx, t)
		if t.decision == nil && ctx.Err() != nil {
			l.queue.Remove(w)
			return nil, errors.Wrap(ctx.Err(), "wait for capacity")
		}
		now := l.clock.Now()
		switch {
		case t.decision != nil:
		case !now.Before(t.until):
			l.tryUpTo(w)
		case now.Sub(l.triedAt) >= lineInterval:
			l.tryUpTo(nil)
		}
	}
	return t.decision, nil
}

// sleep releases the lock until the request is decided, its time is over or the waiting
// requests are to be tried again.
func (l *Line) sleep(ctx context.Context, t *turn) {
	now := l.clock.Now()
	d := min(lineInterval, l.triedAt.Add(lineInterval).Sub(now), t.until.Sub(now))
	l.mu.Unlock()
	_ = l.clock.Sleep(ctx, max(d, minLineSleep))
	l.mu.Lock()
}

// Free tries the waiting requests in their order, because capacity may have become free.
func (l *Line) Free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tryUpTo(nil)
}

// tryUpTo tries the waiting requests in their order up to the given one, or all if it is nil.
// If a request finds no capacity, those behind it would find none either, because their
// limits are not higher. They are skipped, except for the given one. The caller holds the
// lock.
func (l *Line) tryUpTo(last *Waiting) {
	full := false
	for _, w := range l.queue.InOrder() {
		if !full || w == last {
			full = l.tryOne(w) || full
		}
		if w == last {
			return
		}
	}
	l.triedAt = l.clock.Now()
}

// tryOne tries a request and reports whether it shows that those behind it find no capacity.
func (l *Line) tryOne(w *Waiting) bool {
	d := w.turn.try()
	if wait, ok := d.(Wait); ok {
		w.turn.until = wait.Until
		return !w.turn.restricted
	}
	w.turn.decision = d
	if _, ok := d.(Admit); ok {
		l.queue.Admit(w)
	} else {
		l.queue.Remove(w)
	}
	w.turn.wake()
	return false
}
