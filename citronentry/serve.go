package citronentry

// The caller API: one request from arrival to its final answer. A model
// request walks a chain of engines token by token; a stage that fails is
// replaced by another engine holding the same layers, which recomputes
// the positions it lacks (prefill), under a new attempt number. A plain
// request goes to one upstream. Every final answer is given at once, with
// Retry-After where asking again may help.

import (
	"context"
	"fmt"
	"net"
	"time"

	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronplain"
	"citrondeck.dev/citrondeck/citronwire"
	deck "citrondeck.dev/citrondeck/gen/deck"
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

const (
	maxStageAttempts = 8
	maxPlainAttempts = 3
	retryAfterBusy   = 1
	retryAfterDown   = 2
)

type api struct{ e *Entry }

func refusal(code, msg string, retryAfter int) *deck.Refusal {
	return &deck.Refusal{Code: code, Message: msg, RetryAfter: &retryAfter}
}

// Entries implements deck.Service.
func (a *api) Entries(_ context.Context, p *deck.EntriesPayload) (*deck.EntriesResult, error) {
	s := a.e.snap.Load()
	zone := ""
	if p.Zone != nil {
		zone = *p.Zone
	}
	out := make([]*deck.EntryAddr, 0, len(s.entries))
	for _, pass := range []bool{true, false} {
		for _, en := range s.entries {
			if (en.Zone == zone) == pass {
				out = append(out, &deck.EntryAddr{Name: en.Name, Addr: en.Addr, Zone: en.Zone})
			}
		}
	}
	return &deck.EntriesResult{Entries: out, TTLSeconds: int(a.e.set.DiscoveryTTL / time.Second), Revision: &s.revision}, nil
}

// Submit implements deck.Service.
func (a *api) Submit(ctx context.Context, p *deck.SubmitPayload) (*deck.SubmitResult, error) {
	e := a.e
	if e.draining.Load() {
		e.metrics.notRun.Add(1)
		return nil, refusal("draining", "this entry is stopping; ask discovery for another", 0)
	}
	e.inflight.Add(1)
	defer e.inflight.Done()
	e.metrics.inflight.Add(1)
	defer e.metrics.inflight.Add(-1)

	s := e.snap.Load()
	id := fmt.Sprintf("%s-%d", e.set.Name, e.seq.Add(1))
	svc, ok := s.fleet.Service(p.Service)
	if !ok {
		e.metrics.rejected.Add(1)
		citronevent.Log(ctx, e.log, citronevent.RequestRejected, "request", id, "reason", "unknown service", "service", p.Service)
		return nil, refusal("unknown_service", fmt.Sprintf("no service %q in fleet revision %d", p.Service, s.revision), 0)
	}
	if !s.fleet.HasCustomer(p.Customer) {
		e.metrics.rejected.Add(1)
		citronevent.Log(ctx, e.log, citronevent.RequestRejected, "request", id, "reason", "unknown customer", "customer", p.Customer)
		return nil, refusal("unknown_customer", fmt.Sprintf("no customer %q in fleet revision %d", p.Customer, s.revision), 0)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.DeadlineMs)*time.Millisecond)
	defer cancel()

	if svc.IsIdempotent() {
		return a.run(ctx, s, svc, p, id)
	}
	if p.IdempotencyKey == nil || *p.IdempotencyKey == "" {
		e.metrics.rejected.Add(1)
		citronevent.Log(ctx, e.log, citronevent.RequestRejected, "request", id, "reason", "missing idempotency key")
		return nil, refusal("missing_idempotency_key", fmt.Sprintf("service %q is not idempotent: send an Idempotency-Key header", svc.Name), 0)
	}
	return a.runOnce(ctx, s, svc, p, id)
}

