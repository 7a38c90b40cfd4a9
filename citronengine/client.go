package citronengine

import (
	"context"

	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
)

// Client reaches one engine.
type Client struct {
	step   *citronwire.Unary[stepRequest, stepResponse]
	cancel *citronwire.Unary[sequenceRequest, sequenceState]
	export *citronwire.Unary[sequenceRequest, sequenceState]
	imprt  *citronwire.Unary[sequenceState, sequenceState]
	order  *citronwire.Unary[orderRequest, orderResponse]
	status *citronwire.Unary[statusRequest, statusResponse]
	events *citronwire.Unary[eventsRequest, eventsResponse]
}

// NewClient returns a client for the engine at base.
func NewClient(hc connect.HTTPClient, base string) *Client {
	return &Client{
		step:   citronwire.NewUnary[stepRequest, stepResponse](hc, base, procStep),
		cancel: citronwire.NewUnary[sequenceRequest, sequenceState](hc, base, procCancel),
		export: citronwire.NewUnary[sequenceRequest, sequenceState](hc, base, procExport),
		imprt:  citronwire.NewUnary[sequenceState, sequenceState](hc, base, procImport),
		order:  citronwire.NewUnary[orderRequest, orderResponse](hc, base, procOrder),
		status: citronwire.NewUnary[statusRequest, statusResponse](hc, base, procStatus),
		events: citronwire.NewUnary[eventsRequest, eventsResponse](hc, base, procEvents),
	}
}

// Step is one stage's work on one token, as the entry asks for it.
type Step struct {
	Request  string
	Attempt  int
	Pos      int
	State    uint64
	Prompt   string
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
		Request: s.Request, Attempt: s.Attempt, Pos: s.Pos, State: s.State, Prompt: s.Prompt,
		Prefill: s.Prefill, Priority: s.Priority, Last: s.Last,
	})
	if err != nil {
		return Result{}, err
	}
	return Result{State: r.State, From: r.From, To: r.To, Engine: r.Engine}, nil
}

// Cancel frees the KV cache the engine holds of a request.
func (c *Client) Cancel(ctx context.Context, request string) error {
	_, err := c.cancel.Call(ctx, &sequenceRequest{Request: request})
	return err
}

// Status is an engine's report of itself.
type Status struct {
	From, To int
	Leaving  bool
	// Waiting steps, some time ago.
	Waiting int
}

// Status asks the engine for its report; the answer does not queue behind
// steps, so it tells a busy engine from a frozen one.
func (c *Client) Status(ctx context.Context) (Status, error) {
	r, err := c.status.Call(ctx, &statusRequest{})
	if err != nil {
		return Status{}, err
	}
	return Status{From: r.From, To: r.To, Leaving: r.Leaving, Waiting: r.Waiting}, nil
}

// Move exports the KV cache of a request from c's engine and imports it at
// to, under the new attempt number. It returns the position up to which
// to now holds the request.
func (c *Client) Move(ctx context.Context, to *Client, request string, attempt int) (int, error) {
	st, err := c.export.Call(ctx, &sequenceRequest{Request: request})
	if err != nil {
		return 0, err
	}
	st.Attempt = attempt
	if _, err := to.imprt.Call(ctx, st); err != nil {
		return 0, err
	}
	return st.Next, nil
}

// Order sends an order under a fencing number.
func (c *Client) Order(ctx context.Context, fence int64, action, target string) error {
	_, err := c.order.Call(ctx, &orderRequest{Fence: fence, Action: action, Target: target})
	return err
}

// Events returns the cache events after a sequence number; gaps in the
// numbers are events that were lost.
func (c *Client) Events(ctx context.Context, after int64) ([]CacheEvent, error) {
	r, err := c.events.Call(ctx, &eventsRequest{After: after})
	if err != nil {
		return nil, err
	}
	return r.Events, nil
}
