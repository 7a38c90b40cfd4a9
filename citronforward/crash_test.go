package citronforward_test

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// crashEachEngine makes every engine end as soon as it begins to run a request: its response
// breaks off after text, and its address refuses connections.
func (r *testForwarder) crashEachEngine(text string) {
	crashed := map[string]bool{}
	r.engines.answer = func(_ context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
		r.engines.mu.Lock()
		crashed[c.Engine.Addr] = true
		r.engines.mu.Unlock()
		rep := reply(200, "")
		rep.Body = failingBody{strings.NewReader(text), io.ErrUnexpectedEOF}
		return rep, nil
	}
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		r.engines.mu.Lock()
		defer r.engines.mu.Unlock()
		if crashed[addr] {
			return citronupstream.Report{}, syscall.ECONNREFUSED
		}
		return citronupstream.Report{}, nil
	}
}

// restartCrashedEngines makes a restarted engine answer at the address of each engine that
// crashed.
func (r *testForwarder) restartCrashedEngines() {
	report := r.engines.report
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		rep, err := report(addr)
		if err != nil {
			return citronupstream.Report{Layers: &citronmodel.Span{}}, nil
		}
		return rep, nil
	}
}

func fourEngines() []citronmodel.Engine {
	return []citronmodel.Engine{modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), modelEngine("m3", "a", 0, 8), modelEngine("m4", "a", 0, 8)}
}

// Guards against a request that stops one engine after the other. Each engine that
// begins to run it crashes. A run on an engine that has crashed must count as one of the
// route's attempts.
func TestRunOnCrashedEngineCountsAsAttempt(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, fourEngines()...)
	r.crashEachEngine("")
	got := r.ask("stream", time.Second)
	is.Equal(len(r.engines.received()), 2) // the route allows two attempts
	is.Equal(got.status, 502)              // it may have run, so no retry is invited
}

// Guards against a quarantined request that is still sent to engines, whose caller
// waits for the refusal, or whose caller is told to retry soon. A request with another
// body must not be affected.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, fourEngines()...)
	r.crashEachEngine("")
	is.Equal(r.ask("stream", time.Second).status, 502)
	is.Equal(r.ask("stream", time.Second).status, 502)
	is.Equal(len(r.engines.received()), 3) // the third crash quarantines the request
	begin := time.Now()
	got := r.ask("stream", 5*time.Second)
	is.True(time.Since(begin) < 100*time.Millisecond)
	is.Equal(got.status, 503) // it has not run under this id
	is.True(got.retryAfter >= 50*time.Second)
	is.Equal(len(r.engines.received()), 3)
	other := func(q *citronupstream.Request) { q.Body = []byte("another") }
	r.ask("stream", time.Second, other)
	is.True(len(r.engines.received()) > 3)
}

// Guards against missing the crashes of a request that is not idempotent. This node
// sends it once and does not retry it, but its caller sends it again. The crashes of all
// these runs must be counted together.
func TestCrashesOfAnUnsafeRequestAreCounted(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("p1", "a"), plainEngine("p2", "a"), plainEngine("p3", "a"), plainEngine("p4", "a"))
	r.crashEachEngine("half an ans")
	for range 3 {
		is.Equal(r.ask("unsafe", time.Second).status, 502)
	}
	is.Equal(r.ask("unsafe", time.Second).status, 503)
	is.Equal(len(r.engines.received()), 3)
}

// Guards against counting a broken response as a crash. The engine breaks off its
// responses but still answers probes, so it may serve other requests.
func TestBrokenAnswerOfRunningEngineIsNoCrash(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, fourEngines()...)
	r.crashEachEngine("")
	r.engines.report = nil
	for range 5 {
		is.Equal(r.ask("stream", time.Second).status, 502)
	}
	is.True(r.Quarantine.Empty())
}

// Guards against blaming a crash on a request that ran well before it. A stream sends
// events for more than a second, and then its engine crashes. It is resumed on a second
// and a third engine, which crash too. It must be completed on a fourth one, and no crash
// may be counted against it. Each engine restarts at once, which proves that its previous
// process has ended; otherwise the route would allow only two runs.
func TestStreamThatRanWellIsNotSuspect(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, fourEngines()...)
	r.crashEachEngine("")
	r.restartCrashedEngines()
	crash := r.engines.answer
	r.engines.answer = func(ctx context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error) {
		switch n {
		case 0:
			body, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, events(1, 1))
				time.Sleep(1100 * time.Millisecond)
				_, _ = io.WriteString(w, events(2, 2))
				_, _ = crash(ctx, n, c)
				_ = w.CloseWithError(io.ErrUnexpectedEOF)
			}()
			rep := reply(200, "")
			rep.Body = body
			return rep, nil
		case 1, 2:
			return crash(ctx, n, c)
		}
		return reply(200, events(3, 4)), nil
	}
	got := r.ask("stream", 5*time.Second)
	is.Equal(got.body, events(1, 4))
	is.True(r.Quarantine.Empty())
}

// Guards against a request that stops the engines of a path one after the other: when a
// hop's engine crashes, the running stream is moved to another engine for the same
// layers, which then begins to run the request too. After two crashes the request is a
// suspect and must not be moved again, so at most one move is allowed.
func TestSuspectIsNotMovedAlongItsPath(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8), modelEngine("m4", "a", 4, 8))
	r.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		rep := reply(200, "")
		rep.Body = stallingBody{strings.NewReader(events(1, 1)), ctx}
		return rep, nil
	}
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		if addr == "m1:1" {
			return citronupstream.Report{}, nil
		}
		return citronupstream.Report{}, syscall.ECONNREFUSED
	}
	got := r.ask("stream", 5*time.Second)
	is.True(got.aborted)
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	is.True(len(r.engines.repaths) <= 1)
}
