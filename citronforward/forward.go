// Package citronforward forwards callers' requests to engines and returns the
// final response. It selects the engine or path, sends the request, classifies
// the result, and retries where a retry is allowed and useful.
//
// The life of a request:
//
//	route and key -> engine or path -> send -> unary response  -> caller
//	                      ^               |-> stream of events -> caller
//	                      |               |                |
//	                      +-- did not run-+   hop failed---+ (repair.go)
//
// This package alone decides what may be retried. A request that may have run
// is retried only if its route declares it idempotent. A request that certainly
// did not run may be retried whatever its kind. All retries draw on the retry
// budget that the nodes share.
package citronforward

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronforecast"
	"citrondeck.dev/citrondeck/citrongate"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronlag"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronpoison"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronquarantine"
	"citrondeck.dev/citrondeck/citronserve"
	"citrondeck.dev/citrondeck/citrontable"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// Sink writes the response to the caller.
type Sink interface {
	// Answer sends a complete unary response with the engine's status and header.
	Answer(status int, header http.Header, body []byte)
	// Refuse sends an error response that this node generated. A retryAfter of zero or
	// more tells the caller when to retry; a negative value omits it.
	Refuse(status int, retryAfter time.Duration, reason string)
	// Begin starts a stream.
	Begin(status int, header http.Header)
	// Event sends one complete event.
	Event([]byte) error
	// Abort terminates a stream in a way that the caller cannot mistake for a complete
	// one.
	Abort()
}

// State is the immutable snapshot that requests are routed by: the configuration, the
// engines, and the load that other nodes place on them.
type State struct {
	Table *citrontable.Table
	View  *citronpool.View
	// ListRevision is the revision of the engine list from which View was built.
	ListRevision citronkv.Revision
	// OtherNodesCache maps each zone to the cache, in tokens, that requests of other nodes
	// occupy there.
	OtherNodesCache map[string]int64
}

// Forwarder forwards requests to engines.
type Forwarder struct {
	// Zone is the availability zone of this node.
	Zone     string
	Clock    citronclock.Clock
	Log      *slog.Logger
	Upstream citronupstream.Engines
	Budget   *citronbudget.Budget
	Loads    *citronpool.ZoneLoads
	// Forecast learns from the outcomes of this node's streams.
	Forecast citronforecast.Model
	// Current returns the newest state, or nil before the first one.
	Current func() *State
	Metrics *Metrics
	// Accuse, if set, reports an accused engine to the other nodes. An engine is
	// accused if another engine named it as the cause of a refused request.
	Accuse func(*citronpool.Engine)
	// Borrow, if set, borrows retry budget for a service from other nodes and reports
	// whether any node lent some.
	Borrow func(service string) bool
	// DrainWithin is how long a leaving engine keeps serving. Zero means unknown; a
	// default applies then.
	DrainWithin time.Duration
	// Quarantine records the requests that crash engines.
	Quarantine *citronquarantine.Ledger
	// Parts records the prompt parts that crash engines. ClaimTrial claims a trial of such
	// a part and reports whether this node is the first to do so.
	Parts      *citronpart.Ledger
	ClaimTrial func(context.Context, citronpart.Trial) bool
	// Stopping reports whether this node is stopping, and how far it has got.
	Stopping func() Stopping
	// AnswerBytes bounds what this node buffers of all large responses at the same time. Zero
	// means defaultAnswerBytes.
	AnswerBytes int64
	// Limits holds the rate limits that engines announce in their responses.
	Limits *citronlimit.Registry
	// Permit requests a permit to send one request to an engine that has a rate limit.
	// maxWait is how long the request can wait for the permit.
	Permit func(ctx context.Context, e *citronpool.Engine, maxWait time.Duration) citronpermit.Decision

	// Lag measures the scheduling delay of this node. It may be nil.
	Lag *citronlag.Monitor

	// RetryTurn, if set, returns this node's turn among the nodes that tell refused callers when
	// to return.
	RetryTurn func() citronadmit.Turn

	// FirstEvent, if set, replaces Forecast for decisions about admission. It returns the
	// forecast time from sending a request over a path to its first event, zero if unknown.
	FirstEvent func(r *citronupstream.Request, p citronpath.Path, spec citronmodel.Spec, now time.Time) time.Duration

	// admissions holds the admission state of each service, *admissionState by name.
	admissions sync.Map

	// probesOnce guards probes, which is set up on first use (prober).
	probesOnce sync.Once
	probes     citronprobe.Prober
	// lateCheckAt is when the last check began that this node sent while it ran late, in Unix
	// nanoseconds.
	lateCheckAt atomic.Int64
	retries     retryPlanners
	links       pathLinks
	gateOnce    sync.Once
	// gate sends all calls to engines. It is created on first use.
	gate *citrongate.Gate
	// bodiesOnce guards bodyBudget, which is created on first use (bodies).
	bodiesOnce sync.Once
	bodyBudget *citronbody.Budget
	// completed counts the unary requests that succeeded, and the streams that were
	// completed or ended by an engine's failure response.
	completed atomic.Int64
	// delayed counts the streams that waited for capacity or spilled over.
	delayed atomic.Int64
}

