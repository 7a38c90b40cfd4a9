package citronentry

// Unhealthy back ends. A back end that traffic or the watchdog reports gets
// no new work until a probe finds it healthy, so that no caller's request is
// used to test it. A back end that is leaving is probed too: when its instance
// is replaced, the new instance has the same name and takes work again. A back
// end that answers probes but fails calls would alternate between healthy and
// avoided with every probe; each relapse therefore doubles the time until the
// next probe.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronroute"
)

const (
	// probeInitialDelay is the time from the first report of a back end to
	// its first probe.
	probeInitialDelay = 250 * time.Millisecond
	// probeMaxDelay caps the probe delay, which doubles with each relapse and
	// each probe that finds the back end unhealthy.
	probeMaxDelay = 10 * time.Second
	// relapseWindow is the time after recovery during which a new report
	// counts as a relapse.
	relapseWindow = 30 * time.Second
)

// failureRecord is the health state of one back end that was reported.
type failureRecord struct {
	reason citronroute.Reason
	// probeDelay is the current delay before a probe, and nextProbe the time
	// from which the next probe may start.
	probeDelay time.Duration
	nextProbe  time.Time
	probing    bool
	// recoveredAt is when a probe found the back end healthy. It is zero
	// while the back end is avoided.
	recoveredAt time.Time
}

// failureRecords maps back end names to their failure records. The control
// goroutine owns it.
type failureRecords map[string]*failureRecord

// avoid returns the back ends that get no new work, with the reasons.
func (records failureRecords) avoid() map[string]citronroute.Reason {
	out := map[string]citronroute.Reason{}
	for name, record := range records {
		if record.recoveredAt.IsZero() {
			out[name] = record.reason
		}
	}
	return out
}

// report records a failure of the back end called name. It returns true if the
// back end was considered healthy until then.
func (records failureRecords) report(name string, reason citronroute.Reason, now time.Time) bool {
	record := records[name]
	if record == nil {
		records[name] = &failureRecord{reason: reason, probeDelay: probeInitialDelay, nextProbe: now.Add(probeInitialDelay)}
		return true
	}
	if record.recoveredAt.IsZero() {
		return false
	}
	record.reason, record.recoveredAt = reason, time.Time{}
	record.probeDelay = min(2*record.probeDelay, probeMaxDelay)
	record.nextProbe = now.Add(record.probeDelay)
	return true
}

// probeResult is the outcome of one probe of a back end.
type probeResult struct {
	backend string
	health  citronroute.Health
	err     error
}

// handleReport records a report from traffic or the watchdog. The event is
// logged only if the back end was considered healthy until then.
func (c *control) handleReport(ctx context.Context, r backendReport) {
	if !c.failures.report(r.backend, r.reason, c.e.clock.Now()) {
		return
	}
	c.dirty = true
	event := citronevent.UpstreamAvoided
	if r.reason == citronroute.Leaving {
		event = citronevent.UpstreamLeaving
	}
	citronevent.Log(ctx, c.e.log, event, "backend", r.backend, "reason", string(r.reason))
}

// startDueProbes starts the probes that are due. It deletes the records of back ends
// that recovered more than relapseWindow ago or are no longer configured.
func (c *control) startDueProbes(ctx context.Context, now time.Time) {
	s := c.e.snap.Load()
	for name, record := range c.failures {
		b, known := s.Backends[name]
		switch {
		case !known, !record.recoveredAt.IsZero() && now.Sub(record.recoveredAt) > relapseWindow:
			delete(c.failures, name)
		case record.recoveredAt.IsZero() && !record.probing && now.After(record.nextProbe):
			record.probing = true
			go c.probe(ctx, b)
		}
	}
}

// probe probes b and hands the result to the control loop.
func (c *control) probe(ctx context.Context, b *citronroute.Backend) {
	c.e.metrics.probes.Add(1)
	pctx, cancel := context.WithTimeout(ctx, c.e.settings.ProbeTimeout)
	defer cancel()
	h, err := b.Probe(pctx)
	select {
	case c.probed <- probeResult{backend: b.Spec.Name, health: h, err: err}:
	case <-ctx.Done():
	}
}

// handleProbe records the result of a probe: the back end has recovered, or the
// next probe is postponed and the reason updated.
func (c *control) handleProbe(ctx context.Context, p probeResult) {
	record := c.failures[p.backend]
	if record == nil {
		return
	}
	now := c.e.clock.Now()
	record.probing = false
	newReason := record.reason
	switch {
	case p.err != nil:
	case p.health.Leaving:
		newReason = citronroute.Leaving
	case p.health.WrongLayers:
		newReason = citronroute.WrongLayers
	default:
		record.recoveredAt = now
		c.dirty = true
		citronevent.Log(ctx, c.e.log, citronevent.UpstreamBack, "backend", p.backend, "was", string(record.reason))
		return
	}
	c.dirty = c.dirty || newReason != record.reason
	record.reason = newReason
	record.probeDelay = min(2*record.probeDelay, probeMaxDelay)
	record.nextProbe = now.Add(record.probeDelay)
}
