package citronpeer

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronwire"
)

// Limit is what a node knows about the rate limit of an engine. A restarted
// engine counts as another engine.
type Limit struct {
	Engine string `json:"engine"`
	// Limited reports whether the engine has a rate limit. PerSecond is the
	// number of requests it accepts per second from all nodes together.
	Limited   bool    `json:"limited,omitempty"`
	PerSecond float64 `json:"perSecond,omitempty"`
	// Version orders the known limits of one engine. A limit with a higher version
	// replaces one with a lower version.
	Version int64 `json:"version"`
}

const (
	procedurePermit = "/citron.peer/Permit"
	// maxConcurrentPermits is the number of permit requests served concurrently.
	maxConcurrentPermits = 64
)

// PermitRequest asks for a permit to send one request to an engine that has a
// rate limit.
type PermitRequest struct {
	// Node is the name of the node that asks. Limit is what it knows about the
	// engine's rate limit.
	Node  string `json:"node"`
	Limit Limit  `json:"limit"`
	// MaxWaitMS is how long the request can wait, in milliseconds.
	MaxWaitMS int64 `json:"patienceMs,omitempty"`
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	// Granted reports whether the request may be sent after WaitMS. If not, WaitMS
	// is the estimated time until a permit becomes available, and the node should
	// ask again after AskAgainMS. Both are in milliseconds.
	Granted    bool  `json:"granted,omitempty"`
	WaitMS     int64 `json:"waitMs,omitempty"`
	AskAgainMS int64 `json:"againMs,omitempty"`
	// Limit is what the permit issuer knows about the engine's rate limit.
	Limit Limit `json:"limit"`
}

// PermitIssuer serves the permit requests of other nodes.
type PermitIssuer interface {
	// Permit grants a permit or says when to ask again.
	Permit(PermitRequest) Permit
}

// HandlePermit mounts a permit issuer's procedure on mux.
func HandlePermit(mux *http.ServeMux, issuer PermitIssuer) {
	inner := http.NewServeMux()
	citronwire.Handle(inner, procedurePermit, func(_ context.Context, r *PermitRequest) (*Permit, error) {
		p := issuer.Permit(*r)
		return &p, nil
	}, citronwire.CBOR())
	mux.Handle(procedurePermit, limitConcurrency(inner, maxConcurrentPermits))
}

// AskPermit asks the node at addr for a permit and waits at most timeout for
// the answer.
func (c *Client) AskPermit(ctx context.Context, addr string, r PermitRequest, timeout time.Duration) (Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p, err := citronwire.NewUnary[PermitRequest, Permit](c.HC, "http://"+addr, procedurePermit, citronwire.CBOR()).Call(ctx, &r)
	if err != nil {
		return Permit{}, err
	}
	return *p, nil
}
