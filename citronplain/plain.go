// Package citronplain is the stand-in plain service (the floor's
// cut-release check and sheet-lock, the kitchens' checklist submission,
// audit summaries, scorecards) and the client the entry uses to reach
// one. The stand-in counts every execution by idempotency key, so a test
// can see whether a non-idempotent call ran twice. Like many real
// upstreams, it does not deduplicate: at-most-once is the router's job.
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
	// Runs counts executions by idempotency key (or request id).
	Runs map[string]int `json:"runs"`
}

// Server is the stand-in plain service.
type Server struct {
	name    string
	leaving atomic.Bool
	mu      sync.Mutex
	runs    map[string]int
	// Hold, when set, is waited on before answering, whether or not the
	// caller still waits (tests use it to keep a call running).
	Hold chan struct{}
}

// NewServer returns a plain service named name.
func NewServer(name string) *Server {
	return &Server{name: name, runs: map[string]int{}}
}

// SetLeaving makes the server refuse new calls.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Runs returns how often each key ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

func (s *Server) call(_ context.Context, r *callRequest) (*callResponse, error) {
	if s.leaving.Load() {
		return nil, citronwire.Leaving(s.name)
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

// Result is the answer a plain service gives; the oracle uses it too.
func Result(service, customer, body string) string {
	return fmt.Sprintf("%s:%s:ok:%d", service, customer, len(body))
}

// Mount puts the procedures on mux.
func (s *Server) Mount(mux *http.ServeMux) {
	citronwire.Handle(mux, procCall, s.call)
	citronwire.Handle(mux, procStatus, func(context.Context, *statusRequest) (*statusResponse, error) {
		return &statusResponse{Leaving: s.leaving.Load()}, nil
	})
	citronwire.Handle(mux, procExecutions, func(context.Context, *executionsRequest) (*executionsResponse, error) {
		return &executionsResponse{Runs: s.Runs()}, nil
	})
}

// Client reaches one upstream.
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

// Call is one request to a plain service.
type Call struct {
	Service, Customer, Key, Request, Body string
}

// Do sends c and returns the upstream's result.
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

// Executions returns the upstream's execution counts.
func (cl *Client) Executions(ctx context.Context) (map[string]int, error) {
	r, err := cl.runs.Call(ctx, &executionsRequest{})
	if err != nil {
		return nil, err
	}
	return r.Runs, nil
}
