package citrongate_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citrongate"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// scriptedEngines answers each call with the next reply.
type scriptedEngines struct {
	citronupstream.Engines
	replies []*citronupstream.Reply
	calls   int
}

func (s *scriptedEngines) Send(context.Context, citronupstream.Call) (*citronupstream.Reply, error) {
	s.calls++
	return s.replies[s.calls-1], nil
}

// testGate is a gate in front of engines i0 and i1.
type testGate struct {
	*citrongate.Gate
	engines *scriptedEngines
	log     bytes.Buffer
}

func newTestGate(replies ...*citronupstream.Reply) *testGate {
	v := citronpool.Build([]citronmodel.Engine{{ID: "i0", Service: "app", Addr: "x:0"}, {ID: "i1", Service: "app", Addr: "x:1"}}, nil)
	g := &testGate{engines: &scriptedEngines{replies: replies}}
	g.Gate = &citrongate.Gate{
		Upstream: g.engines, Limits: citronlimit.NewRegistry(citronclock.Real{}), Clock: citronclock.Real{}, Log: slog.New(slog.NewTextHandler(&g.log, nil)),
		Metrics: citrongate.NewMetrics(prometheus.NewRegistry()), View: func() *citronpool.View { return v },
	}
	return g
}

// send sends a call to i0, or over a path of both engines.
func (g *testGate) send(overBoth bool) error {
	first, _ := g.View().ByID("i0")
	second, _ := g.View().ByID("i1")
	call := citronupstream.Call{Request: &citronupstream.Request{ID: "r"}, Engine: first}
	if overBoth {
		call.EnginePath = citronpath.Path{{Engine: first}, {Engine: second}}
	}
	_, err := g.Send(context.Background(), call)
	return err
}

// Guards against a call that is sent although the response before it ruled it out.
func TestNoticesHoldTheNextCall(t *testing.T) {
	refusal := func(change func(*citronupstream.Reply)) *citronupstream.Reply {
		r := &citronupstream.Reply{Status: http.StatusServiceUnavailable, NotExecuted: true}
		change(r)
		return r
	}
	for _, c := range []struct {
		name  string
		reply *citronupstream.Reply
		held  bool
		// after is when the next call is sent.
		after time.Duration
	}{
		{"no notice", refusal(func(*citronupstream.Reply) {}), false, 0},
		{"cool-down", refusal(func(r *citronupstream.Reply) { r.Cooldown = citronupstream.CooldownFor(time.Second) }), true, 900 * time.Millisecond},
		{"cool-down that has ended", refusal(func(r *citronupstream.Reply) { r.Cooldown = citronupstream.CooldownFor(time.Second) }), false, time.Second},
		{"leaving", refusal(func(r *citronupstream.Reply) { r.Leaving = true }), true, time.Hour},
		{"of another engine", refusal(func(r *citronupstream.Reply) {
			r.Status, r.Leaving, r.Cooldown = http.StatusMisdirectedRequest, true, citronupstream.CooldownFor(time.Second)
		}), false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGate(c.reply, refusal(func(*citronupstream.Reply) {}))
				is.NoErr(g.send(false))
				time.Sleep(c.after)
				is.Equal(citrongate.IsHeld(g.send(false)), c.held)
				is.Equal(g.engines.calls == 1, c.held)
			})
		})
	}
}

// Guards against a path through an engine that admits no request behind one that does.
func TestCallIsHeldForAnyEngineOfItsPath(t *testing.T) {
	is := is.New(t)
	g := newTestGate(&citronupstream.Reply{Status: http.StatusOK})
	second, _ := g.View().ByID("i1")
	second.CoolDown(time.Now(), time.Hour)
	is.True(citrongate.IsHeld(g.send(true)))
	is.NoErr(g.send(false))
	is.Equal(g.engines.calls, 1)
}

// Guards against a log that fills with the same invalid notice.
func TestInvalidNoticesAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	r := &citronupstream.Reply{Status: http.StatusServiceUnavailable, RateLimit: citronupstream.InvalidRateLimit("x"), Cooldown: citronupstream.InvalidCooldown("soon")}
	g := newTestGate(r, r, r)
	for range 3 {
		is.NoErr(g.send(false))
	}
	is.Equal(strings.Count(g.log.String(), "cooldown.invalid"), 1)
	is.Equal(strings.Count(g.log.String(), "limit.invalid"), 1)
}
