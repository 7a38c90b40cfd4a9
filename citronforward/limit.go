package citronforward

// Rate limits that engines name in their answers. All calls of requests to engines go
// through send.

import (
	"context"
	"net/http"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronupstream"
)

// send sends a call, and notes what its answer says of the engine's rate limit.
func (f *Forwarder) send(ctx context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	before := f.Limits.Of(c.Engine.ID)
	if before.Limited {
		f.Metrics.LimitedSends.Inc()
	}
	reply, err := f.Upstream.Send(ctx, c)
	if err == nil {
		f.heardLimit(ctx, c, before, reply)
	}
	return reply, err
}

// heardLimit takes what an answer says of the limit. Only an answer of the engine's
// own can end it.
func (f *Forwarder) heardLimit(ctx context.Context, c citronupstream.Call, before citronlimit.Record, reply *citronupstream.Reply) {
	if reply.Status == http.StatusMisdirectedRequest {
		return
	}
	switch l := reply.RateLimit.(type) {
	case citronupstream.NoRateLimit:
		if !reply.Signed {
			return
		}
	case citronupstream.InvalidRateLimit:
		f.Metrics.InvalidLimits.Inc()
		if _, logged := f.invalidLimits.LoadOrStore(c.Engine.ID, true); !logged {
			citronevent.Log(ctx, f.Log, citronevent.LimitInvalid, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "text", string(l))
		}
		return
	}
	if r, news := f.Limits.Heard(c.Engine.ID, before, reply.RateLimit); news {
		citronevent.Log(ctx, f.Log, citronevent.LimitNamed, "engine", c.Engine.ID, "peer", c.Engine.Addr, "request", c.ID, "limited", r.Limited, "perSecond", r.PerSecond, "version", r.Version)
	}
}
