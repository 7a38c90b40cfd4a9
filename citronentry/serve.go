package citronentry

// The caller API, which takes a request from its arrival to its final answer.
// A request is checked, admitted and routed to the engines (model.go) or
// upstreams (plain.go) of its service, directly or through the at-most-once
// ledger (once.go). A final answer is sent as soon as it is known, with
// Retry-After if a retry may help.

import (
	"context"
	"fmt"
	"math"
	"net"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronroute"
	"citrondeck.dev/citrondeck/citronwire"
	deck "citrondeck.dev/citrondeck/gen/deck"
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Retry-After values, in seconds.
const (
	retryAfterNow  = 0
	retryAfterBusy = 1
	retryAfterDown = 2
)

// Codes of the refusals for requests that were routed or claimed.
const (
	// codeNotRun means that no back end ran the request.
	codeNotRun = "not_run"
	// codeUnknown means that a back end may have run the request.
	codeUnknown = "outcome_unknown"
)

// api implements the caller API for an Entry.
type api struct{ e *Entry }

// request is a caller's request together with the snapshot and the service by
// which the entry handles it.
type request struct {
	*deck.SubmitPayload
	id   string
	snap *citronroute.Snapshot
	svc  citronfleet.Service
	// emit sends one token to a streaming caller. It is nil if the caller
	// gets a unary response.
	emit func(offset int, token string) error
}

func (r *request) key() string { return deref(r.IdempotencyKey) }

// result returns a result with the given outcome and without an answer.
func (r *request) result(outcome string, e *Entry) *deck.SubmitResult {
	rev := r.snap.Fleet.Revision.Count()
	return &deck.SubmitResult{RequestID: r.id, Outcome: outcome, Entry: e.settings.Name, Revision: &rev}
}

func deref(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func refusal(code, msg string, retryAfter int) *deck.Refusal {
	return &deck.Refusal{Code: code, Message: msg, RetryAfter: &retryAfter}
}

// Entries implements deck.Service.
func (a *api) Entries(_ context.Context, p *deck.EntriesPayload) (*deck.EntriesResult, error) {
	s := a.e.snap.Load()
	var out []*deck.EntryAddr
	for _, en := range chooseEntries(a.e.discoverableEntries(s), deref(p.Zone)) {
		out = append(out, &deck.EntryAddr{Name: en.Name, Addr: en.Addr, Zone: en.Zone})
	}
	rev := s.Fleet.Revision.Count()
	return &deck.EntriesResult{Entries: out, TTLSeconds: int(a.e.settings.DiscoveryTTL / time.Second), Revision: &rev}, nil
}

// Submit implements deck.Service.
func (a *api) Submit(ctx context.Context, p *deck.SubmitPayload) (*deck.SubmitResult, error) {
	return a.serve(ctx, p, nil)
}

// Stream implements deck.Service, for idempotent model services. Before the
// first token, a refusal is sent as an HTTP status; after it, as the last event
// of the stream.
func (a *api) Stream(ctx context.Context, p *deck.SubmitPayload, st deck.StreamServerStream) error {
	sent, id := 0, ""
	emit := func(requestID string) func(int, string) error {
		id = requestID
		return func(offset int, token string) error {
			sent++
			return st.SendWithContext(ctx, &deck.TokenEvent{Type: "token", Offset: offset, Token: &token, RequestID: id})
		}
	}
	res, err := a.serve(ctx, p, emit)
	if err == nil {
		return st.SendWithContext(ctx, &deck.TokenEvent{Type: "done", Offset: len(res.Tokens), RequestID: res.RequestID})
	}
	var ref *deck.Refusal
	if sent == 0 || !errors.As(err, &ref) {
		return err
	}
	return st.SendWithContext(ctx, &deck.TokenEvent{Type: "failed", Offset: sent, RequestID: id, Code: &ref.Code, Message: &ref.Message, RetryAfter: ref.RetryAfter})
}

// serve checks, admits and runs a request and returns its final answer. If emit
// is not nil, emit(id) returns the function that sends the request's tokens.
func (a *api) serve(ctx context.Context, p *deck.SubmitPayload, emit func(id string) func(int, string) error) (*deck.SubmitResult, error) {
	e := a.e
	if !e.inflight.enter() {
		e.metrics.notRun.Add(1)
		return nil, refusal("draining", "this entry is stopping; ask discovery for another", retryAfterNow)
	}
	defer e.inflight.leave()

	r := &request{SubmitPayload: p, id: fmt.Sprintf("%s-%s-%d", e.settings.Name, e.incarnation, e.seq.Add(1)), snap: e.snap.Load()}
	if emit != nil {
		r.emit = emit(r.id)
	}
	if ref := a.check(r); ref != nil {
		e.metrics.rejected.Add(1)
		citronevent.Log(ctx, e.log, citronevent.RequestRejected, "request", r.id, "code", ref.Code, "service", p.Service, "customer", p.Customer)
		return nil, ref
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.DeadlineMs)*time.Millisecond)
	defer cancel()
	release, err := a.admit(ctx, r)
	if err != nil {
		return nil, err
	}
	defer release()
	var res *deck.SubmitResult
	if r.svc.IsIdempotent() {
		res, err = a.route(ctx, r, nil)
	} else {
		res, err = a.runOnce(ctx, r)
	}
	if err == nil {
		citronevent.Log(ctx, e.log, citronevent.RequestServed, "request", r.id, "service", r.Service, "customer", r.Customer, "outcome", res.Outcome)
	}
	return res, err
}

// check resolves the service and the customer of r. It returns nil if the
// request may proceed.
func (a *api) check(r *request) *deck.Refusal {
	rev := r.snap.Fleet.Revision.Count()
	svc, ok := r.snap.Service(r.Service)
	if !ok {
		return refusal("unknown_service", fmt.Sprintf("no service %q in fleet revision %d", r.Service, rev), retryAfterNow)
	}
	if _, ok := r.snap.Customer(r.Customer); !ok {
		return refusal("unknown_customer", fmt.Sprintf("no customer %q in fleet revision %d", r.Customer, rev), retryAfterNow)
	}
	if !svc.IsIdempotent() && r.key() == "" {
		return refusal("missing_idempotency_key", fmt.Sprintf("service %q is not idempotent: send an Idempotency-Key header", svc.Name), retryAfterNow)
	}
	if r.emit != nil && (svc.Kind != citronfleet.Model || !svc.IsIdempotent()) {
		// A non-idempotent request continues after its caller has left.
		// Its tokens would be written to a connection that may by then
		// serve another caller.
		return refusal("bad_request", fmt.Sprintf("service %q does not stream: only idempotent model services do", svc.Name), retryAfterNow)
	}
	r.svc = svc
	return nil
}

// admit waits until the service's window has free capacity for r. While a
// request waits, nothing has been sent to a back end or to the ledger. The
// function that admit returns frees the capacity again.
func (a *api) admit(ctx context.Context, r *request) (func(), error) {
	e := a.e
	cust, _ := r.snap.Customer(r.Customer)
	deadline, _ := ctx.Deadline()
	release, err := e.gate(r.snap, r.svc).Acquire(ctx, citronadmit.Request{
		Customer: r.Customer, Weight: cust.Share, Priority: rank(r.Priority), Deadline: deadline,
	})
	if err == nil {
		return release, nil
	}
	e.metrics.overloaded.Add(1)
	retryAfter := retryAfterBusy
	var ref *citronadmit.Refusal
	if errors.As(err, &ref) {
		retryAfter = max(retryAfter, int(math.Ceil(ref.RetryAfter.Seconds())))
	}
	citronevent.Log(ctx, e.log, citronevent.RequestOverloaded, "request", r.id, "service", r.svc.Name, "retry_after", retryAfter, "err", err)
	return nil, refusal("overloaded", "the service has more requests than it can carry; this attempt was not run", retryAfter)
}

// rank converts the priority that a caller of this API states, of which higher values are
// admitted first, to that of citronadmit, of which lower values are. The complement
// reverses the order of all integers; the negation would keep the lowest one in place.
func rank(priority int) int { return ^priority }

// route sends the request to its back ends. once is set only if the service is
// not idempotent; only plain services use it.
func (a *api) route(ctx context.Context, r *request, once *onceCall) (*deck.SubmitResult, error) {
	if r.svc.Kind == citronfleet.Model {
		return a.runModel(ctx, r)
	}
	return a.runPlain(ctx, r, once)
}

// newPicker returns a Picker of back ends for r.
func (a *api) newPicker(r *request) citronroute.Picker {
	return citronroute.Picker{Snapshot: r.snap, Zone: a.e.settings.Zone, Now: a.e.clock.Now()}
}

// callFailure classifies a failed call.
type callFailure struct {
	// reached reports whether the call may have run at the back end.
	reached bool
	// reason is the reason to avoid the back end.
	reason citronroute.Reason
}

// classifyFailure classifies the error of a call. Only two errors prove that
// the call did not run: the connection could not be established, or the back
// end answered that it is leaving and takes no new work. After any other error,
// such as a timeout or a connection reset during the call, the call may have
// run.
func classifyFailure(err error) callFailure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return callFailure{reached: false, reason: citronroute.Failing}
	}
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Code() == connect.CodeUnavailable && ce.Meta().Get(citronwire.LeavingHeader) != "" {
		return callFailure{reached: false, reason: citronroute.Leaving}
	}
	if errors.Is(err, citronroute.ErrFrozen) {
		return callFailure{reached: true, reason: citronroute.Frozen}
	}
	return callFailure{reached: true, reason: citronroute.Failing}
}