// Gate returns the gate through which all calls of this node are sent.
func (f *Forwarder) Gate() *citrongate.Gate {
	f.gateOnce.Do(func() {
		f.gate = &citrongate.Gate{
			Upstream: f.Upstream, Limits: f.Limits, Clock: f.Clock, Log: f.Log, Metrics: f.Metrics.Gate,
			View: func() *citronpool.View { return f.Current().View },
		}
	})
	return f.gate
}

// bodies returns the budget of the responses that are passed on as a whole.
func (f *Forwarder) bodies() *citronbody.Budget {
	f.bodiesOnce.Do(func() { f.bodyBudget = citronbody.NewBudget(cmp.Or(f.AnswerBytes, defaultAnswerBytes)) })
	return f.bodyBudget
}

// sampleEvery is the sampling interval of the log: one in sampleEvery completed requests is
// logged.
const sampleEvery = 50

// logSample logs the first of every sampleEvery completed requests.
func (j *job) logSample(args ...any) {
	if j.f.completed.Add(1)%sampleEvery == 1 {
		citronevent.Log(context.Background(), j.f.Log, citronevent.AnswerSampled, append([]any{"request", j.ID, "route", j.route.Name, "customer", j.customer, "tokens", j.Tokens(), "parts", j.promptParts(), "version", j.version, "list", j.list.String(), "took", j.f.Clock.Now().Sub(j.Received)}, args...)...)
	}
}

// job is one request in progress.
type job struct {
	*citronupstream.Request
	f   *Forwarder
	out Sink
	// version is the version of the configuration that determined route and key.
	version int64
	// list is the revision of the engine list that the most recent engine was selected
	// from.
	list     citronkv.Revision
	route    citrontable.Route
	service  citrontable.Service
	customer string
	// priorityLevel and priorityLevels are the result of citrontable.Table.PriorityLevel.
	priorityLevel, priorityLevels int
	deadline                      time.Time
	// zoneJitter is a random extra cost per zone, drawn once for this request.
	zoneJitter map[string]float64
	// avoid holds the IDs of engines that this request must not use, for example because
	// they failed, refused it or were found dead.
	avoid map[string]bool
	// runs counts the attempts that may have run the request, without those in
	// runsOnEndedEngines. refused counts the attempts that did not run it.
	runs, refused int
	// runsOnEndedEngines counts the runs of a stream whose first engine's process has
	// ended since. They do not count against the route's limit.
	runsOnEndedEngines int
	// ranSuccessfully reports whether the request has run successfully under this ID.
	ranSuccessfully bool
	// cacheUsage is the cache usage of the fullest engine on the best path, set if the
	// request is refused because of it.
	cacheUsage float64
	// admission holds what the newest decision about admission was based on.
	admission admissionRecord
	// retryAfter is the delay that a refusal tells the caller to wait before it
	// retries.
	retryAfter time.Duration
	// permits tracks the permits that this request has asked for.
	permits permits
	// cooldown tracks the cool-downs that hold this request back.
	cooldown cooldownWait
	// reachedLimit is the limit that prevented the last retry, if any.
	reachedLimit retryLimit
	// cachedFingerprint is the request's fingerprint, nil until it is first needed.
	cachedFingerprint *citronquarantine.Fingerprint
	// cachedParts are the request's prompt parts, nil until they are first needed.
	cachedParts []citronpoison.Part
	// held ends the hold on the bodies that the request has read.
	held []func()
	// trialPending is true if the request is the trial of a prompt part and has not been
	// sent yet.
	trialPending bool
}

