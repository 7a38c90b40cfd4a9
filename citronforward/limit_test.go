package citronforward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// setRateLimits records a rate limit for each engine in decide, as if the engine had
// announced it, and answers permit requests with the engine's decision. For each engine,
// asked holds the maxWait of every permit request so far.
func (r *testForwarder) setRateLimits(decide map[string]citronpermit.Decision) (asked map[string][]time.Duration) {
	asked = map[string][]time.Duration{}
	for id := range decide {
		r.Limits.Observe(id, r.Limits.Get(id), citronupstream.PerSecond(2))
	}
	r.Permit = func(_ context.Context, e *citronpool.Engine, maxWait time.Duration) citronpermit.Decision {
		asked[e.ID] = append(asked[e.ID], maxWait)
		return decide[e.ID]
	}
	return asked
}

func answersOK(_ context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
	if len(c.EnginePath) == 0 {
		return reply(http.StatusOK, "ok"), nil
	}
	return reply(http.StatusOK, "id: 1\ndata: x\n\n"), nil
}

var deniedForLong = citronpermit.Denied{AvailableIn: 30 * time.Second, RetryAfter: 30 * time.Second}

// Guards against refusing or delaying a request because it is denied a permit for one
// engine although another engine has no rate limit.
func TestRequestWithoutAPermitGoesToAnotherEngine(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, plainEngine("p1", "a"), plainEngine("p2", "b"), modelEngine("m1", "a", 0, 8), modelEngine("m2", "b", 0, 8))
			r.engines.answer = answersOK
			asked := r.setRateLimits(map[string]citronpermit.Decision{"p1": deniedForLong, "m1": deniedForLong})
			for range 3 {
				is.Equal(r.ask(route, time.Second).status, http.StatusOK)
			}
			for _, c := range r.engines.received() {
				is.True(c.engine == "p2" || c.engine == "m2")
			}
			is.True(len(asked["p1"]) <= 1) // after a denial, no permit is requested before Denied.RetryAfter has passed
			is.True(len(asked["m1"]) <= 1)
		})
	}
}

// Guards against holding a request until its deadline although no engine can accept it
// before then, and against a refusal without a retry delay.
func TestRequestIsRefusedAtOnceIfNoPermitComesInTime(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, plainEngine("p1", "a"), plainEngine("p2", "b"), modelEngine("m1", "a", 0, 8))
			r.engines.answer = answersOK
			busy := citronpermit.Denied{AvailableIn: 30 * time.Second, RetryAfter: 100 * time.Millisecond}
			asked := r.setRateLimits(map[string]citronpermit.Decision{"p1": busy, "p2": busy, "m1": busy})
			from := time.Now()
			c := r.ask(route, 4*time.Second)
			is.True(c.refused)
			is.Equal(c.status, http.StatusServiceUnavailable)
			is.True(c.retryAfter > busy.AvailableIn-time.Second) // not long before a permit becomes available
			is.True(route != "stream" || len(asked["m1"]) == 2)  // the second permit request may wait
			for _, maxWait := range asked["m1"] {
				is.True(maxWait <= 200*time.Millisecond) // callers leave a stalled stream
			}
			is.True(time.Since(from) < 300*time.Millisecond)
			is.Equal(len(r.engines.received()), 0)
		})
	}
}

// Guards against refusing a request although a permit becomes available long before its
// deadline. The request may wait for a permit for half of the time that it has left.
func TestRequestWaitsForAPermit(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("p1", "a"))
	r.engines.answer = answersOK
	asked := r.setRateLimits(map[string]citronpermit.Decision{"p1": citronpermit.Granted{}})
	r.Permit = func(_ context.Context, _ *citronpool.Engine, maxWait time.Duration) citronpermit.Decision {
		asked["p1"] = append(asked["p1"], maxWait)
		if maxWait == 0 {
			return citronpermit.Denied{AvailableIn: 100 * time.Millisecond, RetryAfter: 50 * time.Millisecond}
		}
		return citronpermit.Granted{Wait: 100 * time.Millisecond}
	}
	from := time.Now()
	is.Equal(r.ask("unsafe", time.Second).status, http.StatusOK)
	is.True(time.Since(from) >= 100*time.Millisecond)
	is.Equal(len(asked["p1"]), 2)
	is.True(asked["p1"][1] > 400*time.Millisecond && asked["p1"][1] <= 500*time.Millisecond)
}

