package citronentry

// Model requests. For each token, the entry itself calls the stages of the
// chain one after another, and therefore knows which positions each stage
// holds. A stage that fails is replaced, under a new attempt number, by engines
// that hold the same layers and recompute the missing positions (prefill). A
// stage that is leaving is replaced between two tokens and hands over its KV
// cache, so that nothing is recomputed.

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
	// maxReplacements is the maximum number of stage replacements and cache
	// rebuilds of one request.
	maxReplacements = 8
	// cancelTimeout bounds the call that tells an engine to drop the cache of
	// a request.
	cancelTimeout = time.Second
)

// modelRun is the progress of one model request.
type modelRun struct {
	a      *api
	r      *request
	picker citronroute.Picker
	// chain holds the engine of each stage. Together they run all layers.
	chain []*citronroute.Backend
	// prefill[i] is the number of positions that stage i must recompute. It
	// is non-zero only for an engine that took over during the request or
	// lost its cache.
	prefill []int
	// attempt is the number of the chain. It grows with each replacement.
	// Engines reject steps of older attempts, so that a late step for a
	// replaced stage cannot change the cache of a newer attempt.
	attempt      int
	replacements int
	// reached reports whether an engine may have run a step of the request.
	reached bool
}

// runModel runs a model request to its last token. If r.emit is set, it also
// sends each token as soon as it is computed.
func (a *api) runModel(ctx context.Context, r *request) (*deck.SubmitResult, error) {
	e := a.e
	m := &modelRun{a: a, r: r, attempt: 1, picker: a.newPicker(r)}
	if m.chain = m.picker.Chain(r.svc, 0); m.chain == nil {
		return nil, a.fail(ctx, r, false, errors.Newf("service %s: no chain of engines covers its layers", r.svc.Name))
	}
	m.prefill = make([]int, len(m.chain))
	bindAll(m.chain...)
	defer func() { unbindAll(m.chain...) }()
	tokens := make([]string, 0, r.MaxTokens)
	var prev uint64
	for pos := range r.MaxTokens {
		state, err := m.computeToken(ctx, pos, prev)
		if err != nil {
			m.cancelAll(ctx)
			return nil, a.fail(ctx, r, m.reached, err)
		}
		prev = state
		tokens = append(tokens, citronengine.Token(state))
		if r.emit == nil {
			continue
		}
		if err := r.emit(pos, tokens[pos]); err != nil {
			m.cancelAll(ctx)
			return nil, a.fail(ctx, r, true, errors.Wrap(err, "send token to caller"))
		}
	}
	e.metrics.served.Add(1)
	e.metrics.tokens.Add(int64(len(tokens)))
	res := r.result("served", e)
	res.Tokens, res.Attempts = tokens, &m.attempt
	return res, nil
}

// computeToken runs one position through all stages and returns its state. It
// replaces the stages that fail.
func (m *modelRun) computeToken(ctx context.Context, pos int, prev uint64) (uint64, error) {
	m.moveOffLeaving(ctx, pos)
	state := citronengine.Seed(deref(m.r.Prompt), pos, prev)
	for i := 0; i < len(m.chain); {
		out, err := m.step(ctx, i, pos, state)
		if err == nil {
			state = out
			i++
			continue
		}
		if ctx.Err() != nil {
			// The step was in flight, so the engine may run it, unless err proves
			// that it does not.
			m.reached = m.reached || classifyFailure(err).reached
			return 0, err
		}
		if citronwire.Code(err) == connect.CodeFailedPrecondition && m.nextAttempt() {
			m.prefill[i] = pos // the engine lost the cache of this request
			continue
		}
		if err := m.replaceStage(ctx, i, pos, err); err != nil {
			return 0, err
		}
	}
	return state, nil
}

// step runs stage i for one position and returns the state that it computes.
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
	// Tokens computed with layers other than the configured ones look like
	// correct tokens. Only the layer range that the engine reports shows the
	// error.
	if out.From != b.Spec.Range[0] || out.To != b.Spec.Range[1] {
		return 0, errWrongLayers(b, out)
	}
	m.reached = true
	m.prefill[i] = 0
	return out.State, nil
}

// wrongLayersError means that an engine ran other layers than the fleet
// configuration assigns to it.
type wrongLayersError struct{ error }

func errWrongLayers(b *citronroute.Backend, out citronengine.Result) error {
	return wrongLayersError{errors.Newf("engine %s ran layers [%d,%d), the fleet configuration says [%d,%d)", b.Spec.Name, out.From, out.To, b.Spec.Range[0], b.Spec.Range[1])}
}

// nextAttempt counts one replacement and starts a new attempt. It returns false
// if the request has used up its replacements.
func (m *modelRun) nextAttempt() bool {
	if m.replacements >= maxReplacements {
		return false
	}
	m.replacements++
	m.attempt++
	return true
}

