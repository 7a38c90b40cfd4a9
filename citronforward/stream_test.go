package citronforward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronserve"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// events returns the text of a stream with the given events, first and last included.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: t%d\n\n", i, i)
	}
	return b.String()
}

// failingBody is a body that returns an error after its text.
type failingBody struct {
	io.Reader
	err error
}

func (b failingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

func (failingBody) Close() error { return nil }

// stallingBody is a body that sends nothing after its text until ctx ends.
type stallingBody struct {
	io.Reader
	ctx context.Context
}

func (s stallingBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		<-s.ctx.Done()
		return n, s.ctx.Err()
	}
	return n, err
}

func (stallingBody) Close() error { return nil }

// stalledStream returns a stream of four events that stalls after two until resumed is
// closed.
func stalledStream(ctx context.Context, resumed <-chan struct{}) *citronupstream.Reply {
	body, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, events(1, 2))
		select {
		case <-resumed:
			_, _ = io.WriteString(w, events(3, 4))
		case <-ctx.Done():
		}
		_ = w.Close()
	}()
	rep := reply(200, "")
	rep.Body = body
	return rep
}

// Guards against a caller that gets half an event, or an event twice or not at all. The
// engine fails in the middle of an event. The truncated event must be dropped and the
// stream resumed on another engine after the last forwarded event.
func TestStreamIsResumedAfterLastCompleteEvent(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8))
	r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if n == 0 {
			rep := reply(200, "")
			rep.Body = failingBody{strings.NewReader(events(1, 3) + "id: 4\ndata: t"), io.ErrUnexpectedEOF}
			return rep, nil
		}
		return reply(200, events(4, 6)), nil
	}
	got := r.ask("stream", time.Second)
	is.Equal(got.body, events(1, 6))
	is.True(!got.aborted)
	calls := r.engines.received()
	is.Equal(len(calls), 2)
	is.Equal(calls[1].afterEvent, "3")
	is.True(calls[0].engine != calls[1].engine)
}

// Guards against a stream that looks complete although its last event was cut off. The
// engine ends the body without an error, but in the middle of an event. The stream must
// be resumed on another engine.
func TestTruncatedEventDoesNotEndStream(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8))
	r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if n == 0 {
			return reply(200, events(1, 2)+"id: 3\n"), nil
		}
		return reply(200, events(3, 3)), nil
	}
	is.Equal(r.ask("stream", time.Second).body, events(1, 3))
}

// Guards against a caller that gets events twice: the engine on which a stream is
// resumed may send events that the caller already has.
func TestEventsAreNotDuplicated(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8))
	r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if n == 0 {
			rep := reply(200, "")
			rep.Body = failingBody{strings.NewReader(events(1, 3)), errReset}
			return rep, nil
		}
		return reply(200, events(2, 5)), nil
	}
	is.Equal(r.ask("stream", time.Second).body, events(1, 5))
}

// Guards against a partial response that looks complete. All runs that the route allows
// fail after some events, so the stream must be aborted.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), modelEngine("m3", "a", 0, 8))
	r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		rep := reply(200, "")
		rep.Body = failingBody{strings.NewReader(events(n+1, n+1)), errReset}
		return rep, nil
	}
	got := r.ask("stream", time.Second)
	is.True(got.aborted)
	is.Equal(len(r.engines.received()), 2) // the route's limit
}

// Guards against a stream that stalls for good. An engine behind the first one fails. It
// has no connection to this node, and the first engine is healthy, so this node sees only
// that no events arrive. The stream must be moved within the zone, by a new path behind
// the same first engine, without a new run.
func TestDeadMiddleHopIsReplacedInZone(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
	moved := make(chan struct{})
	dead := ""
	r.engines.answer = func(ctx context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
		dead = c.EnginePath[1].Engine.Addr
		return stalledStream(ctx, moved), nil
	}
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		if addr == dead {
			return citronupstream.Report{}, errReset
		}
		return citronupstream.Report{}, nil
	}
	r.engines.repath = func(citronpath.Path) error {
		close(moved)
		return nil
	}
	got := r.ask("stream", 5*time.Second, func(q *citronupstream.Request) { q.CallerTimeout = 5 * time.Second })
	is.Equal(got.body, events(1, 4))
	is.Equal(len(r.engines.received()), 1) // the run continued
	is.Equal(len(r.engines.repaths), 1)
	is.True(r.engines.repaths[0][1].Engine.Addr != dead)
}

