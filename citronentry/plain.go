package citronentry

import (
	"context"

	"citrondeck.dev/citrondeck/citronplain"
	"citrondeck.dev/citrondeck/citronroute"
	deck "citrondeck.dev/citrondeck/gen/deck"
	"github.com/cockroachdb/errors"
)

// maxPlainAttempts is the maximum number of upstreams that one request tries.
const maxPlainAttempts = 3

// errNoUpstream means that no upstream of a service can be used.
var errNoUpstream = errors.New("no usable upstream")

// runPlain sends a request to an upstream of a plain service and, if the call
// fails, to another one as long as the request cannot run twice: always for an
// idempotent service, otherwise only while no upstream received the call.
func (a *api) runPlain(ctx context.Context, r *request, once *onceCall) (*deck.SubmitResult, error) {
	e := a.e
	picker := a.newPicker(r)
	// reached stays true once any upstream may have run the call, even if
	// another upstream rejects the call later.
	reached := false
	lastErr := errNoUpstream
	for range maxPlainAttempts {
		b := picker.Upstream(r.svc)
		if b == nil {
			break
		}
		res, err := a.callPlain(ctx, r, b, once)
		if err == nil {
			e.metrics.served.Add(1)
			out := r.result("served", e)
			out.Result = &res
			return out, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			return nil, a.fail(ctx, r, true, err) // ctx ended the call; this is no failure of the back end
		}
		f := classifyFailure(err)
		reached = reached || f.reached
		a.reportBackend(b, f.reason)
		picker.Exclude(b)
		if reached && !r.svc.IsIdempotent() {
			break
		}
	}
	return nil, a.fail(ctx, r, reached, errors.Wrapf(lastErr, "service %s: no upstream left", r.svc.Name))
}

// callPlain sends the request to b and returns its answer. If once is set, a
// frozen back end is reported through once, and the call itself goes on.
func (a *api) callPlain(ctx context.Context, r *request, b *citronroute.Backend, once *onceCall) (string, error) {
	c := citronplain.Call{Service: r.svc.Name, Customer: r.Customer, Key: r.key(), Request: r.id, Body: deref(r.Body)}
	var res string
	call := func(ctx context.Context) (err error) {
		res, err = b.Plain.Do(ctx, c)
		return err
	}
	if once != nil {
		err := b.DoWithoutCancel(a.e.clock, once.freeze, func() error { return call(ctx) })
		return res, err
	}
	err := b.Do(ctx, a.e.clock, call)
	return res, err
}
