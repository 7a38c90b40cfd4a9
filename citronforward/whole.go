package citronforward

// Requests whose answer comes in one piece, from one engine of a plain
// service (or of a model, over a path).

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// outcome is what a sent call came to.
type outcome int

const (
	// answered: a whole answer of the engine's own.
	answered outcome = iota
	// failed: a whole answer that tells of a failure (5xx).
	failed
	// notRun: the engine certainly did not and will not run it.
	notRun
	// unknown: it may have run.
	unknown
)

func (o outcome) String() string { return [...]string{"answered", "failed", "notRun", "unknown"}[o] }

// result is the outcome of one call with the answer, if there is one.
type result struct {
	outcome outcome
	status  int
	header  http.Header
	body    []byte
	err     error
}

const (
	// maxAnswerBytes bounds what is kept of an answer before it is passed
	// on; whole answers of plain services are some kilobytes.
	maxAnswerBytes = 8 << 20
	// impatience is how many targets a safe request waits for one engine before
	// another is tried.
	impatience = 2
)

// whole serves a request whose answer comes in one piece.
func (j *job) whole(ctx context.Context) {
	var fallback *result
	reason := "no engine answered"
	for {
		s := j.f.Current()
		e, hops, ok := j.pick(s)
		if !ok {
			if j.waitsForPermit() {
				continue
			}
			if j.limitsUsedUp() {
				reason = reasonLimited
			}
			break
		}
		if !j.permitted(ctx, targets(e, hops)...) {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		began := j.f.Clock.Now()
		res := j.attempt(ctx, e, hops)
		j.f.Metrics.Attempts.WithLabelValues(res.outcome.String()).Inc()
		if res.outcome == answered {
			j.proven()
			j.f.Metrics.Whole.Observe(j.f.Clock.Now().Sub(j.Received).Seconds())
			j.out.Answer(res.status, res.header, res.body)
			j.answered("engine", e.ID, "status", res.status, "runs", j.runs+1)
			return
		}
		j.logAttempt(e, res)
		j.avoid[e.ID] = true
		if res.outcome == notRun {
			j.refused++
			if ctx.Err() != nil || j.barred() || !j.mayMove() {
				break
			}
			continue
		}
		// Counted before anything else: once a call may have run, no way
		// out of here may tell the caller that the request did not.
		j.runs++
		switch {
		case res.outcome == failed:
			fallback = &res
		case ctx.Err() == nil:
			j.noteCrash(ctx, e, began)
		}
		if ctx.Err() != nil || !j.mayRepeat() {
			break
		}
	}
	if fallback != nil {
		j.out.Answer(fallback.status, fallback.header, fallback.body)
		return
	}
	j.giveUp(ctx, reason)
}

func (j *job) logAttempt(e *citronpool.Engine, res result, more ...any) {
	args := []any{"request", j.ID, "print", j.fingerprint(), "service", j.service.Name, "engine", e.ID, "peer", e.Addr, "outcome", res.outcome.String(), "status", res.status, "runs", j.runs, "list", j.list.String(), "left", j.left()}
	if res.err != nil {
		args = append(args, "err", res.err)
	}
	citronevent.Log(context.Background(), j.f.Log, citronevent.AttemptFailed, append(args, more...)...)
}

// attempt sends the request to one engine and reads the whole answer.
func (j *job) attempt(ctx context.Context, e *citronpool.Engine, hops citronpath.Path) result {
	if patience := impatience * j.route.Target; j.route.Idempotent() && patience > 0 && j.runs+1 < j.route.MaxAttempts && patience < j.left() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	defer e.Begin(j.Tokens())()
	begin := j.f.Clock.Now()
	reply, err := j.f.send(ctx, citronupstream.Call{Request: j.Request, Engine: e, Hops: hops, Customer: j.customer, Left: j.left(), Once: !j.route.Idempotent()})
	if err != nil {
		return j.judge(e, err)
	}
	defer reply.Body.Close()
	if reply.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxAnswerBytes)) // so that the connection can be kept
		j.refusedBy(e, reply)
		return result{outcome: notRun, status: reply.Status}
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return j.judge(e, errors.Wrap(err, "read answer"))
	}
	if !reply.Signed && reply.Status < 300 || reply.Header.Get("Content-Encoding") != "" {
		return result{outcome: unknown, status: reply.Status, err: errors.New("answer is not the engine's own")}
	}
	res := result{outcome: answered, status: reply.Status, header: reply.Header, body: body}
	if reply.Status >= 500 {
		res.outcome = failed
		return res
	}
	e.Answered(begin, j.f.Clock.Now())
	return res
}

