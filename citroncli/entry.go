package citroncli

// The entry command runs an entry instance. Settings come from a YAML file
// (--settings) and from flags; a flag overrides the file. On SIGTERM the entry
// leaves discovery, rejects new requests after a grace time, and exits when no request
// is in flight.

import (
	"context"
	"expvar"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronentry"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronserve"
	"citrondeck.dev/citrondeck/citronwire"
	"github.com/cockroachdb/errors"
)

type entryCmd struct {
	Settings string `help:"YAML settings file (name, listen, advertise, zone, discoveryTTL, leaseTTL, drainGrace, maxBody, memoryMB, maxFDs)."`
	Name     string `help:"Entry name, unique in the fleet."`
	Listen   string `help:"Address to listen on for callers."`
	Zone     string `help:"Zone this entry runs in."`
	KV       string `help:"Base URL of the KV service." default:"http://127.0.0.1:7000"`
}

func init() {
	Register(Plugin{Name: "entry", Help: "Run an entry instance: the caller API, discovery and routing.", New: func() any { return &entryCmd{} }})
}

func (c *entryCmd) Run(g *Globals) error {
	var settings citronentry.Settings
	if err := loadSettings(c.Settings, &settings); err != nil {
		citronevent.Log(context.Background(), g.Logger(), citronevent.SettingsInvalid, "err", err)
		return err
	}
	for dst, src := range map[*string]string{&settings.Name: c.Name, &settings.Listen: c.Listen, &settings.Zone: c.Zone} {
		if src != "" {
			*dst = src
		}
	}
	if err := settings.Check(); err != nil {
		citronevent.Log(context.Background(), g.Logger(), citronevent.SettingsInvalid, "err", err)
		return errors.Wrap(err, "entry settings (flags or --settings)")
	}
	ctx, stop := signalContext()
	defer stop()
	// Control traffic uses a separate client, so that its volume is measured
	// separately.
	control := new(citronwire.Traffic)
	kv := citronkv.NewClient(countedClient(control), c.KV)
	settings = settings.WithDefaults()
	settings.Limits = newClientLimits(settings.MemoryMB, settings.MaxFDs).listener("callers", frontShare)
	e := citronentry.New(settings, citronclock.Real{}, g.Logger().With("role", "entry"), kv, kv.Instances, httpClient())
	e.Metrics().Set("control_bytes_read", &control.Read)
	e.Metrics().Set("control_bytes_written", &control.Written)
	expvar.Publish("entry", e.Metrics())
	ln, err := citronserve.Listen(ctx, settings.Listen)
	if err != nil {
		return err
	}
	return e.Run(ctx, ln)
}
