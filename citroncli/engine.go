package citroncli

// The engine command runs the stand-in model engine. It holds layers [from, to)
// of a model and processes up to --capacity tokens per second. On SIGTERM it
// marks itself as leaving in the instance list and rejects new requests. It exits
// when its requests in flight are finished, after --drain at the latest.

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

type engineCmd struct {
	Name       string        `help:"Engine name, as in the fleet text." required:""`
	Listen     string        `help:"Address to listen on." required:""`
	Zone       string        `help:"Zone the engine runs in." default:"default"`
	Layers     string        `help:"Layer range from:to (to excluded)." required:""`
	Capacity   int           `help:"Declared tokens per second; 0 is unbounded." default:"0"`
	Fence      string        `help:"What to do with an order with an old fencing number: refuse or ignore." default:"refuse" enum:"refuse,ignore"`
	KV         string        `help:"Base URL of the KV service holding the instance list." default:"http://127.0.0.1:7000"`
	Drain      time.Duration `help:"Longest wait for requests in flight on stop." default:"10s"`
	limitFlags `embed:""`
}

func init() {
	Register(Plugin{Name: "engine", Help: "Run a stand-in model engine holding a range of layers.", New: func() any { return &engineCmd{} }})
}

// parseLayers parses a layer range from:to.
func parseLayers(text string) (from, to int, err error) {
	a, b, _ := strings.Cut(text, ":")
	from, err = strconv.Atoi(a)
	if err == nil {
		to, err = strconv.Atoi(b)
	}
	if err != nil || from < 0 || from >= to {
		return 0, 0, errors.Newf("--layers %q: want from:to with from < to", text)
	}
	return from, to, nil
}

func (c *engineCmd) Run(g *Globals) error {
	from, to, err := parseLayers(c.Layers)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	log := g.Logger().With("role", "engine", "engine", c.Name)
	e := citronengine.New(citronengine.Settings{Name: c.Name, From: from, To: to, Capacity: c.Capacity, Fence: citronengine.FenceMode(c.Fence)})
	kv := citronkv.NewClient(httpClient(), c.KV)
	in := citronkv.Instance{Name: c.Name, Addr: c.Listen, Zone: c.Zone, State: citronkv.Live}
	_ = kv.SetInstance(ctx, in)
	mux := http.NewServeMux()
	e.Mount(mux)
	srvCtx, stopSrv := context.WithCancel(context.Background())
	defer stopSrv()
	done := make(chan error, 1)
	go func() { done <- serve(srvCtx, c.Listen, mux, c.limitFlags) }()
	citronevent.Log(ctx, log, citronevent.ProcessStarted, "role", "engine", "addr", c.Listen, "zone", c.Zone, "layers", c.Layers)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	citronevent.Log(context.Background(), log, citronevent.ProcessStopping)
	e.SetLeaving()
	in.State = citronkv.Leaving
	_ = kv.SetInstance(context.Background(), in)
	drainUntil(citronclock.Real{}, c.Drain, func() bool { return e.InFlight() == 0 })
	stopSrv()
	<-done
	citronevent.Log(context.Background(), log, citronevent.ProcessStopped, "steps", e.Steps.Load())
	return nil
}

// drainUntil waits until idle returns true, but no longer than limit.
func drainUntil(clock citronclock.Clock, limit time.Duration, idle func() bool) {
	end := clock.Now().Add(limit)
	for !idle() && clock.Now().Before(end) {
		_ = clock.Sleep(context.Background(), 50*time.Millisecond)
	}
}