// runOnce runs a non-idempotent request at most once across all entries.
func (a *api) runOnce(ctx context.Context, s *snapshot, svc citronfleet.Service, p *deck.SubmitPayload, id string) (*deck.SubmitResult, error) {
	e := a.e
	key := ledgerKey(svc.Name, p.Customer, *p.IdempotencyKey)
	cl, err := e.claimKey(ctx, key, ledgerRecord{State: ledgerStarted, Entry: e.set.Name, Request: id})
	if err != nil {
		// This attempt reached no upstream, but an earlier attempt with
		// the same key may have run, and only the ledger knows. Saying
		// "not run" here was seen false (TestAtMostOnceStateful: served,
		// then KV down, then a retry told "not run"), so the caller is
		// told the outcome is unknown and to ask again with the key.
		e.metrics.unknown.Add(1)
		citronevent.Log(ctx, e.log, citronevent.RequestUnknown, "request", id, "reason", "ledger", "err", err)
		ref := refusal("outcome_unknown", "the at-most-once ledger could not be reached: this attempt did not run, an earlier one with this key may have; ask again with the same key", retryAfterDown)
		ref.IdempotencyKey = p.IdempotencyKey
		return nil, ref
	}
	if !cl.owned {
		citronevent.Log(ctx, e.log, citronevent.RequestDuplicate, "request", id, "key", *p.IdempotencyKey, "state", cl.existing.State)
		if cl.existing.State == ledgerDone {
			e.metrics.replayed.Add(1)
			r := cl.existing.Result
			return &deck.SubmitResult{RequestID: cl.existing.Request, Outcome: "replayed", Tokens: cl.existing.Tokens, Result: &r, Entry: e.set.Name, Revision: &s.revision}, nil
		}
		ref := refusal("in_progress", "a request with this idempotency key was started and has no recorded answer; it will not run again", retryAfterBusy)
		ref.IdempotencyKey = p.IdempotencyKey
		return nil, ref
	}
	res, err := a.run(ctx, s, svc, p, id)
	// The ledger write must not be cut short by the caller's deadline.
	lctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	var ref *deck.Refusal
	switch {
	case err == nil:
		rec := ledgerRecord{State: ledgerDone, Entry: e.set.Name, Request: id, Tokens: res.Tokens}
		if res.Result != nil {
			rec.Result = *res.Result
		}
		e.settle(lctx, key, cl.revision, rec)
	case errors.As(err, &ref) && ref.Code == "not_run":
		e.release(lctx, key, cl.revision)
	}
	return res, err
}

// run sends the request to its back ends.
func (a *api) run(ctx context.Context, s *snapshot, svc citronfleet.Service, p *deck.SubmitPayload, id string) (*deck.SubmitResult, error) {
	if svc.Kind == citronfleet.Model {
		return a.runModel(ctx, s, svc, p, id)
	}
	return a.runPlain(ctx, s, svc, p, id)
}

// notSent reports whether err proves the request never reached the peer:
// the connection was refused, or the peer answered that it took no new
// work (leaving). Anything else, a timeout or a reset mid-call, leaves
// the outcome unknown.
func notSent(err error) (sent bool, leaving bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false, false
	}
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Code() == connect.CodeUnavailable && ce.Meta().Get(citronwire.LeavingHeader) != "" {
		return false, true
	}
	return true, false
}

func (a *api) tell(name string, leaving bool) {
	select {
	case a.e.reports <- report{backend: name, leaving: leaving}:
	default: // the control loop is behind; the next failure reports again
	}
}

func (a *api) giveUp(ctx context.Context, id, key string, reached bool, err error) error {
	e := a.e
	if !reached {
		e.metrics.notRun.Add(1)
		citronevent.Log(ctx, e.log, citronevent.RequestNotRun, "request", id, "err", err)
		return refusal("not_run", "no back end could take the request; it did not run", retryAfterDown)
	}
	e.metrics.unknown.Add(1)
	citronevent.Log(ctx, e.log, citronevent.RequestUnknown, "request", id, "err", err)
	ref := refusal("outcome_unknown", "a back end took the request and did not answer; ask again with the same idempotency key", retryAfterDown)
	if key != "" {
		ref.IdempotencyKey = &key
	}
	ref.RequestID = &id
	return ref
}

