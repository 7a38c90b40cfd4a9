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

// FenceMode selects what an engine does with an order whose fencing number is lower
// than the highest one seen.
type FenceMode string

// Fence modes. Both exist because engines of some deployments do not check fencing
// numbers.
const (
	FenceRefuse FenceMode = "refuse" // reject the order
	FenceIgnore FenceMode = "ignore" // carry out the order
)

// Settings configures a fake engine.
type Settings struct {
	Name     string
	From, To int // layer range, To excluded
	// Capacity is in tokens per second. Zero means unlimited.
	Capacity int
	// CacheSlots bounds the number of requests in the KV cache: when it is
	// reached, a step of a new request evicts another one. Imports may exceed it.
	CacheSlots int
	// PrefixSlots is the maximum number of cached prompt prefixes.
	PrefixSlots int
	Fence       FenceMode
	// LoadLag is the minimum age of the load that Status reports. The load is sampled
	// with each status request, so it may be older.
	LoadLag time.Duration
}

const (
	defaultCacheSlots  = 4096
	defaultPrefixSlots = 256
)

// sequence is the KV cache of one request. It covers the positions before next;
// attempt is the attempt that wrote it last.
type sequence struct {
	next    int
	attempt int
}

// Engine is a fake model engine. Its counters are for tests and logs.
type Engine struct {
	settings Settings
	batch    *batcher
	leaving  atomic.Bool
	load     *laggedLoad

	mu       sync.Mutex
	cache    map[string]sequence
	prefixes *prefixCache
	events   *eventLog
	fence    int64           // highest fencing number seen
	loaded   map[string]bool // models, adapters and versions loaded by orders

	Steps, Prefills, Imports, Cancels, Rejected, StaleOrders atomic.Int64
}

// New returns an engine. Zero cache bounds select the defaults.
func New(s Settings) *Engine {
	if s.CacheSlots == 0 {
		s.CacheSlots = defaultCacheSlots
	}
	if s.PrefixSlots == 0 {
		s.PrefixSlots = defaultPrefixSlots
	}
	ev := &eventLog{}
	return &Engine{
		settings: s,
		batch:    newBatcher(citronclock.Real{}, s.Capacity),
		load:     &laggedLoad{lag: s.LoadLag},
		cache:    map[string]sequence{},
		prefixes: newPrefixCache(s.PrefixSlots, ev),
		events:   ev,
		loaded:   map[string]bool{},
	}
}

// SetLeaving makes the engine reject new requests. Steps of requests in its KV cache
// continue.
func (e *Engine) SetLeaving() { e.leaving.Store(true) }

// InFlight returns the number of requests in the KV cache.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cache)
}

// step runs the layers of the engine for one token position.
func (e *Engine) step(ctx context.Context, r *stepRequest) (*stepResponse, error) {
	cost, err := e.admit(r)
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
		return nil, citronwire.Errorf(connect.CodeAborted, "engine %s: attempt %d of %s was replaced by a newer one", e.settings.Name, r.Attempt, r.Request)
	}
	return &stepResponse{State: Apply(r.State, e.settings.From, e.settings.To), From: e.settings.From, To: e.settings.To, Engine: e.settings.Name}, nil
}

// admit validates a step and returns its cost in tokens. It rejects a late step of a
// replaced attempt: such a step would overwrite the cache of the newer attempt with
// an earlier position, and a later position would be computed from the wrong state.
func (e *Engine) admit(r *stepRequest) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.cache[r.Request]
	switch {
	case ok && r.Attempt < held.attempt:
		return 0, citronwire.Errorf(connect.CodeAborted, "engine %s: attempt %d of %s is older than %d", e.settings.Name, r.Attempt, r.Request, held.attempt)
	case e.leaving.Load() && !ok:
		e.Rejected.Add(1)
		return 0, citronwire.LeavingError(e.settings.Name)
	case r.Pos > 0 && r.Prefill == 0 && (!ok || held.next != r.Pos):
		return 0, citronwire.Errorf(connect.CodeFailedPrecondition, "engine %s: position %d does not follow the kv cache of %s", e.settings.Name, r.Pos, r.Request)
	}
	cost := 1 + r.Prefill
	if r.Prompt != "" {
		cost += e.prefixes.addMissing(r.Prompt)
	}
	return cost, nil
}

