package citroncli

// The node command runs a node on the platform that package platform adapts to.
// --settings or the environment variable CITRONDECK_SETTINGS names its settings file.

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronlog"
	"citrondeck.dev/citrondeck/citronnode"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronserve"
	"citrondeck.dev/citrondeck/citronstat"
	"citrondeck.dev/citrondeck/citronusage"
	"citrondeck.dev/citrondeck/platform"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

type nodeCmd struct {
	Settings string `help:"Settings file in the platform's format (TOML)." env:"CITRONDECK_SETTINGS"`
	Metrics  string `help:"Address for metrics as text, at /metrics; empty: none."`
	// UsageInterval is zero unless engines are to be asked for their usage.
	UsageInterval time.Duration `help:"How often to ask an engine for its usage, from 50ms to 3s; 0: never." default:"0"`
	UsageMinNodes int           `help:"Number of nodes of a zone from which on they ask its engines for their usage." default:"8"`
}

const (
	// minUsageInterval is shorter than the time in which engines renew their reports, and
	// maxUsageInterval is the age up to which a report is used.
	minUsageInterval = 50 * time.Millisecond
	maxUsageInterval = citronusage.FreshFor
)

// Validate is called by kong.
func (c *nodeCmd) Validate() error {
	if d := c.UsageInterval; d != 0 && (d < minUsageInterval || d > maxUsageInterval) {
		return errors.Newf("--usage-interval is %v, want 0 or %v to %v", d, minUsageInterval, maxUsageInterval)
	}
	return nil
}

func init() {
	Register(Plugin{Name: "node", Help: "Run a node on the users' platform: caller traffic, directory, placement.", New: func() any { return &nodeCmd{} }})
}

const (
	// leaderLease is the minimum duration of the leader's lease. It survives two
	// renewals that fail at once, or one that gets no answer, and it is short enough
	// that a dead leader is replaced well before missing layer ranges affect callers.
	leaderLease = 2500 * time.Millisecond
	// directoryTTL is how long callers may cache an answer of the directory, unless
	// the settings file bounds it to less. Three times directoryTTL must be less than
	// 2.5 s: some callers cache the answer three times as long, and a stopping node
	// accepts streams for 2.5 s.
	directoryTTL = 700 * time.Millisecond
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 64 << 20
)

func (c *nodeCmd) Run(g *Globals) error {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		citronevent.Log(context.Background(), g.Logger(), citronevent.SettingsInvalid, "err", err)
		return err
	}
	logging, stopLogging := context.WithCancel(context.Background())
	handler, waitForLog := citronlog.New(logging, g.Out, citronclock.Real{}, g.Level())
	defer waitForLog()
	defer stopLogging()
	log := slog.New(handler).With("node", settings.Name)
	limits := newClientLimits(settings.MemoryMB, settings.Descriptors)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	clock := citronclock.Real{}
	budget := citronbudget.New(citronbudget.Limits{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow}, clock.Now())
	loads := &citronpool.ZoneLoads{}
	engines := platform.NewEngineClient()
	engines.LimitIdleConns(limits.idleConns())
	registry := prometheus.NewRegistry()
	limits.onClosed = citronstat.ClosedConns(clock, log, registry)
	citronstat.RegisterMemory(limits.memory, registry)
	engines.OnUnknownHeader(citronstat.UnknownHeaders(ctx, log, registry))
	engines.OnInvalidHead(citronstat.InvalidHeads(ctx, log, registry))
	node := citronnode.New(citronnode.Settings{
		Name: settings.Name, Zone: settings.Zone, Front: settings.Front, Peer: settings.Peer, Seeds: settings.Seeds, Cores: settings.Cores,
		LeaseTTL: max(leaderLease, settings.MinLeaseTTL), Grace: settings.Grace, Heartbeat: settings.Heartbeat, DrainWithin: settings.DrainWithin, UsageInterval: c.UsageInterval, UsageMinNodes: c.UsageMinNodes, Memory: limits.memory,
	}, citronnode.Sources{
		Store: citronstat.CountStore(platform.NewStore(settings.Store), registry), ConfigKey: platform.ConfigKey, EnginePrefix: platform.EnginePrefix,
		DecodeConfig: platform.DecodeConfig, DecodeEngine: platform.DecodeEngine, Engines: engines,
	}, clock, log, budget, loads, peerClient(limits.idleConns()))
	citronstat.RegisterNode(node.Status, registry)
	citronstat.RegisterBudget(budget, clock, registry)
	forwarder := &citronforward.Forwarder{
		Zone: settings.Zone, Clock: clock, Log: log, Upstream: node.Engines(), Budget: budget, Loads: loads,
		Current: node.Traffic, Metrics: citronforward.NewMetrics(registry), Stopping: node.Stopping, Accuse: node.Accuse, Borrow: node.Borrow, Quarantine: node.Quarantine(), Parts: node.Parts(), ClaimTrial: node.ClaimTrial, Limits: node.Limits(), Permit: node.Permit, RetryTurn: node.RetryTurn, Lag: node.Lag(), AnswerBytes: limits.plan.Answers, DrainWithin: settings.DrainWithin,
	}
	node.RelayThrough(forwarder.Gate())
	node.ProbeAccusedThrough(forwarder.ProbeAccused)
	ingress := &platform.Ingress{Forwarder: forwarder, Leaving: node.Leaving, Track: node.Track, MaxBodyBytes: maxBody}

	bg, end := context.WithCancel(context.Background())
	defer end()
	var servers sync.WaitGroup
	failed := make(chan error, 8)
	serveOn := func(name string, share float64, addr string, h http.Handler) {
		if addr == "" {
			return
		}
		servers.Go(func() {
			if err := citronserve.Serve(bg, platform.NewServer(addr, h), limits.listener(name, share)); err != nil {
				failed <- err
			}
		})
	}
	peers := http.NewServeMux()
	node.Handle(peers)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	serveOn("callers", frontShare, settings.Front, ingress)
	serveOn("readiness", readyShare, settings.Ready, platform.ReadyHandler(node.Ready))
	serveOn("nodes", peerShare, settings.Peer, limitMessages(peers))
	serveOn("directory", directoryShare, settings.Directory, &platform.Directory{Addresses: node.Addresses, TTL: min(directoryTTL, settings.MaxTTL)})
	serveOn("metrics", metricsShare, c.Metrics, metrics)
	servers.Go(func() { node.Run(bg) })
	citronevent.Log(ctx, log, citronevent.ProcessStarted, "role", "node", "addr", settings.Front, "zone", settings.Zone)
	for {
		select {
		case err := <-failed:
			end()
			servers.Wait()
			return errors.Wrap(err, "node")
		case <-hup:
			citronevent.Log(ctx, log, citronevent.SettingsReload, "path", c.Settings)
		case <-ctx.Done():
			citronevent.Log(bg, log, citronevent.ProcessStopping, "role", "node")
			node.Drain(bg)
			end()
			servers.Wait()
			citronevent.Log(context.Background(), log, citronevent.ProcessStopped, "role", "node")
			return nil
		}
	}
}
