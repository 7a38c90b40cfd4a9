package citronengine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
	"golang.org/x/time/rate"
)

// Procedures of the engine protocol.
const (
	procStep  = "/citron.engine.v1/Step"
	procOrder = "/citron.engine.v1/Order"
)

// stepRequest asks an engine to run its layers for one token position.
type stepRequest struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Pos     int    `json:"pos"`
	State   uint64 `json:"state"`
	// Prefill is how many earlier positions the engine must recompute
	// because its KV cache lacks them (after a stage was replaced).
	Prefill  int  `json:"prefill,omitempty"`
	Priority int  `json:"priority,omitempty"`
	Last     bool `json:"last,omitempty"`
}

type stepResponse struct {
	State  uint64 `json:"state"`
	From   int    `json:"from"`
	To     int    `json:"to"`
	Engine string `json:"engine"`
}

type orderRequest struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"`
}

type orderResponse struct {
	Fence int64 `json:"fence"`
}

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
	Capacity   int
	CacheSlots int
	Fence      FenceMode
}

// Engine is the stand-in model engine.
type Engine struct {
	set     Settings
	limiter *rate.Limiter
	leaving atomic.Bool
	fence   atomic.Int64

	mu    sync.Mutex
	cache map[string]int // request -> next position it holds state for

	Steps, Prefills, Refused atomic.Int64
}

// New returns an engine.
func New(s Settings) *Engine {
	if s.CacheSlots == 0 {
		s.CacheSlots = 4096
	}
	lim := rate.NewLimiter(rate.Inf, 0)
	if s.Capacity > 0 {
		lim = rate.NewLimiter(rate.Limit(s.Capacity), max(1, s.Capacity/20))
	}
	return &Engine{set: s, limiter: lim, cache: map[string]int{}}
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
	if r.Pos == 0 && e.leaving.Load() {
		e.Refused.Add(1)
		return nil, citronwire.Leaving(e.set.Name)
	}
	e.mu.Lock()
	next, held := e.cache[r.Request]
	e.mu.Unlock()
	if r.Pos > 0 && r.Prefill == 0 && (!held || next != r.Pos) {
		return nil, citronwire.Errorf(connect.CodeFailedPrecondition, "engine %s: kv cache lacks %s before position %d", e.set.Name, r.Request, r.Pos)
	}
	cost := 1 + r.Prefill
	if cost > e.limiter.Burst() && e.limiter.Limit() != rate.Inf {
		cost = e.limiter.Burst()
	}
	if err := e.limiter.WaitN(ctx, cost); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	e.Steps.Add(1)
	if r.Prefill > 0 {
		e.Prefills.Add(1)
	}
	e.mu.Lock()
	if r.Last {
		delete(e.cache, r.Request)
	} else {
		if len(e.cache) >= e.set.CacheSlots {
			for k := range e.cache { // evict one; the entry recovers by prefill
				delete(e.cache, k)
				break
			}
		}
		e.cache[r.Request] = r.Pos + 1
	}
	e.mu.Unlock()
	return &stepResponse{State: Apply(r.State, e.set.From, e.set.To), From: e.set.From, To: e.set.To, Engine: e.set.Name}, nil
}

func (e *Engine) order(_ context.Context, r *orderRequest) (*orderResponse, error) {
	for {
		cur := e.fence.Load()
		if r.Fence < cur && e.set.Fence == FenceRefuse {
			return nil, citronwire.Errorf(connect.CodeFailedPrecondition, "engine %s: fence %d is older than %d", e.set.Name, r.Fence, cur)
		}
		if r.Fence <= cur || e.fence.CompareAndSwap(cur, r.Fence) {
			return &orderResponse{Fence: max(cur, r.Fence)}, nil
		}
	}
}

// Mount puts the engine's procedures on mux.
func (e *Engine) Mount(mux *http.ServeMux) {
	citronwire.Handle(mux, procStep, e.step)
	citronwire.Handle(mux, procOrder, e.order)
}

// Client reaches one engine.
type Client struct {
	step *citronwire.Unary[stepRequest, stepResponse]
}

// NewClient returns a client for the engine at base.
func NewClient(hc connect.HTTPClient, base string) *Client {
	return &Client{step: citronwire.NewUnary[stepRequest, stepResponse](hc, base, procStep)}
}

// Step is one stage's work on one token, as the entry asks for it.
type Step struct {
	Request  string
	Attempt  int
	Pos      int
	State    uint64
	Prefill  int
	Priority int
	Last     bool
}

// Result is what a stage returns: the state after its layers and the
// range it ran.
type Result struct {
	State    uint64
	From, To int
	Engine   string
}

// Run sends one step.
func (c *Client) Run(ctx context.Context, s Step) (Result, error) {
	r, err := c.step.Call(ctx, &stepRequest{
		Request: s.Request, Attempt: s.Attempt, Pos: s.Pos, State: s.State,
		Prefill: s.Prefill, Priority: s.Priority, Last: s.Last,
	})
	if err != nil {
		return Result{}, err
	}
	return Result{State: r.State, From: r.From, To: r.To, Engine: r.Engine}, nil
}