// Guards against sending a request to an engine that was replaced by another process while
// the request waited for its permit.
func TestRequestThatWaitedIsNotSentToReplacedEngine(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("p1", "a"))
	r.engines.answer = answersOK
	r.setRateLimits(map[string]citronpermit.Decision{"p1": citronpermit.Granted{Wait: 100 * time.Millisecond}})
	time.AfterFunc(30*time.Millisecond, func() {
		e, _ := r.view.ByID("p1")
		e.MarkReplaced(time.Now())
	})
	is.True(r.ask("unsafe", time.Second).refused)
	is.Equal(len(r.engines.received()), 0)
}

// Guards against exceeding a rate limit by resuming a stream on a limited engine, or by
// moving a running stream to one, without a permit. A stream that is denied a permit for
// one engine must be moved to another.
func TestResumesAndMovesTakePermits(t *testing.T) {
	t.Run("resume", func(t *testing.T) {
		is := is.New(t)
		r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "b", 0, 8))
		asked := r.setRateLimits(map[string]citronpermit.Decision{"m2": citronpermit.Granted{}})
		r.engines.answer = func(ctx context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error) {
			if n == 0 && c.Engine.ID == "m1" {
				return reply(http.StatusOK, "id: 1\ndata: x\n\nid: 2\nda"), nil
			}
			return answersOK(ctx, n, c)
		}
		is.Equal(r.ask("stream", 2*time.Second).status, http.StatusOK)
		is.Equal(len(r.engines.received()), 2)
		is.Equal(len(asked["m2"]), 1)
	})
	t.Run("move", func(t *testing.T) {
		is := is.New(t)
		r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8), modelEngine("m4", "a", 4, 8))
		r.setRateLimits(map[string]citronpermit.Decision{"m2": citronpermit.Granted{}, "m3": citronpermit.Granted{}, "m4": citronpermit.Granted{}})
		var asked []string
		r.Permit = func(_ context.Context, e *citronpool.Engine, _ time.Duration) citronpermit.Decision {
			if asked = append(asked, e.ID); len(asked) == 2 {
				return deniedForLong // the first engine that the stream would be moved to
			}
			return citronpermit.Granted{}
		}
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
		is.Equal(len(asked), 3)
		is.Equal(len(r.engines.repaths), 1)
		is.Equal(r.engines.repaths[0][1].Engine.ID, asked[2])
	})
}

// Guards against ending a rate limit too early. Each case is a response without a valid
// limit; only one that the engine itself signed and that states no limit at all may end
// the limit.
func TestOnlyTheEnginesOwnAnswerEndsALimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply func() *citronupstream.Reply
		ends  bool
	}{
		{"its own", func() *citronupstream.Reply { return reply(http.StatusOK, "ok") }, true},
		{"unsigned", func() *citronupstream.Reply { r := reply(http.StatusOK, "ok"); r.FromEngine = false; return r }, false},
		{"a refusal", func() *citronupstream.Reply { return refusal("") }, false},
		{"of another engine", func() *citronupstream.Reply { r := refusal(""); r.Status = http.StatusMisdirectedRequest; return r }, false},
		{"an invalid one", func() *citronupstream.Reply {
			r := reply(http.StatusOK, "ok")
			r.RateLimit = citronupstream.InvalidRateLimit("soon")
			return r
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, plainEngine("p1", "a"))
			r.setRateLimits(map[string]citronpermit.Decision{"p1": citronpermit.Granted{}})
			time.Sleep(1100 * time.Millisecond) // a limit lasts for at least one second
			r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
				rep := c.reply()
				if rep.RateLimit == nil {
					rep.RateLimit = citronupstream.NoRateLimit{}
				}
				return rep, nil
			}
			r.ask("unsafe", time.Second)
			is.Equal(!r.Limits.Get("p1").Limited, c.ends)
		})
	}
}

// Guards against a log that blames the caller for a stream whose time was up while it waited
// for a permit.
func TestStreamOutOfTimeIsNotLoggedAsLeft(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8))
	r.setRateLimits(map[string]citronpermit.Decision{"m1": citronpermit.Granted{Wait: 10 * time.Second}})
	is.Equal(r.ask("stream", 200*time.Millisecond).reason, "out of time")
}
