// Package citronforward takes one caller's request to its final answer: it
// chooses where the request runs, sends it, judges what comes back, and
// sends it again where that is allowed and helps.
//
// The life of a request:
//
//	route and key -> engine or path -> send -> whole answer    -> caller
//	                      ^               |-> stream of events -> caller
//	                      |               |                |
//	                      +-- did not run-+   part failed--+ (repair.go)
//
// What may be sent again is decided here and nowhere else. A request that
// may have run is sent again only if its route says that it is idempotent;
// a request that certainly did not run may be sent again whatever its kind.
// All repeats draw on the budget that the nodes share.
package citronforward

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronquarantine"
	"citrondeck.dev/citrondeck/citrontable"
	"citrondeck.dev/citrondeck/citronupstream"
)

// Sink takes the answer to the caller.
type Sink interface {
	// Answer sends a whole answer with the engine's status and header.
	Answer(status int, header http.Header, body []byte)
	// Refuse sends an answer of this node's own. A retryAfter of zero or
	// more tells the caller when to come back; negative leaves it out.
	Refuse(status int, retryAfter time.Duration, reason string)
	// Begin starts a stream.
	Begin(status int, header http.Header)
	// Event sends one whole event.
	Event([]byte) error
	// Abort ends a stream so that it cannot look complete.
	Abort()
}

// State is what traffic reads: a configuration, the engines and what other
// nodes have running there. It is immutable.
type State struct {
	Table *citrontable.Table
	View  *citronpool.View
	// ListRevision is that of the list which View was made of.
	ListRevision citronkv.Revision
	// Others is the cache, in tokens, that requests of other nodes take in
	// each zone.
	Others map[string]int64
}

// Forwarder forwards requests.
type Forwarder struct {
	Zone     string
	Clock    citronclock.Clock
	Log      *slog.Logger
	Upstream citronupstream.Engines
	Budget   *citronbudget.Budget
	Loads    *citronpool.Loads
	// Current returns the newest state, nil before the first.
	Current func() *State
	Metrics *Metrics
	// Accuse, if set, has other nodes hear of an engine that was named in a
	// refusal.
	Accuse func(*citronpool.Engine)
	// Borrow, if set, has other nodes lend this one repeats for a service, and
	// reports whether any did.
	Borrow func(service string) bool
	// DrainWithin is how long an engine that is leaving serves on; zero: it is not
	// known.
	DrainWithin time.Duration
	// Quarantine knows which requests crash engines.
	Quarantine *citronquarantine.Ledger
	// Stopping tells whether and how far this node is stopping.
	Stopping func() Stopping
	// Limits holds the rate limits that engines name.
	Limits *citronlimit.Book
	// Permit asks for a permit to send an engine that names a limit a request, which
	// can wait for so long.
	Permit func(ctx context.Context, e *citronpool.Engine, patience time.Duration) citronpermit.Decision

	probes citronprobe.Prober
	// invalidLimits holds the engines of which an invalid limit was logged.
	invalidLimits sync.Map
	// answers counts requests that were answered in full.
	answers atomic.Int64
}

// sampleEvery is how many answered requests one log line stands for.
const sampleEvery = 50

// answered logs one in many of the requests that went well.
func (j *job) answered(args ...any) {
	if j.f.answers.Add(1)%sampleEvery == 1 {
		citronevent.Log(context.Background(), j.f.Log, citronevent.AnswerSampled, append([]any{"request", j.ID, "route", j.route.Name, "version", j.version, "list", j.list.String(), "took", j.f.Clock.Now().Sub(j.Received)}, args...)...)
	}
}

// job is one request on its way.
type job struct {
	*citronupstream.Request
	f   *Forwarder
	out Sink
	// version is that of the configuration which decided route and key.
	version int64
	// list is the revision of the list of engines from which one was chosen
	// last.
	list     citronkv.Revision
	route    citrontable.Route
	service  citrontable.Service
	customer string
	deadline time.Time
	// spread is a cost of zones drawn for this request.
	spread map[string]float64
	// avoid holds engines that failed this request or refused it.
	avoid map[string]bool
	// runs counts engines that may have run it, refused those that did not.
	runs, refused int
	// lostRuns counts runs on engines that have ended since.
	lostRuns int
	// sound: the request has run well under this id.
	sound bool
	// used is the share of cache taken at the fullest engine of the best
	// path, if that is why the request is refused.
	used float64
	// retryAfter is when a refusal tells the caller to come back.
	retryAfter time.Duration
	// permits is what it has asked of engines that name a rate limit.
	permits permits
	// limit is what kept the request from being sent once more, if anything.
	limit limit
	// print is the request's fingerprint once it was asked for.
	print *citronquarantine.Print
}

