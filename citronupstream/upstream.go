// Package citronupstream is the contract between forwarding and whatever
// speaks to engines: a caller's request, the calls that it leads to, what
// engines answer, and what is certain about a call that failed.
package citronupstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/cockroachdb/errors"
)

// Request is a caller's request.
type Request struct {
	ID           string
	Method, Host string
	// Path is the path alone; Target is path and query as they were sent.
	Path, Target string
	Header       http.Header
	Body         []byte
	// Received is when the request was read, Wait how long the caller
	// waits from then on; zero is unknown.
	Received time.Time
	Wait     time.Duration
	Key      string
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
	// PromptTokens and OutputTokens are the request's size, zero if it
	// declares none; OutputHint is the caller's guess of its output.
	PromptTokens, OutputTokens, OutputHint int
}

// Tokens is the cache that the request is likely to need.
func (r *Request) Tokens() int {
	out := r.OutputTokens
	if r.OutputHint > 0 && r.OutputHint < out {
		out = r.OutputHint
	}
	return r.PromptTokens + out
}

// Call is a request on its way to one engine, or to the first of a path.
type Call struct {
	*Request
	Engine *citronpool.Engine
	// Hops are the path of a model's request; empty for plain services.
	Hops     citronpath.Path
	Customer string
	// Left is the time that the engine may use.
	Left time.Duration
	// After is the id of the last event that the caller has.
	After string
	// Once: the call must not be repeated by the transport and must not
	// share a connection with earlier calls.
	Once bool
	// Urgent calls go before others at the engine.
	Urgent bool
}

// Reply is an engine's answer up to its body.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun: the engine says that it did not run the request.
	NotRun bool
	// Fault is the address of the engine of the path that is at fault.
	Fault string
	// Signed: the answer is an engine's own.
	Signed bool
	// RateLimit is how many requests the engine takes; nil: nothing is known.
	RateLimit RateLimit
}

// Errors of Engines.Send. Any other error leaves it open whether the
// request ran.
var (
	// ErrNotSent: no byte of the request left this node.
	ErrNotSent = errors.New("request was not sent")
	// ErrForeign: the answer belongs to another request.
	ErrForeign = errors.New("answer belongs to another request")
)

// Report is an engine's state as it tells it.
type Report struct {
	// Stalled maps request ids to the address of the engine they wait for.
	Stalled map[string]string
	// Slowdown is over 1 when the engine is slower than declared.
	Slowdown float64
	// Born is when the engine started, in milliseconds since 1970; zero if
	// it does not tell.
	Born int64
	// Holds are its layers; nil if it does not tell.
	Holds *citronmodel.Span
	// Accepted is how many orders it has accepted since it started.
	Accepted int64
}

// Engines speaks to engines.
type Engines interface {
	Send(context.Context, Call) (*Reply, error)
	Report(ctx context.Context, addr string) (Report, error)
	// Repath moves a running request to another path with the same first
	// engine. ErrUnknownRequest and *PartError say why it did not.
	Repath(ctx context.Context, first, id string, path citronpath.Path) error
}

// ErrUnknownRequest is the answer to an order for a request that the engine
// does not run.
var ErrUnknownRequest = errors.New("engine does not run this request")

// PartError names an engine that cannot take its part of a path.
type PartError struct{ Addr string }

func (e *PartError) Error() string { return "no room or no such part at " + e.Addr }
