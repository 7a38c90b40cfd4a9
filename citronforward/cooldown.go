package citronforward

// Cool-downs that engines ask this node for when they refuse a request. A request that
// only engines in their cool-down could run waits for the first of them if that leaves it
// enough time, and is refused at once if not.

import (
	"context"
	"math/rand/v2"
	"time"

	"citrondeck.dev/citrondeck/citrongate"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
)

const (
	reasonCooling = "upstreams have asked for a cool-down"
	// cooldownSpread is the time after the end of a cool-down over which the requests
	// that waited for it, and the callers that were refused, return.
	cooldownSpread = 300 * time.Millisecond
)

// soonestCooldownEnd returns the engine that the request has to wait for longest if it
// waits for the end of cool-downs, and for how long. ok is false if no engine or path could
// run the request even then.
func (j *job) soonestCooldownEnd() (e *citronpool.Engine, left time.Duration, ok bool) {
	s, now := j.f.Current(), j.f.Clock.Now()
	if j.service.Model == nil {
		return j.soonestCoolingEngine(s, now)
	}
	q := j.query(s, "")
	for _, within := range []time.Duration{j.maxWait(), citronupstream.MaxCooldown} {
		q.CoolingWithin = within
		p, found := citronpath.Choose(s.View.ByService[j.service.Name], q)
		if !found {
			continue
		}
		for _, h := range p {
			if c := h.Engine.CoolingFor(now); c > left {
				e, left = h.Engine, c
			}
		}
		return e, left, left > 0
	}
	return nil, 0, false
}

// soonestCoolingEngine returns the engine of a plain service whose cool-down ends first.
func (j *job) soonestCoolingEngine(s *State, now time.Time) (e *citronpool.Engine, left time.Duration, ok bool) {
	for _, candidate := range s.View.ByService[j.service.Name] {
		cooling, ok := candidate.Admission(now).(citronpool.CoolingDown)
		if ok && !j.avoid[candidate.ID] && (e == nil || cooling.Left < left) {
			e, left = candidate, cooling.Left
		}
	}
	return e, left, e != nil
}

// waitForCooldown waits for the end of the cool-down of an engine that can run the
// request. A request waits only once, and not for longer than maxWait. If it does not
// wait, waitForCooldown returns false, and heldReason gives the reason.
func (j *job) waitForCooldown(ctx context.Context) bool {
	e, left, ok := j.soonestCooldownEnd()
	if !ok {
		return false
	}
	j.cooldown.endsIn = left + rand.N(cooldownSpread)
	spare := j.maxWait() - left
	if j.cooldown.waited || spare <= 0 {
		j.f.Gate().LogHeld(ctx, j.ID, e, citrongate.Refused, left)
		return false
	}
	j.cooldown.waited = true
	wait := left + rand.N(min(spare, cooldownSpread))
	j.f.Gate().LogHeld(ctx, j.ID, e, citrongate.Waits, wait)
	return j.f.Clock.Sleep(ctx, wait) == nil
}

// cooldownWait tracks what a request knows of the cool-downs that hold it back.
type cooldownWait struct {
	// waited reports that the request has waited for a cool-down.
	waited bool
	// endsIn is the time after which an engine may run the request, zero if no cool-down
	// held it back.
	endsIn time.Duration
}

// engineLeft reports whether there is an engine that the request could still be sent to,
// at once or after a wait. If there is none, a retry would only use up budget.
func (j *job) engineLeft() bool {
	if _, _, ok := j.pickEngine(j.f.Current()); ok || j.f.Limits.CountLimited() > 0 {
		return true
	}
	_, left, ok := j.soonestCooldownEnd()
	if ok {
		j.cooldown.endsIn = left + rand.N(cooldownSpread)
	}
	return ok && !j.cooldown.waited && left < j.maxWait()
}

// heldReason returns why the request cannot be sent to any engine, and sets retryAfter, if
// that is because of rate limits or cool-downs. It returns other if not.
func (j *job) heldReason(other string) string {
	limited := j.rateLimitsExhausted()
	if j.cooldown.endsIn > 0 && (!limited || j.cooldown.endsIn < j.retryAfter) {
		j.retryAfter = j.cooldown.endsIn
		return reasonCooling
	}
	if limited {
		return reasonLimited
	}
	return other
}
