package citronentry

// The caller API: a request from arrival to its final answer. Here it is
// checked, admitted and handed to the route of its service (model.go,
// plain.go), directly or through the at-most-once ledger (once.go). Every
// final answer is given at once, with Retry-After where asking again may
// help.

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

// Codes of refusals that routes decide on.
const (
	codeNotRun  = "not_run"
	codeUnknown = "outcome_unknown"
)

type api struct{ e *Entry }

// request is one caller's request on its way through the entry.
type request struct {
	*deck.SubmitPayload
	id   string
	snap *citronroute.Snapshot
	svc  citronfleet.Service
	// emit sends one token on to a streaming caller; nil when the caller
	// takes the whole answer at the end.
	emit func(offset int, token string) error
}

func (r *request) key() string { return deref(r.IdempotencyKey) }

func (r *request) result(outcome string, e *Entry) *deck.SubmitResult {
	rev := r.snap.Fleet.Revision.Number()
	return &deck.SubmitResult{RequestID: r.id, Outcome: outcome, Entry: e.set.Name, Revision: &rev}
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
	for _, en := range choose(a.e.listed(s), deref(p.Zone)) {
		out = append(out, &deck.EntryAddr{Name: en.Name, Addr: en.Addr, Zone: en.Zone})
	}
	rev := s.Fleet.Revision.Number()
	return &deck.EntriesResult{Entries: out, TTLSeconds: int(a.e.set.DiscoveryTTL / time.Second), Revision: &rev}, nil
}

// Submit implements deck.Service.
func (a *api) Submit(ctx context.Context, p *deck.SubmitPayload) (*deck.SubmitResult, error) {
	return a.serve(ctx, p, nil)
}

// Stream implements deck.Service, for idempotent model services. Until the first token the caller gets
// refusals as HTTP statuses; after it, as the last event of the stream.
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

// serve takes a request to its final answer.
func (a *api) serve(ctx context.Context, p *deck.SubmitPayload, emit func(id string) func(int, string) error) (*deck.SubmitResult, error) {
	e := a.e
	if !e.work.enter() {
		e.metrics.notRun.Add(1)
		return nil, refusal("draining", "this entry is stopping; ask discovery for another", retryAfterNow)
	}
	defer e.work.leave()

	r := &request{SubmitPayload: p, id: fmt.Sprintf("%s-%s-%d", e.set.Name, e.incarnation, e.seq.Add(1)), snap: e.snap.Load()}
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

// check resolves the service and the customer; nil means the request may
// go on.
func (a *api) check(r *request) *deck.Refusal {
	rev := r.snap.Fleet.Revision.Number()
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
		// A non-idempotent request runs on when its caller leaves; its
		// tokens would be written into a connection that by then may
		// serve somebody else.
		return refusal("bad_request", fmt.Sprintf("service %q does not stream: only idempotent model services do", svc.Name), retryAfterNow)
	}
	r.svc = svc
	return nil
}

// admit waits for a place in the service's window. Nothing has been sent
// upstream, nor to the ledger, while a request waits here.
func (a *api) admit(ctx context.Context, r *request) (func(), error) {
	e := a.e
	cust, _ := r.snap.Customer(r.Customer)
	deadline, _ := ctx.Deadline()
	release, err := e.gate(r.snap, r.svc).Acquire(ctx, citronadmit.Request{
		Customer: r.Customer, Weight: cust.Share, Priority: r.Priority, Deadline: deadline,
	})
	if err == nil {
		return release, nil
	}
	e.metrics.overloaded.Add(1)
	after := retryAfterBusy
	var ref *citronadmit.Refusal
	if errors.As(err, &ref) {
		after = max(after, int(math.Ceil(ref.RetryAfter.Seconds())))
	}
	citronevent.Log(ctx, e.log, citronevent.RequestOverloaded, "request", r.id, "service", r.svc.Name, "retry_after", after, "err", err)
	return nil, refusal("overloaded", "the service has more requests than it can carry; this attempt was not run", after)
}

// route sends the request to its back ends. The oneCall hooks are set for
// a plain call that must not run twice.
func (a *api) route(ctx context.Context, r *request, once *oneCall) (*deck.SubmitResult, error) {
	if r.svc.Kind == citronfleet.Model {
		return a.runModel(ctx, r)
	}
	return a.runPlain(ctx, r, once)
}

func (a *api) picker(r *request) citronroute.Picker {
	return citronroute.Picker{Snapshot: r.snap, Zone: a.e.set.Zone, Now: a.e.clock.Now()}
}

// verdict is what a failed call says of its back end and of the call.
type verdict struct {
	// reached: the call may have run there.
	reached bool
	reason  citronroute.Reason
}

// judge reads a failed call. Only two answers prove that the call never
// ran: the connection could not be made, or the back end said that it is
// leaving and took no new work. Anything else, a time-out or a reset
// mid-call, leaves that unknown.
func judge(err error) verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict{reached: false, reason: citronroute.Failing}
	}
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Code() == connect.CodeUnavailable && ce.Meta().Get(citronwire.LeavingHeader) != "" {
		return verdict{reached: false, reason: citronroute.Leaving}
	}
	if errors.Is(err, citronroute.ErrFrozen) {
		return verdict{reached: true, reason: citronroute.Frozen}
	}
	return verdict{reached: true, reason: citronroute.Failing}
}

// tell reports a back end to the control goroutine.
func (a *api) tell(b *citronroute.Backend, why citronroute.Reason) {
	if why == citronroute.Leaving {
		b.SaidLeaving(a.e.clock.Now())
	}
	select {
	case a.e.reports <- report{backend: b.Spec.Name, reason: why}:
	default: // the control loop is behind; the next failure reports again
	}
}

// giveUp is the final answer of a request that no back end answered.
func (a *api) giveUp(ctx context.Context, r *request, reached bool, err error) error {
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
