// Package citronledger ensures that a non-idempotent request runs at most
// once across all entries.
//
// Before the entry sends such a request to an upstream, it creates the
// request's idempotency key in the KV service, on the condition that the key
// is absent. Only the entry that created the key runs the request. A retry,
// possibly at another entry, finds the key and gets the stored answer or "in
// progress". The key has no lease: if a lease expired while its holder was
// paused, a second entry could run the request again. Each non-idempotent
// request costs two KV writes, one to create the key and one to record the
// answer; see docs/CAPACITY.md.
package citronledger

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

// State is the progress of a request in the ledger.
type State string

const (
	// Started means that an entry claimed the key and has not recorded an
	// answer.
	Started State = "started"
	// Done means that the answer is recorded.
	Done State = "done"
)

// Record is the value stored under an idempotency key.
type Record struct {
	State State `json:"state"`
	// Entry and Incarnation identify the process that runs the request.
	Entry       string   `json:"entry"`
	Incarnation string   `json:"incarnation"`
	Request     string   `json:"request"`
	Result      string   `json:"result,omitempty"`
	Tokens      []string `json:"tokens,omitempty"`
}

// Claim is the result of an attempt to create a key.
type Claim struct {
	Key string
	// Owned reports whether this entry created the key and so is the only
	// one that runs the request.
	Owned    bool
	Revision citronkv.Revision
	// Existing is the record found under the key if Owned is false.
	Existing Record
}

// ErrUnavailable means that the ledger could not confirm a claim. The request must
// not be sent to an upstream.
var ErrUnavailable = errors.New("at-most-once ledger unavailable")

const (
	// claimTimeout bounds the write of a claim and, separately, its
	// read-back.
	claimTimeout = time.Second
	// retryInitialDelay is the delay before the first retry of a write, and
	// the time for which the circuit breaker stays open.
	retryInitialDelay = 200 * time.Millisecond
	// retryMaxDelay caps the retry delay, which doubles with each retry.
	retryMaxDelay = 3 * time.Second
	// undoTimeout bounds the attempts to delete an unconfirmed claim.
	undoTimeout = 10 * time.Minute
	// lateWriteWindow is the time for which a write without a reply may still
	// take effect.
	lateWriteWindow = 5 * time.Second
)

// Ledger stores the at-most-once ledger in the KV service.
type Ledger struct {
	KV    citronkv.Store
	Clock citronclock.Clock
	Log   *slog.Logger
	// OnWrite is called before each write, OnReadBack before Claim reads back a
	// key because the reply to its create was lost. They update the metrics.
	OnWrite, OnReadBack func()

	breaker breaker
}

// breaker is a circuit breaker. It rejects claims while the KV service does
// not answer, so that they do not wait for it.
type breaker struct {
	mu sync.Mutex
	// retryAt is the time from which an open breaker admits one trial claim.
	// It is zero while the breaker is closed.
	retryAt time.Time
	// trialRunning reports whether the trial claim is in progress.
	trialRunning bool
}

// admission is what the breaker decides about a claim.
type admission int

const (
	rejected admission = iota
	admitted
	// trial means that the claim is the trial claim of an open breaker.
	trial
)

// admit decides whether a claim may be sent to the KV service.
func (b *breaker) admit(now time.Time) admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retryAt.IsZero() {
		return admitted
	}
	if b.trialRunning || now.Before(b.retryAt) {
		return rejected
	}
	b.trialRunning = true
	return trial
}

// recordInconclusive ends a claim that did not show whether the KV service
// answers. It leaves the breaker open or closed as it was.
func (b *breaker) recordInconclusive(a admission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(a)
}

// recordResult closes the breaker after a claim that the KV service answered and
// opens it after one that it did not.
func (b *breaker) recordResult(a admission, answered bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(a)
	b.retryAt = time.Time{}
	if !answered {
		b.retryAt = now.Add(retryInitialDelay)
	}
}

// end allows the next trial claim if the claim that ends was one.
func (b *breaker) end(a admission) {
	if a == trial {
		b.trialRunning = false
	}
}

// errUndecodable means that the KV service answered, but with a record that cannot be
// decoded.
var errUndecodable = errors.New("undecodable ledger record")

// nameEscaper escapes the separator of a key's parts.
var nameEscaper = strings.NewReplacer("%", "%25", "/", "%2F")

// key returns the key of a claim. The idempotency key is the rest of it and needs no
// escaping.
func key(service, customer, idempotencyKey string) string {
	return "idem/" + nameEscaper.Replace(service) + "/" + nameEscaper.Replace(customer) + "/" + idempotencyKey
}

// Claim creates the key or returns the record that the key already holds. If
// the reply to the create is lost, the create may have been applied: Claim
// then reads the key back and owns it if it holds rec.
//
// While the KV service does not answer, Claim returns ErrUnavailable at once, except
// for one trial claim at a time, which detects that the service is back. A
// trial starts no sooner than retryInitialDelay after the last failed claim.
// Without the breaker each request would wait for the timeouts of its
// claim and its read-back, only to fail with the same error.
func (l *Ledger) Claim(ctx context.Context, service, customer, idempotencyKey string, rec Record) (Claim, error) {
	a := l.breaker.admit(l.Clock.Now())
	if a == rejected {
		return Claim{}, errors.Mark(errors.New("claim idempotency key: not attempted, because the KV service did not answer the last claim"), ErrUnavailable)
	}
	c, err := l.claim(ctx, key(service, customer, idempotencyKey), rec)
	if err != nil && ctx.Err() != nil {
		// The caller's context ended. That does not show that the KV service
		// is down, and a caller with a short deadline must not cause the
		// requests of other callers to be rejected.
		l.breaker.recordInconclusive(a)
		return c, err
	}
	l.breaker.recordResult(a, err == nil || errors.Is(err, errUndecodable), l.Clock.Now())
	return c, err
}

