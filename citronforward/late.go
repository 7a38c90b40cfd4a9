package citronforward

// Checks of engines while this node runs late, because it is short of processor time. It reads
// answers late then, and each check, move and relayed call that follows from a missed answer
// would make it later still. So it judges no engine by the lack of an answer, and sends few
// checks. Engines that are dead are still found by refused connections, by the checks that are
// left, and by the reports of other nodes.

import (
	"time"

	"citrondeck.dev/citrondeck/citronprobe"
)

const (
	// lateWindow is how long a node sends few checks after it has run late.
	lateWindow = 500 * time.Millisecond
	// lateCheckInterval is the minimum time between two checks in that time.
	lateCheckInterval = 150 * time.Millisecond
	// lateStalledInterval takes the place of stalledCheckInterval in that time. A node may have
	// hundreds of stalled streams.
	lateStalledInterval = 100 * time.Millisecond
	// answerWakeUps is how many goroutines an answer passes, one after the other, until its
	// check has ended.
	answerWakeUps = 4
)

// prober returns the prober of this node's checks.
func (f *Forwarder) prober() *citronprobe.Prober {
	f.probesOnce.Do(func() { f.probes.Lag = f.Lag })
	return &f.probes
}

// mayCheck reports whether a check of an engine may be sent now, and if so, counts it.
func (f *Forwarder) mayCheck() bool {
	now := f.Clock.Now()
	if !f.Lag.LateSince(now.Add(-lateWindow)) {
		return true
	}
	last := f.lateCheckAt.Load()
	return now.Sub(time.Unix(0, last)) >= lateCheckInterval && f.lateCheckAt.CompareAndSwap(last, now.UnixNano())
}

// answerTimeout returns how long an accused engine may take to answer a check that began at the
// given time, with the time that this node takes to read the answer.
func (f *Forwarder) answerTimeout(began time.Time) time.Duration {
	return accusedProbeTimeout + answerWakeUps*f.Lag.Since(began)
}

// stalledInterval returns how often a stalled stream checks its path.
func (f *Forwarder) stalledInterval() time.Duration {
	if f.Lag.LateSince(f.Clock.Now().Add(-lateWindow)) {
		return lateStalledInterval
	}
	return stalledCheckInterval
}
