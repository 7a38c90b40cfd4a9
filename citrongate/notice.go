package citrongate

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronupstream"
)

// noteRateLimit records the rate limit in a response. before is the engine's record when the
// call was sent. Only a response signed by the engine itself can end a limit.
func (g *Gate) noteRateLimit(ctx context.Context, c citronupstream.Call, before citronlimit.Record, reply *citronupstream.Reply) {
	switch l := reply.RateLimit.(type) {
	case citronupstream.NoRateLimit:
		if !reply.FromEngine {
			return
		}
	case citronupstream.InvalidRateLimit:
		g.Metrics.InvalidLimits.Inc()
		g.logInvalid(ctx, citronevent.LimitInvalid, c, string(l))
		return
	}
	if r, changed := g.Limits.Observe(c.Engine.ID, before, reply.RateLimit); changed {
		citronevent.Log(ctx, g.Log, citronevent.LimitChanged, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "limited", r.Limited, "perSecond", r.PerSecond, "version", r.Version)
	}
}

// noteCooldown records the cool-down that a response asks for.
func (g *Gate) noteCooldown(ctx context.Context, c citronupstream.Call, reply *citronupstream.Reply) {
	switch d := reply.Cooldown.(type) {
	case citronupstream.CooldownFor:
		g.Metrics.Cooldowns.Inc()
		if wait := time.Duration(d); g.newest(c.Engine).CoolDown(g.Clock.Now(), wait) {
			citronevent.Log(ctx, g.Log, citronevent.CooldownAsked, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "wait", wait)
		}
	case citronupstream.InvalidCooldown:
		g.Metrics.InvalidCooldowns.Inc()
		g.logInvalid(ctx, citronevent.CooldownInvalid, c, string(d))
	}
}

// noteLeaving records that an engine says it is leaving.
func (g *Gate) noteLeaving(ctx context.Context, c citronupstream.Call, reply *citronupstream.Reply) {
	if !reply.Leaving {
		return
	}
	g.Metrics.LeavingAnswers.Inc()
	if e := g.newest(c.Engine); e.MarkLeaving() {
		citronevent.Log(ctx, g.Log, citronevent.EngineLeaving, "engine", e.ID, "peer", e.Addr, "request", c.ID, "listed", e.Leaving)
	}
}

// invalidNotice identifies a kind of invalid notice of an engine.
type invalidNotice struct {
	event  citronevent.Event
	engine string
}

// logInvalid logs the first invalid notice of each kind from each engine.
func (g *Gate) logInvalid(ctx context.Context, event citronevent.Event, c citronupstream.Call, text string) {
	if _, logged := g.invalidLogged.LoadOrStore(invalidNotice{event, c.Engine.ID}, true); !logged {
		citronevent.Log(ctx, g.Log, event, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "text", text)
	}
}
