// Package citronledger keeps non-idempotent requests to at most one run
// across all entries.
//
// Before such a request reaches an upstream, the entry creates its
// idempotency key in the KV service with compare-and-swap on absence.
// Only the creator runs the request; a second arrival (a caller's retry,
// perhaps at another entry) finds the key and gets the stored answer, or
// "in progress". The key is not under a lease: a lease lapsing while its
// holder is paused would let a second entry run the request again. Cost:
// two KV writes per non-idempotent request (create, then record the
// answer); see docs/CAPACITY.md.
package citronledger

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

// State is how far a request has come.
type State string

// States of a request in the ledger.
const (
	Started State = "started"
	Done    State = "done"
)

// Record is the value kept under an idempotency key.
type Record struct {
	State State `json:"state"`
	// Entry and Incarnation name the process that runs the request.
	Entry       string   `json:"entry"`
	Incarnation string   `json:"incarnation"`
	Request     string   `json:"request"`
	Result      string   `json:"result,omitempty"`
	Tokens      []string `json:"tokens,omitempty"`
}

// Claim is the outcome of trying to create a key.
type Claim struct {
	Key string
	// Owned: this entry, and no other, runs the request.
	Owned    bool
	Revision citronkv.Revision
	// Existing is what the key held when it was not ours.
	Existing Record
}

// ErrDown means the ledger could not be reached, so nothing may be sent
// upstream.
var ErrDown = errors.New("at-most-once ledger unavailable")

const (
	// claimTimeout bounds the write of a claim, and its read-back.
	claimTimeout = time.Second
	retryFirst   = 200 * time.Millisecond
	retryCap     = 3 * time.Second
	// takeBackFor bounds the effort to take back a claim of unknown fate;
	// lateWrite is how long a write without reply may still take effect.
	takeBackFor = 10 * time.Minute
	lateWrite   = 5 * time.Second
)

// Ledger is the at-most-once ledger in the KV service.
type Ledger struct {
	KV    citronkv.Store
	Clock citronclock.Clock
	Log   *slog.Logger
	// Wrote and ReadBack count calls for the metrics.
	Wrote, ReadBack func()

	breaker breaker
}

// breaker keeps claims from waiting on a service that does not answer.
type breaker struct {
	mu sync.Mutex
	// retryAt is when one claim is let through; zero while closed.
	retryAt time.Time
	trying  bool
}

func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retryAt.IsZero() {
		return true
	}
	if b.trying || now.Before(b.retryAt) {
		return false
	}
	b.trying = true
	return true
}

// noVerdict ends a claim that did not find out whether the service answers.
func (b *breaker) noVerdict() {
	b.mu.Lock()
	b.trying = false
	b.mu.Unlock()
}

func (b *breaker) done(ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trying = false
	b.retryAt = time.Time{}
	if !ok {
		b.retryAt = now.Add(retryFirst)
	}
}

func key(service, customer, idempotencyKey string) string {
	return "idem/" + service + "/" + customer + "/" + idempotencyKey
}

// Claim creates the key or reports who holds it. A create whose reply is
// lost may have been applied: the key is read back and is ours if it
// holds our record.
//
// While the KV service does not answer, Claim says ErrDown at once and lets
// one claim a retryFirst through to see whether it is back; else each
// request would be held for the time-outs of its claim and read-back, and
// hear the same.
func (l *Ledger) Claim(ctx context.Context, service, customer, idempotencyKey string, rec Record) (Claim, error) {
	if !l.breaker.allow(l.Clock.Now()) {
		return Claim{}, errors.Mark(errors.New("the KV service did not answer a moment ago"), ErrDown)
	}
	c, err := l.claim(ctx, key(service, customer, idempotencyKey), rec)
	if err != nil && ctx.Err() != nil {
		// The caller ran out of time, which says nothing of the service:
		// one impatient caller must not have the others refused.
		l.breaker.noVerdict()
		return c, err
	}
	l.breaker.done(err == nil, l.Clock.Now())
	return c, err
}

