package citronreach_test

import (
	"context"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronlag"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a node that takes its own lateness for broken links or dead engines: it would ask
// other nodes to make its calls, and tell them that the engines are dead.
func TestLateNodeProvesNothingByMissingAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	n := w.nodes[0]
	n.engines.Lag = citronlag.Fixed(100 * time.Millisecond)
	n.setSilent("g0", true) // as if no answer were read in time
	n.setSilent("g1", true)
	ctx := t.Context()
	var addrs []string
	for _, e := range w.engines {
		addrs = append(addrs, e.Addr)
		limit, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		_, err := n.engines.Report(limit, e.Addr)
		cancel()
		is.True(err == nil || errors.Is(err, citronupstream.ErrUnreachable)) // another node may have answered
	}
	n.engines.Check(ctx, addrs)
	time.Sleep(500 * time.Millisecond)
	is.Equal(n.links.Summary().Unreached, 0)
	is.True(!n.links.Summary().Partitioned())
}