// Guards against reporting an engine as dead that is only loading other layers, as the
// leader ordered: the leader would then place its layers on yet other engines. A stream
// waits for the engine, and the first engine of the path reports that it is stalled
// there, but the engine itself responds to probes. The stream must be moved, and the
// engine must not count as dead.
func TestStalledEngineThatRespondsIsNotDead(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
	moved := make(chan struct{})
	var stalled atomic.Pointer[string]
	r.engines.answer = func(ctx context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
		stalled.Store(&c.EnginePath[1].Engine.Addr)
		return stalledStream(ctx, moved), nil
	}
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		if addr == "m1:1" {
			return citronupstream.Report{Stalled: map[string]string{"r1": *stalled.Load()}}, nil
		}
		return citronupstream.Report{}, nil
	}
	r.engines.repath = func(citronpath.Path) error {
		close(moved)
		return nil
	}
	got := r.ask("stream", 5*time.Second, func(q *citronupstream.Request) { q.CallerTimeout = 5 * time.Second })
	is.Equal(got.body, events(1, 4))
	is.Equal(len(r.engines.repaths), 1)
	is.Equal(len(r.view.DeadAfter(time.Time{})), 0)
}

// Guards against moving more hops of a stream than necessary. One hop of its path fails.
// A later hop is healthy, but the zone has a less loaded engine for the same layers. The
// new path must keep the healthy hop: another engine would have to process all tokens of
// the stream again, and with a hundred streams moved at once all of them would be late.
func TestRepathKeepsHealthyHops(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 3), modelEngine("m2", "a", 3, 6), modelEngine("m3", "a", 6, 8), modelEngine("n2", "a", 3, 6), modelEngine("n3", "a", 6, 8))
	moved := make(chan struct{})
	var dead, last string
	r.engines.answer = func(ctx context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
		dead, last = c.EnginePath[1].Engine.Addr, c.EnginePath[2].Engine.ID
		c.EnginePath[2].Engine.Begin(100_000) // other requests have started since the path was chosen
		return stalledStream(ctx, moved), nil
	}
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		if addr == dead {
			return citronupstream.Report{}, errReset
		}
		return citronupstream.Report{}, nil
	}
	r.engines.repath = func(citronpath.Path) error {
		close(moved)
		return nil
	}
	got := r.ask("stream", 5*time.Second, func(q *citronupstream.Request) { q.CallerTimeout = 5 * time.Second })
	is.Equal(got.body, events(1, 4))
	is.Equal(len(r.engines.repaths), 1)
	is.True(r.engines.repaths[0][1].Engine.Addr != dead)
	is.Equal(r.engines.repaths[0][2].Engine.ID, last)
}

// Guards against a path that crosses zones, over which sending all tokens so far would
// take seconds. An engine behind the first one fails, and no other engine of the zone
// holds its layers. The stream must be resumed on the other zone's replica.
func TestDeadMiddleHopWithoutSpareResumesInOtherZone(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("n1", "b", 0, 4), modelEngine("n2", "b", 4, 8))
	r.engines.answer = func(ctx context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if n > 0 {
			return reply(200, events(3, 4)), nil
		}
		rep := reply(200, "")
		rep.Body = stallingBody{strings.NewReader(events(1, 2)), ctx}
		return rep, nil
	}
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		if addr == "m2:1" {
			return citronupstream.Report{}, errReset
		}
		return citronupstream.Report{}, nil
	}
	got := r.ask("stream", 5*time.Second)
	is.Equal(got.body, events(1, 4))
	calls := r.engines.received()
	is.Equal(len(calls), 2)
	is.Equal(calls[1].engine, "n1")
	is.Equal(calls[1].afterEvent, "2")
	is.Equal(len(r.engines.repaths), 0)
}

// Guards against a stream that makes engines preempt running ones. In a surge, requests
// of other nodes have filled all caches. A further stream must be refused without being
// sent, and its caller must be told to retry after a second or more.
func TestStreamIsRefusedWhenCachesAreFull(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8))
	state := *r.Current()
	state.OtherNodesCache = map[string]int64{"a": int64(2 * spec.CacheTokens("fast", 8))}
	r.Current = func() *citronforward.State { return &state }
	got := r.ask("stream", 20*time.Second)
	is.Equal(got.status, 503)
	is.True(got.retryAfter >= time.Second)
	is.Equal(len(r.engines.received()), 0)
}