// claim creates key k. If the outcome of the create stays unknown, it starts
// undoClaim in the background.
func (l *Ledger) claim(ctx context.Context, k string, rec Record) (Claim, error) {
	val, _ := json.Marshal(rec)
	l.OnWrite()
	pctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rev, err := l.KV.Put(pctx, k, val, citronkv.Absent, 0)
	switch {
	case err == nil:
		return Claim{Key: k, Owned: true, Revision: rev}, nil
	case errors.Is(err, citronkv.ErrConflict):
		return l.readBack(ctx, k, val)
	case errors.Is(err, citronkv.ErrUnavailable):
		l.OnReadBack()
		citronevent.Log(ctx, l.Log, citronevent.LedgerReadBack, "key", k, "err", err)
		c, err := l.readBack(ctx, k, val)
		if err != nil {
			go l.undoClaim(context.WithoutCancel(ctx), k, val)
		}
		return c, err
	}
	return Claim{}, errors.Mark(errors.Wrap(err, "claim idempotency key"), ErrUnavailable)
}

// readBack reads key k. The returned claim is owned if the key holds exactly
// the value own.
func (l *Ledger) readBack(ctx context.Context, k string, own []byte) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	it, mine, err := citronkv.ReadBack(ctx, l.KV, k, own)
	if err != nil {
		return Claim{}, errors.Mark(errors.Wrap(err, "read back idempotency key"), ErrUnavailable)
	}
	if mine {
		return Claim{Key: k, Owned: true, Revision: it.Revision}, nil
	}
	if it.Revision.IsZero() {
		// The key does not exist, so the create has not taken effect. It may
		// still do so later if its reply was lost. Its request does not run
		// even then, and undoClaim deletes the key.
		return Claim{}, errors.Mark(errors.New("read back idempotency key: the key does not exist, its create has not taken effect"), ErrUnavailable)
	}
	var rec Record
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return Claim{}, errors.Mark(errors.Mark(errors.Wrap(err, "decode ledger record"), errUndecodable), ErrUnavailable)
	}
	return Claim{Key: k, Revision: it.Revision, Existing: rec}, nil
}

// undoClaim deletes a claim whose outcome is unknown because its reply was
// lost and its read-back failed. The caller was told that this attempt did
// not run, and nothing runs it. If the claim stayed in place, every later
// retry would get "in progress" forever. undoClaim deletes only the record
// of this claim, at the revision that it read, so it never deletes a newer
// claim.
func (l *Ledger) undoClaim(ctx context.Context, k string, own []byte) {
	ctx, cancel := context.WithTimeout(ctx, undoTimeout)
	defer cancel()
	var absentSince time.Time
	_ = l.retry(ctx, k, func() error {
		it, mine, err := citronkv.ReadBack(ctx, l.KV, k, own)
		switch {
		case err != nil:
			return err
		case mine:
			l.OnWrite()
			return l.KV.Delete(ctx, k, it.Revision)
		case !it.Revision.IsZero():
			return nil // another claim holds the key
		}
		now := l.Clock.Now()
		if absentSince.IsZero() {
			absentSince = now
		}
		if now.Sub(absentSince) < lateWriteWindow {
			return citronkv.ErrUnavailable // the create may still take effect: read again
		}
		return nil
	})
}

// retry calls write until it returns anything but ErrUnavailable, or until ctx
// ends.
func (l *Ledger) retry(ctx context.Context, k string, write func() error) error {
	delay := retryInitialDelay
	for {
		err := write()
		if !errors.Is(err, citronkv.ErrUnavailable) {
			return err
		}
		citronevent.Log(ctx, l.Log, citronevent.LedgerRetry, "key", k, "err", err)
		if err := l.Clock.Sleep(ctx, delay); err != nil {
			return err
		}
		delay = min(2*delay, retryMaxDelay)
	}
}

// RecordAnswer records the answer, so that a retry gets it without running the
// request again. RecordAnswer retries a write that ends with ErrUnavailable until
// ctx ends: the reply may be lost or the service briefly down. A second write
// of the same record at the same revision is harmless, because it ends with a
// conflict. If RecordAnswer gives up, the key stays "started": no retry gets the
// answer, but the request still does not run twice.
func (l *Ledger) RecordAnswer(ctx context.Context, c Claim, rec Record) {
	val, _ := json.Marshal(rec)
	_ = l.retry(ctx, c.Key, func() error {
		l.OnWrite()
		_, err := l.KV.Put(ctx, c.Key, val, c.Revision, 0)
		return err
	})
}

// Release deletes the key of a request that is known not to have run, so that
// the caller may send the request again.
func (l *Ledger) Release(ctx context.Context, c Claim) {
	_ = l.retry(ctx, c.Key, func() error {
		l.OnWrite()
		return l.KV.Delete(ctx, c.Key, c.Revision)
	})
}
