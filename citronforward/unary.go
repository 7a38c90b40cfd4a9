package citronforward

// Unary requests: the response arrives in one piece, from one engine of a plain service
// or from a path of engines that run a model.

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citrongate"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronserve"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// outcome is the result class of one call to an engine.
type outcome int

const (
	// answered: the engine returned a complete response of its own.
	answered outcome = iota
	// failed: the engine returned a complete response that reports a failure (5xx).
	failed
	// notRun: the engine certainly did not run the request and will not run it.
	notRun
	// unknown: the engine may have run the request.
	unknown
	// held: the request was not sent, because the engine does not admit it.
	held
)

func (o outcome) String() string {
	return [...]string{"answered", "failed", "notRun", "unknown", "held"}[o]
}

// result is the outcome of one call, with the response if there is one.
type result struct {
	outcome outcome
	status  int
	header  http.Header
	body    []byte
	err     error
	// untilClose is citronupstream.Reply.UntilClose.
	untilClose bool
}

const (
	// maxAnswerBytes bounds how much of a response is buffered before it is passed on.
	// Unary responses of plain services are a few kilobytes.
	maxAnswerBytes = 8 << 20
	// defaultAnswerBytes is the default of Forwarder.AnswerBytes.
	defaultAnswerBytes = 24 << 20
	// attemptTargets is how long an idempotent request waits for one engine before it
	// tries another, in multiples of the route's target latency.
	attemptTargets = 2
)

