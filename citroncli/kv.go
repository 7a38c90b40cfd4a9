package citroncli

// The kv command runs a stand-in for the platform's key-value service and its
// lagging instance list. It is meant for tests and the demo; a real deployment
// points --kv at the platform's service.

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
)

type kvCmd struct {
	Listen      string        `help:"Address to listen on." default:"127.0.0.1:7000"`
	InstanceLag time.Duration `help:"How far the instance list lags behind the truth." default:"2s"`
	limitFlags  `embed:""`
}

func init() {
	Register(Plugin{Name: "kv", Help: "Run the stand-in key-value service and instance list (tests and demo only).", New: func() any { return &kvCmd{} }})
}

func (c *kvCmd) Run(g *Globals) error {
	ctx, stop := signalContext()
	defer stop()
	log := g.Logger().With("role", "kv")
	s := citronkv.NewServer(citronclock.Real{}, c.InstanceLag)
	s.Publish()
	go s.Run(ctx)
	mux := http.NewServeMux()
	s.Mount(mux)
	citronevent.Log(ctx, log, citronevent.ProcessStarted, "role", "kv", "addr", c.Listen)
	err := serve(ctx, c.Listen, mux, c.limitFlags)
	citronevent.Log(context.Background(), log, citronevent.ProcessStopped, slog.Any("counts", s.Counts()))
	return err
}
