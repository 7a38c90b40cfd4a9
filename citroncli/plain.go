package citroncli

// The plain command runs the stand-in plain service. It counts executions by
// idempotency key. On SIGTERM it marks itself as leaving, rejects new calls and
// exits after --drain, during which it finishes its calls in flight.

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronplain"
)

type plainCmd struct {
	Name       string        `help:"Upstream name, as in the fleet text." required:""`
	Listen     string        `help:"Address to listen on." required:""`
	Zone       string        `help:"Zone the upstream runs in." default:"default"`
	KV         string        `help:"Base URL of the KV service holding the instance list." default:"http://127.0.0.1:7000"`
	Drain      time.Duration `help:"How long to keep answering calls in flight on stop." default:"2s"`
	limitFlags `embed:""`
}

func init() {
	Register(Plugin{Name: "plain", Help: "Run a stand-in plain service that counts its executions.", New: func() any { return &plainCmd{} }})
}

func (c *plainCmd) Run(g *Globals) error {
	ctx, stop := signalContext()
	defer stop()
	log := g.Logger().With("role", "plain", "upstream", c.Name)
	s := citronplain.NewServer(c.Name)
	kv := citronkv.NewClient(httpClient(), c.KV)
	in := citronkv.Instance{Name: c.Name, Addr: c.Listen, Zone: c.Zone, State: citronkv.Live}
	_ = kv.SetInstance(ctx, in)
	mux := http.NewServeMux()
	s.Mount(mux)
	srvCtx, stopSrv := context.WithCancel(context.Background())
	defer stopSrv()
	done := make(chan error, 1)
	go func() { done <- serve(srvCtx, c.Listen, mux, c.limitFlags) }()
	citronevent.Log(ctx, log, citronevent.ProcessStarted, "role", "plain", "addr", c.Listen, "zone", c.Zone)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	citronevent.Log(context.Background(), log, citronevent.ProcessStopping)
	s.SetLeaving()
	in.State = citronkv.Leaving
	_ = kv.SetInstance(context.Background(), in)
	_ = citronclock.Real{}.Sleep(context.Background(), c.Drain)
	stopSrv()
	<-done
	return nil
}
