package citronpeer

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronwire"
)

const (
	procedureLend = "/citron.peer/Lend"
	// maxConcurrentLoans is the number of loan requests served concurrently.
	maxConcurrentLoans = 64
)

// Loan is the number of retries that a node lends from its share of the retry
// budget.
type Loan struct {
	Retries int `json:"repeats"`
	// LeftMS is how long the loan is valid, in milliseconds.
	LeftMS int64 `json:"leftMs"`
}

type lendRequest struct {
	Service string `json:"service"`
	Want    int    `json:"want"`
}

// Lender serves the loan requests of other nodes.
type Lender interface {
	// Lend gives up to want retries for a service.
	Lend(service string, want int) Loan
}

// HandleLend mounts a lender's procedure on mux.
func HandleLend(mux *http.ServeMux, l Lender) {
	inner := http.NewServeMux()
	citronwire.Handle(inner, procedureLend, func(_ context.Context, m *lendRequest) (*Loan, error) {
		loan := l.Lend(m.Service, m.Want)
		return &loan, nil
	}, citronwire.CBOR())
	mux.Handle(procedureLend, limitConcurrency(inner, maxConcurrentLoans))
}

// Borrow asks the node at addr for retries. It waits at most timeout, because
// a request is waiting for the loan.
func (c *Client) Borrow(ctx context.Context, addr, service string, want int, timeout time.Duration) (Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	loan, err := citronwire.NewUnary[lendRequest, Loan](c.HC, "http://"+addr, procedureLend, citronwire.CBOR()).Call(ctx, &lendRequest{Service: service, Want: want})
	if err != nil {
		return Loan{}, err
	}
	return *loan, nil
}
