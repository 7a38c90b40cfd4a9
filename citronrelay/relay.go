// Package citronrelay is the protocol by which a node reaches an engine through another
// node, because its own link to the engine is broken.
//
//	caller -> node -- Call ----------> helper -> engine
//	          node <- head, chunks --- helper <-
//
// The node keeps all decisions about the request: the choice of engines, retries, budgets
// and deadlines. The helper makes one call over its own connections and passes on what the
// engine answers. It never passes a call on to a third node. If either connection breaks,
// the other one is closed, so that an engine learns that a caller has left, and a body that
// is cut never looks complete.
package citronrelay

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronmemory"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronupstream"
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Errors of calls through a helper. After all of them it is certain that the engine did not
// get the call. After any other error it may have got it.
var (
	// ErrDeclined means that the helper did not try, or that it cannot tell whether the
	// engine or its own link failed.
	ErrDeclined = errors.New("node does not relay the call")
	// ErrUnreached means that the helper, which reaches other engines, could not connect to
	// this one.
	ErrUnreached = errors.New("engine is not reached through the other node either")
	// ErrRefused is ErrUnreached for an engine whose address refuses connections.
	ErrRefused = errors.New("engine refuses the connection of the other node too")
)

// Hop is one engine of a path, by ID, and the layer range that it runs.
type Hop struct {
	Engine string
	Span   citronmodel.Span
}

// Call is a call to be made by a helper.
type Call struct {
	// From is the name of the node that asks.
	From string
	// Engine is the ID of the engine that receives the call.
	Engine string
	// Path is the path of a request to a model service. It is empty for plain services.
	Path []Hop
	// Request holds what the engine gets of the caller's request. Its times and its API key
	// are not sent.
	Request *citronupstream.Request
	// Customer, TimeLeft, AfterEvent, NoRetry and Urgency are as in citronupstream.Call.
	Customer   string
	TimeLeft   time.Duration
	AfterEvent string
	NoRetry    bool
	Urgency    int
}

// Order is an order to hold a layer range, to be given by a helper.
type Order struct {
	Engine   string
	Order    citronplace.Order
	Accepted int64
}

// Repath is the move of a running request to another path, to be ordered by a helper.
type Repath struct {
	// First is the address of the path's first engine, ID the ID of the request.
	First, ID string
	Path      []Hop
}

// Helper makes the calls of other nodes. Its errors are passed on as the errors of this
// package, if they are one of these.
type Helper interface {
	Send(context.Context, Call) (*citronupstream.Reply, error)
	Report(ctx context.Context, addr string) (citronupstream.Report, error)
	State(ctx context.Context, addr string) (citronplace.EngineState, error)
	Place(context.Context, Order) error
	Repath(context.Context, Repath) error
}

// uncompressed makes a client ask for answers without compression. Events are small, and each
// would be compressed by itself.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// Client asks other nodes to make calls.
type Client struct {
	HC *http.Client
	// Memory is charged for the encoded bodies of requests while they are sent. It may be nil.
	Memory *citronmemory.Account
}

// failure is an error as it is sent.
type failure struct {
	Kind string `json:"kind"`
	Text string `json:"text"`
	// Addr is the engine that cannot take its hop (hopFailed).
	Addr string `json:"addr,omitempty"`
}

// Kinds of failures.
const (
	declined       = "declined"
	unreached      = "unreached"
	refused        = "refused"
	failed         = "failed"
	orderRefused   = "orderRefused"
	unknownRequest = "unknownRequest"
	hopFailed      = "hopFailed"
)

// failureKinds lists the errors that keep their identity on the way.
var failureKinds = []struct {
	kind string
	err  error
}{
	{declined, ErrDeclined},
	{refused, ErrRefused},
	{unreached, ErrUnreached},
	{orderRefused, citronplace.ErrRefused},
	{unknownRequest, citronupstream.ErrUnknownRequest},
}

// newFailure returns err as it is sent, or nil without an error.
func newFailure(err error) *failure {
	if err == nil {
		return nil
	}
	var hop *citronupstream.HopError
	if errors.As(err, &hop) {
		return &failure{Kind: hopFailed, Text: err.Error(), Addr: hop.Addr}
	}
	for _, k := range failureKinds {
		if errors.Is(err, k.err) {
			return &failure{Kind: k.kind, Text: err.Error()}
		}
	}
	return &failure{Kind: failed, Text: err.Error()}
}

// asError returns the error that the failure describes.
func (f *failure) asError(helper string) error {
	if f == nil {
		return nil
	}
	if f.Kind == hopFailed {
		return errors.Wrapf(&citronupstream.HopError{Addr: f.Addr}, "relay through %s", helper)
	}
	for _, k := range failureKinds {
		if f.Kind == k.kind {
			return errors.Wrapf(k.err, "relay through %s: %s", helper, f.Text)
		}
	}
	return errors.Newf("relay through %s: %s", helper, f.Text)
}