// Guards against refusing a caller that resumes a stream: the events that it already has
// would be lost. It must be admitted although the caches are full.
func TestResumingCallerIsAdmitted(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8))
	state := *r.Current()
	state.OtherNodesCache = map[string]int64{"a": int64(2 * spec.CacheTokens("fast", 8))}
	r.Current = func() *citronforward.State { return &state }
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		return reply(200, events(5, 6)), nil
	}
	got := r.ask("stream", time.Second, func(q *citronupstream.Request) { q.ResumeAfter = "4" })
	is.Equal(got.body, events(5, 6))
}

// Guards against a request that is tried at every engine of a full service, and a caller
// that learns only at the end that it is refused. At most five engines may refuse the
// request before the caller is told when to retry.
func TestRefusingEnginesAreTriedOnlyAFewTimes(t *testing.T) {
	is := is.New(t)
	engines := make([]citronmodel.Engine, 0, 9)
	for i := range 9 {
		engines = append(engines, modelEngine(fmt.Sprintf("m%d", i), "a", 0, 8))
	}
	r := newTestForwarder(t, engines...)
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		return refusal(""), nil
	}
	got := r.ask("stream", 10*time.Second)
	is.Equal(got.status, 503)
	is.True(got.retryAfter > 0)
	is.True(len(r.engines.received()) <= 5)
}

// Guards against losing the part of a response that the caller already has. The engine
// of a running stream fails while all others are full for a moment and refuse it. The
// stream must wait and be resumed once an engine accepts it.
func TestBegunStreamWaitsForCapacity(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), modelEngine("m3", "a", 0, 8))
	r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		switch {
		case n == 0:
			rep := reply(200, "")
			rep.Body = failingBody{strings.NewReader(events(1, 3)), errReset}
			return rep, nil
		case n < 12:
			return refusal(""), nil
		}
		return reply(200, events(4, 5)), nil
	}
	got := r.ask("stream", 8*time.Second)
	is.Equal(got.body, events(1, 5))
	is.True(!got.aborted)
}

// Guards against requests that a stopping node cuts off, and against refusing more than
// necessary. For 2.5 s after it begins to stop, or 2.8 s if no other node serves callers,
// the node accepts all streams, because callers still use its address. After that it
// accepts those whose deadline is before its end, and, if no other node serves callers,
// those that usually end before it does. A unary request is accepted if its deadline is
// before the node's end. A refused caller may retry at once if there is another node.
func TestStoppingNodeAcceptsOnlyWhatEndsInTime(t *testing.T) {
	for _, c := range []struct {
		name, route string
		state       citronforward.Stopping
		tokens      int
		status      int
		after       time.Duration
	}{
		{"any stream, shortly after the start of stopping", "stream", citronforward.Stopping{Since: 500 * time.Millisecond, Left: 7 * time.Second}, 600, 200, 0},
		{"long stream, later", "stream", citronforward.Stopping{Since: 3 * time.Second, Left: 4 * time.Second, OtherNodeServing: true}, 300, 503, 0},
		{"long stream, later, no other node", "stream", citronforward.Stopping{Since: 3 * time.Second, Left: 4 * time.Second}, 300, 503, 1500 * time.Millisecond},
		{"long stream, slightly later, no other node", "stream", citronforward.Stopping{Since: 2700 * time.Millisecond, Left: 4900 * time.Millisecond}, 300, 200, 0},
		{"long stream, slightly later", "stream", citronforward.Stopping{Since: 2700 * time.Millisecond, Left: 4900 * time.Millisecond, OtherNodeServing: true}, 300, 503, 0},
		{"short stream, later", "stream", citronforward.Stopping{Since: 3 * time.Second, Left: 4 * time.Second}, 50, 200, 0},
		{"short stream, later, another node", "stream", citronforward.Stopping{Since: 3 * time.Second, Left: 4 * time.Second, OtherNodeServing: true}, 50, 503, 0},
		{"stream with a deadline in time, another node", "stream", citronforward.Stopping{Since: 3 * time.Second, Left: 10 * time.Second, OtherNodeServing: true}, 300, 200, 0},
		{"stream of unknown size, later, no other node", "stream", citronforward.Stopping{Since: 3 * time.Second, Left: 4 * time.Second}, 0, 503, 1500 * time.Millisecond},
		{"stream at a node that is about to exit", "stream", citronforward.Stopping{Since: 2400 * time.Millisecond, OtherNodeServing: true}, 50, 503, 0},
		{"unary request at a node that is about to exit", "unsafe", citronforward.Stopping{Since: 2400 * time.Millisecond, OtherNodeServing: true}, 0, 503, 0},
		{"unary request that ends in time", "unsafe", citronforward.Stopping{Since: 5 * time.Second, Left: 2 * time.Second}, 0, 200, 0},
		{"unary request that does not end in time", "unsafe", citronforward.Stopping{Since: 7 * time.Second, Left: 300 * time.Millisecond, OtherNodeServing: true}, 0, 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), plainEngine("e1", "a"))
			c.state.Active = true
			r.Stopping = func() citronforward.Stopping { return c.state }
			r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
				return reply(200, events(1, 2)), nil
			}
			wait := time.Second
			if c.route == "stream" {
				wait = 9 * time.Second
			}
			got := r.ask(c.route, wait, func(q *citronupstream.Request) { q.OutputTokens = c.tokens })
			is.Equal(got.status, c.status)
			is.Equal(got.retryAfter, c.after)
		})
	}
}