func (a *api) runPlain(ctx context.Context, s *snapshot, svc citronfleet.Service, p *deck.SubmitPayload, id string) (*deck.SubmitResult, error) {
	e := a.e
	key := ""
	if p.IdempotencyKey != nil {
		key = *p.IdempotencyKey
	}
	body := ""
	if p.Body != nil {
		body = *p.Body
	}
	exclude := map[string]bool{}
	var last error
	for range maxPlainAttempts {
		b := s.upstream(svc, exclude, e.set.Zone, e.clock.Now())
		if b == nil {
			break
		}
		b.inflight.Add(1)
		res, err := b.plain.Do(ctx, citronplain.Call{Service: svc.Name, Customer: p.Customer, Key: key, Request: id, Body: body})
		b.inflight.Add(-1)
		if err == nil {
			e.metrics.served.Add(1)
			return &deck.SubmitResult{RequestID: id, Outcome: "served", Result: &res, Entry: e.set.Name, Revision: &s.revision}, nil
		}
		last = err
		sent, leaving := notSent(err)
		a.tell(b.spec.Name, leaving)
		if sent && !svc.IsIdempotent() {
			return nil, a.giveUp(ctx, id, key, true, err)
		}
		exclude[b.spec.Name] = true
		if ctx.Err() != nil {
			return nil, a.giveUp(ctx, id, key, sent, err)
		}
	}
	return nil, a.giveUp(ctx, id, key, false, errors.Wrapf(last, "service %s: no upstream left", svc.Name))
}

func (a *api) runModel(ctx context.Context, s *snapshot, svc citronfleet.Service, p *deck.SubmitPayload, id string) (*deck.SubmitResult, error) {
	e := a.e
	prompt := ""
	if p.Prompt != nil {
		prompt = *p.Prompt
	}
	exclude := map[string]bool{}
	chain := s.chain(svc, 0, exclude, e.set.Zone, e.clock.Now())
	if chain == nil {
		return nil, a.giveUp(ctx, id, "", false, errors.Newf("service %s: no chain of engines covers its layers", svc.Name))
	}
	// prefill[i] is how many positions stage i must recompute: non-zero
	// only for an engine that replaced a failed one mid-request.
	prefill := make([]int, len(chain))
	attempts := len(chain)
	reached := false
	tokens := make([]string, 0, p.MaxTokens)
	var prev uint64
	for pos := 0; pos < p.MaxTokens; pos++ {
		state := citronengine.Seed(prompt, pos, prev)
		for i := 0; i < len(chain); i++ {
			b := chain[i]
			b.inflight.Add(1)
			r, err := b.engine.Run(ctx, citronengine.Step{Request: id, Attempt: attempts, Pos: pos, State: state, Prefill: prefill[i], Priority: p.Priority, Last: pos == p.MaxTokens-1})
			b.inflight.Add(-1)
			if err == nil && (r.From != b.spec.Range[0] || r.To != b.spec.Range[1]) {
				err = errors.Newf("engine %s ran layers [%d,%d), the fleet says [%d,%d)", b.spec.Name, r.From, r.To, b.spec.Range[0], b.spec.Range[1])
			}
			if err == nil {
				reached = true
				prefill[i] = 0
				state = r.State
				continue
			}
			if citronwire.Code(err) == connect.CodeFailedPrecondition && attempts <= len(chain)+maxStageAttempts {
				prefill[i] = pos // the engine lost its cache for this request: recompute
				attempts++
				i--
				continue
			}
			sent, leaving := notSent(err)
			reached = reached || sent
			e.metrics.stageFailed.Add(1)
			citronevent.Log(ctx, e.log, citronevent.StageFailed, "request", id, "engine", b.spec.Name, "pos", pos, "err", err)
			a.tell(b.spec.Name, leaving)
			exclude[b.spec.Name] = true
			attempts++
			if ctx.Err() != nil || attempts > len(chain)+maxStageAttempts {
				return nil, a.giveUp(ctx, id, "", reached, err)
			}
			rest := s.chain(svc, b.spec.Range[0], exclude, e.set.Zone, e.clock.Now())
			if rest == nil {
				return nil, a.giveUp(ctx, id, "", reached, errors.Wrapf(err, "no engine left for layers from %d", b.spec.Range[0]))
			}
			chain = append(chain[:i:i], rest...)
			prefill = append(prefill[:i:i], make([]int, len(rest))...)
			for j := i; j < len(chain); j++ {
				prefill[j] = pos
			}
			e.metrics.stageReplaced.Add(1)
			citronevent.Log(ctx, e.log, citronevent.StageReplaced, "request", id, "engine", chain[i].spec.Name, "attempt", attempts)
			i--
		}
		prev = state
		tokens = append(tokens, citronengine.Token(state))
	}
	e.metrics.served.Add(1)
	return &deck.SubmitResult{RequestID: id, Outcome: "served", Tokens: tokens, Entry: e.set.Name, Attempts: &attempts, Revision: &s.revision}, nil
}
