package citronforward_test

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against losses that `citrondeck explain --losses` cannot attribute: the lines of
// late, broken and refused streams must name the route, the customer and the node's zone.
func TestLossLinesNameRouteCustomerAndZone(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, modelEngine("m1", "b", 0, 8))
	var log strings.Builder
	r.Log = slog.New(slog.NewTextHandler(&log, nil))
	var broken atomic.Bool
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		time.Sleep(120 * time.Millisecond)
		rep := reply(200, events(1, 3))
		if broken.Load() {
			rep.Body = failingBody{strings.NewReader(events(1, 2)), errReset}
		}
		return rep, nil
	}
	lossLine := func(event string, wait time.Duration) {
		t.Helper()
		log.Reset()
		r.ask("stream", wait)
		for _, line := range strings.Split(log.String(), "\n") {
			if strings.Contains(line, "msg="+event) {
				for _, field := range []string{" route=stream ", " customer=council ", " nodeZone=a "} {
					is.True(strings.Contains(line, field)) // the line has the field
				}
				is.Equal(strings.Count(line, " level="), 1) // no field hides the line's own level
				return
			}
		}
		t.Fatalf("no %s in %s", event, log.String())
	}
	lossLine("stream.late", 10*time.Second)
	broken.Store(true)
	lossLine("stream.broken", time.Second)
	state := *r.Current()
	state.OtherNodesCache = map[string]int64{"b": int64(2 * spec.CacheTokens("fast", 8))}
	r.Current = func() *citronforward.State { return &state }
	lossLine("forward.refused", 10*time.Second)
}