// Guards against requests that get no answer, or a wrong one, when their node exits while they run
// or wait, and against callers that count as having left.
func TestRequestIsAnsweredWhenItsNodeExits(t *testing.T) {
	for _, c := range []struct {
		name, route, events string
		engines             []citronmodel.Engine
		status              int
		after               time.Duration
		aborted             bool
	}{
		{"unary request that runs", "unsafe", "", []citronmodel.Engine{plainEngine("e1", "a")}, 504, 0, false},
		{"request that may be repeated", "safe", "", []citronmodel.Engine{plainEngine("e1", "a"), plainEngine("e2", "a")}, 504, 0, false},
		{"stream without an event", "stream", "", []citronmodel.Engine{modelEngine("m1", "a", 0, 8)}, 504, 0, false},
		{"stream that has begun", "stream", events(1, 2), []citronmodel.Engine{modelEngine("m1", "a", 0, 8)}, 200, 0, true},
		{"stream that waits for an engine", "stream", "", nil, 503, 1500 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, c.engines...)
			var log bytes.Buffer
			r.Log = slog.New(slog.NewTextHandler(&log, nil))
			ctx, stop := context.WithCancelCause(context.Background())
			r.Stopping = func() citronforward.Stopping { return citronforward.Stopping{Active: true, Left: time.Minute} }
			if c.engines == nil {
				stop(citronserve.ErrStopped)
			}
			r.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
				time.AfterFunc(50*time.Millisecond, func() { stop(citronserve.ErrStopped) })
				if c.events == "" {
					<-ctx.Done()
					return nil, context.Cause(ctx)
				}
				rep := reply(200, "")
				rep.Body = stallingBody{strings.NewReader(c.events), ctx}
				return rep, nil
			}
			got := r.askUntil(ctx, c.route, 5*time.Second)
			is.Equal(got.status, c.status)
			is.Equal(max(0, got.retryAfter), c.after)
			is.Equal(got.aborted, c.aborted)
			is.Equal(got.body, c.events)
			is.True(!strings.Contains(log.String(), "caller left") && !strings.Contains(log.String(), "caller.left"))
			is.True(strings.Contains(log.String(), "this node is stopping"))
			is.True(len(r.engines.received()) <= 1)
		})
	}
}

// Guards against a third engine that runs a request while two others may still run it. A
// probe that times out does not prove that an engine's process has ended: this node may
// have been paused, or have lost its connection to a healthy engine.
func TestUnresponsiveFirstEngineHasNotEnded(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), modelEngine("m3", "a", 0, 8))
	r.engines.answer = func(ctx context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		rep := reply(200, "")
		rep.Body = stallingBody{strings.NewReader(events(n+1, n+1)), ctx}
		return rep, nil
	}
	r.engines.report = func(string) (citronupstream.Report, error) { return citronupstream.Report{}, context.DeadlineExceeded }
	got := r.ask("stream", 2500*time.Millisecond)
	is.True(got.aborted)
	is.Equal(len(r.engines.received()), 2)
}

