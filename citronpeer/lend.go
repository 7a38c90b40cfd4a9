package citronpeer

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronwire"
)

const (
	procedureLend = "/citron.peer/Lend"
	// mostLends is how many nodes in need are answered at once.
	mostLends = 64
)

// Loan is what a node lends of its part of the budget of repeats.
type Loan struct {
	Repeats int `json:"repeats"`
	// LeftMS is for how long, in milliseconds.
	LeftMS int64 `json:"leftMs"`
}

type lendRequest struct {
	Service string `json:"service"`
	Want    int    `json:"want"`
}

// Lender is a node's side of loans that others ask for.
type Lender interface {
	// Lend gives up to so many repeats for a service.
	Lend(service string, want int) Loan
}

// HandleLend mounts the procedure of a lender on mux.
func HandleLend(mux *http.ServeMux, l Lender) {
	inner := http.NewServeMux()
	citronwire.Handle(inner, procedureLend, func(_ context.Context, m *lendRequest) (*Loan, error) {
		loan := l.Lend(m.Service, m.Want)
		return &loan, nil
	}, citronwire.Compact())
	mux.Handle(procedureLend, limited(inner, mostLends))
}

// Borrow asks the node at addr for repeats, and waits no longer than limit: a
// request is waiting.
func (c *Client) Borrow(ctx context.Context, addr, service string, want int, limit time.Duration) (Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	loan, err := citronwire.NewUnary[lendRequest, Loan](c.HC, "http://"+addr, procedureLend, citronwire.Compact()).Call(ctx, &lendRequest{Service: service, Want: want})
	if err != nil {
		return Loan{}, err
	}
	return *loan, nil
}
