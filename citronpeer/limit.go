package citronpeer

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronwire"
)

// Limit is what a node knows of the rate limit of one start of an engine.
type Limit struct {
	Engine string `json:"engine"`
	// Limited: the engine takes PerSecond requests a second from all nodes.
	Limited   bool    `json:"limited,omitempty"`
	PerSecond float64 `json:"perSecond,omitempty"`
	// Version orders what is known of one engine.
	Version int64 `json:"version"`
}

const (
	procedurePermit = "/citron.peer/Permit"
	// mostPermits is how many nodes that ask for a permit are answered at once.
	mostPermits = 64
)

// PermitRequest asks for a permit to send one request to an engine that names a rate
// limit.
type PermitRequest struct {
	// Node is the name of the node that asks, Limit what it knows of the engine.
	Node  string `json:"node"`
	Limit Limit  `json:"limit"`
	// PatienceMS is how many milliseconds the request can wait.
	PatienceMS int64 `json:"patienceMs,omitempty"`
}

// Permit answers a PermitRequest.
type Permit struct {
	// Granted: the request may be sent after WaitMS. If not, the engine has no room
	// for it before WaitMS are over, and the node should ask again after AgainMS.
	Granted bool  `json:"granted,omitempty"`
	WaitMS  int64 `json:"waitMs,omitempty"`
	AgainMS int64 `json:"againMs,omitempty"`
	// Limit is what the node that deals out permits knows of the engine.
	Limit Limit `json:"limit"`
}

// PermitDealer is a node's side of permits that others ask for.
type PermitDealer interface {
	Permit(PermitRequest) Permit
}

// HandlePermit mounts the procedure of a dealer on mux.
func HandlePermit(mux *http.ServeMux, d PermitDealer) {
	inner := http.NewServeMux()
	citronwire.Handle(inner, procedurePermit, func(_ context.Context, r *PermitRequest) (*Permit, error) {
		p := d.Permit(*r)
		return &p, nil
	}, citronwire.Compact())
	mux.Handle(procedurePermit, limited(inner, mostPermits))
}

// AskPermit asks the node at addr for a permit, and waits no longer than limit for its
// answer.
func (c *Client) AskPermit(ctx context.Context, addr string, r PermitRequest, limit time.Duration) (Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p, err := citronwire.NewUnary[PermitRequest, Permit](c.HC, "http://"+addr, procedurePermit, citronwire.Compact()).Call(ctx, &r)
	if err != nil {
		return Permit{}, err
	}
	return *p, nil
}