// fingerprint identifies the request when it comes again. Most requests never
// need theirs.
func (j *job) fingerprint() citronquarantine.Print {
	if j.print == nil {
		p := citronquarantine.PrintOf(j.customer, j.Method, j.Host, j.Target, j.Body)
		j.print = &p
	}
	return *j.print
}

// limit is what keeps a request from being sent once more.
type limit string

const (
	// attemptsUsed: the route allows no more attempts, or none at all.
	attemptsUsed limit = "attempts"
	// budgetUsed: what this node was dealt of the shared budget is used up.
	budgetUsed limit = "budget"
	// crashesUsed: engines have ended under it, and the next would bar it.
	crashesUsed limit = "crashes"
	// refusalsUsed: so many engines refused it that others will too.
	refusalsUsed limit = "refusals"
)

// What a caller is told when nothing can run its request now.
const (
	// retryNoState: the node has just started.
	retryNoState = 500 * time.Millisecond
	// retryNoEngine: a few layers are loaded meanwhile.
	retryNoEngine = time.Second
	// retryBusy: some of the running requests end meanwhile.
	retryBusy = 400 * time.Millisecond
	// maxRefused is how many engines may refuse a request before it is
	// given up: with more, the engines are full and asking on costs the
	// caller time that it could use elsewhere.
	maxRefused = 4
	// answerMargin is left for the final answer to reach the caller in
	// its time.
	answerMargin = 15 * time.Millisecond
	// defaultWait bounds requests that state no time of their own.
	defaultWait = 30 * time.Second
)

// Serve takes a request to its final answer.
func (f *Forwarder) Serve(ctx context.Context, r *citronupstream.Request, out Sink) {
	s := f.Current()
	if s == nil || s.Table == nil {
		f.refuse(r, out, http.StatusServiceUnavailable, retryNoState, "this node has no configuration yet")
		return
	}
	j, ok := f.newJob(s, r, out)
	if !ok {
		return
	}
	if j.refusedToStop() {
		return
	}
	f.Metrics.Requests.WithLabelValues(j.route.Kind.String()).Inc()
	f.Budget.Request(j.service.Name, r.Received)
	end, ok := j.admitted()
	if !ok {
		return
	}
	defer end()
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if j.route.Kind == citrontable.Streaming {
		j.stream(ctx)
		return
	}
	j.whole(ctx)
}

// Stopping is the state of a node that is about to stop.
type Stopping struct {
	// Active is false while the node is not stopping.
	Active bool
	// Since is how long ago it began, Left how long it will still serve.
	Since, Left time.Duration
	// Others: another node takes callers.
	Others bool
}

const (
	// stopAccept is how long a node that is stopping still takes all streams: callers
	// know its address for a while, and have but one other try.
	stopAccept = 2500 * time.Millisecond
	// stopAcceptAlone is the same while no other node takes callers, as
	// when all are restarted faster than they can drain. A stream that
	// outlasts the node is resumed by its caller; one that is refused by
	// every node is lost.
	stopAcceptAlone = 2800 * time.Millisecond
	// streamStart and tokenTime bound how long a stream lasts under full load: the
	// time to its first event, and that of each token.
	streamStart = 700 * time.Millisecond
	tokenTime   = 30 * time.Millisecond
	// retryStopped is when one of several nodes that stop one after the
	// other is back.
	retryStopped = 1500 * time.Millisecond
)

// refusedToStop refuses a request that this node, which is stopping, could
// not be expected to end in time. It has not run, and another node can take
// it at once.
func (j *job) refusedToStop() bool {
	if j.f.Stopping == nil {
		return false
	}
	st := j.f.Stopping()
	lasts := j.left()
	if j.route.Kind == citrontable.Streaming {
		lasts = min(lasts, streamStart+tokenTime*time.Duration(j.OutputTokens))
		if st.Since < stopAccept || !st.Others && st.Since < stopAcceptAlone {
			return false
		}
	}
	if !st.Active || lasts <= st.Left {
		return false
	}
	after := retryStopped
	if st.Others {
		after = 0
	}
	j.f.refuse(j.Request, j.out, http.StatusServiceUnavailable, after, "this node is stopping")
	return true
}

