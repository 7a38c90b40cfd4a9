package citronforward

// The gate that every request passes before it is sent to an engine, and the notices in
// responses that it goes by.
//
// An engine may say in any response what binds the requests that follow: a rate limit, a
// cool-down, or that it is leaving. Each notice is recorded with the engine's state or in a registry, before the
// response is used in any other way, and the gate checks what was recorded. First attempts,
// retries, and streams that are resumed on or moved to an engine all pass it, so a notice
// cannot be missed on one of these ways.

import (
	"context"
	"fmt"
	"net/http"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// heldError reports that a request was not sent because an engine does not admit it.
type heldError struct {
	engine    *citronpool.Engine
	admission citronpool.Admission
}

func (e *heldError) Error() string {
	return fmt.Sprintf("engine %s does not admit the request: %T", e.engine.Addr, e.admission)
}

// isHeld reports whether err means that the gate held a request back.
func isHeld(err error) bool {
	var held *heldError
	return errors.As(err, &held)
}

// checkGate returns a *heldError if one of the engines does not admit a request now. It
// uses the newest state of each engine: it may have changed since the engine was chosen.
func (f *Forwarder) checkGate(ctx context.Context, request string, engines ...*citronpool.Engine) error {
	now := f.Clock.Now()
	for _, e := range engines {
		e = f.newest(e)
		switch a := e.Admission(now).(type) {
		case citronpool.Open:
		case citronpool.CoolingDown:
			f.logCooldownHeld(ctx, request, e, "passed over", a.Left)
			return &heldError{e, a}
		default:
			return &heldError{e, a}
		}
	}
	return nil
}

// newest returns the engine with the ID of e from the newest list, or e if it is not in
// there. An engine may have been out of the list since e was chosen and have another state.
func (f *Forwarder) newest(e *citronpool.Engine) *citronpool.Engine {
	if current, ok := f.Current().View.ByID(e.ID); ok {
		return current
	}
	return e
}

// send sends a call, unless an engine of its path does not admit it, and records the
// notices in the response.
func (f *Forwarder) send(ctx context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	if err := f.checkGate(ctx, c.ID, targetEngines(c.Engine, c.EnginePath)...); err != nil {
		return nil, err
	}
	before := f.Limits.Get(c.Engine.ID)
	if before.Limited {
		f.Metrics.LimitedSends.Inc()
	}
	sent := f.Clock.Now()
	reply, err := f.Upstream.Send(ctx, c)
	if c.Engine.CooldownBetween(sent, f.Clock.Now()) {
		f.Metrics.CooldownStragglers.Inc()
	}
	if err == nil && reply.Status != http.StatusMisdirectedRequest { // 421 comes from another engine
		f.noteRateLimit(ctx, c, before, reply)
		f.noteCooldown(ctx, c, reply)
		f.noteLeaving(ctx, c, reply)
	}
	return reply, err
}

// noteLeaving records that an engine says it is leaving.
func (f *Forwarder) noteLeaving(ctx context.Context, c citronupstream.Call, reply *citronupstream.Reply) {
	if !reply.Leaving {
		return
	}
	f.Metrics.LeavingAnswers.Inc()
	if f.newest(c.Engine).MarkLeaving() {
		citronevent.Log(ctx, f.Log, citronevent.EngineLeaving, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "list", f.Current().ListRevision.String(), "listed", c.Engine.Leaving)
	}
}

// logCooldownHeld logs that a request was not sent to an engine because of its cool-down.
func (f *Forwarder) logCooldownHeld(ctx context.Context, request string, e *citronpool.Engine, outcome string, left any) {
	citronevent.Log(ctx, f.Log, citronevent.CooldownHeld, "request", request, "engine", e.ID, "peer", e.Addr, "outcome", outcome, "wait", left)
}
