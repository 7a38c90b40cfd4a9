package citronnode

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronlag"
)

const (
	// loggedDelay is the scheduling delay from which on a log line tells of it, and
	// lateLogInterval the minimum time between two lines.
	loggedDelay     = 100 * time.Millisecond
	lateLogInterval = time.Second
)

// Lag returns the monitor of this node's scheduling delay.
func (n *Node) Lag() *citronlag.Monitor { return n.lag }

// newDelayObserver returns the function that receives each measured scheduling delay and logs the
// longest of each lateLogInterval.
func (n *Node) newDelayObserver() func(time.Duration) {
	var longest time.Duration
	var loggedAt time.Time
	return func(d time.Duration) {
		if longest = max(longest, d); longest < loggedDelay {
			return
		}
		if now := n.clock.Now(); now.Sub(loggedAt) >= lateLogInterval {
			citronevent.Log(context.Background(), n.log, citronevent.NodeLate, "delay", longest, "inflight", n.running.Load())
			longest, loggedAt = 0, now
		}
	}
}