// replaceStage reports the failed engine of stage i and replaces stage i, or all
// stages from i on, by engines that recompute the missing positions.
func (m *modelRun) replaceStage(ctx context.Context, i, pos int, cause error) error {
	e := m.a.e
	failed := m.chain[i]
	f := classifyFailure(cause)
	if errors.As(cause, new(wrongLayersError)) {
		f.reason = citronroute.WrongLayers
	}
	m.reached = m.reached || f.reached
	e.metrics.stageFailed.Add(1)
	citronevent.Log(ctx, e.log, citronevent.StageFailed, "request", m.r.id, "engine", failed.Spec.Name, "pos", pos, "reason", string(f.reason), "err", cause)
	m.a.reportBackend(failed, f.reason)
	m.picker.Exclude(failed)
	if !m.nextAttempt() {
		return errors.Wrap(cause, "too many stage replacements")
	}
	m.picker.Snapshot = e.snap.Load() // includes failures reported since the request began
	if !m.rebuildChain(ctx, i, pos) {
		return errors.Wrapf(cause, "no engine left for layers from %d", failed.Spec.Range[0])
	}
	m.cancelAt(ctx, []*citronroute.Backend{failed})
	e.metrics.stageReplaced.Add(1)
	citronevent.Log(ctx, e.log, citronevent.StageReplaced, "request", m.r.id, "engine", m.chain[i].Spec.Name, "attempt", m.attempt)
	return nil
}

// rebuildChain replaces stage i by an engine that holds the same layers. If there
// is none, it builds a new chain from the first layer of stage i on. Engines
// that remain in the chain keep their caches; new ones recompute the positions
// before pos. rebuildChain returns false if no chain covers the layers.
func (m *modelRun) rebuildChain(ctx context.Context, i, pos int) bool {
	if to := m.picker.SameLayers(m.r.svc, m.chain[i]); to != nil {
		m.setStage(i, to)
		m.prefill[i] = pos
		return true
	}
	rest := m.picker.Chain(m.r.svc, m.chain[i].Spec.Range[0])
	if rest == nil {
		return false
	}
	// oldPrefill maps the engines of the later stages to their prefill.
	// Engines that the new chain contains are removed from it below.
	oldPrefill := map[string]int{}
	for j, b := range m.chain[i+1:] {
		oldPrefill[b.Spec.Name] = m.prefill[i+1+j]
	}
	prefill := make([]int, len(rest))
	for j, b := range rest {
		prefill[j] = pos
		if p, ok := oldPrefill[b.Spec.Name]; ok {
			prefill[j] = p
			delete(oldPrefill, b.Spec.Name)
		}
	}
	var dropped []*citronroute.Backend
	for _, b := range m.chain[i+1:] {
		if _, ok := oldPrefill[b.Spec.Name]; ok {
			dropped = append(dropped, b)
		}
	}
	unbindAll(m.chain[i:]...)
	bindAll(rest...)
	m.chain = append(m.chain[:i:i], rest...)
	m.prefill = append(m.prefill[:i:i], prefill...)
	m.cancelAt(ctx, dropped)
	return true
}

// moveOffLeaving moves the request off engines that are leaving, before the next
// token. A leaving engine finishes the requests that it holds, but only for a
// limited time; a longer request would lose the stage and recompute it. If a
// move fails, the stage stays where it is.
func (m *modelRun) moveOffLeaving(ctx context.Context, pos int) {
	if pos == 0 {
		return
	}
	s := m.a.e.snap.Load()
	for i, b := range m.chain {
		if s.Avoid[b.Spec.Name] != citronroute.Leaving {
			continue
		}
		to := m.pickReplacement(s, b)
		if to == nil {
			continue
		}
		var next int
		err := to.Do(ctx, m.a.e.clock, func(ctx context.Context) (err error) {
			next, err = b.Engine.MoveCache(ctx, to.Engine, m.r.id, m.attempt)
			return err
		})
		if err != nil || next != pos {
			continue
		}
		m.setStage(i, to)
		m.cancelAt(ctx, []*citronroute.Backend{b})
		m.a.e.metrics.stageMoved.Add(1)
		citronevent.Log(ctx, m.a.e.log, citronevent.StageMoved, "request", m.r.id, "from", b.Spec.Name, "to", to.Spec.Name, "pos", pos)
	}
}

// setStage makes to the engine of stage i.
func (m *modelRun) setStage(i int, to *citronroute.Backend) {
	bindAll(to)
	unbindAll(m.chain[i])
	m.chain[i] = to
}

// bindAll counts the request at each of bs.
func bindAll(bs ...*citronroute.Backend) {
	for _, b := range bs {
		b.Bind()
	}
}

// unbindAll undoes bindAll.
func unbindAll(bs ...*citronroute.Backend) {
	for _, b := range bs {
		b.Unbind()
	}
}

// pickReplacement returns the least loaded engine that holds exactly the layers
// of b, or nil.
func (m *modelRun) pickReplacement(s *citronroute.Snapshot, b *citronroute.Backend) *citronroute.Backend {
	picker := m.picker
	picker.Snapshot = s
	return picker.SameLayers(m.r.svc, b)
}

// cancelAll cancels the failed request at all engines of the chain. Otherwise
// their caches would fill with abandoned requests, and a leaving engine would
// wait for them.
func (m *modelRun) cancelAll(ctx context.Context) { m.cancelAt(ctx, m.chain) }

// cancelAt tells engines, in the background, to drop the cache of the request.
func (m *modelRun) cancelAt(ctx context.Context, engines []*citronroute.Backend) {
	for _, b := range engines {
		go func() {
			cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
			defer cancel()
			_ = b.Engine.Cancel(cctx, m.r.id)
		}()
	}
}
