package citronforward

// Requests that crash engines.
//
// The load it answers: a request ends each engine that begins to run it, and its
// caller sends it again, to any node. Sent on from engine to engine it takes one
// zone after the other down. So each engine that ends under a run that has just
// begun is noted with the request's fingerprint, for all nodes (citronquarantine).
// A request that would be barred after one more is not sent on after a run that
// failed, and one that is barred is refused before it is sent.

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronquarantine"
	"github.com/cockroachdb/errors"
)

const (
	// provenRun is how long a run has to go on after its first event to prove
	// that the request does not crash engines.
	provenRun = 500 * time.Millisecond
	// sameEnd is how old an engine's report may be that tells whether the engine
	// has ended under a run: the streams that break together ask once.
	sameEnd = 5 * time.Millisecond
)

const reasonBarred = "engines ended under this request"

// admitted reports whether the request may run, and refuses it if not. It has not
// run under this id then, and can be sent again when it is let through. end is to
// be called when the request is over.
func (j *job) admitted() (end func(), ok bool) {
	end = func() {}
	if j.f.Quarantine.Empty() {
		return end, true
	}
	switch v := j.f.Quarantine.Admit(j.fingerprint()).(type) {
	case citronquarantine.Barred:
		j.f.refuse(j.Request, j.out, http.StatusServiceUnavailable, v.Left, reasonBarred, "service", j.service.Name, "customer", j.customer, "print", j.fingerprint(), "crashes", v.Crashes)
		return end, false
	case citronquarantine.Trial:
		return v.End, true
	}
	return end, true
}

// barred reports whether the request has been barred since it was let in.
func (j *job) barred() bool {
	if j.f.Quarantine.Empty() {
		return false
	}
	left, barred := j.f.Quarantine.Blocked(j.fingerprint())
	if barred {
		j.retryAfter = left
	}
	return barred
}

// suspect reports whether one more crash would bar the request.
func (j *job) suspect() bool {
	return !j.f.Quarantine.Empty() && j.f.Quarantine.Suspect(j.fingerprint())
}

// proven notes that the request has run well.
func (j *job) proven() {
	if j.sound {
		return
	}
	j.sound = true
	if !j.f.Quarantine.Empty() {
		j.f.Quarantine.Succeeded(j.fingerprint())
	}
}

// noteCrash finds out whether an engine has ended under a run of the request that
// broke off and had begun at a moment, and notes it if the request had not run well.
func (j *job) noteCrash(ctx context.Context, e *citronpool.Engine, began time.Time) {
	if !j.f.hasEnded(ctx, e) || j.sound {
		return
	}
	r, news := j.f.Quarantine.Crashed(j.fingerprint(), e.ID, began)
	if !news {
		return
	}
	args := []any{"request", j.ID, "print", j.fingerprint(), "engine", e.ID, "peer", e.Addr, "crashes", r.Standing()}
	citronevent.Log(ctx, j.f.Log, citronevent.RunCrashed, args...)
	j.f.Metrics.Crashes.Inc()
	if j.barred() {
		citronevent.Log(ctx, j.f.Log, citronevent.RequestBarred, append(args, "source", "own")...)
	}
}

// hasEnded asks an engine whether its process has ended, unless that is known. A
// process that only does not answer has not.
func (f *Forwarder) hasEnded(ctx context.Context, e *citronpool.Engine) bool {
	if e.Ended() {
		return true
	}
	report, err := f.probes.Ask(context.WithoutCancel(ctx), f.Upstream, e.Addr, sameEnd)
	switch {
	case err == nil:
		citronprobe.Heard(e, report, f.Clock.Now())
	case errors.Is(err, syscall.ECONNREFUSED):
		citronprobe.Dead(e, err, f.Clock.Now())
	}
	return e.Ended()
}
