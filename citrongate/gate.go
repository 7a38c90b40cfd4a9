// Package citrongate sends calls to engines through one gate, and records the notices in
// their responses.
//
// An engine may say in any response what binds the requests that follow: a rate limit, a
// cool-down, or that it is leaving. Each notice is recorded with the engine's state or in a
// registry, before the response is used in any other way, and the gate checks what was
// recorded before each send:
//
//	request -> Check -> Send -> engine
//	             ^                |
//	             +-- notices <----+
//
// First attempts, retries, and streams that are resumed on or moved to an engine all pass the
// gate, so a notice cannot be missed on one of these ways. Permits under a rate limit are taken
// before (citronpermit), as a request may wait for one.
package citrongate

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// Gate sends calls to engines that admit them. It is safe for concurrent use.
type Gate struct {
	Upstream citronupstream.Engines
	// Limits holds the rate limits that engines announce in their responses.
	Limits  *citronlimit.Registry
	Clock   citronclock.Clock
	Log     *slog.Logger
	Metrics *Metrics
	// View returns the newest list of engines.
	View func() *citronpool.View

	// invalidLogged holds the IDs of the engines whose invalid notices have been logged, by
	// kind of notice, so that each is logged only once.
	invalidLogged sync.Map
}

// HeldError reports that a request was not sent because an engine does not admit it.
type HeldError struct {
	Engine    *citronpool.Engine
	Admission citronpool.Admission
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("engine %s does not admit the request: %T", e.Engine.Addr, e.Admission)
}

// IsHeld reports whether err means that the gate held a request back.
func IsHeld(err error) bool {
	var held *HeldError
	return errors.As(err, &held)
}

// Check returns a *HeldError if one of the engines does not admit the request with the given
// ID now. It uses the newest state of each engine: it may have changed since the engine was
// chosen.
func (g *Gate) Check(ctx context.Context, request string, engines ...*citronpool.Engine) error {
	now := g.Clock.Now()
	for _, e := range engines {
		e = g.newest(e)
		switch a := e.Admission(now).(type) {
		case citronpool.Open:
		case citronpool.CoolingDown:
			g.LogHeld(ctx, request, e, PassedOver, a.Left)
			return &HeldError{e, a}
		default:
			return &HeldError{e, a}
		}
	}
	return nil
}

// Send sends a call, unless an engine of its path does not admit it, and records the notices
// in the response.
func (g *Gate) Send(ctx context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	if err := g.Check(ctx, c.ID, Engines(c.Engine, c.EnginePath)...); err != nil {
		return nil, err
	}
	before := g.Limits.Get(c.Engine.ID)
	if before.Limited {
		g.Metrics.LimitedSends.Inc()
	}
	sent := g.Clock.Now()
	reply, err := g.Upstream.Send(ctx, c)
	if c.Engine.CooldownBetween(sent, g.Clock.Now()) {
		g.Metrics.CooldownStragglers.Inc()
	}
	if err == nil && reply.Status != http.StatusMisdirectedRequest { // 421 comes from another engine
		g.noteRateLimit(ctx, c, before, reply)
		g.noteCooldown(ctx, c, reply)
		g.noteLeaving(ctx, c, reply)
	}
	return reply, err
}

// newest returns the engine with the ID of e from the newest list, or e if it is not in
// there. An engine may have been out of the list since e was chosen and have another state.
func (g *Gate) newest(e *citronpool.Engine) *citronpool.Engine {
	if current, ok := g.View().ByID(e.ID); ok {
		return current
	}
	return e
}

// Engines returns the engines that receive a request: those of its path, or e if it has none.
func Engines(e *citronpool.Engine, p citronpath.Path) []*citronpool.Engine {
	if len(p) == 0 {
		return []*citronpool.Engine{e}
	}
	out := make([]*citronpool.Engine, len(p))
	for i, h := range p {
		out[i] = h.Engine
	}
	return out
}

// Outcome tells what became of a request that was not sent because of a cool-down.
type Outcome string

const (
	// PassedOver means that the request tries another engine.
	PassedOver Outcome = "passed over"
	// Waits means that it waits for the end of the cool-down.
	Waits Outcome = "waits"
	// Refused means that it is refused.
	Refused Outcome = "refused"
)

// LogHeld logs that a request was not sent to an engine because of its cool-down.
func (g *Gate) LogHeld(ctx context.Context, request string, e *citronpool.Engine, o Outcome, wait time.Duration) {
	citronevent.Log(ctx, g.Log, citronevent.CooldownHeld, "request", request, "engine", e.ID, "peer", e.Addr, "outcome", string(o), "wait", wait)
}
