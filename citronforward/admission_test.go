package citronforward_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citrontable"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// withUse returns a forwarder with one engine in each zone, which the requests of other nodes
// use to the given share. Of its routes "urgent" and "usual" to the model, the first is more
// urgent. Its log is written to the buffer.
func withUse(t *testing.T, use map[string]float64) (*testForwarder, *bytes.Buffer) {
	t.Helper()
	var engines []citronmodel.Engine
	others := map[string]int64{}
	for zone, share := range use {
		engines = append(engines, modelEngine("m"+zone, zone, 0, 8))
		others[zone] = int64(share * spec.TokenCapacity("fast", 8))
	}
	r := newTestForwarder(t, engines...)
	route := func(name string, priority int) citrontable.Route {
		return citrontable.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: citrontable.Streaming, Timeout: 10 * time.Second, TargetLatency: 100 * time.Millisecond,
			MaxEventGap: 250 * time.Millisecond, MaxAttempts: 2, Priority: priority, Resumable: true, Services: []citrontable.WeightedService{{Service: "model", Weight: 1}},
		}
	}
	state := *r.Current()
	state.OtherNodesCache = others
	state.Table = citrontable.New(8, []citrontable.Route{route("urgent", 0), route("usual", 2)}, []citrontable.Service{{Name: "model", Model: &spec}}, nil, citrontable.Limits{})
	r.Current = func() *citronforward.State { return &state }
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		return reply(200, events(1, 2)), nil
	}
	log := &bytes.Buffer{}
	r.Log = slog.New(slog.NewTextHandler(log, nil))
	return r, log
}

// Guards against a stream that is refused although another zone has capacity for it. The
// zone's own path is cheaper although its cache is full.
func TestStreamSpillsOverBeforeItWaits(t *testing.T) {
	is := is.New(t)
	r, log := withUse(t, map[string]float64{"a": 1.08, "b": 1.04})
	got := r.ask("urgent", 10*time.Second)
	is.Equal(got.status, 200)
	is.Equal(r.engines.received()[0].engine, "mb")
	is.True(strings.Contains(log.String(), "outcome=spilled zone=b"))
}

// Guards against less urgent streams that use the capacity reserved for more urgent ones, and
// against a refusal whose log line does not say so.
func TestHeadroomIsKeptForUrgentStreams(t *testing.T) {
	is := is.New(t)
	r, log := withUse(t, map[string]float64{"a": 1.04})
	r.FirstEvent = func(*citronupstream.Request, citronpath.Path, citronmodel.Spec, time.Time) time.Duration { return 0 }
	is.Equal(r.ask("usual", 10*time.Second).status, 503)
	is.True(strings.Contains(log.String(), "usedLimit=1.03 forecast=0s"))
	is.True(strings.Contains(log.String(), "priorityLevel=1"))
	is.True(strings.Contains(log.String(), "used=1.04"))
	is.Equal(r.ask("urgent", 10*time.Second).status, 200)
}

// Guards against a forecast that is not used: a stream that would be in time only after a
// longer wait must get it, and one that would be later than its retry is refused at once.
func TestForecastDeterminesWait(t *testing.T) {
	is := is.New(t)
	r, _ := withUse(t, map[string]float64{"a": 1.2})
	ask := func(forecast time.Duration) (*caller, time.Duration) {
		r.FirstEvent = func(*citronupstream.Request, citronpath.Path, citronmodel.Spec, time.Time) time.Duration {
			return forecast
		}
		start := time.Now()
		return r.ask("urgent", 10*time.Second), time.Since(start)
	}
	got, took := ask(30 * time.Millisecond)
	is.Equal(got.reason, citronadmit.ReasonNoCapacity)
	is.True(took >= 65*time.Millisecond)
	got, _ = ask(time.Minute)
	is.Equal(got.reason, citronadmit.ReasonTooLate)
}
