package citronengine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
)

// FenceMode says what an engine does with an order carrying an old
// fencing number.
type FenceMode string

// Fence modes, as deployments differ.
const (
	FenceRefuse FenceMode = "refuse"
	FenceIgnore FenceMode = "ignore"
)

// Settings configure a stand-in engine.
type Settings struct {
	Name     string
	From, To int
	// Capacity is tokens per second; zero is unbounded.
	Capacity int
	// CacheSlots bounds the requests whose KV cache the engine holds.
	CacheSlots int
	// PrefixSlots bounds the prompt prefixes it caches.
	PrefixSlots int
	Fence       FenceMode
	// LoadLag is how old the load report is that Status gives.
	LoadLag time.Duration
}

const (
	defaultCacheSlots  = 4096
	defaultPrefixSlots = 256
)

// sequence is the engine's KV cache of one request: the positions before
// next, written by attempt.
type sequence struct {
	next    int
	attempt int
}

// Engine is the stand-in model engine.
type Engine struct {
	set     Settings
	batch   *batcher
	leaving atomic.Bool
	load    *laggedLoad

	mu       sync.Mutex
	cache    map[string]sequence
	prefixes *prefixCache
	events   *eventLog
	fence    int64
	loaded   map[string]bool // models, adapters and versions it was ordered to load

	Steps, Prefills, Imports, Cancels, Refused, OldOrders atomic.Int64
}

// New returns an engine.
func New(s Settings) *Engine {
	if s.CacheSlots == 0 {
		s.CacheSlots = defaultCacheSlots
	}
	if s.PrefixSlots == 0 {
		s.PrefixSlots = defaultPrefixSlots
	}
	ev := &eventLog{}
	return &Engine{
		set:      s,
		batch:    newBatcher(citronclock.Real{}, s.Capacity),
		load:     &laggedLoad{lag: s.LoadLag},
		cache:    map[string]sequence{},
		prefixes: newPrefixCache(s.PrefixSlots, ev),
		events:   ev,
		loaded:   map[string]bool{},
	}
}

// SetLeaving makes the engine refuse new requests; steps of requests it
// already holds go on.
func (e *Engine) SetLeaving() { e.leaving.Store(true) }

// InFlight is the number of requests whose cache the engine holds.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cache)
}

func (e *Engine) step(ctx context.Context, r *stepRequest) (*stepResponse, error) {
	cost, err := e.begin(r)
	if err != nil {
		return nil, err
	}
	if err := e.batch.wait(ctx, cost, r.Priority); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	e.Steps.Add(1)
	if r.Prefill > 0 {
		e.Prefills.Add(1)
	}
	if !e.commit(r) {
		return nil, citronwire.Errorf(connect.CodeAborted, "engine %s: attempt %d of %s was replaced by a newer one", e.set.Name, r.Attempt, r.Request)
	}
	return &stepResponse{State: Apply(r.State, e.set.From, e.set.To), From: e.set.From, To: e.set.To, Engine: e.set.Name}, nil
}

// begin checks a step and returns its cost in tokens. A late step of an
// attempt that was replaced is refused: run, it would move the cache of
// the newer attempt backwards, and a position would be computed from the
// wrong state.
func (e *Engine) begin(r *stepRequest) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.cache[r.Request]
	switch {
	case ok && r.Attempt < held.attempt:
		return 0, citronwire.Errorf(connect.CodeAborted, "engine %s: attempt %d of %s is older than %d", e.set.Name, r.Attempt, r.Request, held.attempt)
	case e.leaving.Load() && !ok:
		e.Refused.Add(1)
		return 0, citronwire.Leaving(e.set.Name)
	case r.Pos > 0 && r.Prefill == 0 && (!ok || held.next != r.Pos):
		return 0, citronwire.Errorf(connect.CodeFailedPrecondition, "engine %s: kv cache lacks %s before position %d", e.set.Name, r.Request, r.Pos)
	}
	cost := 1 + r.Prefill
	if r.Prompt != "" {
		cost += e.prefixes.miss(r.Prompt)
	}
	return cost, nil
}

