package citronforward

// Requests that crash engines.
//
// A caller may send a request that crashes every engine that begins to run it, and may
// send it again to any node. Retried from engine to engine, such a request stops the
// engines of one zone after the other. Each engine whose process ends during a run, before
// the request has run successfully, is therefore recorded under the request's fingerprint
// and shared with all nodes (citronquarantine). A request that would be quarantined after
// one more crash is a suspect: it is not retried after a failed run. A quarantined request
// is refused before it is sent.

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
	// minSuccessfulRun is how long a run must continue after its first event to prove that the
	// request does not crash engines.
	minSuccessfulRun = 500 * time.Millisecond
	// maxCrashReportAge is the maximum age of an engine report that is used to decide
	// whether the engine ended during a run. It is long enough for streams that break
	// together to share one report.
	maxCrashReportAge = 5 * time.Millisecond
)

const reasonQuarantined = "engines ended under this request"

// checkQuarantine reports whether the request may run, and refuses it if not. A refused
// request has not run under this ID and can be sent again once the quarantine ends. end
// must be called when the request is finished.
func (j *job) checkQuarantine() (end func(), ok bool) {
	end = func() {}
	if j.f.Quarantine.Empty() {
		return end, true
	}
	switch v := j.f.Quarantine.Admit(j.fingerprint()).(type) {
	case citronquarantine.Quarantined:
		j.f.refuse(j.Request, j.out, http.StatusServiceUnavailable, v.RetryAfter, reasonQuarantined, "service", j.service.Name, "route", j.route.Name, "customer", j.customer, "print", j.fingerprint(), "crashes", v.Crashes)
		return end, false
	case citronquarantine.TrialRun:
		return v.End, true
	}
	return end, true
}

// quarantined reports whether the request has been quarantined since it was admitted, for
// itself or for a part of its prompt, and returns the reason for the caller.
func (j *job) quarantined() (reason string, ok bool) {
	if !j.f.Quarantine.Empty() {
		if left, ok := j.f.Quarantine.QuarantinedFor(j.fingerprint()); ok {
			j.retryAfter = left
			return reasonQuarantined, true
		}
	}
	if v, ok := j.refusedPart(); ok && !j.trialPending {
		j.retryAfter = v.RetryAfter
		return reasonPart, true
	}
	return "", false
}

// isQuarantined is quarantined without the reason.
func (j *job) isQuarantined() bool {
	_, ok := j.quarantined()
	return ok
}

// isSuspect reports whether the request must not be sent again after a failed run: it or a
// part of its prompt is quarantined, or one more crash would quarantine it.
func (j *job) isSuspect() bool {
	if _, refused := j.refusedPart(); refused {
		return true
	}
	return !j.f.Quarantine.Empty() && j.f.Quarantine.IsSuspect(j.fingerprint())
}

// markSuccessful records that the request has run successfully, in a run whose response
// began at start.
func (j *job) markSuccessful(start time.Time) {
	if j.ranSuccessfully {
		return
	}
	j.ranSuccessfully = true
	for _, p := range j.f.Parts.RecordSuccess(j.promptParts(), start) {
		citronevent.Log(context.Background(), j.f.Log, citronevent.PartReleased, "request", j.ID, "part", p, "source", "own")
	}
	if !j.f.Quarantine.Empty() {
		j.f.Quarantine.RecordSuccess(j.fingerprint())
	}
}

// noteCrash checks whether the engine's process ended during a failed run that started
// at began. If it did, noteCrash records a crash, unless the request has already run
// successfully. firstEvent is the time of the run's first event, or zero if there was none.
func (j *job) noteCrash(ctx context.Context, e *citronpool.Engine, began, firstEvent time.Time) {
	if !j.f.hasEnded(ctx, e, maxCrashReportAge) || j.ranSuccessfully {
		return
	}
	r, changed := j.f.Quarantine.RecordCrash(j.fingerprint(), e.ID, began)
	if !changed {
		return
	}
	var running time.Duration
	if !firstEvent.IsZero() {
		running = j.f.Clock.Now().Sub(firstEvent)
	}
	args := []any{"request", j.ID, "print", j.fingerprint(), "engine", e.ID, "peer", e.Addr, "crashes", r.ActiveCrashes(), "parts", j.promptParts(), "running", running}
	citronevent.Log(ctx, j.f.Log, citronevent.RunCrashed, args...)
	j.f.Metrics.Crashes.Inc()
	if _, quarantined := j.f.Quarantine.QuarantinedFor(j.fingerprint()); quarantined {
		citronevent.Log(ctx, j.f.Log, citronevent.RequestQuarantined, append(args, "source", "own")...)
	}
}

// errEndedWithEngine means that a body which ends with its connection ended when its engine
// did. It may lack its end.
var errEndedWithEngine = errors.New("response and engine ended together")

// notePartCrash is noteCrash for the engine that was to respond and whose connection broke. Only
// such a crash counts against the parts of the prompt: an engine that is cut off from the
// network refuses connections as well, and would be found ended by each stream through it.
func (j *job) notePartCrash(ctx context.Context, e *citronpool.Engine, began, firstEvent time.Time) {
	if j.f.hasEnded(ctx, e, maxCrashReportAge) && !j.ranSuccessfully {
		j.f.Parts.RecordCrash(citronquarantine.EngineKey(e.ID), j.partsRun())
	}
	j.noteCrash(ctx, e, began, firstEvent)
}

// hasEnded reports whether the engine's process has ended, and asks the engine if this
// is not yet known. A report that is no older than maxAge may be used. A process that merely
// does not answer has not ended.
func (f *Forwarder) hasEnded(ctx context.Context, e *citronpool.Engine, maxAge time.Duration) bool {
	if e.Ended() {
		return true
	}
	report, err := f.prober().Report(context.WithoutCancel(ctx), f.Upstream, e.Addr, maxAge)
	switch {
	case err == nil:
		citronprobe.RecordReport(e, report, f.Clock.Now())
	case errors.Is(err, syscall.ECONNREFUSED):
		citronprobe.RecordDead(e, err, f.Clock.Now())
	}
	return e.Ended()
}
