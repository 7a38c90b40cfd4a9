package citronloan_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronloan"
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/matryer/is"
)

func ExampleRetriesPerLender() {
	for _, waiting := range []int{1, 3, 4, 10, 100} {
		fmt.Printf("%d waiting: 3 loans of %d\n", waiting, citronloan.RetriesPerLender(waiting, 3))
	}
	// Output:
	// 1 waiting: 3 loans of 1
	// 3 waiting: 3 loans of 1
	// 4 waiting: 3 loans of 2
	// 10 waiting: 3 loans of 4
	// 100 waiting: 3 loans of 4
}

// lender lends retries for longer than a budget allows.
type lender struct{}

func (lender) Lend(string, int) citronpeer.Loan { return citronpeer.Loan{Retries: 3, LeftMS: 60_000} }

// Guards against a request that counts on a loan which the budget did not accept, and is
// refused in its next attempt.
func TestIgnoredLoanIsNoLoan(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	citronpeer.HandleLend(mux, lender{})
	hs := httptest.NewServer(mux)
	defer hs.Close()
	budget := citronbudget.New(citronbudget.Limits{Window: 10 * time.Second}, time.Now())
	members := []citronpeer.Member{{Name: "b", Peer: strings.TrimPrefix(hs.URL, "http://")}}
	b := citronloan.New(budget, &citronpeer.Client{HC: hs.Client()}, citronclock.Real{}, func() []citronpeer.Member { return members })
	is.True(!b.Borrow("app"))
	is.True(!budget.TakeRetry("app", time.Now()))
}
