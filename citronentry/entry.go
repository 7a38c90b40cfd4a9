// Package citronentry implements the entry, the server that accepts
// callers' requests. It serves the caller API, tells callers which entries
// to use, routes each request to a chain of engines or to a plain upstream,
// executes non-idempotent requests at most once, and drains on shutdown
// without interrupting requests in flight.
//
// All entries are equal; there is no dedicated control node. State that
// must outlive an entry (the fleet configuration, the entry list, the
// at-most-once ledger) is stored in the platform's KV service.
//
// A single goroutine, the control loop (control.go), owns all control state
// and publishes it as an immutable citronroute.Snapshot. Request handlers
// read the latest snapshot and report back end failures to the control loop
// over a channel.
package citronentry

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronledger"
	"citrondeck.dev/citrondeck/citronroute"
	"citrondeck.dev/citrondeck/citronserve"
	deck "citrondeck.dev/citrondeck/gen/deck"
	deckserver "citrondeck.dev/citrondeck/gen/http/deck/server"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"
)

const (
	// readHeaderTimeout bounds reading the headers of a caller's request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout bounds the time between two requests of a connection.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 64 << 10
	// shutdownTimeout bounds closing the HTTP server after the drain.
	shutdownTimeout = 5 * time.Second
)

// Entry is a server that accepts callers' requests and routes them to back
// ends. Create one with New and serve with Run.
type Entry struct {
	settings Settings
	clock    citronclock.Clock
	log      *slog.Logger
	kv       citronkv.Store
	// instances reads the platform's instance list.
	instances func(context.Context) ([]citronkv.Instance, error)
	// incarnation is unique to this process. It keeps the request IDs of
	// this process distinct from those of an earlier process with the same
	// name, which engines may still hold.
	incarnation string
	seq         atomic.Int64

	pool     *citronroute.Pool
	snap     atomic.Pointer[citronroute.Snapshot]
	reports  chan backendReport
	ledger   *citronledger.Ledger
	gates    sync.Map // service name -> *citronadmit.Gate
	inflight *requestTracker
	leaving  atomic.Bool
	// lastRenewalFailure is the time of the last failed attempt to renew the
	// discovery lease or to register under it, in Unix nanoseconds.
	lastRenewalFailure atomic.Int64
	metrics            *metrics
}

// New returns an entry that is not yet serving. It stores its shared state
// in kv, calls the back ends through hc and reads the platform's instance
// list with instances.
func New(set Settings, clock citronclock.Clock, log *slog.Logger, kv citronkv.Store, instances func(context.Context) ([]citronkv.Instance, error), hc *http.Client) *Entry {
	set = set.WithDefaults()
	e := &Entry{
		settings: set, clock: clock, log: log.With("entry", set.Name), kv: kv, instances: instances,
		incarnation: uuid.NewString()[:8],
		pool:        citronroute.NewPool(hc, set.Name),
		reports:     make(chan backendReport, reportCapacity),
		inflight:    newRequestTracker(),
		metrics:     newMetrics(),
	}
	e.ledger = &citronledger.Ledger{
		KV: kv, Clock: clock, Log: e.log,
		OnWrite:    func() { e.metrics.ledgerWrites.Add(1) },
		OnReadBack: func() { e.metrics.ledgerReadBack.Add(1) },
	}
	e.snap.Store(e.pool.Build(citronfleet.Fleet{}, nil, nil, false))
	e.metrics.publishState(e)
	return e
}

// Metrics returns the entry's expvar map. The caller publishes it, at most
// once per process.
func (e *Entry) Metrics() *expvar.Map { return e.metrics.all }

// Revision returns the revision of the active fleet configuration.
func (e *Entry) Revision() citronkv.Revision { return e.snap.Load().Fleet.Revision }

