package citronforward_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errReset = errors.New("connection reset")

// Guards against telling the caller that a request did not run when it may have run. An
// engine accepts a request and never answers. If the response at the deadline said that the
// request had not run, the caller would send it again and it would be executed twice.
func TestUnansweredRequestIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("e1", "a"), plainEngine("e2", "b"))
	r.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	got := r.ask("unsafe", 150*time.Millisecond)
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(got.retryAfter < 0) // the caller is not invited to retry
	is.Equal(len(r.engines.received()), 1)
}

// Guards against telling the caller that a stream did not run when its engines accepted
// it and sent nothing until the deadline.
func TestSilentStreamIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8))
	r.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	is.Equal(r.ask("stream", 150*time.Millisecond).status, http.StatusGatewayTimeout)
}

// Guards against running a request twice that is not idempotent, and against failing a
// request that may be retried. Each case gives the kind of the route, the outcome of the
// first call, the number of engines that see the request, and the status that the caller
// gets. All engines but the first answer with 200.
func TestRetriesByKindAndOutcome(t *testing.T) {
	lost := func() (*citronupstream.Reply, error) { return nil, errReset }
	notSent := func() (*citronupstream.Reply, error) { return nil, errors.Mark(errReset, citronupstream.ErrNotSent) }
	wrongResponse := func() (*citronupstream.Reply, error) {
		return nil, errors.Mark(errReset, citronupstream.ErrWrongResponse)
	}
	fails := func() (*citronupstream.Reply, error) { return reply(500, "broken"), nil }
	full := func() (*citronupstream.Reply, error) { return refusal(""), nil }
	unsigned := func() (*citronupstream.Reply, error) {
		rep := reply(200, "x")
		rep.FromEngine = false
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
		{"safe, another's answer", "safe", wrongResponse, 2, 200},
		{"unsafe, another's answer", "unsafe", wrongResponse, 1, 502},
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
			r := newTestForwarder(t, plainEngine("e1", "a"), plainEngine("e2", "a"), plainEngine("e3", "a"))
			r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
				if n == 0 {
					return c.first()
				}
				return reply(200, "done"), nil
			}
			got := r.ask(c.route, 500*time.Millisecond)
			is.Equal(len(r.engines.received()), c.calls)
			is.Equal(got.status, c.status)
		})
	}
}

// Guards against replacing an engine's error response by one of this node's own: an
// idempotent request that fails at every engine gets the last engine's response.
func TestLastFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("e1", "a"), plainEngine("e2", "a"))
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		return reply(500, "broken"), nil
	}
	got := r.ask("safe", 500*time.Millisecond)
	is.Equal(got.body, "broken")
	is.True(!got.refused)
	is.Equal(len(r.engines.received()), 2) // the route's limit
}

// Guards against holding a request until its deadline if there is no engine: it did not
// run, so the caller is told at once when to retry.
func TestNoEngineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t)
	begin := time.Now()
	got := r.ask("unsafe", 10*time.Second)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.retryAfter > 0)
	is.True(time.Since(begin) < 5*time.Second)
}

// Guards against waiting for an engine that hangs: an idempotent request is retried on
// another engine.
func TestSafeRequestIsRetriedIfEngineHangs(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("e1", "a"), plainEngine("e2", "a"))
	r.engines.answer = func(ctx context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if n == 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return reply(200, "done"), nil
	}
	is.Equal(r.ask("safe", 10*time.Second).status, 200)
}

// Guards against serving a request that the active configuration does not allow, and
// against refusing one on a public route for its missing key.
func TestRefusalsByConfiguration(t *testing.T) {
	for _, c := range []struct {
		name, route string
		change      func(*citronupstream.Request)
		status      int
	}{
		{"unknown path", "nowhere", func(*citronupstream.Request) {}, 404},
		{"unknown host", "safe", func(q *citronupstream.Request) { q.Host = "other" }, 404},
		{"unknown key", "safe", func(q *citronupstream.Request) { q.APIKey = "k2" }, 401},
		{"no key", "safe", func(q *citronupstream.Request) { q.APIKey = "" }, 401},
		{"no key, public route", "public", func(q *citronupstream.Request) { q.APIKey = "" }, 200},
		{"body over the limit", "safe", func(q *citronupstream.Request) { q.Body = make([]byte, 101) }, 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, plainEngine("e1", "a"))
			r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
				return reply(200, "done"), nil
			}
			is.Equal(r.ask(c.route, time.Second, c.change).status, c.status)
		})
	}
}

// Guards against a node without a configuration that reports a route or key as unknown:
// callers would give up permanently.
func TestMissingConfigurationIsNotReportedAsNotFound(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t)
	r.Current = func() *citronforward.State { return nil }
	got := r.ask("nowhere", time.Second)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.retryAfter > 0)
}

// Guards against an answer that is cut at the buffer's limit and looks complete.
func TestAnswerOverTheLimitIsNotCut(t *testing.T) {
	for _, c := range []struct {
		name, route string
		status      int
	}{{"success", "unsafe", http.StatusOK}, {"failure", "unsafe", http.StatusInternalServerError}, {"failure of a stream", "stream", http.StatusBadRequest}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, plainEngine("p1", "a"), modelEngine("m1", "a", 0, 8))
			r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
				return reply(c.status, strings.Repeat("x", 8<<20+1)), nil
			}
			got := r.ask(c.route, 2*time.Second)
			is.True(got.refused)
			is.Equal(got.status, http.StatusBadGateway) // the request ran, so the caller must not be told otherwise
			is.Equal(got.body, "")
		})
	}
	t.Run("at the limit", func(t *testing.T) {
		is := is.New(t)
		r := newTestForwarder(t, plainEngine("p1", "a"))
		r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
			return reply(http.StatusOK, strings.Repeat("x", 8<<20)), nil
		}
		is.Equal(len(r.ask("unsafe", 2*time.Second).body), 8<<20)
	})
}
