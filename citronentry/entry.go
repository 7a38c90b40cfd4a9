// Package citronentry is the entry instance: it serves the caller API,
// tells callers which entries to use, routes each request to a chain of
// engines or to a plain upstream, keeps non-idempotent requests to at
// most one run, and drains without cutting off work in flight.
//
// An entry is symmetric with its peers: none is set aside for control.
// What must outlive an entry (the fleet text, the entry list, the
// at-most-once ledger) lives in the platform's KV service.
//
// One goroutine, the control loop (control.go), owns all control state and
// publishes it as an immutable citronroute.Snapshot; traffic reads the
// newest snapshot and reports what it sees of back ends over a channel.
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
	deck "citrondeck.dev/citrondeck/gen/deck"
	deckserver "citrondeck.dev/citrondeck/gen/http/deck/server"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// Entry is one entry instance.
type Entry struct {
	set   Settings
	clock citronclock.Clock
	log   *slog.Logger
	kv    citronkv.Store
	// instances reads the platform's instance list.
	instances func(context.Context) ([]citronkv.Instance, error)
	// incarnation tells this process's request ids from those of an
	// earlier process with the same name, which engines may still hold.
	incarnation string
	seq         atomic.Int64

	pool    *citronroute.Pool
	snap    atomic.Pointer[citronroute.Snapshot]
	reports chan report
	ledger  *citronledger.Ledger
	gates   sync.Map // service name -> *citronadmit.Gate
	work    *work
	leaving atomic.Bool
	// renewalFailed is when a renewal of the discovery lease last failed,
	// in Unix nanoseconds.
	renewalFailed atomic.Int64
	metrics       *metrics
}

// New returns an entry. instances reads the platform's instance list.
func New(set Settings, clock citronclock.Clock, log *slog.Logger, kv citronkv.Store, instances func(context.Context) ([]citronkv.Instance, error), hc *http.Client) *Entry {
	set = set.WithDefaults()
	e := &Entry{
		set: set, clock: clock, log: log.With("entry", set.Name), kv: kv, instances: instances,
		incarnation: uuid.NewString()[:8],
		pool:        citronroute.NewPool(hc, set.Name),
		reports:     make(chan report, reportCapacity),
		work:        newWork(),
		metrics:     newMetrics(),
	}
	e.ledger = &citronledger.Ledger{
		KV: kv, Clock: clock, Log: e.log,
		Wrote:    func() { e.metrics.ledgerWrites.Add(1) },
		ReadBack: func() { e.metrics.ledgerReadBack.Add(1) },
	}
	e.snap.Store(e.pool.Build(citronfleet.Fleet{}, nil, nil, false))
	e.metrics.publishState(e)
	return e
}

// Metrics returns the entry's expvar map (publish it once per process).
func (e *Entry) Metrics() *expvar.Map { return e.metrics.all }

// Revision is the fleet revision in force.
func (e *Entry) Revision() citronkv.Revision { return e.snap.Load().Fleet.Revision }

// gate returns the admission gate of svc, sized for the snapshot.
func (e *Entry) gate(s *citronroute.Snapshot, svc citronfleet.Service) *citronadmit.Gate {
	if g, ok := e.gates.Load(svc.Name); ok {
		return g.(*citronadmit.Gate)
	}
	g, _ := e.gates.LoadOrStore(svc.Name, citronadmit.New(e.clock, e.window(s, svc), e.set.MaxQueue))
	return g.(*citronadmit.Gate)
}

func (e *Entry) window(s *citronroute.Snapshot, svc citronfleet.Service) int {
	return s.Window(svc, e.set.TokenGap, e.set.MaxInflight)
}

// Handler returns the caller API and the metrics at /debug/vars.
func (e *Entry) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	srv := deckserver.New(deck.NewEndpoints(&api{e: e}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	deckserver.Mount(mux, srv)
	mux.Handle(http.MethodGet, "/debug/vars", expvar.Handler().ServeHTTP)
	limit := e.set.MaxBody
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Oversize bodies are refused before decoding, with 413, so a
		// large upload cannot hold memory; MaxBytesReader covers bodies
		// without a length.
		if r.ContentLength > limit {
			http.Error(w, `{"code":"too_large","message":"request body is larger than the entry takes"}`, http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		mux.ServeHTTP(w, r)
	})
}

// Run serves on ln until ctx ends, then drains: it leaves discovery,
// takes new requests for DrainGrace, refuses them after that with
// "draining" (they did not run), and returns once no request is in
// flight.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	// Control outlives ctx: requests in flight during the drain still
	// need to hear of failing back ends.
	bg, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctl := newControl(e)
	if !ctl.loadFirst(ctx) {
		return ln.Close()
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	dog := &citronroute.Watchdog{
		Clock: e.clock, StallAfter: e.set.StallAfter, ProbeTimeout: e.set.ProbeTimeout,
		Current: e.snap.Load, Frozen: e.sawFrozen,
	}
	tasks.Go(func() { ctl.run(bg) })
	tasks.Go(func() { dog.Run(bg) })
	regCtx, leave := context.WithCancel(bg)
	defer leave()
	left := make(chan struct{})
	tasks.Go(func() { defer close(left); e.register(regCtx) })

	hs := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(ln) }()
	citronevent.Log(ctx, e.log, citronevent.ProcessStarted, "role", "entry", "addr", ln.Addr().String(), "zone", e.set.Zone)
	select {
	case err := <-served:
		return errors.Wrap(err, "serve caller API")
	case <-ctx.Done():
	}
	citronevent.Log(bg, e.log, citronevent.DrainStarted, "inflight", e.work.count())
	e.leaving.Store(true)
	e.metrics.draining.Set(1)
	leave()
	<-left
	// Callers on open connections are told to close them with their next
	// answer, so that few race a request against the final close.
	hs.SetKeepAlivesEnabled(false)
	_ = e.clock.Sleep(bg, e.set.DrainGrace)
	<-e.work.close()
	sctx, cancel := context.WithTimeout(bg, shutdownTimeout)
	defer cancel()
	err := hs.Shutdown(sctx)
	citronevent.Log(bg, e.log, citronevent.DrainDone)
	return err
}

func (e *Entry) sawFrozen(b *citronroute.Backend) {
	e.metrics.frozen.Add(1)
	citronevent.Log(context.Background(), e.log, citronevent.UpstreamFrozen, "backend", b.Spec.Name, "peer", b.Spec.Addr)
	select {
	case e.reports <- report{backend: b.Spec.Name, reason: citronroute.Frozen}:
	default: // the control loop is behind; the next stall reports again
	}
}