// reportBackend tells the control loop the reason to avoid b.
func (a *api) reportBackend(b *citronroute.Backend, reason citronroute.Reason) {
	if reason == citronroute.Leaving {
		b.MarkLeaving(a.e.clock.Now())
	}
	select {
	case a.e.reports <- backendReport{backend: b.Spec.Name, reason: reason}:
	default: // the reports channel is full; the next failure is reported again
	}
}

// fail logs and counts a request that no back end answered, and returns its
// refusal: "not run", or "outcome unknown" if a back end may have run the request.
func (a *api) fail(ctx context.Context, r *request, reached bool, err error) error {
	e := a.e
	if !reached {
		e.metrics.notRun.Add(1)
		citronevent.Log(ctx, e.log, citronevent.RequestNotRun, "request", r.id, "err", err)
		return refusal(codeNotRun, "no back end could take the request; it did not run", retryAfterDown)
	}
	e.metrics.unknown.Add(1)
	citronevent.Log(ctx, e.log, citronevent.RequestUnknown, "request", r.id, "err", err)
	ref := refusal(codeUnknown, "a back end took the request and did not answer; ask again with the same idempotency key", retryAfterDown)
	ref.IdempotencyKey = r.IdempotencyKey
	ref.RequestID = &r.id
	return ref
}
