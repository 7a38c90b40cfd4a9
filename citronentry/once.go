package citronentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronledger"
	deck "citrondeck.dev/citrondeck/gen/deck"
	"github.com/cockroachdb/errors"
)

const (
	// onceTimeout bounds a non-idempotent call whose service sets no
	// timeout. It does not end when the caller stops waiting.
	onceTimeout   = time.Minute
	settleTimeout = time.Minute
	// settleGrace is how long an answer waits to be recorded first.
	settleGrace = 200 * time.Millisecond
)

// oneCall is a non-idempotent call, which outlives its caller's wait.
type oneCall struct {
	// frozen is closed when the back end holding the call freezes.
	frozen chan struct{}
	freeze func()
	// answered is closed when res and err are set.
	answered chan struct{}
	answer   func()
	res      *deck.SubmitResult
	err      error
}

func newOneCall() *oneCall {
	o := &oneCall{frozen: make(chan struct{}), answered: make(chan struct{})}
	o.freeze = sync.OnceFunc(func() { close(o.frozen) })
	o.answer = sync.OnceFunc(func() { close(o.answered) })
	return o
}

// runOnce runs a non-idempotent request at most once across all entries.
func (a *api) runOnce(ctx context.Context, r *request) (*deck.SubmitResult, error) {
	e := a.e
	claim, err := e.ledger.Claim(ctx, r.svc.Name, r.Customer, r.key(), a.record(r, citronledger.Started))
	if err != nil {
		return nil, a.ledgerDown(ctx, r, err)
	}
	if !claim.Owned {
		return a.duplicate(ctx, r, claim)
	}
	o := newOneCall()
	go a.finishOnce(context.WithoutCancel(ctx), r, claim, o, e.work.hold())
	select {
	case <-o.answered:
		return o.res, o.err
	case <-o.frozen:
		return nil, a.giveUp(ctx, r, true, errors.New("the upstream stopped answering"))
	case <-ctx.Done():
		return nil, a.giveUp(ctx, r, true, errors.Wrap(ctx.Err(), "caller's deadline"))
	}
}

// finishOnce sees a claimed call to its end and records it.
//
// The call is not bound to its caller: a caller that stops waiting or
// hangs up cannot undo what the upstream does, and cancelling the call
// would only lose the answer, so that every later retry hears "in
// progress" for ever. So it runs on to the service's timeout, its answer
// goes to the ledger, and a retry gets it from there. A shutdown waits for
// that too (leave ends the wait), except for a frozen upstream: its caller
// has been told that the outcome is unknown, and the ledger key keeps the
// request from running again.
func (a *api) finishOnce(ctx context.Context, r *request, claim citronledger.Claim, o *oneCall, leave func()) {
	defer leave()
	go func() {
		select {
		case <-o.frozen:
			leave()
		case <-o.answered:
		}
	}()
	limit := r.svc.Timeout
	if limit == 0 {
		limit = onceTimeout
	}
	rctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	o.res, o.err = a.route(rctx, r, o)
	// The caller hears once the answer is in the ledger, so that its retry
	// finds it, but waits only so long for a KV service that is slow or
	// down; the recording goes on behind its back.
	wctx, recorded := context.WithCancel(ctx)
	go func() {
		_ = a.e.clock.Sleep(wctx, settleGrace)
		o.answer()
	}()
	a.settle(ctx, r, claim, o.res, o.err)
	recorded()
	<-o.answered
}

func (a *api) record(r *request, state citronledger.State) citronledger.Record {
	return citronledger.Record{State: state, Entry: a.e.set.Name, Incarnation: a.e.incarnation, Request: r.id}
}

// settle records how the call ended: its answer, or that it did not run.
func (a *api) settle(ctx context.Context, r *request, claim citronledger.Claim, res *deck.SubmitResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var ref *deck.Refusal
	switch {
	case err == nil:
		rec := a.record(r, citronledger.Done)
		rec.Tokens, rec.Result = res.Tokens, deref(res.Result)
		a.e.ledger.Settle(ctx, claim, rec)
	case errors.As(err, &ref) && ref.Code == codeNotRun:
		a.e.ledger.Release(ctx, claim)
	}
}

// duplicate answers a request whose key is already in the ledger.
func (a *api) duplicate(ctx context.Context, r *request, claim citronledger.Claim) (*deck.SubmitResult, error) {
	e := a.e
	rec := claim.Existing
	citronevent.Log(ctx, e.log, citronevent.RequestDuplicate, "request", r.id, "key", r.key(), "state", rec.State)
	if rec.State == citronledger.Done {
		e.metrics.replayed.Add(1)
		res := r.result("replayed", e)
		res.RequestID, res.Tokens, res.Result = rec.Request, rec.Tokens, &rec.Result
		return res, nil
	}
	ref := refusal("in_progress", "a request with this idempotency key was started and has no recorded answer yet; it will not run again", retryAfterBusy)
	if own := rec.Incarnation == e.incarnation; !own && !e.snap.Load().Lives(rec.Entry, rec.Incarnation) {
		// Nobody is left to record an answer: "in progress" would have
		// the caller ask for ever.
		e.metrics.unknown.Add(1)
		ref = refusal(codeUnknown, fmt.Sprintf("entry %s, which ran the request with this idempotency key, is gone: the request may have run; it will not run again", rec.Entry), retryAfterDown)
	}
	ref.IdempotencyKey = r.IdempotencyKey
	return nil, ref
}

// ledgerDown answers a request that could not be claimed. This attempt
// reached no upstream, but an earlier one with the same key may have run,
// and only the ledger knows. Saying "not run" here was seen false (served,
// then the KV down, then a retry told "not run"), so the caller is told
// that the outcome is unknown and to ask again with the key.
func (a *api) ledgerDown(ctx context.Context, r *request, err error) error {
	a.e.metrics.unknown.Add(1)
	citronevent.Log(ctx, a.e.log, citronevent.RequestUnknown, "request", r.id, "reason", "ledger", "err", err)
	ref := refusal(codeUnknown, "the at-most-once ledger could not be reached: this attempt did not run, an earlier one with this key may have; ask again with the same key", retryAfterDown)
	ref.IdempotencyKey = r.IdempotencyKey
	return ref
}
