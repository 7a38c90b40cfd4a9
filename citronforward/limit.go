package citronforward

// Rate limits that engines name in their answers.
//
// The load it answers: an engine in need takes a few requests a second from all nodes
// together, at any time and for as long as it says so. Whatever is sent to it takes a
// permit first (citronpermit): a first send, a repeat, a stream that is resumed or moved
// there. Who gets none goes to another engine at once. Who finds no other waits for a
// permit, for a part of the time that its caller has, or is refused.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citrontable"
	"citrondeck.dev/citrondeck/citronupstream"
)

const (
	reasonLimited = "upstreams' rate limits are used up"
	// permitShare is the part of the time that a caller has left which may go into
	// waiting for a permit.
	permitShare = 0.5
	// permitTargets is how many times the target for its first event a stream may wait
	// for a permit: callers leave one that is silent for a few of these, and the prompt
	// has to be read in the rest.
	permitTargets = 2
	// mostDenied is how many engines may deny a request a permit before it keeps to those
	// that name no limit.
	mostDenied = 8
)

// permits is what a request has asked of engines that name a limit.
type permits struct {
	// patient: no engine can take the request at once, so that it waits.
	patient bool
	denied  int
	// free is when the first of the engines that were asked has a permit again.
	free time.Duration
}

// permitted takes a permit of each engine that names a limit, and reports whether the
// request may be sent to them.
func (j *job) permitted(ctx context.Context, engines ...*citronpool.Engine) bool {
	for _, e := range engines {
		if j.f.Limits.Of(e.ID).Limited && !j.permit(ctx, e) {
			return false
		}
	}
	return true
}

func (j *job) permit(ctx context.Context, e *citronpool.Engine) bool {
	switch d := j.ask(ctx, e).(type) {
	case citronpermit.Granted:
		j.f.Metrics.Permits.WithLabelValues("granted").Inc()
		if d.After <= 0 {
			return true
		}
		j.logHeld(e, "waits", d.After)
		return j.f.Clock.Sleep(ctx, d.After) == nil && j.stillSound(e)
	case citronpermit.Denied:
		j.f.Metrics.Permits.WithLabelValues("denied").Inc()
		j.deniedBy(e, d)
	}
	return false
}

// ask asks for a permit, unless this node was told not to ask again so soon.
func (j *job) ask(ctx context.Context, e *citronpool.Engine) citronpermit.Decision {
	patience := j.patience()
	if throttled := e.ThrottledFor(j.f.Clock.Now()); throttled > patience {
		return citronpermit.Denied{Free: throttled, Again: throttled}
	}
	return j.f.Permit(ctx, e, patience)
}

// patience is how long the request may wait for a permit.
func (j *job) patience() time.Duration {
	if !j.permits.patient {
		return 0
	}
	patience := time.Duration(permitShare * float64(max(0, j.left())))
	if j.route.Kind == citrontable.Streaming && j.route.Target > 0 {
		patience = min(patience, permitTargets*j.route.Target)
	}
	return patience
}

// deniedBy has this node leave an engine alone whose limit is used up.
func (j *job) deniedBy(e *citronpool.Engine, d citronpermit.Denied) {
	e.Throttle(j.f.Clock.Now(), d.Again)
	if j.permits.denied == 0 {
		j.logHeld(e, "denied", d.Free)
	}
	if j.permits.denied == 0 || d.Free < j.permits.free {
		j.permits.free = d.Free
	}
	j.permits.denied++
	switch {
	case j.permits.patient:
		j.avoid[e.ID] = true
	case j.permits.denied == mostDenied:
		j.avoidLimited()
	}
}

// avoidLimited keeps the request from all engines that name a limit.
func (j *job) avoidLimited() {
	for _, e := range j.f.Current().View.ByService[j.service.Name] {
		if j.f.Limits.Of(e.ID).Limited {
			j.avoid[e.ID] = true
		}
	}
}

// stillSound reports whether an engine for which the request has waited may get it.
func (j *job) stillSound(e *citronpool.Engine) bool {
	now, ok := j.f.Current().View.ByID(e.ID)
	return ok && now.Sound(j.f.Clock.Now())
}

func (j *job) logHeld(e *citronpool.Engine, outcome string, wait time.Duration) {
	citronevent.Log(context.Background(), j.f.Log, citronevent.LimitHeld, "request", j.ID, "service", j.service.Name, "engine", e.ID, "peer", e.Addr, "perSecond", j.f.Limits.Of(e.ID).PerSecond, "outcome", outcome, "wait", wait)
}

// waitsForPermit has a request that no engine can take at once look for one whose rate
// limit lets it in later, and reports whether there may be any.
func (j *job) waitsForPermit() bool {
	if j.permits.patient || j.f.Limits.Limited() == 0 {
		return false
	}
	j.permits.patient = true
	return true
}

// limitsUsedUp reports whether the request is refused because of rate limits, and has
// its caller come back when there is a permit.
func (j *job) limitsUsedUp() bool {
	if j.permits.denied == 0 {
		return false
	}
	j.retryAfter = max(j.permits.free, returnAfter(j.left(), rand.Float64()))
	return true
}

// targets are the engines that get a request: those of its path if it has one.
func targets(e *citronpool.Engine, p citronpath.Path) []*citronpool.Engine {
	if len(p) == 0 {
		return []*citronpool.Engine{e}
	}
	return engines(p)
}

// engines of a path.
func engines(p citronpath.Path) []*citronpool.Engine {
	out := make([]*citronpool.Engine, len(p))
	for i, h := range p {
		out[i] = h.Engine
	}
	return out
}

// added are the engines of a path that a stream does not run on yet.
func (s *streamJob) added(p citronpath.Path) []*citronpool.Engine {
	var out []*citronpool.Engine
	for _, h := range p {
		if !s.path.Has(h.Engine.ID) {
			out = append(out, h.Engine)
		}
	}
	return out
}

// mayAdd takes a permit to move a running stream to an engine.
func (f *Forwarder) mayAdd(ctx context.Context, e *citronpool.Engine) bool {
	if !f.Limits.Of(e.ID).Limited {
		return true
	}
	d, denied := f.Permit(ctx, e, 0).(citronpermit.Denied)
	if denied {
		e.Throttle(f.Clock.Now(), d.Again)
	}
	return !denied
}

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