func (l *Ledger) claim(ctx context.Context, k string, rec Record) (Claim, error) {
	val, _ := json.Marshal(rec)
	l.Wrote()
	pctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rev, err := l.KV.Put(pctx, k, val, citronkv.Absent, 0)
	switch {
	case err == nil:
		return Claim{Key: k, Owned: true, Revision: rev}, nil
	case errors.Is(err, citronkv.ErrConflict):
		return l.read(ctx, k, val)
	case errors.Is(err, citronkv.ErrUnavailable):
		l.ReadBack()
		citronevent.Log(ctx, l.Log, citronevent.LedgerReadBack, "key", k, "err", err)
		c, err := l.read(ctx, k, val)
		if err != nil {
			go l.takeBack(context.WithoutCancel(ctx), k, val)
		}
		return c, err
	}
	return Claim{}, errors.Mark(errors.Wrap(err, "claim idempotency key"), ErrDown)
}

func (l *Ledger) read(ctx context.Context, k string, ours []byte) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	it, mine, err := citronkv.ReadBack(ctx, l.KV, k, ours)
	if err != nil {
		return Claim{}, errors.Mark(errors.Wrap(err, "read back idempotency key"), ErrDown)
	}
	if mine {
		return Claim{Key: k, Owned: true, Revision: it.Revision}, nil
	}
	if it.Revision.IsZero() {
		// Neither created nor held: the create did not apply yet. It may
		// still apply later (a delayed write), which only leaves the key
		// "started" and unrun.
		return Claim{}, errors.Mark(errors.New("idempotency key was not created"), ErrDown)
	}
	var rec Record
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return Claim{}, errors.Mark(errors.Wrap(err, "decode ledger record"), ErrDown)
	}
	return Claim{Key: k, Revision: it.Revision, Existing: rec}, nil
}

// takeBack undoes a claim whose fate is unknown: its reply was lost and it
// could not be read back. Its caller was told that the attempt did not
// run, and nothing runs it; were the claim left in place, every later try
// would hear "in progress" for ever. Only this claim's own record is
// deleted, at the revision read, so a newer claim is never touched.
func (l *Ledger) takeBack(ctx context.Context, k string, ours []byte) {
	ctx, cancel := context.WithTimeout(ctx, takeBackFor)
	defer cancel()
	var absentSince time.Time
	_ = l.retry(ctx, k, func() error {
		it, mine, err := citronkv.ReadBack(ctx, l.KV, k, ours)
		switch {
		case err != nil:
			return err
		case mine:
			l.Wrote()
			return l.KV.Delete(ctx, k, it.Revision)
		case !it.Revision.IsZero():
			return nil // somebody else's
		}
		now := l.Clock.Now()
		if absentSince.IsZero() {
			absentSince = now
		}
		if now.Sub(absentSince) < lateWrite {
			return citronkv.ErrUnavailable // it may still take effect: look again
		}
		return nil
	})
}

// retry calls write until it ends other than by ErrUnavailable or ctx ends.
func (l *Ledger) retry(ctx context.Context, k string, write func() error) error {
	wait := retryFirst
	for {
		err := write()
		if !errors.Is(err, citronkv.ErrUnavailable) {
			return err
		}
		citronevent.Log(ctx, l.Log, citronevent.LedgerRetry, "key", k, "err", err)
		if err := l.Clock.Sleep(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, retryCap)
	}
}

// Settle records the answer so a retry gets it without running again. A
// write that fails is tried again until ctx ends: its reply may have been
// lost or the service down for a moment, and writing the same record at
// the same revision twice cannot harm (the second is a conflict). Giving
// up loses only the replay: the key stays "started", never run twice.
func (l *Ledger) Settle(ctx context.Context, c Claim, rec Record) {
	val, _ := json.Marshal(rec)
	_ = l.retry(ctx, c.Key, func() error {
		l.Wrote()
		_, err := l.KV.Put(ctx, c.Key, val, c.Revision, 0)
		return err
	})
}

// Release deletes a key whose request provably did not run, so that the
// caller may send it again.
func (l *Ledger) Release(ctx context.Context, c Claim) {
	_ = l.retry(ctx, c.Key, func() error {
		l.Wrote()
		return l.KV.Delete(ctx, c.Key, c.Revision)
	})
}
