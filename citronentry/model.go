package citronentry

// The route of a model request. The entry drives each token through the
// chain, stage by stage, and so always knows which positions each stage
// holds. A stage that fails is replaced, under a new attempt number, by
// engines holding the same layers, which recompute the positions they
// lack (prefill); a stage that is leaving is replaced between tokens and
// hands its KV cache over, so nothing is recomputed.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronroute"
	"citrondeck.dev/citrondeck/citronwire"
	deck "citrondeck.dev/citrondeck/gen/deck"
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

const (
	// maxReplacements bounds how often one request's stages are replaced.
	maxReplacements = 8
	// cancelTimeout bounds telling an engine that a request was given up.
	cancelTimeout = time.Second
)

// modelRun is the progress of one model request.
type modelRun struct {
	a     *api
	r     *request
	pick  citronroute.Picker
	chain []*citronroute.Backend
	// prefill[i] is how many positions stage i must recompute: non-zero
	// only for an engine that took over mid-request.
	prefill []int
	// attempt numbers the chain: it grows with each replacement, and
	// engines refuse steps of older attempts, so a late step of a stage
	// that was replaced cannot touch the newer one's cache.
	attempt      int
	replacements int
	reached      bool
}

func (a *api) runModel(ctx context.Context, r *request) (*deck.SubmitResult, error) {
	e := a.e
	m := &modelRun{a: a, r: r, attempt: 1, pick: a.picker(r)}
	if m.chain = m.pick.Chain(r.svc, 0); m.chain == nil {
		return nil, a.giveUp(ctx, r, false, errors.Newf("service %s: no chain of engines covers its layers", r.svc.Name))
	}
	m.prefill = make([]int, len(m.chain))
	bind(m.chain...)
	defer func() { unbind(m.chain...) }()
	tokens := make([]string, 0, r.MaxTokens)
	var prev uint64
	for pos := range r.MaxTokens {
		state, err := m.token(ctx, pos, prev)
		if err != nil {
			m.cancelAll(ctx)
			return nil, a.giveUp(ctx, r, m.reached, err)
		}
		prev = state
		tokens = append(tokens, citronengine.Token(state))
		if r.emit == nil {
			continue
		}
		if err := r.emit(pos, tokens[pos]); err != nil {
			m.cancelAll(ctx)
			return nil, a.giveUp(ctx, r, true, errors.Wrap(err, "send token to caller"))
		}
	}
	e.metrics.served.Add(1)
	e.metrics.tokens.Add(int64(len(tokens)))
	res := r.result("served", e)
	res.Tokens, res.Attempts = tokens, &m.attempt
	return res, nil
}

// token runs one position through every stage and returns its state.
func (m *modelRun) token(ctx context.Context, pos int, prev uint64) (uint64, error) {
	m.evacuate(ctx, pos)
	state := citronengine.Seed(deref(m.r.Prompt), pos, prev)
	for i := 0; i < len(m.chain); {
		out, err := m.step(ctx, i, pos, state)
		if err == nil {
			state = out
			i++
			continue
		}
		if ctx.Err() != nil {
			// The step was under way: the engine may run it.
			m.reached = m.reached || judge(err).reached
			return 0, err
		}
		if citronwire.Code(err) == connect.CodeFailedPrecondition && m.spend() {
			m.prefill[i] = pos // the engine lost its cache of this request
			continue
		}
		if err := m.replace(ctx, i, pos, err); err != nil {
			return 0, err
		}
	}
	return state, nil
}

// step runs one stage for one position.
func (m *modelRun) step(ctx context.Context, i, pos int, state uint64) (uint64, error) {
	b := m.chain[i]
	s := citronengine.Step{
		Request: m.r.id, Attempt: m.attempt, Pos: pos, State: state, Prefill: m.prefill[i],
		Priority: m.r.Priority, Last: pos == m.r.MaxTokens-1,
	}
	if pos == 0 || s.Prefill > 0 {
		s.Prompt = deref(m.r.Prompt)
	}
	var out citronengine.Result
	err := b.Do(ctx, m.a.e.clock, func(ctx context.Context) (err error) {
		out, err = b.Engine.Run(ctx, s)
		return err
	})
	if err != nil {
		return 0, err
	}
	// Tokens computed with other layers than the fleet text says look like
	// any others; only the range the engine reports gives it away.
	if out.From != b.Spec.Range[0] || out.To != b.Spec.Range[1] {
		return 0, errWrongLayers(b, out)
	}
	m.reached = true
	m.prefill[i] = 0
	return out.State, nil
}

type wrongLayersError struct{ error }

func errWrongLayers(b *citronroute.Backend, out citronengine.Result) error {
	return wrongLayersError{errors.Newf("engine %s ran layers [%d,%d), the fleet says [%d,%d)", b.Spec.Name, out.From, out.To, b.Spec.Range[0], b.Spec.Range[1])}
}

// spend uses up one replacement; false when none is left.
func (m *modelRun) spend() bool {
	if m.replacements >= maxReplacements {
		return false
	}
	m.replacements++
	m.attempt++
	return true
}