// Guards against a third engine that runs a request while two others may still run it.
// Both runs that the route allows have been used when the first engine of the second run
// reports that it is leaving, or its entry disappears. The engine still serves, so the
// stream must stay there and be resumed only once another process has taken the engine's
// place.
func TestLastRunStaysWithLeavingEngineUntilItEnds(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("entry gone %v", gone), func(t *testing.T) { checkLastRunStays(t, gone) })
	}
}

func checkLastRunStays(t *testing.T, gone bool) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), modelEngine("m3", "b", 0, 8))
	state := r.Current()
	current := state
	var ended atomic.Bool
	r.Current = func() *citronforward.State { return current }
	r.engines.answer = func(_ context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error) {
		switch n {
		case 0:
			rep := reply(200, "")
			rep.Body = failingBody{strings.NewReader(events(1, 1)), errReset}
			return rep, nil
		case 1:
			leaving := *state
			var engines []citronmodel.Engine
			for _, e := range state.View.ByService["model"] {
				if e.ID == c.Engine.ID && gone {
					continue
				}
				e.Engine.Leaving = e.ID == c.Engine.ID
				engines = append(engines, e.Engine)
			}
			leaving.View = citronpool.Build(engines, state.View)
			current = &leaving
			body, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, events(2, 2))
				time.Sleep(2200 * time.Millisecond) // past the time at which streams move away
				_, _ = io.WriteString(w, events(3, 3))
				ended.Store(true)
				_ = w.CloseWithError(errReset)
			}()
			rep := reply(200, "")
			rep.Body = body
			return rep, nil
		}
		return reply(200, events(4, 4)), nil
	}
	r.engines.report = func(string) (citronupstream.Report, error) {
		if ended.Load() {
			return citronupstream.Report{Layers: &citronmodel.Span{}}, nil // another process has taken its place
		}
		return citronupstream.Report{}, nil
	}
	got := r.ask("stream", 5*time.Second, func(q *citronupstream.Request) { q.Received = time.Now().Add(4 * time.Second) })
	is.Equal(got.body, events(1, 4))
	calls := r.engines.received()
	is.Equal(len(calls), 3)
	is.Equal(calls[2].afterEvent, "3") // not moved before the engine's process ended
}

// Guards against a stream that waits for a process that no longer exists, or that is
// aborted because of it. The first engine of the stream crashes and restarts at the same
// address, while the connection to the crashed process stays open and sends nothing. The
// engine's report has a later start time, so the run has certainly ended. The stream must
// be resumed elsewhere, and the run must not count against the two that the route allows.
func TestRunOnRestartedEngineHasEnded(t *testing.T) {
	is := is.New(t)
	first := modelEngine("m1", "a", 0, 8)
	first.StartMS = 100
	r := newTestForwarder(t, first, modelEngine("m2", "b", 0, 8), modelEngine("m3", "b", 0, 8))
	r.engines.answer = func(ctx context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		rep := reply(200, events(3, 4))
		switch n {
		case 0:
			rep.Body = stallingBody{strings.NewReader(events(1, 1)), ctx}
		case 1:
			rep.Body = failingBody{strings.NewReader(events(2, 2)), errReset}
		}
		return rep, nil
	}
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		if addr == "m1:1" {
			return citronupstream.Report{StartMS: 200, Layers: &citronmodel.Span{}}, nil
		}
		return citronupstream.Report{}, nil
	}
	got := r.ask("stream", 5*time.Second)
	is.Equal(got.body, events(1, 4))
	is.Equal(len(r.engines.received()), 3)
}

