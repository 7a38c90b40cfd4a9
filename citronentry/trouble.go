package citronentry

// Back ends in trouble. One that traffic or the watchdog reports gets no
// new work until a probe finds it well again, so no caller's request is
// spent on finding out. A back end's name is reused when its instance is
// replaced, so "leaving" ends the same way: a probe that finds an instance
// under that name which takes work. One that answers probes but fails
// calls would come and go with every probe; each relapse doubles the time
// it is left alone.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronroute"
)

const (
	probeFirst = 250 * time.Millisecond
	probeCap   = 10 * time.Second
	// relapseMemory is how long a cleared trouble is remembered.
	relapseMemory = 30 * time.Second
)

// trouble is what is known of one back end.
type trouble struct {
	reason  citronroute.Reason
	wait    time.Duration
	due     time.Time
	probing bool
	// cleared is when a probe found it well; zero while it is avoided.
	cleared time.Time
}

// troubles by back end name; the control goroutine owns them.
type troubles map[string]*trouble

func (ts troubles) avoid() map[string]citronroute.Reason {
	out := map[string]citronroute.Reason{}
	for name, t := range ts {
		if t.cleared.IsZero() {
			out[name] = t.reason
		}
	}
	return out
}

// report notes trouble and says whether the back end was free of it.
func (ts troubles) report(name string, why citronroute.Reason, now time.Time) bool {
	t := ts[name]
	if t == nil {
		ts[name] = &trouble{reason: why, wait: probeFirst, due: now.Add(probeFirst)}
		return true
	}
	if t.cleared.IsZero() {
		return false
	}
	t.reason, t.cleared = why, time.Time{}
	t.wait = min(2*t.wait, probeCap)
	t.due = now.Add(t.wait)
	return true
}

type probeResult struct {
	backend string
	health  citronroute.Health
	err     error
}

func (c *control) takeReport(ctx context.Context, r report) {
	if !c.trouble.report(r.backend, r.reason, c.e.clock.Now()) {
		return
	}
	c.dirty = true
	ev := citronevent.UpstreamAvoided
	if r.reason == citronroute.Leaving {
		ev = citronevent.UpstreamLeaving
	}
	citronevent.Log(ctx, c.e.log, ev, "backend", r.backend, "reason", string(r.reason))
}

// probeDue starts the probes whose time has come and forgets old troubles.
func (c *control) probeDue(ctx context.Context, now time.Time) {
	s := c.e.snap.Load()
	for name, t := range c.trouble {
		b, known := s.Backends[name]
		switch {
		case !known, !t.cleared.IsZero() && now.Sub(t.cleared) > relapseMemory:
			delete(c.trouble, name)
		case t.cleared.IsZero() && !t.probing && now.After(t.due):
			t.probing = true
			go c.probe(ctx, b)
		}
	}
}

func (c *control) probe(ctx context.Context, b *citronroute.Backend) {
	c.e.metrics.probes.Add(1)
	pctx, cancel := context.WithTimeout(ctx, c.e.set.ProbeTimeout)
	defer cancel()
	h, err := b.Probe(pctx)
	select {
	case c.probed <- probeResult{backend: b.Spec.Name, health: h, err: err}:
	case <-ctx.Done():
	}
}

func (c *control) takeProbe(ctx context.Context, p probeResult) {
	t := c.trouble[p.backend]
	if t == nil {
		return
	}
	now := c.e.clock.Now()
	t.probing = false
	why := t.reason
	switch {
	case p.err != nil:
	case p.health.Leaving:
		why = citronroute.Leaving
	case p.health.WrongLayers:
		why = citronroute.WrongLayers
	default:
		t.cleared = now
		c.dirty = true
		citronevent.Log(ctx, c.e.log, citronevent.UpstreamBack, "backend", p.backend, "was", string(t.reason))
		return
	}
	c.dirty = c.dirty || why != t.reason
	t.reason = why
	t.wait = min(2*t.wait, probeCap)
	t.due = now.Add(t.wait)
}