// commit stores the cache a step leaves behind; false when a newer
// attempt took the request over while the step waited.
func (e *Engine) commit(r *stepRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.cache[r.Request]
	if ok && r.Attempt < held.attempt {
		return false
	}
	if r.Last {
		delete(e.cache, r.Request)
		return true
	}
	if !ok && len(e.cache) >= e.set.CacheSlots {
		for k := range e.cache { // evict one; the entry recovers by prefill
			delete(e.cache, k)
			break
		}
	}
	e.cache[r.Request] = sequence{next: r.Pos + 1, attempt: r.Attempt}
	return true
}

// cancel frees the cache of a request that its entry has given up.
func (e *Engine) cancel(_ context.Context, r *sequenceRequest) (*sequenceState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.cache[r.Request]
	if ok {
		delete(e.cache, r.Request)
		e.Cancels.Add(1)
	}
	return &sequenceState{Request: r.Request, Next: held.next, Attempt: held.attempt}, nil
}

// export gives the KV cache of a request to whoever takes it over.
func (e *Engine) export(_ context.Context, r *sequenceRequest) (*sequenceState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.cache[r.Request]
	if !ok {
		return nil, citronwire.Errorf(connect.CodeNotFound, "engine %s holds no kv cache of %s", e.set.Name, r.Request)
	}
	return &sequenceState{Request: r.Request, Next: held.next, Attempt: held.attempt, From: e.set.From, To: e.set.To}, nil
}

// imports takes a KV cache exported by an engine holding the same layers.
func (e *Engine) imports(_ context.Context, r *sequenceState) (*sequenceState, error) {
	if r.From != e.set.From || r.To != e.set.To {
		return nil, citronwire.Errorf(connect.CodeInvalidArgument, "engine %s holds [%d,%d), the kv cache is of [%d,%d)", e.set.Name, e.set.From, e.set.To, r.From, r.To)
	}
	if e.leaving.Load() {
		return nil, citronwire.Leaving(e.set.Name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.cache[r.Request]; ok && held.attempt > r.Attempt {
		return nil, citronwire.Errorf(connect.CodeAborted, "engine %s: attempt %d of %s is older than %d", e.set.Name, r.Attempt, r.Request, held.attempt)
	}
	e.cache[r.Request] = sequence{next: r.Next, attempt: r.Attempt}
	e.Imports.Add(1)
	return r, nil
}

// order takes an operator's or the system's order. Its fencing number
// must not be older than the newest seen, where the deployment checks.
func (e *Engine) order(_ context.Context, r *orderRequest) (*orderResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Fence < e.fence {
		e.OldOrders.Add(1)
		if e.set.Fence == FenceRefuse {
			return nil, citronwire.Errorf(connect.CodeFailedPrecondition, "engine %s: fence %d is older than %d", e.set.Name, r.Fence, e.fence)
		}
	}
	e.fence = max(e.fence, r.Fence)
	switch r.Action {
	case ActionLoad:
		e.loaded[r.Target] = true
	case ActionUnload:
		delete(e.loaded, r.Target)
	case ActionLeave:
		e.leaving.Store(true)
	default:
		return nil, citronwire.Errorf(connect.CodeInvalidArgument, "engine %s: unknown order %q", e.set.Name, r.Action)
	}
	return &orderResponse{Fence: e.fence}, nil
}

// status answers probes; it never queues behind steps.
func (e *Engine) status(context.Context, *statusRequest) (*statusResponse, error) {
	now := time.Now()
	e.load.note(now, e.batch.waiting())
	return &statusResponse{From: e.set.From, To: e.set.To, Leaving: e.leaving.Load(), Waiting: e.load.at(now)}, nil
}

// Mount puts the engine's procedures on mux.
func (e *Engine) Mount(mux *http.ServeMux) {
	citronwire.Handle(mux, procStep, e.step)
	citronwire.Handle(mux, procCancel, e.cancel)
	citronwire.Handle(mux, procExport, e.export)
	citronwire.Handle(mux, procImport, e.imports)
	citronwire.Handle(mux, procOrder, e.order)
	citronwire.Handle(mux, procStatus, e.status)
	citronwire.Handle(mux, procEvents, func(_ context.Context, r *eventsRequest) (*eventsResponse, error) {
		return &eventsResponse{Events: e.events.since(r.After)}, nil
	})
}