// Guards against streams that pause for 0.6 to 0.9 s because they wait for the probe of a
// hung engine to time out. An engine behind the first one neither refuses connections
// nor responds. The next request through it is refused with the engine named as the
// cause (the engine is accused), while running streams through it only stall. These two
// signs together must move a stream, usually after about 150 ms, although the probe has
// no result.
func TestStalledStreamLeavesAccusedEngine(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
	moved := make(chan struct{})
	var hung atomic.Pointer[citronpool.Engine]
	r.engines.answer = func(ctx context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
		hung.Store(c.EnginePath[1].Engine)
		return stalledStream(ctx, moved), nil
	}
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		if e := hung.Load(); e != nil && addr == e.Addr {
			<-never
		}
		return citronupstream.Report{}, nil
	}
	r.engines.repath = func(citronpath.Path) error {
		close(moved)
		return nil
	}
	go func() {
		for hung.Load() == nil {
			time.Sleep(time.Millisecond)
		}
		hung.Load().Accuse(time.Now()) // as after a refusal of another request
	}()
	got := r.ask("stream", 5*time.Second)
	is.Equal(got.body, events(1, 4)) // the probe of the engine never returns in this test
	is.Equal(len(r.engines.repaths), 1)
}

// Guards against moving all streams away from an engine that is only full or is unloading
// layers: their tokens would have to be processed again elsewhere. Such an engine is
// accused but still responds to probes. A stream through it that happens to pause for
// 0.2 s must stay.
func TestAccusedEngineThatRespondsKeepsItsStreams(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
	resumed := make(chan struct{})
	r.engines.answer = func(ctx context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
		c.EnginePath[1].Engine.Accuse(time.Now())
		time.AfterFunc(220*time.Millisecond, func() { close(resumed) })
		return stalledStream(ctx, resumed), nil
	}
	is.Equal(r.ask("stream", 5*time.Second).body, events(1, 4))
	is.Equal(len(r.engines.repaths), 0)
	is.Equal(len(r.engines.received()), 1)
}

// Guards against a message to other nodes for each request of a burst. A request is
// refused because of an engine of its path, and other nodes are notified. This node then
// avoids the engine for a moment, so the next requests go elsewhere and cause no further
// notification.
func TestAccusationIsSharedOnce(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("n1", "b", 0, 8))
	var notified atomic.Int64
	r.Accuse = func(e *citronpool.Engine) {
		if e.ID == "m2" {
			notified.Add(1)
		}
	}
	r.engines.answer = func(_ context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
		if c.Engine.ID == "m1" {
			return refusal("m2:1"), nil
		}
		return reply(200, events(1, 2)), nil
	}
	for range 5 {
		is.Equal(r.ask("stream", time.Second).body, events(1, 2))
	}
	is.Equal(notified.Load(), int64(1))
}

// Guards against a log that does not say why a stream was not resumed. Either its attempts
// were used up, which is intended, or the shared retry budget, which means that engines
// fail faster than the budget allows for.
func TestLimitThatEndedStreamIsLogged(t *testing.T) {
	for _, c := range []struct {
		name  string
		slack float64
		want  string
	}{
		{"both allowed attempts fail", 200, "limit=attempts"},
		{"the retry budget is empty after the first attempt", 0, "limit=budget"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, modelEngine("a1", "a", 0, 8), modelEngine("a2", "a", 0, 8), modelEngine("a3", "a", 0, 8))
			var log strings.Builder
			r.Log = slog.New(slog.NewTextHandler(&log, nil))
			r.Budget = newBudget(c.slack)
			r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
				rep := reply(200, "")
				rep.Body = failingBody{strings.NewReader(events(n+1, n+1)), errReset}
				return rep, nil
			}
			is.True(r.ask("stream", time.Second).aborted)
			is.True(strings.Contains(log.String(), c.want))
		})
	}
}

// Guards against refusing a stream while other nodes still have retry budget to lend. An
// engine refuses many streams at once, and the node borrows budget for them. Other
// streams may use up the first loan before this stream gets a retry; it must then borrow
// again.
func TestRequestBorrowsAgainWhenOthersUsedTheLoan(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("a1", "a", 0, 8), modelEngine("a2", "a", 0, 8))
	r.Budget = citronbudget.New(citronbudget.Limits{Slack: 200, Window: 10 * time.Second}, time.Now()) // without a share
	rounds := 0
	r.Borrow = func(service string) bool {
		rounds++
		if rounds > 1 { // other streams use up the first loan before this one continues
			now := time.Now()
			r.Budget.AddLoan(service, citronbudget.Loan{Retries: 1, Until: now.Add(100 * time.Millisecond)}, now)
		}
		return true
	}
	r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if n == 0 {
			return refusal(""), nil
		}
		return reply(200, events(1, 3)), nil
	}
	is.Equal(r.ask("stream", time.Second).body, events(1, 3))
	is.Equal(rounds, 2)
}
