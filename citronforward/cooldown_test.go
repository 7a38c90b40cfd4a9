package citronforward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// coolDown makes an engine ask for a cool-down, from now on.
func (r *testForwarder) coolDown(id string, wait time.Duration) {
	e, _ := r.view.ByID(id)
	e.CoolDown(time.Now(), wait)
}

// refusalWithCooldown is a refusal that asks for a cool-down. accusedAddr is the address of
// the engine that it names as its cause, if any.
func refusalWithCooldown(accusedAddr string, wait time.Duration) *citronupstream.Reply {
	r := refusal(accusedAddr)
	r.Cooldown = citronupstream.CooldownFor(wait)
	return r
}

// Guards against sending an engine a request during its cool-down while another engine
// could run it, whatever the kind of request and of refusal.
func TestRequestGoesToAnotherEngineDuringCooldown(t *testing.T) {
	for _, refuse := range []struct {
		name  string
		reply func() *citronupstream.Reply
	}{
		{"refused", func() *citronupstream.Reply { return refusalWithCooldown("", 10*time.Second) }},
		{"refused because of another engine", func() *citronupstream.Reply { return refusalWithCooldown("m9:1", 10*time.Second) }},
		{"not said to be unexecuted", func() *citronupstream.Reply {
			r := refusalWithCooldown("", 10*time.Second)
			r.NotExecuted, r.FromEngine = false, true
			return r
		}},
		{"beside a rate limit", func() *citronupstream.Reply {
			r := refusalWithCooldown("", 10*time.Second)
			r.RateLimit = citronupstream.InvalidRateLimit("soon")
			return r
		}},
	} {
		for _, route := range []string{"safe", "stream"} {
			t.Run(refuse.name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				r := newTestForwarder(t, plainEngine("p1", "a"), plainEngine("p2", "b"), modelEngine("m1", "a", 0, 8), modelEngine("m2", "b", 0, 8), modelEngine("m9", "c", 0, 1))
				r.engines.answer = func(ctx context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error) {
					if c.Engine.ID == "p1" || c.Engine.ID == "m1" {
						return refuse.reply(), nil
					}
					return answersOK(ctx, n, c)
				}
				for range 5 {
					is.Equal(r.ask(route, time.Second).status, http.StatusOK)
					time.Sleep(80 * time.Millisecond) // longer than some of this node's own pauses
				}
				first := 0
				for _, c := range r.engines.received() {
					if c.engine == "p1" || c.engine == "m1" {
						first++
					}
				}
				is.Equal(first, 1)
			})
		}
	}
}

// Guards against a cool-down that ends early: because a request that was sent before
// succeeds, because the engine is avoided for a shorter time for another reason, or because
// it later asks for less.
func TestCooldownEndsOnlyByItsTime(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("p1", "a"))
	e, _ := r.view.ByID("p1")
	begin := time.Now()
	is.True(e.CoolDown(begin, 3*time.Second))
	e.RecordResponse(begin.Add(-time.Second), begin)
	e.RecordResponse(begin.Add(time.Millisecond), begin.Add(2*time.Millisecond))
	e.RecordFailure(begin)
	e.Avoid(begin, time.Millisecond)
	e.Throttle(begin, 0)
	e.ClearMisplaced()
	is.True(!e.CoolDown(begin, time.Second))
	is.Equal(e.CoolingFor(begin), 3*time.Second)
	is.True(e.CoolDown(begin.Add(time.Second), 3*time.Second)) // a later refusal lengthens it
	is.Equal(e.CoolingFor(begin.Add(3*time.Second)), time.Second)
	is.Equal(e.CoolingFor(begin.Add(4*time.Second)), time.Duration(0))
	is.True(!e.CoolDown(begin, 0)) // "Retry-After: 0"
}