// commit stores the KV cache after a step. It returns false if a newer attempt of the
// request ran a step here while this one waited. The last step of a request frees the
// cache.
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
	if !ok && len(e.cache) >= e.settings.CacheSlots {
		for k := range e.cache { // evict any request; its entry recovers by prefill
			delete(e.cache, k)
			break
		}
	}
	e.cache[r.Request] = sequence{next: r.Pos + 1, attempt: r.Attempt}
	return true
}

// cancel frees the KV cache of a request that its entry has abandoned.
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

// exportCache returns the KV cache of a request for import into another engine.
func (e *Engine) exportCache(_ context.Context, r *sequenceRequest) (*sequenceState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.cache[r.Request]
	if !ok {
		return nil, citronwire.Errorf(connect.CodeNotFound, "engine %s holds no kv cache of %s", e.settings.Name, r.Request)
	}
	return &sequenceState{Request: r.Request, Next: held.next, Attempt: held.attempt, From: e.settings.From, To: e.settings.To}, nil
}

// importCache stores a KV cache exported by an engine with the same layer range.
func (e *Engine) importCache(_ context.Context, r *sequenceState) (*sequenceState, error) {
	if r.From != e.settings.From || r.To != e.settings.To {
		return nil, citronwire.Errorf(connect.CodeInvalidArgument, "engine %s holds layers [%d,%d), the kv cache is of layers [%d,%d)", e.settings.Name, e.settings.From, e.settings.To, r.From, r.To)
	}
	if e.leaving.Load() {
		return nil, citronwire.LeavingError(e.settings.Name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.cache[r.Request]; ok && held.attempt > r.Attempt {
		return nil, citronwire.Errorf(connect.CodeAborted, "engine %s: attempt %d of %s is older than %d", e.settings.Name, r.Attempt, r.Request, held.attempt)
	}
	e.cache[r.Request] = sequence{next: r.Next, attempt: r.Attempt}
	e.Imports.Add(1)
	return r, nil
}

// order carries out an order. With FenceRefuse, it rejects an order whose fencing
// number is lower than the highest one seen.
func (e *Engine) order(_ context.Context, r *orderRequest) (*orderResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Fence < e.fence {
		e.StaleOrders.Add(1)
		if e.settings.Fence == FenceRefuse {
			return nil, citronwire.Errorf(connect.CodeFailedPrecondition, "engine %s: fencing number %d of the order is lower than %d, the highest one seen", e.settings.Name, r.Fence, e.fence)
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
		return nil, citronwire.Errorf(connect.CodeInvalidArgument, "engine %s: unknown order %q", e.settings.Name, r.Action)
	}
	return &orderResponse{Fence: e.fence}, nil
}

// status answers probes. It does not queue behind steps.
func (e *Engine) status(context.Context, *statusRequest) (*statusResponse, error) {
	now := time.Now()
	e.load.record(now, e.batch.waiting())
	return &statusResponse{From: e.settings.From, To: e.settings.To, Leaving: e.leaving.Load(), Waiting: e.load.at(now)}, nil
}

// Mount registers the procedures of the engine on mux.
func (e *Engine) Mount(mux *http.ServeMux) {
	citronwire.Handle(mux, procStep, e.step)
	citronwire.Handle(mux, procCancel, e.cancel)
	citronwire.Handle(mux, procExport, e.exportCache)
	citronwire.Handle(mux, procImport, e.importCache)
	citronwire.Handle(mux, procOrder, e.order)
	citronwire.Handle(mux, procStatus, e.status)
	citronwire.Handle(mux, procEvents, func(_ context.Context, r *eventsRequest) (*eventsResponse, error) {
		return &eventsResponse{Events: e.events.since(r.After)}, nil
	})
}
