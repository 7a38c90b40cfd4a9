package citronentry

// The at-most-once ledger. Before a non-idempotent request reaches an
// upstream, the entry creates its idempotency key in the KV service with
// compare-and-swap on absence. Only the creator runs the request; a
// second arrival (a caller's retry, perhaps at another entry) finds the
// key and gets the stored answer, or "in progress". The key is not under
// a lease: a lease lapsing while its holder is paused would let a second
// entry run the request again. Cost: two KV writes per non-idempotent
// request (create, then record the answer); see docs/CAPACITY.md.

import (
	"context"
	"encoding/json"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

type ledgerState string

const (
	ledgerStarted ledgerState = "started"
	ledgerDone    ledgerState = "done"
)

type ledgerRecord struct {
	State   ledgerState `json:"state"`
	Entry   string      `json:"entry"`
	Request string      `json:"request"`
	Result  string      `json:"result,omitempty"`
	Tokens  []string    `json:"tokens,omitempty"`
}

// claim is the outcome of trying to create a ledger key.
type claim struct {
	owned    bool
	revision citronkv.Revision
	existing ledgerRecord
}

func ledgerKey(service, customer, key string) string {
	return "idem/" + service + "/" + customer + "/" + key
}

// errLedgerDown means the ledger could not be reached; nothing was sent
// upstream, so the request did not run.
var errLedgerDown = errors.New("at-most-once ledger unavailable")

// claimKey creates the ledger key or reports who holds it. A create whose
// reply is lost may have been applied: the key is read back and is ours
// if it holds our record.
func (e *Entry) claimKey(ctx context.Context, key string, rec ledgerRecord) (claim, error) {
	val, _ := json.Marshal(rec)
	e.metrics.ledgerWrites.Add(1)
	rev, err := e.kv.Put(ctx, key, val, citronkv.Absent, 0)
	switch {
	case err == nil:
		return claim{owned: true, revision: rev}, nil
	case errors.Is(err, citronkv.ErrConflict):
		return e.readClaim(ctx, key, val)
	case errors.Is(err, citronkv.ErrUnavailable):
		e.metrics.ledgerReadBack.Add(1)
		citronevent.Log(ctx, e.log, citronevent.LedgerReadBack, "key", key, "err", err)
		return e.readClaim(ctx, key, val)
	}
	return claim{}, errors.Mark(errors.Wrap(err, "claim idempotency key"), errLedgerDown)
}

func (e *Entry) readClaim(ctx context.Context, key string, ours []byte) (claim, error) {
	it, mine, err := citronkv.ReadBack(ctx, e.kv, key, ours)
	if err != nil {
		return claim{}, errors.Mark(errors.Wrap(err, "read back idempotency key"), errLedgerDown)
	}
	if mine {
		return claim{owned: true, revision: it.Revision}, nil
	}
	if it.Revision == 0 {
		// Neither created nor held: the create did not apply.
		return claim{}, errors.Mark(errors.New("idempotency key was not created"), errLedgerDown)
	}
	var rec ledgerRecord
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return claim{}, errors.Wrap(err, "decode ledger record")
	}
	return claim{revision: it.Revision, existing: rec}, nil
}

// settle records the answer so a retry gets it without running again.
// A failure here loses only the replay: the key stays "started", and a
// retry is told "in progress", never run twice.
func (e *Entry) settle(ctx context.Context, key string, rev citronkv.Revision, rec ledgerRecord) {
	val, _ := json.Marshal(rec)
	e.metrics.ledgerWrites.Add(1)
	if _, err := e.kv.Put(ctx, key, val, rev, 0); errors.Is(err, citronkv.ErrUnavailable) {
		_, _, _ = citronkv.ReadBack(ctx, e.kv, key, val)
	}
}

// release deletes a key whose request provably did not run, so that the
// caller may send it again.
func (e *Entry) release(ctx context.Context, key string, rev citronkv.Revision) {
	e.metrics.ledgerWrites.Add(1)
	_ = e.kv.Delete(ctx, key, rev)
}
