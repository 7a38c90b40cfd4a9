// Package citronupstream defines the interface between request forwarding and
// the client that talks to engines: a caller's request, the calls made for it,
// the engines' responses, and errors that tell whether a failed call may have
// run.
package citronupstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronusage"
	"github.com/cockroachdb/errors"
)

// Request is a request from a caller.
type Request struct {
	ID           string
	Method, Host string
	// Path is the URL path without the query. Target is the path and query as
	// they were sent.
	Path, Target string
	Header       http.Header
	Body         []byte
	// Received is the time at which the request arrived, before its body was read.
	// CallerTimeout is the time that the caller waits from then on, or zero if that
	// is unknown.
	Received      time.Time
	CallerTimeout time.Duration
	// APIKey is the caller's API key.
	APIKey string
	// ResumeAfter is the ID of the last event that the caller received.
	ResumeAfter string
	// PromptTokens and OutputTokens are the declared size of the request, or
	// zero if it declares none. OutputHint is the caller's estimate of the
	// output tokens.
	PromptTokens, OutputTokens, OutputHint int
	// Model is the name of the model that the request is for, if it names one.
	Model string
	// PromptParts are the IDs of the parts of the prompt, in order. Requests share parts,
	// but the last one belongs to the request itself or to its session.
	PromptParts []string
}

// SharedParts returns the IDs of the prompt parts that other requests may have too.
func (r *Request) SharedParts() []string {
	return r.PromptParts[:max(0, len(r.PromptParts)-1)]
}

// Tokens returns the number of cached tokens that the request is likely to need.
func (r *Request) Tokens() int {
	out := r.OutputTokens
	if r.OutputHint > 0 && r.OutputHint < out {
		out = r.OutputHint
	}
	return r.PromptTokens + out
}

// MaxUrgency is the Urgency of the least urgent calls.
const MaxUrgency = 9

// Call is a request that is sent to one engine, or to the first engine of a path.
type Call struct {
	*Request
	Engine *citronpool.Engine
	// EnginePath is the path of a request to a model service. It is empty for plain
	// services.
	EnginePath citronpath.Path
	Customer   string
	// TimeLeft is the remaining time that the engine may use.
	TimeLeft time.Duration
	// AfterEvent is the ID of the last event that the caller has received by the time
	// of the call, or ResumeAfter if it has received none from earlier calls of this
	// request.
	AfterEvent string
	// NoRetry is true if the transport must not retry the call and must not reuse
	// a connection of an earlier call.
	NoRetry bool
	// Urgency is the order in which engines admit waiting calls: 1 is first, MaxUrgency
	// last. Zero leaves it to the engine.
	Urgency int
	// DirectOnly is true if the call must not be passed on to another node, because it came
	// from one.
	DirectOnly bool
	// OnRelay, if set, is called when the call is passed on to another node.
	OnRelay func()
}

// Reply is the response of an engine. The body has not been read yet.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotExecuted is true if the response states that the request was not run.
	NotExecuted bool
	// AccusedAddr is the address of the accused engine: the engine on the path that the
	// response names as the cause of the failure.
	AccusedAddr string
	// FromEngine is true if the response carries the stamp of an engine, so that it
	// was not produced by a proxy in between.
	FromEngine bool
	// RateLimit is the rate limit that the response declares. It is nil if
	// nothing is known about it.
	RateLimit RateLimit
	// Cooldown is the cool-down that a refusal asks for. It is nil if nothing is known
	// about it.
	Cooldown Cooldown
	// Leaving is true if the response states that its upstream is leaving.
	Leaving bool
	// UntilClose is true if the body has neither a length nor chunks. It ends with the
	// connection, so an engine that crashes may look like one that has finished.
	UntilClose bool
	// Length is the length of the body that the response declares, or not positive if it
	// declares none.
	Length int64
}

// Errors returned by Engines.Send. After any error but ErrNotSent, it is unknown
// whether the request ran.
var (
	// ErrNotSent reports that no byte of the request left this node.
	ErrNotSent = errors.New("request was not sent")
	// ErrWrongResponse reports that the response belongs to another request.
	ErrWrongResponse = errors.New("response belongs to another request")
	// ErrUnreachable reports that this node has no way to the engine. It tells nothing
	// about the engine, which other nodes may reach. Report returns it too, and Send only
	// together with ErrNotSent.
	ErrUnreachable = errors.New("this node has no way to the engine")
)

// Report is the state that an engine reports about itself.
type Report struct {
	// Stalled maps the IDs of stalled requests to the address of the engine that
	// they wait for.
	Stalled map[string]string
	// Slowdown is greater than 1 if the engine is slower than declared, and zero if the
	// report does not tell.
	Slowdown float64
	// StartMS is the engine's start time in Unix milliseconds, or zero if the
	// engine does not report it.
	StartMS int64
	// Layers is the layer range that the engine holds, or nil if the engine does
	// not report it.
	Layers *citronmodel.Span
	// AcceptedOrders is the number of orders that the engine has accepted since it
	// started.
	AcceptedOrders int64
	// Leaving is true if the response with the report states that the engine is leaving.
	Leaving bool
	// Usage is the engine's usage, or nil if the engine does not report it.
	Usage *citronusage.Figures
	// Relayed is true if the report came through another node because this node's own link
	// to the engine is broken.
	Relayed bool
}

// Engines sends calls to engines, asks for their state and changes the paths of
// running requests.
type Engines interface {
	// Send sends a call and returns the response up to its body.
	Send(context.Context, Call) (*Reply, error)
	// Report asks the engine at addr for its state.
	Report(ctx context.Context, addr string) (Report, error)
	// Repath moves the running request with this ID to another path with the
	// same first engine, whose address is first. It returns ErrUnknownRequest
	// or a *HopError if the engines decline the move.
	Repath(ctx context.Context, first, id string, path citronpath.Path) error
}

// ErrUnknownRequest is returned by Engines.Repath if the engine does not run the
// request.
var ErrUnknownRequest = errors.New("engine does not run this request")

// HopError reports that the engine at Addr cannot take its hop of a path, or that
// this node got no permit for it under the engine's rate limit.
type HopError struct{ Addr string }

func (e *HopError) Error() string {
	return "engine cannot take its hop (no free capacity, different layers or its rate limit): " + e.Addr
}
