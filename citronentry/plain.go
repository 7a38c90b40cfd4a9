package citronentry

import (
	"context"

	"citrondeck.dev/citrondeck/citronplain"
	"citrondeck.dev/citrondeck/citronroute"
	deck "citrondeck.dev/citrondeck/gen/deck"
	"github.com/cockroachdb/errors"
)

// maxPlainAttempts bounds how many upstreams one request tries.
const maxPlainAttempts = 3

// runPlain sends a request to one upstream of a plain service, and to
// another while that cannot run it twice: always when the service is
// idempotent, else only while no upstream received the call.
func (a *api) runPlain(ctx context.Context, r *request, once *oneCall) (*deck.SubmitResult, error) {
	e := a.e
	pick := a.picker(r)
	// reached stays true once any upstream may have run the call: a later
	// refusal by another upstream does not make "not run" true.
	reached := false
	var last error
	for range maxPlainAttempts {
		b := pick.Upstream(r.svc)
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
		last = err
		if ctx.Err() != nil {
			return nil, a.giveUp(ctx, r, true, err) // the back end is not to blame
		}
		v := judge(err)
		reached = reached || v.reached
		a.tell(b, v.reason)
		pick.Exclude(b)
		if reached && !r.svc.IsIdempotent() {
			break
		}
	}
	return nil, a.giveUp(ctx, r, reached, errors.Wrapf(last, "service %s: no upstream left", r.svc.Name))
}

func (a *api) callPlain(ctx context.Context, r *request, b *citronroute.Backend, once *oneCall) (string, error) {
	c := citronplain.Call{Service: r.svc.Name, Customer: r.Customer, Key: r.key(), Request: r.id, Body: deref(r.Body)}
	var res string
	call := func(ctx context.Context) (err error) {
		res, err = b.Plain.Do(ctx, c)
		return err
	}
	if once != nil {
		err := b.DoPatiently(a.e.clock, once.freeze, func() error { return call(ctx) })
		return res, err
	}
	err := b.Do(ctx, a.e.clock, call)
	return res, err
}