// fingerprint returns the fingerprint that identifies the request when the caller sends
// it again. It is computed on first use, because most requests never need it.
func (j *job) fingerprint() citronquarantine.Fingerprint {
	if j.cachedFingerprint == nil {
		p := citronquarantine.FingerprintOf(j.customer, j.Method, j.Host, j.Target, j.Body)
		j.cachedFingerprint = &p
	}
	return *j.cachedFingerprint
}

// retryLimit names the limit that prevents a request from being retried.
type retryLimit string

const (
	// attemptsUsed: the route allows no further attempts, or no retries at all.
	attemptsUsed retryLimit = "attempts"
	// budgetUsed: this node's share of the retry budget is used up.
	budgetUsed retryLimit = "budget"
	// crashesUsed: the request is a suspect.
	crashesUsed retryLimit = "crashes"
	// refusalsUsed: enough engines refused the request that others are expected to do
	// so too.
	refusalsUsed retryLimit = "refusals"
)

// Delays after which a caller is told to retry when no engine can run its request now,
// and related bounds.
const (
	// retryNoState applies while a node that has just started has no configuration.
	retryNoState = 500 * time.Millisecond
	// retryNoEngine is long enough for an engine to load a few layers.
	retryNoEngine = time.Second
	// retryBusy is long enough for some of the running requests to end.
	retryBusy = 400 * time.Millisecond
	// maxRefused is the number of engines that may refuse a request before the node
	// gives up. Beyond it the engines are assumed to be full, and further attempts cost
	// the caller time that it could use elsewhere.
	maxRefused = 4
	// answerMargin is reserved so that the final response reaches the caller before its
	// deadline, but at most a tenth of the request's time limit.
	answerMargin = 15 * time.Millisecond
	// defaultWait is the time limit of requests that state none.
	defaultWait = 30 * time.Second
)

// Serve forwards a request and writes the final response to out.
func (f *Forwarder) Serve(ctx context.Context, r *citronupstream.Request, out Sink) {
	s, ok := f.state(r, out)
	if !ok {
		return
	}
	j, ok := f.newJob(s, r, out)
	if !ok {
		return
	}
	if !f.acceptsLength(s, r, int64(len(r.Body)), out) {
		return
	}
	if j.refuseIfStopping() {
		return
	}
	f.Metrics.Requests.WithLabelValues(j.route.Kind.String()).Inc()
	f.Budget.CountRequest(j.service.Name, r.Received)
	end, ok := j.checkQuarantine()
	if !ok {
		return
	}
	defer end()
	if !j.checkParts(ctx) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if j.route.Kind == citrontable.Streaming {
		j.serveStream(ctx)
		return
	}
	j.serveUnary(ctx)
}

// state returns the current state, or refuses the request if there is none yet.
func (f *Forwarder) state(r *citronupstream.Request, out Sink) (*State, bool) {
	s := f.Current()
	if s == nil || s.Table == nil {
		f.refuse(r, out, http.StatusServiceUnavailable, retryNoState, "this node has no configuration yet")
		return nil, false
	}
	return s, true
}

