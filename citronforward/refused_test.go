package citronforward_test

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against a third engine that runs a request while two others may still run it.
// The stream broke off on the first engine, and both attempts that the route allows are
// used. The second engine begins to leave and refuses new connections, but its streams
// continue. The stream must stay there until it ends.
func TestRefusedConnectionDoesNotEndRunningStreams(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), modelEngine("m3", "b", 0, 8))
	state := r.Current()
	current := state
	r.Current = func() *citronforward.State { return current }
	r.engines.answer = func(_ context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error) {
		if n == 0 {
			rep := reply(200, "")
			rep.Body = failingBody{strings.NewReader(events(1, 1)), errReset}
			return rep, nil
		}
		if n > 1 {
			return reply(200, events(4, 4)), nil
		}
		var engines []citronmodel.Engine
		for _, e := range state.View.ByService["model"] {
			next := e.Engine
			next.Leaving = e.ID == c.Engine.ID
			engines = append(engines, next)
		}
		leaving := *state
		leaving.View = citronpool.Build(engines, state.View)
		current = &leaving
		body, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, events(2, 2))
			time.Sleep(50 * time.Millisecond)
			citronprobe.RecordDead(c.Engine, syscall.ECONNREFUSED, time.Now())
			_, _ = io.WriteString(w, events(3, 3))
			time.Sleep(2200 * time.Millisecond) // beyond the time at which the stream is due to move
			_, _ = io.WriteString(w, events(4, 4))
			_ = w.Close()
		}()
		rep := reply(200, "")
		rep.Body = body
		return rep, nil
	}
	got := r.ask("stream", 5*time.Second, func(q *citronupstream.Request) { q.Received = time.Now().Add(4 * time.Second) })
	is.Equal(got.body, events(1, 4))
	is.Equal(len(r.engines.received()), 2)
}

// Guards against a third engine that runs a request while two others still run it. Those
// are cut off from the network: they reset their streams and refuse connections as if
// their processes had ended. Both runs must count as the attempts that the route allows.
func TestRunOnAnEngineThatRefusesConnectionsCounts(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), modelEngine("m3", "b", 0, 8))
	r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		body, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, events(2*n+1, 2*n+1))
			time.Sleep(600 * time.Millisecond) // long enough that the request does not become a suspect
			_, _ = io.WriteString(w, events(2*n+2, 2*n+2))
			_ = w.CloseWithError(errReset)
		}()
		rep := reply(200, "")
		rep.Body = body
		return rep, nil
	}
	r.engines.report = func(string) (citronupstream.Report, error) {
		return citronupstream.Report{}, syscall.ECONNREFUSED
	}
	got := r.ask("stream", 5*time.Second)
	is.True(got.aborted)
	is.Equal(len(r.engines.received()), 2)
}
