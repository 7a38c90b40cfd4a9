package citronclock

import "time"

// Timer sends on C after a delay and can be set again. It is made of time.AfterFunc, and of no
// timer if the delay is not positive, because the race detector of Go 1.26 crashes when
// goroutines of one testing/synctest bubble at the same time set timers that are due at once,
// or receive from the channels of expired time.Timers.
type Timer struct {
	// C gets one value each time the delay has passed.
	C     <-chan struct{}
	fired chan struct{}
	timer *time.Timer
}

// NewTimer returns a timer that sends on C after d.
func NewTimer(d time.Duration) *Timer {
	fired := make(chan struct{}, 1)
	t := &Timer{C: fired, fired: fired}
	t.start(d)
	return t
}

// Reset sets the timer to send on C after d. A value that was not received yet is dropped.
func (t *Timer) Reset(d time.Duration) {
	t.Stop()
	t.start(d)
}

// Stop prevents the timer from sending. A value that was not received yet is dropped.
func (t *Timer) Stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
	select {
	case <-t.fired:
	default:
	}
}

func (t *Timer) start(d time.Duration) {
	switch {
	case d <= 0:
		t.fire()
	case t.timer == nil:
		t.timer = time.AfterFunc(d, t.fire)
	default:
		t.timer.Reset(d)
	}
}

func (t *Timer) fire() {
	select {
	case t.fired <- struct{}{}:
	default:
	}
}
