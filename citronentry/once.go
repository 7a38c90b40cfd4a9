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
	// defaultOnceTimeout bounds a non-idempotent call to a service without a
	// configured timeout. The call continues when the caller stops waiting.
	defaultOnceTimeout = time.Minute
	// recordTimeout bounds the recording of an outcome in the ledger.
	recordTimeout = time.Minute
	// maxRecordWait is the longest time for which an answer is delayed until
	// the ledger has recorded it.
	maxRecordWait = 200 * time.Millisecond
)

// onceCall is a non-idempotent call. It continues when its caller stops
// waiting.
type onceCall struct {
	// frozen is closed when the back end that runs the call freezes.
	frozen chan struct{}
	freeze func()
	// answered is closed after res and err are set.
	answered chan struct{}
	answer   func()
	res      *deck.SubmitResult
	err      error
}

func newOnceCall() *onceCall {
	call := &onceCall{frozen: make(chan struct{}), answered: make(chan struct{})}
	call.freeze = sync.OnceFunc(func() { close(call.frozen) })
	call.answer = sync.OnceFunc(func() { close(call.answered) })
	return call
}

// runOnce runs a non-idempotent request at most once across all entries.
func (a *api) runOnce(ctx context.Context, r *request) (*deck.SubmitResult, error) {
	e := a.e
	claim, err := e.ledger.Claim(ctx, r.svc.Name, r.Customer, r.key(), a.ledgerRecord(r, citronledger.Started))
	if err != nil {
		return nil, a.ledgerDown(ctx, r, err)
	}
	if !claim.Owned {
		return a.duplicate(ctx, r, claim)
	}
	call := newOnceCall()
	go a.completeOnce(context.WithoutCancel(ctx), r, claim, call, e.inflight.acquire())
	select {
	case <-call.answered:
		return call.res, call.err
	case <-call.frozen:
		return nil, a.fail(ctx, r, true, errors.New("the upstream stopped answering"))
	case <-ctx.Done():
		return nil, a.fail(ctx, r, true, errors.Wrap(ctx.Err(), "the caller's deadline passed or the caller left before the upstream answered"))
	}
}

// completeOnce runs a claimed call to its end and records the outcome.
//
// The call does not depend on its caller. A caller that stops waiting or
// disconnects cannot undo what the upstream does; if the call were cancelled,
// its answer would be lost and every later retry would get "in progress"
// forever. The call therefore continues until the service's timeout, its
// answer is recorded in the ledger, and a retry gets it from there.
//
// A shutdown waits until leave is called: when the call and the recording of its
// outcome have ended, or when the upstream freezes. It need not wait for a call
// to a frozen upstream: the caller has been told that the outcome is unknown, and
// the ledger key prevents a second run.
func (a *api) completeOnce(ctx context.Context, r *request, claim citronledger.Claim, call *onceCall, leave func()) {
	defer leave()
	go func() {
		select {
		case <-call.frozen:
			leave()
		case <-call.answered:
		}
	}()
	timeout := r.svc.Timeout
	if timeout == 0 {
		timeout = defaultOnceTimeout
	}
	rctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call.res, call.err = a.route(rctx, r, call)
	// The caller gets the answer after the ledger has recorded it, so that a
	// retry finds it. If the KV service is slow or down, the caller waits at
	// most maxRecordWait and the recording continues in the background.
	wctx, recorded := context.WithCancel(ctx)
	go func() {
		_ = a.e.clock.Sleep(wctx, maxRecordWait)
		call.answer()
	}()
	a.recordOutcome(ctx, r, claim, call.res, call.err)
	recorded()
	<-call.answered
}

// ledgerRecord returns the ledger record of r in the given state.
func (a *api) ledgerRecord(r *request, state citronledger.State) citronledger.Record {
	return citronledger.Record{State: state, Entry: a.e.settings.Name, Incarnation: a.e.incarnation, Request: r.id}
}

// recordOutcome records the answer of a call in the ledger, or releases the key
// if the call did not run. If the outcome is unknown, the key stays in place.
func (a *api) recordOutcome(ctx context.Context, r *request, claim citronledger.Claim, res *deck.SubmitResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var ref *deck.Refusal
	switch {
	case err == nil:
		rec := a.ledgerRecord(r, citronledger.Done)
		rec.Tokens, rec.Result = res.Tokens, deref(res.Result)
		a.e.ledger.RecordAnswer(ctx, claim, rec)
	case errors.As(err, &ref) && ref.Code == codeNotRun:
		a.e.ledger.Release(ctx, claim)
	}
}

// duplicate answers a request whose idempotency key is already in the ledger:
// with the recorded answer, "in progress" or "outcome unknown".
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
	if own := rec.Incarnation == e.incarnation; !own && !e.snap.Load().HasEntry(rec.Entry, rec.Incarnation) {
		// The process that ran the request is no longer listed. If it has ended,
		// it records no answer, and a caller that got "in progress" would retry
		// forever. If it is draining, it may still record one, which a later
		// retry gets.
		e.metrics.unknown.Add(1)
		ref = refusal(codeUnknown, fmt.Sprintf("entry %s, which ran the request with this idempotency key, is gone: the request may have run; it will not run again", rec.Entry), retryAfterDown)
	}
	ref.IdempotencyKey = r.IdempotencyKey
	return nil, ref
}

// ledgerDown answers a request that could not be claimed. This attempt reached
// no upstream, but an earlier attempt with the same key may have run, and only
// the ledger records that. "Not run" would be wrong: it was once sent for the
// retry of a request that had been served before the KV service went down. The
// caller is therefore told that the outcome is unknown and that it may retry
// with the same key.
func (a *api) ledgerDown(ctx context.Context, r *request, err error) error {
	a.e.metrics.unknown.Add(1)
	citronevent.Log(ctx, a.e.log, citronevent.RequestUnknown, "request", r.id, "reason", "ledger", "err", err)
	ref := refusal(codeUnknown, "the at-most-once ledger could not be reached: this attempt did not run, an earlier one with this key may have; ask again with the same key", retryAfterDown)
	ref.IdempotencyKey = r.IdempotencyKey
	return ref
}
