// Package citronplain contains a fake plain service and the client that the entry
// uses to call one. A plain service answers with one unary response and runs no
// model; examples are a release check, a lock, a checklist submission and an audit
// summary. The fake counts every execution by idempotency key, so that a test can
// detect a non-idempotent call that ran twice. Like many real upstreams, it does not
// deduplicate calls: the router is responsible for at-most-once execution.
package citronplain

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
)

const (
	procCall       = "/citron.plain.v1/Call"
	procExecutions = "/citron.plain.v1/Executions"
	procStatus     = "/citron.plain.v1/Status"
)

type callRequest struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	Key      string `json:"key,omitempty"`
	Request  string `json:"request"`
	Body     string `json:"body"`
}

type callResponse struct {
	Result   string `json:"result"`
	Upstream string `json:"upstream"`
}

type statusRequest struct{}

type statusResponse struct {
	Leaving bool `json:"leaving"`
}

type executionsRequest struct{}

type executionsResponse struct {
	// Runs is the number of executions by idempotency key, or by request id for
	// calls without a key.
	Runs map[string]int `json:"runs"`
}

// Server is a fake plain service.
type Server struct {
	name    string
	leaving atomic.Bool
	mu      sync.Mutex
	runs    map[string]int
	// Hold, if not nil, makes every call block until it receives a value from Hold
	// or Hold is closed, even if the caller has canceled the call. Tests use it to
	// keep a call running.
	Hold chan struct{}
}

// NewServer returns a fake plain service. Its responses carry name as the upstream.
func NewServer(name string) *Server {
	return &Server{name: name, runs: map[string]int{}}
}

// SetLeaving makes the server reject new calls.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Runs returns the number of executions by idempotency key, or by request id for calls
// without a key.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// call counts the execution, blocks on Hold and returns the result.
func (s *Server) call(_ context.Context, r *callRequest) (*callResponse, error) {
	if s.leaving.Load() {
		return nil, citronwire.LeavingError(s.name)
	}
	key := r.Key
	if key == "" {
		key = r.Request
	}
	s.mu.Lock()
	s.runs[key]++
	s.mu.Unlock()
	if s.Hold != nil {
		<-s.Hold
	}
	return &callResponse{Result: Result(r.Service, r.Customer, r.Body), Upstream: s.name}, nil
}

// Result returns the result of a call. The load tool compares responses with it.
func Result(service, customer, body string) string {
	return fmt.Sprintf("%s:%s:ok:%d", service, customer, len(body))
}

// Mount registers the procedures of the server on mux.
func (s *Server) Mount(mux *http.ServeMux) {
	citronwire.Handle(mux, procCall, s.call)
	citronwire.Handle(mux, procStatus, func(context.Context, *statusRequest) (*statusResponse, error) {
		return &statusResponse{Leaving: s.leaving.Load()}, nil
	})
	citronwire.Handle(mux, procExecutions, func(context.Context, *executionsRequest) (*executionsResponse, error) {
		return &executionsResponse{Runs: s.Runs()}, nil
	})
}

// Client calls one upstream.
type Client struct {
	call   *citronwire.Unary[callRequest, callResponse]
	runs   *citronwire.Unary[executionsRequest, executionsResponse]
	status *citronwire.Unary[statusRequest, statusResponse]
}

// NewClient returns a client for the upstream at base.
func NewClient(hc connect.HTTPClient, base string) *Client {
	return &Client{
		call:   citronwire.NewUnary[callRequest, callResponse](hc, base, procCall),
		runs:   citronwire.NewUnary[executionsRequest, executionsResponse](hc, base, procExecutions),
		status: citronwire.NewUnary[statusRequest, statusResponse](hc, base, procStatus),
	}
}

// Call is a request to a plain service. Key is the idempotency key, which may be empty;
// Request is the request id.
type Call struct {
	Service, Customer, Key, Request, Body string
}

// Do sends c and returns the result of the upstream.
func (cl *Client) Do(ctx context.Context, c Call) (string, error) {
	r, err := cl.call.Call(ctx, &callRequest{Service: c.Service, Customer: c.Customer, Key: c.Key, Request: c.Request, Body: c.Body})
	if err != nil {
		return "", err
	}
	return r.Result, nil
}

// Status probes the upstream and reports whether it is leaving.
func (cl *Client) Status(ctx context.Context) (bool, error) {
	r, err := cl.status.Call(ctx, &statusRequest{})
	if err != nil {
		return false, err
	}
	return r.Leaving, nil
}

// Executions returns the execution counts of the upstream, keyed as in Server.Runs.
func (cl *Client) Executions(ctx context.Context) (map[string]int, error) {
	r, err := cl.runs.Call(ctx, &executionsRequest{})
	if err != nil {
		return nil, err
	}
	return r.Runs, nil
}
