// Package citronroute decides where a request goes. It holds the immutable
// routing snapshot that traffic reads, picks chains of engines that cover
// a model's layers exactly once and in order, picks upstreams of plain
// services, and watches over the calls in flight so that a back end that
// stops answering is noticed long before the callers' deadlines.
//
// The control goroutine of an entry builds snapshots; traffic only reads
// them and reports back what it sees of back ends.
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

// ErrFrozen is the cause of a call ended because its back end answered
// neither the call nor the probes sent after it. The call had reached the
// back end, so whether it ran is unknown.
var ErrFrozen = errors.New("back end stopped answering")

// Backend is one engine or upstream as traffic sees it. Its clients and
// its activity live across snapshots; only the control goroutine creates
// them.
type Backend struct {
	Spec   citronfleet.Backend
	Kind   citronfleet.Kind
	Engine *citronengine.Client
	Plain  *citronplain.Client
	// rank breaks ties between back ends; see Pool.salt.
	rank uint64
	*activity
}

// activity is what an entry knows of the calls it has in flight at one
// back end.
type activity struct {
	inflight atomic.Int64
	// bound is the number of requests whose chain runs through here. It
	// says what is coming, where calls in flight only say where the
	// requests happen to be at this instant.
	bound   atomic.Int64
	probing atomic.Bool
	// saidLeaving is when a call was last told that it is leaving, in Unix
	// nanoseconds; zero: never.
	saidLeaving atomic.Int64

	mu         sync.Mutex
	calls      map[*call]struct{}
	lastAnswer time.Time
}

type call struct {
	// frozen is called when the back end is found frozen.
	frozen func()
	start  time.Time
}

// Inflight is the number of calls this entry has in flight at b.
func (b *Backend) Inflight() int64 { return b.inflight.Load() }

// leavingMemory is how long the word of a back end that it leaves counts by itself. The
// control goroutine, which may be behind, has it in the snapshots by then.
const leavingMemory = 2 * time.Second

// SaidLeaving keeps requests from a back end that has just told one that it leaves.
func (b *Backend) SaidLeaving(now time.Time) { b.saidLeaving.Store(now.UnixNano()) }

func (a *activity) isLeaving(now time.Time) bool {
	at := a.saidLeaving.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < leavingMemory
}

// Bind notes that a request's chain runs through b; Unbind ends that.
func (b *Backend) Bind() { b.bound.Add(1) }

// Unbind ends a Bind.
func (b *Backend) Unbind() { b.bound.Add(-1) }

// Do runs fn, one call to b, under the watchdog's eye. If b freezes, fn's
// context ends and Do returns ErrFrozen.
func (b *Backend) Do(ctx context.Context, clock citronclock.Clock, fn func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	err := b.track(clock, func() { cancel(ErrFrozen) }, func() error { return fn(ctx) })
	if err != nil && errors.Is(context.Cause(ctx), ErrFrozen) {
		return errors.Wrapf(ErrFrozen, "%s at %s", b.Spec.Name, b.Spec.Addr)
	}
	return err
}

// DoPatiently runs fn as Do does, but when b freezes it only calls frozen
// and goes on waiting: a call that must not run twice cannot be sent
// elsewhere, and its answer, should b thaw, is worth recording.
func (b *Backend) DoPatiently(clock citronclock.Clock, frozen func(), fn func() error) error {
	return b.track(clock, frozen, fn)
}

func (b *Backend) track(clock citronclock.Clock, frozen func(), fn func() error) error {
	c := &call{frozen: frozen, start: clock.Now()}
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

// silentSince returns the moment since which b has had a call in flight
// and given no answer to anything; ok is false when it has no calls.
func (a *activity) silentSince() (since time.Time, ok bool) {
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

// sawAnswer notes that it is alive.
func (a *activity) sawAnswer(now time.Time) {
	a.mu.Lock()
	a.lastAnswer = now
	a.mu.Unlock()
}

// freeze tells every call in flight that the back end is frozen, and
// stops watching those calls.
func (a *activity) freeze() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.calls {
		c.frozen()
		delete(a.calls, c)
	}
}

// Health is what a probe of a back end found.
type Health struct {
	// Leaving: it answers, but takes no new work.
	Leaving bool
	// WrongLayers: it holds other layers than the fleet text says.
	WrongLayers bool
}

// Probe asks b whether it lives and takes work.
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
// snapshots, so they survive a configuration change. The control
// goroutine alone uses it.
type Pool struct {
	hc *http.Client
	// salt differs between entries. Without it every entry would give its
	// first requests to the back ends that stand first in the fleet text.
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

// keep forgets back ends that no snapshot names any more.
func (p *Pool) keep(used map[string]*Backend) {
	live := make(map[*activity]bool, len(used))
	for _, b := range used {
		live[b.activity] = true
	}
	for k, b := range p.byKey {
		if !live[b.activity] && b.Inflight() == 0 {
			delete(p.byKey, k)
		}
	}
}
