package citronforward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against an upstream that is left out for good because one of its answers was slow.
// The other upstream is slower, but was never as slow as that answer.
func TestUpstreamIsUsedAgainAfterOneSlowAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestForwarder(t, plainEngine("p1", "a"), plainEngine("p2", "a"))
		first := true
		r.engines.answer = func(ctx context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error) {
			switch {
			case c.Engine.ID == "p1" && first:
				first = false
				time.Sleep(150 * time.Millisecond)
			case c.Engine.ID == "p1":
				time.Sleep(5 * time.Millisecond)
			default:
				time.Sleep(40 * time.Millisecond)
			}
			return answersOK(ctx, n, c)
		}
		for begin := time.Now(); time.Since(begin) < time.Minute; time.Sleep(100 * time.Millisecond) {
			r.ask("unsafe", time.Second)
		}
		calls := r.engines.received()
		is.True(!first)
		is.Equal(calls[len(calls)-1].engine, "p1") // the faster one
	})
}
