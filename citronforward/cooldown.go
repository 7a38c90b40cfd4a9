package citronforward

// Cool-downs that engines ask this node for when they refuse a request.

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronupstream"
)

// checkCooldown logs and counts a call to an engine in its cool-down.
func (f *Forwarder) checkCooldown(ctx context.Context, c citronupstream.Call) {
	if left := c.Engine.CoolingFor(f.Clock.Now()); left > 0 {
		f.Metrics.CooldownSends.Inc()
		citronevent.Log(ctx, f.Log, citronevent.CooldownIgnored, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "left", left)
	}
}

// noteCooldown records the cool-down that a response asks for.
func (f *Forwarder) noteCooldown(ctx context.Context, c citronupstream.Call, reply *citronupstream.Reply) {
	if reply.Status == http.StatusMisdirectedRequest {
		return // another engine's answer
	}
	switch d := reply.Cooldown.(type) {
	case citronupstream.CooldownFor:
		f.Metrics.Cooldowns.Inc()
		if wait := time.Duration(d); c.Engine.CoolDown(f.Clock.Now(), wait) {
			citronevent.Log(ctx, f.Log, citronevent.CooldownAsked, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "wait", wait)
		}
	case citronupstream.InvalidCooldown:
		f.Metrics.InvalidCooldowns.Inc()
		if _, logged := f.invalidCooldowns.LoadOrStore(c.Engine.ID, true); !logged {
			citronevent.Log(ctx, f.Log, citronevent.CooldownInvalid, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "text", string(d))
		}
	}
}
