package citronsoak_test

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	// lessUrgentStream is the path of streams of a lower priority than /stream/.
	lessUrgentStream = "/stream/later/"
	customerCount    = 3
	// minShareSample is the number of requests from which on shares are compared.
	minShareSample = 40
)

// customerKey returns the API key of the customer that sends a request. Requests that do
// not belong to a caller of the soak are the first customer's.
func customerKey(id string) string {
	caller := 0
	_, _ = fmt.Sscanf(id, "c%d-", &caller) // other ids leave it at zero
	return fmt.Sprintf("key-%d", caller%customerCount)
}

// customers returns the customers of the configuration.
func customers() []any {
	var out []any
	for i := range customerCount {
		out = append(out, map[string]any{"name": fmt.Sprintf("customer-%d", i), "apiKeys": []string{fmt.Sprintf("key-%d", i)}})
	}
	return out
}

// share counts requests, and those that were served completely.
type share struct{ served, sent int }

func (s share) of() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// recordShare counts the answer to a stream for its kind and its customer. The caller holds
// mu.
func (w *world) recordShare(path, id string, a answer) {
	if !strings.HasPrefix(path, "/stream/") {
		return
	}
	for _, key := range []string{path, customerKey(id)} {
		s := w.shares[key]
		s.sent++
		if a.status == http.StatusOK && a.complete {
			s.served++
		}
		w.shares[key] = s
	}
}

// checkShares reports an error if streams of the more urgent kind were served clearly less
// often than the others, or a customer less than half as often as all.
func (w *world) checkShares() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fault := range unfairShares(w.shares) {
		w.t.Error(fault)
	}
}

// unfairShares returns what is wrong with shares by kind of stream and by customer's key.
// The margin between kinds is four standard deviations of the difference and 0.02.
func unfairShares(shares map[string]share) []string {
	var out []string
	urgent, later := shares["/stream/"], shares[lessUrgentStream]
	all := share{urgent.served + later.served, urgent.sent + later.sent}
	if urgent.sent >= minShareSample && later.sent >= minShareSample {
		p := all.of()
		margin := 0.02 + 4*math.Sqrt(p*(1-p)*(1/float64(urgent.sent)+1/float64(later.sent)))
		if urgent.of() < later.of()-margin {
			out = append(out, fmt.Sprintf("urgent streams were served less often than less urgent ones: %v and %v (served, sent), margin %.3f", urgent, later, margin))
		}
	}
	for i := range customerCount {
		key := fmt.Sprintf("key-%d", i)
		if s := shares[key]; s.sent >= minShareSample && s.of() < all.of()/2 {
			out = append(out, fmt.Sprintf("the customer with %s was served less than half as often as all: %v and %v (served, sent)", key, s, all))
		}
	}
	return out
}

// Guards against a check of shares that misses a starved kind or customer, or that reports
// chance.
func TestUnfairSharesAreFound(t *testing.T) {
	is := is.New(t)
	fair := map[string]share{"/stream/": {180, 200}, lessUrgentStream: {188, 200}, "key-0": {130, 140}, "key-1": {130, 140}, "key-2": {108, 120}}
	is.Equal(len(unfairShares(fair)), 0)
	inverted := map[string]share{"/stream/": {140, 200}, lessUrgentStream: {196, 200}}
	is.Equal(len(unfairShares(inverted)), 1)
	fair["key-2"] = share{40, 120}
	is.Equal(len(unfairShares(fair)), 1)
	fair["key-2"] = share{0, 10} // too few to tell
	is.Equal(len(unfairShares(fair)), 0)
}