// Stopping is the shutdown state of a node.
type Stopping struct {
	// Active reports whether the node is stopping.
	Active bool
	// Since is the time since the shutdown began; Left is how long the node will still
	// serve, not positive if it accepts no more requests.
	Since, Left time.Duration
	// OtherNodeServing reports whether another node accepts callers' requests.
	OtherNodeServing bool
}

const (
	// stopAccept is how long a stopping node still accepts all streams. Callers keep
	// using its address for a while and have only one other attempt.
	stopAccept = 2500 * time.Millisecond
	// stopAcceptAlone replaces stopAccept while no other node accepts callers, for
	// example when all nodes are restarted faster than they can drain. A caller can
	// resume a stream that outlasts the node, but a stream that every node refuses is
	// lost.
	stopAcceptAlone = 2800 * time.Millisecond
	// maxFirstEvent and maxTokenTime bound the usual duration of a stream under full load:
	// the time to its first event, and the time per token. An engine may be slower.
	maxFirstEvent = 700 * time.Millisecond
	maxTokenTime  = 30 * time.Millisecond
	// retryStopped is how long a restart takes when nodes are restarted one after the
	// other.
	retryStopped = 1500 * time.Millisecond
)

// refuseIfStopping refuses a request that this stopping node may not finish in time. The
// request has not run, so another node can accept it at once.
func (j *job) refuseIfStopping() bool {
	if j.f.Stopping == nil {
		return false
	}
	st := j.f.Stopping()
	if !st.Active || j.endsBefore(st) {
		return false
	}
	j.f.refuse(j.Request, j.out, http.StatusServiceUnavailable, st.retryAfter(), reasonStopping, "service", j.service.Name, "route", j.route.Name, "customer", j.customer, "priorityLevel", j.priorityLevel)
	return true
}

// reasonStopping is the reason of refusals by a node that is stopping.
const reasonStopping = "this node is stopping"

// retryAfter returns when another node can accept a request that this stopping node refuses.
func (s Stopping) retryAfter() time.Duration {
	if s.OtherNodeServing {
		return 0
	}
	return retryStopped
}

// hasStopped reports whether a request has ended because the server of its node has been stopped.
func hasStopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), citronserve.ErrStopped)
}

// endsBefore reports whether the request ends before this stopping node does: by its deadline, or
// as far as can be expected if no other node could serve it instead.
func (j *job) endsBefore(st Stopping) bool {
	if j.timeLeft() <= st.Left {
		return true
	}
	if st.Left <= 0 || j.route.Kind != citrontable.Streaming {
		return false
	}
	if st.OtherNodeServing {
		return st.Since < stopAccept
	}
	usual := maxFirstEvent + maxTokenTime*time.Duration(j.OutputTokens)
	return st.Since < stopAcceptAlone || j.OutputTokens > 0 && usual <= st.Left
}

