package citronforward_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against callers that gain by ignoring their retry delay: once a stream has ended on
// this node, a caller that returns before its time must not be told an earlier time than
// before, as far as its time allows.
func TestCallerThatReturnsEarlyGetsNoEarlierTime(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8))
	// Without a forecast, callers wait as briefly as possible before they are refused.
	r.FirstEvent = func(*citronupstream.Request, citronpath.Path, citronmodel.Spec, time.Time) time.Duration { return 0 }
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		return reply(200, events(1, 3)), nil
	}
	is.Equal(r.ask("stream", 10*time.Second).status, 200)
	state := *r.Current()
	state.OtherNodesCache = map[string]int64{"a": int64(2 * spec.CacheTokens("fast", 8))}
	r.Current = func() *citronforward.State { return &state }
	for i := range 20 {
		body := func(q *citronupstream.Request) { q.Body = []byte(fmt.Sprint(i)) }
		first := r.ask("stream", 10*time.Second, body)
		told := time.Now().Add(first.retryAfter)
		is.True(first.retryAfter >= 1200*time.Millisecond && first.retryAfter <= 3200*time.Millisecond)
		again := r.ask("stream", 8*time.Second, body)
		longest := time.Duration(0.31 * float64(8*time.Second))
		is.True(again.retryAfter >= min(longest, time.Until(told)-100*time.Millisecond))
	}
}
