package citronforward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errReset = errors.New("connection reset")

// The caller of a cut release sees an engine take its request and never
// answer. At the deadline the engine may have run it, so the answer must
// not be one that promises that it did not: the caller would send it again
// and the same plate would be cut twice.
func TestAnswerLostUntilDeadlineIsNeverNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, plain("e1", "a"), plain("e2", "b"))
	r.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	got := r.ask("unsafe", 150*time.Millisecond)
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(got.retryAfter < 0) // nothing invites the caller back
	is.Equal(len(r.engines.seen()), 1)
}

// A stream whose engines took it and stayed silent to the deadline may have
// run as well.
func TestSilentStreamAtDeadlineIsNeverNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine("m1", "a", 0, 8))
	r.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	is.Equal(r.ask("stream", 150*time.Millisecond).status, http.StatusGatewayTimeout)
}

// What may be sent again, by kind of request and by what became of the
// first call. Each row: the first engine's answer, how many engines see the
// request, and the status that the caller gets.
func TestWhatIsSentAgain(t *testing.T) {
	lost := func() (*citronupstream.Reply, error) { return nil, errReset }
	notSent := func() (*citronupstream.Reply, error) { return nil, errors.Mark(errReset, citronupstream.ErrNotSent) }
	foreign := func() (*citronupstream.Reply, error) { return nil, errors.Mark(errReset, citronupstream.ErrForeign) }
	fails := func() (*citronupstream.Reply, error) { return reply(500, "broken"), nil }
	full := func() (*citronupstream.Reply, error) { return shed(""), nil }
	unsigned := func() (*citronupstream.Reply, error) {
		rep := reply(200, "x")
		rep.Signed = false
		return rep, nil
	}
	for _, c := range []struct {
		name, route string
		first       func() (*citronupstream.Reply, error)
		calls       int
		status      int
	}{
		{"safe, answer lost", "safe", lost, 2, 200},
		{"unsafe, answer lost", "unsafe", lost, 1, 502},
		{"safe, another's answer", "safe", foreign, 2, 200},
		{"unsafe, another's answer", "unsafe", foreign, 1, 502},
		{"safe, not sent", "safe", notSent, 2, 200},
		{"unsafe, not sent", "unsafe", notSent, 2, 200},
		{"safe, engine full", "safe", full, 2, 200},
		{"unsafe, engine full", "unsafe", full, 2, 200},
		{"safe, engine fails", "safe", fails, 2, 200},
		{"unsafe, engine fails", "unsafe", fails, 1, 500},
		{"unsafe, answer without signature", "unsafe", unsigned, 1, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, plain("e1", "a"), plain("e2", "a"), plain("e3", "a"))
			r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
				if n == 0 {
					return c.first()
				}
				return reply(200, "done"), nil
			}
			got := r.ask(c.route, 500*time.Millisecond)
			is.Equal(len(r.engines.seen()), c.calls)
			is.Equal(got.status, c.status)
		})
	}
}

// A safe request that fails at every engine gets the engine's own answer,
// not one of this node's.
func TestLastFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	r := newRig(t, plain("e1", "a"), plain("e2", "a"))
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		return reply(500, "broken"), nil
	}
	got := r.ask("safe", 500*time.Millisecond)
	is.Equal(got.body, "broken")
	is.True(!got.refused)
	is.Equal(len(r.engines.seen()), 2) // the route's limit
}

// No engine at all: the request did not run, and the caller is told at once
// when to come back, not at its deadline.
func TestNoEngineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	begin := time.Now()
	got := r.ask("unsafe", 10*time.Second)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.retryAfter > 0)
	is.True(time.Since(begin) < 5*time.Second)
}

// Only a safe request leaves an engine that hangs; its answer then comes
// from another.
func TestSafeRequestLeavesHangingEngine(t *testing.T) {
	is := is.New(t)
	r := newRig(t, plain("e1", "a"), plain("e2", "a"))
	r.engines.answer = func(ctx context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if n == 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return reply(200, "done"), nil
	}
	is.Equal(r.ask("safe", 10*time.Second).status, 200)
}

// Refusals that concern the caller, each from the configuration in force.
func TestRefusalsByConfiguration(t *testing.T) {
	for _, c := range []struct {
		name, route string
		change      func(*citronupstream.Request)
		status      int
	}{
		{"unknown path", "nowhere", func(*citronupstream.Request) {}, 404},
		{"unknown host", "safe", func(q *citronupstream.Request) { q.Host = "other" }, 404},
		{"unknown key", "safe", func(q *citronupstream.Request) { q.Key = "k2" }, 401},
		{"no key", "safe", func(q *citronupstream.Request) { q.Key = "" }, 401},
		{"no key, public route", "public", func(q *citronupstream.Request) { q.Key = "" }, 200},
		{"body over the limit", "safe", func(q *citronupstream.Request) { q.Body = make([]byte, 101) }, 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, plain("e1", "a"))
			r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
				return reply(200, "done"), nil
			}
			is.Equal(r.ask(c.route, time.Second, c.change).status, c.status)
		})
	}
}

// A node that knows no configuration must not say that a route or a key
// does not exist: callers would give up for good.
func TestNoConfigurationIsNeverNotFound(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.Current = func() *citronforward.State { return nil }
	got := r.ask("nowhere", time.Second)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.retryAfter > 0)
}