// serveUnary serves a request whose response arrives in one piece.
func (j *job) serveUnary(ctx context.Context) {
	defer j.releaseBodies()
	var fallback *result
	reason := "no engine answered"
	for {
		s := j.f.Current()
		e, hops, ok := j.pickEngine(s)
		if !ok {
			if j.beginPermitWait() || j.waitForCooldown(ctx) {
				continue
			}
			reason = j.heldReason(reason)
			break
		}
		if !j.takePermits(ctx, citrongate.Engines(e, hops)...) {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		if quarantined, ok := j.quarantined(); ok {
			reason = quarantined
			break
		}
		j.trialPending = false
		began := j.f.Clock.Now()
		res := j.attempt(ctx, e, hops)
		if res.outcome == held {
			continue
		}
		j.f.Metrics.Attempts.WithLabelValues(res.outcome.String()).Inc()
		if res.outcome == answered {
			j.recordAnswered(res, began)
			j.f.Metrics.UnaryDuration.Observe(j.f.Clock.Now().Sub(j.Received).Seconds())
			j.out.Answer(res.status, res.header, res.body)
			j.logSample("engine", e.ID, "status", res.status, "runs", j.runs+1)
			return
		}
		j.logAttempt(e, res)
		if e.CoolingFor(j.f.Clock.Now()) == 0 {
			j.avoid[e.ID] = true
		}
		if res.outcome == notRun {
			j.refused++
			if ctx.Err() != nil || j.isQuarantined() {
				break
			}
			if !j.engineLeft() {
				reason = j.heldReason(reason)
				break
			}
			if !j.mayTryNextEngine() {
				break
			}
			continue
		}
		// Count the run before anything else: once a call may have run, no exit from
		// this loop may tell the caller that the request did not run.
		j.runs++
		switch {
		case res.outcome == failed:
			fallback = &res
		case ctx.Err() == nil:
			j.notePartCrash(ctx, e, began, time.Time{})
		}
		if ctx.Err() != nil || !j.mayRetry() {
			break
		}
	}
	if fallback != nil {
		j.out.Answer(fallback.status, fallback.header, fallback.body)
		return
	}
	j.giveUp(ctx, reason)
}

// recordAnswered records that a run has been answered. A body that ends with its connection
// does not show that the engine has survived the run.
func (j *job) recordAnswered(res result, began time.Time) {
	if !res.untilClose {
		j.markSuccessful(began)
	}
}

// logAttempt logs a failed attempt. more holds further keys and values for the log line.
func (j *job) logAttempt(e *citronpool.Engine, res result, more ...any) {
	args := []any{"request", j.ID, "print", j.fingerprint(), "service", j.service.Name, "engine", e.ID, "peer", e.Addr, "outcome", res.outcome.String(), "status", res.status, "runs", j.runs, "list", j.list.String(), "left", j.timeLeft()}
	if res.err != nil {
		args = append(args, "err", res.err)
	}
	citronevent.Log(context.Background(), j.f.Log, citronevent.AttemptFailed, append(args, more...)...)
}

// attempt sends the request to one engine and reads the complete response.
func (j *job) attempt(ctx context.Context, e *citronpool.Engine, hops citronpath.Path) result {
	if timeout := attemptTargets * j.route.TargetLatency; j.route.Idempotent() && timeout > 0 && j.runs+1 < j.route.MaxAttempts && timeout < j.timeLeft() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	defer e.Begin(j.Tokens())()
	begin := j.f.Clock.Now()
	reply, err := j.f.Gate().Send(ctx, citronupstream.Call{Request: j.Request, Engine: e, EnginePath: hops, Customer: j.customer, TimeLeft: j.timeLeft(), NoRetry: !j.route.Idempotent()})
	if err != nil {
		return j.classifyError(e, err)
	}
	defer reply.Body.Close()
	if reply.NotExecuted {
		citronbody.Drain(reply.Body)
		j.noteRefusal(e, reply)
		return result{outcome: notRun, status: reply.Status}
	}
	if reply.Length > maxAnswerBytes {
		return result{outcome: unknown, status: reply.Status, err: errors.Newf("response of %d bytes, more than %d", reply.Length, maxAnswerBytes)}
	}
	body, err := j.readAnswer(reply.Body)
	if err == nil && reply.UntilClose && j.f.hasEnded(ctx, e, 0) {
		err = errEndedWithEngine
	}
	if err != nil {
		return j.classifyError(e, errors.Wrap(err, "read response"))
	}
	if !reply.FromEngine && reply.Status < 300 || reply.Header.Get("Content-Encoding") != "" {
		return result{outcome: unknown, status: reply.Status, err: errors.New("response lacks the engine's signature or has a content encoding")}
	}
	res := result{outcome: answered, status: reply.Status, header: reply.Header, body: body, untilClose: reply.UntilClose}
	if reply.Status >= 500 {
		res.outcome = failed
		return res
	}
	e.RecordResponse(begin, j.f.Clock.Now())
	return res
}

// readAnswer reads the body of a response that is passed on as a whole. It is held until the
// request ends.
func (j *job) readAnswer(r io.Reader) ([]byte, error) {
	body, release, err := j.f.bodies().ReadAll(r, maxAnswerBytes)
	j.held = append(j.held, release)
	return body, err
}

// releaseBodies ends the hold on the bodies that the request has read.
func (j *job) releaseBodies() {
	for _, release := range j.held {
		release()
	}
}

// classifyError classifies a failed call. A call is known not to have run only if no byte
// of it left this node.
func (j *job) classifyError(e *citronpool.Engine, err error) result {
	switch {
	case citrongate.IsHeld(err):
		return result{outcome: held, err: err}
	case errors.Is(err, citronupstream.ErrNotSent):
		citronprobe.RecordDead(e, err, j.f.Clock.Now())
		return result{outcome: notRun, err: err}
	case errors.IsAny(err, context.Canceled, citronserve.ErrStopped, citronbody.ErrNoRoom):
		return result{outcome: unknown, err: err} // the engine is not at fault
	default:
		e.RecordFailure(j.f.Clock.Now())
		return result{outcome: unknown, err: err}
	}
}

const (
	// busyPause is how long a full engine is skipped: long enough for a few of its
	// running requests to end.
	busyPause = 150 * time.Millisecond
)

// noteRefusal records which engine refused the request. If the refusal names another
// engine as its cause, that engine is accused instead.
func (j *job) noteRefusal(e *citronpool.Engine, reply *citronupstream.Reply) {
	now := j.f.Clock.Now()
	if accused, ok := j.f.Current().View.ByAddr(reply.AccusedAddr); reply.AccusedAddr != "" && ok {
		j.avoid[accused.ID] = true
		wasAccused := accused.Accused(now)
		if accused.Accuse(now) && j.f.Accuse != nil {
			j.f.Accuse(accused)
		}
		// The accused engine may be full or dead. Streams that run through it need to
		// know which, so probe it.
		j.f.ProbeAccused(accused, wasAccused)
		return
	}
	if reply.Status == http.StatusMisdirectedRequest {
		e.RecordFailure(now)
		return
	}
	if e.CoolingFor(now) == 0 { // otherwise the engine itself said how long
		e.Avoid(now, busyPause)
	}
}

// otherZoneCost is added to the cost of engines in other zones. At latencies around 15 ms,
// they are selected only if the engines of this zone take about one and a half times as long
// or already have a request running.
const otherZoneCost = 8 * time.Millisecond

// pickEngine returns the engine that is expected to answer first. For a model it
// returns the first engine of a path, and the path.
func (j *job) pickEngine(s *State) (*citronpool.Engine, citronpath.Path, bool) {
	if j.service.Model != nil {
		p, ok := j.path(s, "")
		if !ok {
			return nil, nil, false
		}
		return p[0].Engine, p, true
	}
	j.list = s.ListRevision
	now := j.f.Clock.Now()
	var best *citronpool.Engine
	var bestCost time.Duration
	for _, lenient := range []bool{false, true} {
		// The second pass accepts engines that recently failed other requests: such an
		// engine is better than none.
		for _, e := range s.View.ByService[j.service.Name] {
			if _, open := e.Admission(now).(citronpool.Open); !open || j.avoid[e.ID] || (!lenient && !e.Healthy(now)) || (!j.permits.mayWait && e.ThrottledFor(now) > 0) {
				continue
			}
			if c := plainCost(e, j.f.Zone, now); best == nil || c < bestCost {
				best, bestCost = e, c
			}
		}
		if best != nil {
			return best, nil, true
		}
	}
	return nil, nil, false
}

// plainCost estimates how long an engine of a plain service takes to answer, queueing
// included.
func plainCost(e *citronpool.Engine, zone string, now time.Time) time.Duration {
	c := e.Latency(now) * time.Duration(1+e.Inflight())
	if e.Zone != zone {
		c += otherZoneCost
	}
	return c
}

// path selects a path for the request's model.
func (j *job) path(s *State, first string) (citronpath.Path, bool) {
	return citronpath.Choose(s.View.ByService[j.service.Name], j.query(s, first))
}

// query returns the query that selects a path for the request. If first is not empty, the
// path must begin with that engine.
func (j *job) query(s *State, first string) citronpath.Query {
	j.list = s.ListRevision
	return citronpath.Query{
		CanWait: j.permits.mayWait, Tokens: j.Tokens(),
		Spec: *j.service.Model, Zone: j.f.Zone, Now: j.f.Clock.Now(), Avoid: j.avoid, FirstID: first, OthersTokens: s.OtherNodesCache, OwnTokens: j.f.Loads.ZoneTotals(), ZoneCost: j.zoneJitter,
	}
}

// maxZoneJitter is the maximum random cost added to a zone other than this node's, in
// the unit of citronpath's costs: milliseconds per token step.
const maxZoneJitter = 15

// drawZoneJitter draws a random cost for one request for each zone whose load is known
// from other nodes.
func drawZoneJitter(s *State) map[string]float64 {
	out := map[string]float64{}
	for zone := range s.OtherNodesCache {
		out[zone] = maxZoneJitter * rand.Float64()
	}
	return out
}