// replace swaps the stages from i on for others that hold the same layers
// and recompute what they lack.
func (m *modelRun) replace(ctx context.Context, i, pos int, cause error) error {
	e := m.a.e
	failed := m.chain[i]
	v := judge(cause)
	if errors.As(cause, new(wrongLayersError)) {
		v.reason = citronroute.WrongLayers
	}
	m.reached = m.reached || v.reached
	e.metrics.stageFailed.Add(1)
	citronevent.Log(ctx, e.log, citronevent.StageFailed, "request", m.r.id, "engine", failed.Spec.Name, "pos", pos, "reason", string(v.reason), "err", cause)
	m.a.tell(failed, v.reason)
	m.pick.Exclude(failed)
	if !m.spend() {
		return errors.Wrap(cause, "too many stage replacements")
	}
	m.pick.Snapshot = e.snap.Load() // what has been learnt since the start
	if !m.rechain(ctx, i, pos) {
		return errors.Wrapf(cause, "no engine left for layers from %d", failed.Spec.Range[0])
	}
	e.metrics.stageReplaced.Add(1)
	citronevent.Log(ctx, e.log, citronevent.StageReplaced, "request", m.r.id, "engine", m.chain[i].Spec.Name, "attempt", m.attempt)
	return nil
}

// rechain puts other engines in the place of stage i: one that holds the
// same layers if there is one, else a new chain from that boundary. Stages
// that stay keep their caches; the others recompute the positions before
// pos. It reports whether the layers are covered again.
func (m *modelRun) rechain(ctx context.Context, i, pos int) bool {
	if to := m.pick.Twin(m.r.svc, m.chain[i]); to != nil {
		m.swap(i, to)
		m.prefill[i] = pos
		return true
	}
	rest := m.pick.Chain(m.r.svc, m.chain[i].Spec.Range[0])
	if rest == nil {
		return false
	}
	held := map[string]int{}
	for j, b := range m.chain[i+1:] {
		held[b.Spec.Name] = m.prefill[i+1+j]
	}
	prefill := make([]int, len(rest))
	for j, b := range rest {
		prefill[j] = pos
		if p, ok := held[b.Spec.Name]; ok {
			prefill[j] = p
			delete(held, b.Spec.Name)
		}
	}
	var dropped []*citronroute.Backend
	for _, b := range m.chain[i+1:] {
		if _, ok := held[b.Spec.Name]; ok {
			dropped = append(dropped, b)
		}
	}
	unbind(m.chain[i:]...)
	bind(rest...)
	m.chain = append(m.chain[:i:i], rest...)
	m.prefill = append(m.prefill[:i:i], prefill...)
	m.release(ctx, dropped)
	return true
}

// evacuate moves the request off engines that are leaving, before the
// next token. An engine on its way out finishes what it holds, but only
// for so long; a request that outlives that would lose its stage and have
// it recomputed. Where the move fails the request stays where it is.
func (m *modelRun) evacuate(ctx context.Context, pos int) {
	if pos == 0 {
		return
	}
	s := m.a.e.snap.Load()
	for i, b := range m.chain {
		if s.Avoid[b.Spec.Name] != citronroute.Leaving {
			continue
		}
		to := m.twin(s, b)
		if to == nil {
			continue
		}
		var next int
		err := to.Do(ctx, m.a.e.clock, func(ctx context.Context) (err error) {
			next, err = b.Engine.Move(ctx, to.Engine, m.r.id, m.attempt)
			return err
		})
		if err != nil || next != pos {
			continue
		}
		m.swap(i, to)
		m.release(ctx, []*citronroute.Backend{b})
		m.a.e.metrics.stageMoved.Add(1)
		citronevent.Log(ctx, m.a.e.log, citronevent.StageMoved, "request", m.r.id, "from", b.Spec.Name, "to", to.Spec.Name, "pos", pos)
	}
}

func (m *modelRun) swap(i int, to *citronroute.Backend) {
	bind(to)
	unbind(m.chain[i])
	m.chain[i] = to
}

func bind(bs ...*citronroute.Backend) {
	for _, b := range bs {
		b.Bind()
	}
}

func unbind(bs ...*citronroute.Backend) {
	for _, b := range bs {
		b.Unbind()
	}
}

// twin picks the least loaded engine that holds exactly b's layers.
func (m *modelRun) twin(s *citronroute.Snapshot, b *citronroute.Backend) *citronroute.Backend {
	pick := m.pick
	pick.Snapshot = s
	return pick.Twin(m.r.svc, b)
}

// cancelAll frees the engines' caches of a request that was given up;
// else they would fill with dead requests, and an engine that leaves
// would wait for them.
func (m *modelRun) cancelAll(ctx context.Context) { m.release(ctx, m.chain) }

func (m *modelRun) release(ctx context.Context, held []*citronroute.Backend) {
	for _, b := range held {
		go func() {
			cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
			defer cancel()
			_ = b.Engine.Cancel(cctx, m.r.id)
		}()
	}
}
