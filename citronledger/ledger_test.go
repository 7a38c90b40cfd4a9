package citronledger_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronledger"
	"github.com/matryer/is"
)

// Guards against a customer who gets the recorded answer of another one, because the names
// and idempotency keys of both, joined, are the same text.
func TestClaimsOfDifferentCustomersAreDistinct(t *testing.T) {
	is := is.New(t)
	l := &citronledger.Ledger{KV: citronkv.NewServer(citronclock.Real{}, 0), Clock: citronclock.Real{}, Log: slog.New(slog.DiscardHandler), OnWrite: func() {}, OnReadBack: func() {}}
	for i, c := range [][3]string{
		{"release", "a", "b/k"},
		{"release", "a/b", "k"},
		{"release/a", "b", "k"},
		{"release", "a%2Fb", "k"},
		{"release", "a%252Fb", "k"},
		{"release", "", "a/b/k"},
		{"", "release/a", "b/k"},
	} {
		claim, err := l.Claim(context.Background(), c[0], c[1], c[2], citronledger.Record{State: citronledger.Started, Request: fmt.Sprint("r", i)})
		is.NoErr(err)
		if !claim.Owned {
			t.Errorf("service %q, customer %q, key %q: the key %q is taken", c[0], c[1], c[2], claim.Key)
		}
	}
}