// Guards against refusing a request although the cool-down of an engine ends long before
// its deadline, and against more than one attempt at that engine meanwhile.
func TestRequestWaitsForTheEndOfACooldown(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, plainEngine("p1", "a"), plainEngine("p2", "b"), modelEngine("m1", "a", 0, 8), modelEngine("m2", "b", 0, 8))
			r.engines.answer = answersOK
			for _, id := range []string{"p1", "m1"} {
				r.coolDown(id, 20*time.Second)
			}
			for _, id := range []string{"p2", "m2"} {
				r.coolDown(id, 100*time.Millisecond)
			}
			from := time.Now()
			got := r.ask(route, 3*time.Second)
			is.Equal(got.status, http.StatusOK)
			is.True(time.Since(from) >= 100*time.Millisecond)
			is.Equal(len(r.engines.received()), 1)
		})
	}
}

// Guards against holding a request until its deadline, and against a Retry-After that ends
// before any engine may be sent requests again, when the cool-downs of all engines are too
// long to wait for.
func TestRequestIsRefusedAtOnceIfAllCooldownsAreLong(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, plainEngine("p1", "a"), plainEngine("p2", "b"), modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8))
			r.engines.answer = answersOK
			for _, id := range []string{"p1", "m1"} {
				r.coolDown(id, 30*time.Second)
			}
			r.coolDown("p2", 6*time.Second)
			r.coolDown("m2", 3*time.Second) // the path needs m1 too
			soonest := map[string]time.Duration{"safe": 6 * time.Second, "unsafe": 6 * time.Second, "stream": 30 * time.Second}[route]
			from := time.Now()
			c := r.ask(route, 4*time.Second)
			is.True(c.refused)
			is.Equal(c.status, http.StatusServiceUnavailable)
			is.True(c.retryAfter > soonest-time.Second && c.retryAfter < soonest+time.Second)
			is.True(time.Since(from) < 300*time.Millisecond)
			is.Equal(len(r.engines.received()), 0)
		})
	}
}

// Guards against using up retry budget, which all nodes share, for retries that no engine
// could get.
func TestNoBudgetIsUsedIfNoEngineIsLeft(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("p1", "a"))
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		return refusalWithCooldown("", 5*time.Second), nil
	}
	c := r.ask("unsafe", time.Second)
	is.True(c.refused)
	is.Equal(c.status, http.StatusServiceUnavailable)
	is.True(c.retryAfter > 4*time.Second)
	is.Equal(r.Budget.Used(time.Now())["app"].Retries, 0.0)
}

// Guards against resuming a stream on an engine in its cool-down, and against moving a
// running stream to one. A stream that runs on an engine stays there when the engine asks
// for a cool-down.
func TestStreamsAreNotMovedToEnginesInCooldown(t *testing.T) {
	t.Run("resume", func(t *testing.T) {
		is := is.New(t)
		r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), modelEngine("m3", "b", 0, 8))
		first := ""
		r.engines.answer = func(ctx context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error) {
			if n > 0 {
				return answersOK(ctx, n, c)
			}
			first = c.Engine.ID
			for _, id := range []string{"m1", "m2"} {
				if id != first {
					r.coolDown(id, 10*time.Second)
				}
			}
			return reply(http.StatusOK, "id: 1\ndata: x\n\nid: 2\nda"), nil
		}
		is.Equal(r.ask("stream", 2*time.Second).status, http.StatusOK)
		calls := r.engines.received()
		is.Equal(len(calls), 2)
		is.Equal(calls[1].engine, "m3")
	})
	t.Run("move", func(t *testing.T) {
		is := is.New(t)
		r := newTestForwarder(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8), modelEngine("m4", "a", 4, 8))
		moved := make(chan struct{})
		dead, cooling := "", ""
		r.engines.answer = func(ctx context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
			dead = c.EnginePath[1].Engine.Addr
			r.coolDown("m1", 10*time.Second) // runs the stream already
			for _, id := range []string{"m2", "m3", "m4"} {
				if id+":1" != dead && cooling == "" {
					cooling = id
					r.coolDown(id, 10*time.Second)
				}
			}
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
		to := r.engines.repaths[0]
		is.Equal(to[0].Engine.ID, "m1")
		is.True(to[1].Engine.ID != cooling && to[1].Engine.Addr != dead)
	})
}