// newJob finds the request's route, customer and service, or refuses it.
func (f *Forwarder) newJob(s *State, r *citronupstream.Request, out Sink) (*job, bool) {
	route, ok := s.Table.Route(r.Host, r.Path)
	if !ok {
		f.refuse(r, out, http.StatusNotFound, -1, "no route for this host and path")
		return nil, false
	}
	j := &job{Request: r, f: f, out: out, version: s.Table.Version, route: route, avoid: map[string]bool{}, spread: drawSpread(s), retryAfter: retryNoEngine}
	if s.Table.NeedsKey(route) {
		c, ok := s.Table.Customer(r.Key)
		if !ok {
			f.refuse(r, out, http.StatusUnauthorized, -1, "unknown key")
			return nil, false
		}
		j.customer = c.Name
	}
	if limit := s.Table.Limits.MaxBodyBytes; limit > 0 && int64(len(r.Body)) > limit {
		f.refuse(r, out, http.StatusRequestEntityTooLarge, -1, "body is over the limit")
		return nil, false
	}
	name := route.Pick(rand.Float64())
	j.service, ok = s.Table.Services[name]
	if !ok {
		j.service = citrontable.Service{Name: name}
	}
	wait := r.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	j.deadline = r.Received.Add(wait - min(answerMargin, wait/10))
	return j, true
}

func (f *Forwarder) refuse(r *citronupstream.Request, out Sink, status int, after time.Duration, reason string, more ...any) {
	f.Metrics.Refusals.WithLabelValues(reason).Inc()
	args := []any{"request", r.ID, "status", status, "reason", reason, "retryAfter", after, "held", f.Clock.Now().Sub(r.Received), "version", f.version()}
	citronevent.Log(context.Background(), f.Log, citronevent.ForwardRefused, append(args, more...)...)
	out.Refuse(status, after, reason)
}

// version is that of the configuration in force, zero if there is none.
func (f *Forwarder) version() int64 {
	if s := f.Current(); s != nil && s.Table != nil {
		return s.Table.Version
	}
	return 0
}

// giveUp is the final answer of a request that no engine answered.
func (j *job) giveUp(ctx context.Context, reason string) {
	status := http.StatusServiceUnavailable
	after := j.retryAfter
	if j.runs+j.lostRuns > 0 {
		// An engine may have run it: nothing is promised.
		status = http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		after = -1
	}
	j.f.refuse(j.Request, j.out, status, after, reason, "service", j.service.Name, "customer", j.customer, "print", j.fingerprint(), "runs", j.runs+j.lostRuns, "refused", j.refused, "limit", j.limit, "used", math.Round(100*j.used)/100)
}

func (j *job) left() time.Duration { return j.deadline.Sub(j.f.Clock.Now()) }

// mayRepeat reports whether the request may be sent once more after an
// engine may have run it, and counts the repeat.
func (j *job) mayRepeat() bool {
	return j.within(crashesUsed, !j.suspect()) && j.within(attemptsUsed, j.route.Idempotent() && j.runs < max(1, j.route.MaxAttempts)) && j.takeBudget()
}

// mayMove reports whether the request may go to another engine after one
// refused it without running it, and counts the repeat.
func (j *job) mayMove() bool {
	return j.within(refusalsUsed, j.refused <= maxRefused) && j.takeBudget()
}

// within returns ok, and notes the limit that was reached if it is false.
func (j *job) within(l limit, ok bool) bool {
	if !ok {
		j.limit = l
	}
	return ok
}

// borrowRounds is how often a request waits for other nodes' repeats: others of
// its node may have used what was lent.
const borrowRounds = 3

func (j *job) takeBudget() bool {
	for round := 0; ; round++ {
		if j.f.Budget.Take(j.service.Name, j.f.Clock.Now()) {
			j.limit = ""
			return true
		}
		if round == borrowRounds || j.f.Borrow == nil || !j.f.Borrow(j.service.Name) {
			break
		}
	}
	j.f.Metrics.BudgetSpent.Inc()
	j.limit = budgetUsed
	return false
}
