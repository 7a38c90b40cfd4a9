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
	State   State    `json:"state"`
	Entry   string   `json:"entry"`
	Request string   `json:"request"`
	Result  string   `json:"result,omitempty"`
	Tokens  []string `json:"tokens,omitempty"`
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
	settleTries = 5
	settleWait  = 200 * time.Millisecond
)

// Ledger is the at-most-once ledger in the KV service.
type Ledger struct {
	KV    citronkv.Store
	Clock citronclock.Clock
	Log   *slog.Logger
	// Wrote and ReadBack count calls for the metrics.
	Wrote, ReadBack func()
}

func key(service, customer, idempotencyKey string) string {
	return "idem/" + service + "/" + customer + "/" + idempotencyKey
}

// Claim creates the key or reports who holds it. A create whose reply is
// lost may have been applied: the key is read back and is ours if it
// holds our record.
func (l *Ledger) Claim(ctx context.Context, service, customer, idempotencyKey string, rec Record) (Claim, error) {
	k := key(service, customer, idempotencyKey)
	val, _ := json.Marshal(rec)
	l.Wrote()
	rev, err := l.KV.Put(ctx, k, val, citronkv.Absent, 0)
	switch {
	case err == nil:
		return Claim{Key: k, Owned: true, Revision: rev}, nil
	case errors.Is(err, citronkv.ErrConflict):
		return l.read(ctx, k, val)
	case errors.Is(err, citronkv.ErrUnavailable):
		l.ReadBack()
		citronevent.Log(ctx, l.Log, citronevent.LedgerReadBack, "key", k, "err", err)
		return l.read(ctx, k, val)
	}
	return Claim{}, errors.Mark(errors.Wrap(err, "claim idempotency key"), ErrDown)
}

func (l *Ledger) read(ctx context.Context, k string, ours []byte) (Claim, error) {
	it, mine, err := citronkv.ReadBack(ctx, l.KV, k, ours)
	if err != nil {
		return Claim{}, errors.Mark(errors.Wrap(err, "read back idempotency key"), ErrDown)
	}
	if mine {
		return Claim{Key: k, Owned: true, Revision: it.Revision}, nil
	}
	if it.Revision == 0 {
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

// Settle records the answer so a retry gets it without running again. A
// write that fails is tried again: its reply may have been lost or the
// service down for a moment, and writing the same record at the same
// revision twice cannot harm (the second is a conflict). Giving up loses
// only the replay: the key stays "started", and a retry is told "in
// progress", never run twice.
func (l *Ledger) Settle(ctx context.Context, c Claim, rec Record) {
	val, _ := json.Marshal(rec)
	for try := range settleTries {
		l.Wrote()
		_, err := l.KV.Put(ctx, c.Key, val, c.Revision, 0)
		if !errors.Is(err, citronkv.ErrUnavailable) {
			return
		}
		citronevent.Log(ctx, l.Log, citronevent.LedgerSettleRetry, "key", c.Key, "err", err)
		if l.Clock.Sleep(ctx, settleWait<<try) != nil {
			return
		}
	}
}

// Release deletes a key whose request provably did not run, so that the
// caller may send it again.
func (l *Ledger) Release(ctx context.Context, c Claim) {
	l.Wrote()
	_ = l.KV.Delete(ctx, c.Key, c.Revision)
}