// newJob resolves the request's route, customer and service, or refuses the request.
func (f *Forwarder) newJob(s *State, r *citronupstream.Request, out Sink) (*job, bool) {
	route, ok := s.Table.Route(r.Host, r.Path)
	if !ok {
		f.refuse(r, out, http.StatusNotFound, -1, "no route for this host and path")
		return nil, false
	}
	j := &job{Request: r, f: f, out: out, version: s.Table.Version, route: route, avoid: map[string]bool{}, zoneJitter: drawZoneJitter(s), retryAfter: retryNoEngine}
	var c citrontable.Customer
	if s.Table.NeedsKey(route) {
		c, ok = s.Table.Customer(r.APIKey)
		if !ok {
			f.refuse(r, out, http.StatusUnauthorized, -1, "unknown key")
			return nil, false
		}
		j.customer = c.Name
	}
	j.priorityLevel, j.priorityLevels = s.Table.PriorityLevel(route, c)
	name := route.PickService(rand.Float64())
	j.service, ok = s.Table.Services[name]
	if !ok {
		j.service = citrontable.Service{Name: name}
	}
	wait := r.CallerTimeout
	if wait <= 0 {
		wait = defaultWait
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	j.deadline = r.Received.Add(wait - min(answerMargin, wait/10))
	return j, true
}

// refuse sends a refusal to the caller, and counts and logs it. A negative after sends
// no retry delay; more holds further keys and values for the log line.
func (f *Forwarder) refuse(r *citronupstream.Request, out Sink, status int, after time.Duration, reason string, more ...any) {
	f.Metrics.Refusals.WithLabelValues(reason).Inc()
	args := []any{"request", r.ID, "status", status, "reason", reason, "retryAfter", after, "held", f.Clock.Now().Sub(r.Received), "nodeZone", f.Zone, "version", f.version()}
	citronevent.Log(context.Background(), f.Log, citronevent.ForwardRefused, append(args, more...)...)
	out.Refuse(status, after, reason)
}

// version returns the version of the active configuration, or zero if there is none.
func (f *Forwarder) version() int64 {
	if s := f.Current(); s != nil && s.Table != nil {
		return s.Table.Version
	}
	return 0
}

// giveUp sends the final response of a request that no engine answered.
func (j *job) giveUp(ctx context.Context, reason string) {
	status := http.StatusServiceUnavailable
	after := j.retryAfter
	if hasStopped(ctx) {
		reason = reasonStopping
		if j.f.Stopping != nil {
			after = j.f.Stopping().retryAfter()
		}
	}
	if j.runs+j.runsOnEndedEngines > 0 {
		// An engine may have run the request, so the response must not invite a retry.
		status = http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		after = -1
	}
	j.f.refuse(j.Request, j.out, status, after, reason, append(j.admissionArgs(), "service", j.service.Name, "route", j.route.Name, "customer", j.customer, "priorityLevel", j.priorityLevel, "print", j.fingerprint(), "runs", j.runs+j.runsOnEndedEngines, "refused", j.refused, "limit", j.reachedLimit, "used", roundShare(j.cacheUsage))...)
}

// timeLeft returns the time until the deadline, negative if it has passed.
func (j *job) timeLeft() time.Duration { return j.deadline.Sub(j.f.Clock.Now()) }

// mayRetry reports whether the request may be retried after an engine may have run it.
// If so, it charges the retry to the budget.
func (j *job) mayRetry() bool {
	return j.within(crashesUsed, !j.isSuspect()) && j.within(attemptsUsed, j.route.Idempotent() && j.runs < max(1, j.route.MaxAttempts)) && j.takeBudget()
}

// mayTryNextEngine reports whether the request may be sent to another engine after one
// refused it without running it. If so, it charges the retry to the budget.
func (j *job) mayTryNextEngine() bool {
	return j.within(refusalsUsed, j.refused <= maxRefused) && j.takeBudget()
}

// within returns ok. If ok is false, it records l as the limit that was reached.
func (j *job) within(l retryLimit, ok bool) bool {
	if !ok {
		j.reachedLimit = l
	}
	return ok
}

// maxBorrowAttempts bounds how often one request borrows retry budget. More than one
// attempt may be needed, because other requests on this node may use up the loan first.
const maxBorrowAttempts = 3

// takeBudget takes one retry from the budget, borrowing from other nodes if it is used
// up, and reports whether it succeeded.
func (j *job) takeBudget() bool {
	for attempt := 0; ; attempt++ {
		if j.f.Budget.TakeRetry(j.service.Name, j.f.Clock.Now()) {
			j.reachedLimit = ""
			return true
		}
		if attempt == maxBorrowAttempts || j.f.Borrow == nil || !j.f.Budget.MayBorrow(j.service.Name, j.f.Clock.Now()) || !j.f.Borrow(j.service.Name) {
			break
		}
	}
	j.f.Metrics.RetriesDenied.Inc()
	j.reachedLimit = budgetUsed
	return false
}
