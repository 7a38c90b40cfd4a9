package citronengine

import (
	"context"

	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
)

// Client calls one engine.
type Client struct {
	step        *citronwire.Unary[stepRequest, stepResponse]
	cancel      *citronwire.Unary[sequenceRequest, sequenceState]
	exportCache *citronwire.Unary[sequenceRequest, sequenceState]
	importCache *citronwire.Unary[sequenceState, sequenceState]
	order       *citronwire.Unary[orderRequest, orderResponse]
	status      *citronwire.Unary[statusRequest, statusResponse]
	events      *citronwire.Unary[eventsRequest, eventsResponse]
}

// NewClient returns a client for the engine at base.
func NewClient(hc connect.HTTPClient, base string) *Client {
	return &Client{
		step:        citronwire.NewUnary[stepRequest, stepResponse](hc, base, procStep),
		cancel:      citronwire.NewUnary[sequenceRequest, sequenceState](hc, base, procCancel),
		exportCache: citronwire.NewUnary[sequenceRequest, sequenceState](hc, base, procExport),
		importCache: citronwire.NewUnary[sequenceState, sequenceState](hc, base, procImport),
		order:       citronwire.NewUnary[orderRequest, orderResponse](hc, base, procOrder),
		status:      citronwire.NewUnary[statusRequest, statusResponse](hc, base, procStatus),
		events:      citronwire.NewUnary[eventsRequest, eventsResponse](hc, base, procEvents),
	}
}

// Step is the work of one stage for one token position. Prompt is set only at position
// 0 and with a Prefill. Prefill is the number of earlier positions to recompute, Last
// marks the final step of the request, and steps with a higher Priority run first.
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

// Result is the outcome of a step: the state after the layers [From, To) and the name
// of the engine that ran them.
type Result struct {
	State    uint64
	From, To int
	Engine   string
}

// Run sends a step and returns its result.
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

// Cancel frees the KV cache of a request on the engine.
func (c *Client) Cancel(ctx context.Context, request string) error {
	_, err := c.cancel.Call(ctx, &sequenceRequest{Request: request})
	return err
}

// Status is the report of an engine about itself.
type Status struct {
	From, To int
	Leaving  bool
	// Waiting is the number of queued steps at an earlier time, see Settings.LoadLag.
	Waiting int
}

// Status requests the report of the engine. The request does not queue behind steps, so
// a busy engine still answers it and a frozen one does not.
func (c *Client) Status(ctx context.Context) (Status, error) {
	r, err := c.status.Call(ctx, &statusRequest{})
	if err != nil {
		return Status{}, err
	}
	return Status{From: r.From, To: r.To, Leaving: r.Leaving, Waiting: r.Waiting}, nil
}

// MoveCache exports the KV cache of a request from the engine of c and imports it into the
// engine of to, under the given attempt number. The engine of c keeps its copy.
// MoveCache returns the next position of the request.
func (c *Client) MoveCache(ctx context.Context, to *Client, request string, attempt int) (int, error) {
	st, err := c.exportCache.Call(ctx, &sequenceRequest{Request: request})
	if err != nil {
		return 0, err
	}
	st.Attempt = attempt
	if _, err := to.importCache.Call(ctx, st); err != nil {
		return 0, err
	}
	return st.Next, nil
}

// Order sends an order with a fencing number.
func (c *Client) Order(ctx context.Context, fence int64, action, target string) error {
	_, err := c.order.Call(ctx, &orderRequest{Fence: fence, Action: action, Target: target})
	return err
}

// Events returns the cache events after a sequence number that the engine still holds.
// A gap in the sequence numbers means that events were lost.
func (c *Client) Events(ctx context.Context, after int64) ([]CacheEvent, error) {
	r, err := c.events.Call(ctx, &eventsRequest{After: after})
	if err != nil {
		return nil, err
	}
	return r.Events, nil
}