// judge reads a failed call. Only a call of which no byte left this node
// is known not to have run.
func (j *job) judge(e *citronpool.Engine, err error) result {
	switch {
	case errors.Is(err, citronupstream.ErrNotSent):
		citronprobe.Dead(e, err, j.f.Clock.Now())
		return result{outcome: notRun, err: err}
	case errors.Is(err, context.Canceled):
		return result{outcome: unknown, err: err} // the caller left
	default:
		e.Failed(j.f.Clock.Now())
		return result{outcome: unknown, err: err}
	}
}

const (
	// busyPause is how long a full engine is left alone: a few of its running requests
	// end meanwhile.
	busyPause = 150 * time.Millisecond
)

// refusedBy notes which engine refused, and why, as far as it says so.
func (j *job) refusedBy(e *citronpool.Engine, reply *citronupstream.Reply) {
	now := j.f.Clock.Now()
	if at, ok := j.f.Current().View.ByAddr(reply.Fault); reply.Fault != "" && ok {
		j.avoid[at.ID] = true
		if at.Accuse(now) && j.f.Accuse != nil {
			j.f.Accuse(at)
		}
		// It may be full, or dead, which the running streams need to know.
		go func() { _ = j.f.probe(context.Background(), at, citronprobe.Fresh) }()
		return
	}
	if reply.Status == http.StatusMisdirectedRequest {
		e.Failed(now)
		return
	}
	e.Busy(now, busyPause)
}

const (
	// assumedLatency stands for an engine that has not answered yet.
	assumedLatency = 15 * time.Millisecond
	// otherZoneCost makes an engine of another zone worth choosing when
	// the nearest is half as fast or has a request running.
	otherZoneCost = 8 * time.Millisecond
)

// pick returns the engine that should answer soonest, or for a model the
// first engine of a path.
func (j *job) pick(s *State) (*citronpool.Engine, citronpath.Path, bool) {
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
		// An engine that failed others a moment ago is better than none.
		for _, e := range s.View.ByService[j.service.Name] {
			if j.avoid[e.ID] || e.Leaving || (!lenient && !e.Sound(now)) || (!j.permits.patient && e.ThrottledFor(now) > 0) {
				continue
			}
			if c := plainCost(e, j.f.Zone); best == nil || c < bestCost {
				best, bestCost = e, c
			}
		}
		if best != nil {
			return best, nil, true
		}
	}
	return nil, nil, false
}

func plainCost(e *citronpool.Engine, zone string) time.Duration {
	l := e.Latency()
	if l == 0 {
		l = assumedLatency
	}
	c := l * time.Duration(1+e.Inflight())
	if e.Zone != zone {
		c += otherZoneCost
	}
	return c
}

// path chooses a path for the request's model.
func (j *job) path(s *State, first string) (citronpath.Path, bool) {
	return citronpath.Choose(s.View.ByService[j.service.Name], j.query(s, first))
}

func (j *job) query(s *State, first string) citronpath.Query {
	j.list = s.ListRevision
	return citronpath.Query{
		Patient: j.permits.patient,
		Spec:    *j.service.Model, Zone: j.f.Zone, Now: j.f.Clock.Now(), Avoid: j.avoid, First: first, Others: s.Others, Own: j.f.Loads.Sums(), ZoneCost: j.spread,
	}
}

// zoneSpread is the most that is added to a zone's cost at random.
const zoneSpread = 15

// drawSpread draws the costs of zones for one request.
func drawSpread(s *State) map[string]float64 {
	out := map[string]float64{}
	for zone := range s.Others {
		out[zone] = zoneSpread * rand.Float64()
	}
	return out
}
