// Package citronentry is the entry instance: it serves the caller API,
// tells callers which entries to use, routes each request to a chain of
// engines or to a plain upstream, keeps non-idempotent requests to at
// most one run, and drains without cutting off work in flight.
//
// An entry is symmetric with its peers: none is set aside for control.
// What must outlive an entry (the fleet text, the entry list, the
// at-most-once ledger) lives in the platform's KV service.
package citronentry

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	deck "citrondeck.dev/citrondeck/gen/deck"
	deckserver "citrondeck.dev/citrondeck/gen/http/deck/server"
	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"
)

// Settings configure an entry.
type Settings struct {
	Name      string `yaml:"name"`
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"`
	Zone      string `yaml:"zone"`
	// DiscoveryTTL is how long callers may keep the entry list.
	DiscoveryTTL time.Duration `yaml:"discoveryTTL"`
	// LeaseTTL is the life of the entry's discovery lease.
	LeaseTTL time.Duration `yaml:"leaseTTL"`
	// DrainGrace is how long a stopping entry still takes new requests
	// after leaving discovery, for callers whose list is a little old.
	DrainGrace time.Duration `yaml:"drainGrace"`
	// MaxBody bounds a request body, in bytes.
	MaxBody int64 `yaml:"maxBody"`
}

// WithDefaults fills the zero fields.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.DiscoveryTTL == 0 {
		s.DiscoveryTTL = 10 * time.Second
	}
	if s.LeaseTTL == 0 {
		s.LeaseTTL = 3 * time.Second
	}
	if s.DrainGrace == 0 {
		s.DrainGrace = time.Second
	}
	if s.MaxBody == 0 {
		s.MaxBody = 1 << 20
	}
	return s
}

type metrics struct {
	all                                    *expvar.Map
	revision, kvUp, inflight               *expvar.Int
	served, replayed, notRun, unknown      *expvar.Int
	rejected, stageFailed, stageReplaced   *expvar.Int
	ledgerWrites, ledgerReadBack, draining *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init()}
	for name, p := range map[string]**expvar.Int{
		"config_revision": &m.revision, "kv_up": &m.kvUp, "inflight": &m.inflight,
		"served": &m.served, "replayed": &m.replayed, "not_run": &m.notRun, "outcome_unknown": &m.unknown,
		"rejected": &m.rejected, "stage_failed": &m.stageFailed, "stage_replaced": &m.stageReplaced,
		"ledger_writes": &m.ledgerWrites, "ledger_read_back": &m.ledgerReadBack, "draining": &m.draining,
	} {
		*p = new(expvar.Int)
		m.all.Set(name, *p)
	}
	return m
}

// Entry is one entry instance.
type Entry struct {
	set       Settings
	clock     citronclock.Clock
	log       *slog.Logger
	kv        citronkv.Store
	instances func(context.Context) ([]citronkv.Instance, error)
	pool      *pool
	snap      atomic.Pointer[snapshot]
	reports   chan report
	metrics   *metrics
	seq       atomic.Int64
	draining  atomic.Bool
	inflight  sync.WaitGroup
}

// New returns an entry. instances reads the platform's instance list.
func New(set Settings, clock citronclock.Clock, log *slog.Logger, kv citronkv.Store, instances func(context.Context) ([]citronkv.Instance, error), hc *http.Client) *Entry {
	e := &Entry{
		set: set.WithDefaults(), clock: clock, log: log.With("entry", set.Name), kv: kv, instances: instances,
		pool:    &pool{hc: hc, byKey: map[string]*backend{}},
		reports: make(chan report, reportCapacity),
		metrics: newMetrics(),
	}
	e.snap.Store(e.pool.build(citronfleet.Fleet{}, nil, nil, nil, false))
	return e
}

// Metrics returns the entry's expvar map (publish it once per process).
func (e *Entry) Metrics() *expvar.Map { return e.metrics.all }

// Revision is the fleet revision in force.
func (e *Entry) Revision() int64 { return e.snap.Load().revision }

// Handler returns the caller API.
func (e *Entry) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	srv := deckserver.New(deck.NewEndpoints(&api{e: e}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	deckserver.Mount(mux, srv)
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
	ctl := &control{e: e, leaving: map[string]bool{}, told: map[string]bool{}, suspect: map[string]time.Time{}}
	ctlCtx, stopCtl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCtl()
	for ctlCtx.Err() == nil {
		if err := ctl.load(ctlCtx); err == nil {
			ctl.kvUp = true
			break
		}
		citronevent.Log(ctx, e.log, citronevent.ConfigKVDown, "step", "initial load")
		if e.clock.Sleep(ctx, kvBackoffFirst) != nil {
			return nil
		}
	}
	ctl.publish()
	go ctl.run(ctlCtx, e.reports)

	regCtx, stopReg := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReg()
	regDone := make(chan struct{})
	go func() { defer close(regDone); e.register(regCtx) }()

	hs := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: 5 * time.Second}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(ln) }()
	citronevent.Log(ctx, e.log, citronevent.ProcessStarted, "role", "entry", "addr", ln.Addr().String(), "zone", e.set.Zone)

	select {
	case err := <-served:
		return errors.Wrap(err, "serve caller API")
	case <-ctx.Done():
	}
	citronevent.Log(ctx, e.log, citronevent.DrainStarted)
	stopReg()
	<-regDone
	_ = e.clock.Sleep(context.Background(), e.set.DrainGrace)
	e.draining.Store(true)
	e.metrics.draining.Set(1)
	e.inflight.Wait()
	shutCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := hs.Shutdown(shutCtx)
	citronevent.Log(ctx, e.log, citronevent.DrainDone)
	return err
}

// register holds the entry's key under a lease so discovery lists it,
// renewing the lease and putting the key back after a lapse (the holder
// may have been paused past its TTL). On return it revokes the lease, so
// the entry leaves discovery at once rather than after the TTL.
func (e *Entry) register(ctx context.Context) {
	val, _ := json.Marshal(entryAddr{Name: e.set.Name, Addr: e.set.Advertise, Zone: e.set.Zone})
	var id citronkv.LeaseID
	for {
		if id == 0 {
			if l, err := e.kv.Grant(ctx, e.set.LeaseTTL); err == nil {
				if _, err := e.kv.Put(ctx, EntriesPrefix+e.set.Name, val, citronkv.AnyRevision, l); err == nil {
					id = l
					citronevent.Log(ctx, e.log, citronevent.DiscoveryRegistered, "lease", int64(l))
				}
			}
		} else if err := e.kv.KeepAlive(ctx, id); errors.Is(err, citronkv.ErrLeaseExpired) {
			id = 0
			continue
		}
		if e.clock.Sleep(ctx, e.set.LeaseTTL/3) != nil {
			break
		}
	}
	if id != 0 {
		rctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = e.kv.Revoke(rctx, id)
	}
}