// gate returns the admission gate of svc. A new gate gets the window size
// that s gives; publish resizes the existing ones.
func (e *Entry) gate(s *citronroute.Snapshot, svc citronfleet.Service) *citronadmit.Gate {
	if g, ok := e.gates.Load(svc.Name); ok {
		return g.(*citronadmit.Gate)
	}
	g, _ := e.gates.LoadOrStore(svc.Name, citronadmit.New(e.clock, e.window(s, svc), e.settings.MaxQueue))
	return g.(*citronadmit.Gate)
}

// window returns the number of requests of svc that the entry may have in
// flight under s.
func (e *Entry) window(s *citronroute.Snapshot, svc citronfleet.Service) int {
	return s.Window(svc, e.settings.TokenGap, e.settings.MaxInflight)
}

// Handler returns an HTTP handler that serves the caller API, and the
// metrics at /debug/vars.
func (e *Entry) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	srv := deckserver.New(deck.NewEndpoints(&api{e: e}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	deckserver.Mount(mux, srv)
	mux.Handle(http.MethodGet, "/debug/vars", expvar.Handler().ServeHTTP)
	limit := e.settings.MaxBody
	limited := citronserve.LimitBodies(mux, limit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			citronserve.SkipBody(w, r)
			http.Error(w, `{"code":"too_large","message":"request body is larger than the entry takes"}`, http.StatusRequestEntityTooLarge)
			return
		}
		limited.ServeHTTP(w, r)
	})
}

// Run reads the fleet configuration, for which it waits while the KV service
// is down, and then serves on ln until ctx ends. It then drains: it leaves
// discovery, accepts new requests for DrainGrace, then rejects them with
// "draining" without running them, and returns once no request is in flight.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	// The control loop outlives ctx: requests in flight during the drain
	// still depend on its snapshots to avoid failing back ends.
	bg, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctl := newControl(e)
	if !ctl.loadInitial(ctx) {
		return ln.Close()
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	watchdog := &citronroute.Watchdog{
		Clock: e.clock, StallAfter: e.settings.StallAfter, ProbeTimeout: e.settings.ProbeTimeout,
		Current: e.snap.Load, Frozen: e.reportFrozen,
	}
	tasks.Go(func() { ctl.run(bg) })
	tasks.Go(func() { watchdog.Run(bg) })
	regCtx, deregister := context.WithCancel(bg)
	defer deregister()
	deregistered := make(chan struct{})
	tasks.Go(func() { defer close(deregistered); e.register(regCtx) })

	httpServer := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	ln = citronserve.Limit(httpServer, ln, e.settings.Limits)
	served := make(chan error, 1)
	go func() { served <- httpServer.Serve(ln) }()
	citronevent.Log(ctx, e.log, citronevent.ProcessStarted, "role", "entry", "addr", ln.Addr().String(), "zone", e.settings.Zone)
	select {
	case err := <-served:
		return errors.Wrap(err, "serve caller API")
	case <-ctx.Done():
	}
	citronevent.Log(bg, e.log, citronevent.DrainStarted, "inflight", e.inflight.count())
	e.leaving.Store(true)
	e.metrics.draining.Set(1)
	deregister()
	<-deregistered
	// The next response on each open connection tells the caller to close
	// it, so that few requests race with the final close.
	httpServer.SetKeepAlivesEnabled(false)
	_ = e.clock.Sleep(bg, e.settings.DrainGrace)
	<-e.inflight.close()
	shutdownCtx, cancel := context.WithTimeout(bg, shutdownTimeout)
	defer cancel()
	err := httpServer.Shutdown(shutdownCtx)
	citronevent.Log(bg, e.log, citronevent.DrainDone)
	return err
}

// reportFrozen records a back end that the watchdog found frozen and reports it
// to the control loop.
func (e *Entry) reportFrozen(b *citronroute.Backend) {
	e.metrics.frozen.Add(1)
	citronevent.Log(context.Background(), e.log, citronevent.UpstreamFrozen, "backend", b.Spec.Name, "peer", b.Spec.Addr)
	select {
	case e.reports <- backendReport{backend: b.Spec.Name, reason: citronroute.Frozen}:
	default: // the control loop is behind; the next stall reports again
	}
}
