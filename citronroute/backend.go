// Package citronroute decides where a request goes. It holds the immutable
// routing snapshot that traffic reads, picks chains of engines that cover a
// model's layers exactly once and in order, and picks upstreams of plain
// services. Its watchdog monitors the calls in flight, so that a back end
// that stops answering is noticed long before the callers' deadlines.
//
// The control goroutine of an entry, the server that accepts callers'
// requests, builds snapshots. Request goroutines only read them and report
// back what they learn about back ends.
package citronroute

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronplain"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrFrozen is the cause of a call that was ended because its back end
// answered neither the call nor the probes sent after it. The call may have
// reached the back end, so it is unknown whether it ran.
var ErrFrozen = errors.New("back end stopped answering")

// Backend is one engine or upstream as request goroutines see it. Its clients
// and its activity are kept across snapshots. Only the control goroutine
// creates back ends.
type Backend struct {
	Spec   citronfleet.Backend
	Kind   citronfleet.Kind
	Engine *citronengine.Client
	Plain  *citronplain.Client
	// rank breaks ties between back ends; see Pool.salt.
	rank uint64
	*activity
}

// activity is what an entry knows about the calls it has in flight at one
// back end.
type activity struct {
	inflight atomic.Int64
	// bound is the number of requests whose chain contains the back end. It
	// shows the load to expect, while inflight only shows where the requests
	// are at this instant.
	bound   atomic.Int64
	probing atomic.Bool
	// reportedLeaving is when the back end last answered a call with the
	// report that it is leaving, in Unix nanoseconds; zero means never.
	reportedLeaving atomic.Int64

	mu    sync.Mutex
	calls map[*call]struct{}
	// lastAnswer is when a call or a probe last succeeded.
	lastAnswer time.Time
}

type call struct {
	// onFrozen is called when the back end is found frozen.
	onFrozen func()
	start    time.Time
}

// Inflight returns the number of calls that this entry has in flight at b.
func (b *Backend) Inflight() int64 { return b.inflight.Load() }

// leavingTTL is how long a back end's own report that it is leaving keeps
// requests away from it. The control goroutine may lag behind, but has the
// report in its snapshots by then.
const leavingTTL = 2 * time.Second

// MarkLeaving records that b has answered a request with the report that it
// is leaving, and keeps further requests away from b for leavingTTL.
func (b *Backend) MarkLeaving(now time.Time) { b.reportedLeaving.Store(now.UnixNano()) }

func (a *activity) isLeaving(now time.Time) bool {
	at := a.reportedLeaving.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < leavingTTL
}

// Bind records that a request's chain contains b. Unbind reverses it.
func (b *Backend) Bind() { b.bound.Add(1) }

// Unbind reverses one Bind.
func (b *Backend) Unbind() { b.bound.Add(-1) }

// Do runs fn, which makes one call to b, under the watchdog. If b freezes,
// fn's context is cancelled and Do returns ErrFrozen.
func (b *Backend) Do(ctx context.Context, clock citronclock.Clock, fn func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	err := b.track(clock, func() { cancel(ErrFrozen) }, func() error { return fn(ctx) })
	if err != nil && errors.Is(context.Cause(ctx), ErrFrozen) {
		return errors.Wrapf(ErrFrozen, "%s at %s", b.Spec.Name, b.Spec.Addr)
	}
	return err
}

// DoWithoutCancel runs fn as Do does, but if b freezes it calls onFrozen and
// continues to wait. A call that must not run twice cannot be sent elsewhere,
// and its answer is worth recording if b recovers.
func (b *Backend) DoWithoutCancel(clock citronclock.Clock, onFrozen func(), fn func() error) error {
	return b.track(clock, onFrozen, fn)
}

func (b *Backend) track(clock citronclock.Clock, onFrozen func(), fn func() error) error {
	c := &call{onFrozen: onFrozen, start: clock.Now()}
	b.inflight.Add(1)
	b.mu.Lock()
	b.calls[c] = struct{}{}
	b.mu.Unlock()
	err := fn()
	b.inflight.Add(-1)
	b.mu.Lock()
	delete(b.calls, c)
	if err == nil {
		b.lastAnswer = clock.Now()
	}
	b.mu.Unlock()
	return err
}

// stalledSince returns the time since which the back end has had a call in
// flight and has answered nothing; ok is false if no call is in flight. A call
// that fails does not count as an answer.
func (a *activity) stalledSince() (since time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.calls {
		if !ok || c.start.Before(since) {
			since, ok = c.start, true
		}
	}
	if a.lastAnswer.After(since) {
		since = a.lastAnswer
	}
	return since, ok
}

// noteAnswer records that the back end answered at the given time.
func (a *activity) noteAnswer(now time.Time) {
	a.mu.Lock()
	a.lastAnswer = now
	a.mu.Unlock()
}

// freeze calls onFrozen for every call in flight and stops watching these
// calls.
func (a *activity) freeze() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.calls {
		c.onFrozen()
		delete(a.calls, c)
	}
}

// Health is the result of a probe of a back end.
type Health struct {
	// Leaving means that the back end answers but takes no new requests.
	Leaving bool
	// WrongLayers means that the back end holds other layers than the fleet
	// configuration says.
	WrongLayers bool
}

// Probe asks b whether it is alive and takes new requests.
func (b *Backend) Probe(ctx context.Context) (Health, error) {
	if b.Kind == citronfleet.Model {
		s, err := b.Engine.Status(ctx)
		if err != nil {
			return Health{}, err
		}
		wrong := s.From != b.Spec.Range[0] || s.To != b.Spec.Range[1]
		return Health{Leaving: s.Leaving, WrongLayers: wrong}, nil
	}
	leaving, err := b.Plain.Status(ctx)
	return Health{Leaving: leaving}, err
}

// Pool keeps one activity and one set of clients per back end across
// snapshots, so they survive a configuration change. Only the control
// goroutine uses it.
type Pool struct {
	hc *http.Client
	// salt differs between entries. Without it all entries would rank the back
	// ends alike and send their first requests to the same ones.
	salt  string
	byKey map[string]*Backend
}

// NewPool returns a pool whose clients use hc; salt is the entry's name.
func NewPool(hc *http.Client, salt string) *Pool {
	return &Pool{hc: hc, salt: salt, byKey: map[string]*Backend{}}
}

func (p *Pool) get(spec citronfleet.Backend, kind citronfleet.Kind) *Backend {
	key := string(kind) + "|" + spec.Name + "|" + spec.Addr
	if b, ok := p.byKey[key]; ok {
		nb := *b
		nb.Spec = spec
		return &nb
	}
	b := &Backend{Spec: spec, Kind: kind, rank: xxhash.Sum64String(p.salt + spec.Name), activity: &activity{calls: map[*call]struct{}{}}}
	base := "http://" + spec.Addr
	if kind == citronfleet.Model {
		b.Engine = citronengine.NewClient(p.hc, base)
	} else {
		b.Plain = citronplain.NewClient(p.hc, base)
	}
	p.byKey[key] = b
	return b
}

// prune removes back ends that are not in current, the back ends of the newest
// snapshot, and that have no calls in flight.
func (p *Pool) prune(current map[string]*Backend) {
	live := make(map[*activity]bool, len(current))
	for _, b := range current {
		live[b.activity] = true
	}
	for k, b := range p.byKey {
		if !live[b.activity] && b.Inflight() == 0 {
			delete(p.byKey, k)
		}
	}
}
