package citronentry_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// retryUntilReplayed retries with key until the answer is no longer status 409,
// "in progress".
func (r *plainHarness) retryUntilReplayed(t *testing.T, entry int, key string) answer {
	t.Helper()
	for range 5000 {
		a := r.submit(entry, "release", key, time.Minute)
		if a.status != http.StatusConflict {
			return a
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("key %s: 5000 retries got no recorded answer", key)
	return answer{}
}

// TestRetryAtOtherEntryDoesNotRunTwice simulates a slow upstream and a caller
// whose deadline passes. The caller must get "outcome unknown" with Retry-After,
// and retries at the other entry. The retry must not run the request again: it
// finds the idempotency key in the ledger and gets "in progress", and the recorded
// answer once the first run has finished.
func TestRetryAtOtherEntryDoesNotRunTwice(t *testing.T) {
	is := is.New(t)
	r := newPlainHarness(t, 2, 1)
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	defer release() // a failed check must not leave the entry waiting
	r.upstreams[0].plain.Hold = hold
	first := r.submit(0, "release", "k1", 100*time.Millisecond)
	is.Equal(first.code, "outcome_unknown")
	is.True(first.retryAfter != "")
	second := r.submit(1, "release", "k1", time.Second)
	is.Equal(second.code, "in_progress")
	release()
	is.Equal(r.retryUntilReplayed(t, 1, "k1").outcome, "replayed")
	is.Equal(r.runs("k1"), 1)
}

// TestShutdownWaitsForAbandonedCall simulates a caller that stops waiting for a
// non-idempotent request, and an entry that is shut down while the upstream still
// runs the request. The entry must not exit before the answer is in the ledger;
// otherwise the answer would be lost, and the caller's retries at another entry
// would get "outcome unknown" forever.
func TestShutdownWaitsForAbandonedCall(t *testing.T) {
	is := is.New(t)
	r := newPlainHarness(t, 2, 1)
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	defer release()
	r.upstreams[0].plain.Hold = hold
	is.Equal(r.submit(0, "release", "k", 50*time.Millisecond).code, "outcome_unknown")
	r.cancel[0]()
	time.AfterFunc(50*time.Millisecond, release)
	<-r.done[0]
	is.Equal(r.submit(1, "release", "k", time.Minute).outcome, "replayed")
	is.Equal(r.runs("k"), 1)
}

// TestLostLedgerReplyIsReadBack makes the KV service apply the create of a ledger
// key and lose its reply. An entry that took this for a failure would leave the key
// in the ledger, where it blocks every retry. It must read the key back, find its
// own record, and run the request once. A retry gets the replayed answer and no
// second run.
func TestLostLedgerReplyIsReadBack(t *testing.T) {
	is := is.New(t)
	r := newPlainHarness(t, 2, 1)
	r.kv.SetFaults(citronkv.Faults{LoseReplies: 1})
	a := r.submit(0, "release", "k2", time.Second)
	is.Equal(a.status, http.StatusOK)
	b := r.submit(1, "release", "k2", time.Second)
	is.Equal(b.status, http.StatusOK)
	is.True(strings.Contains(b.body, `"replayed"`))
	is.Equal(r.runs("k2"), 1)
}

// TestKVDownRunsNothing takes the KV service down. The entry cannot claim the key
// and must not call the upstream. It cannot know whether an earlier attempt with
// the key ran, so it must answer "outcome unknown" (status 502 with Retry-After)
// and not "not run". Once the KV service is back, the request with the key runs
// exactly once.
func TestKVDownRunsNothing(t *testing.T) {
	is := is.New(t)
	r := newPlainHarness(t, 2, 1)
	r.kv.SetFaults(citronkv.Faults{Down: true})
	a := r.submit(0, "release", "k3", time.Second)
	is.Equal(a.status, http.StatusBadGateway)
	is.True(strings.Contains(a.body, "outcome_unknown"))
	is.True(a.retryAfter != "")
	is.Equal(r.runs("k3"), 0) // nothing ran
	r.kv.SetFaults(citronkv.Faults{})
	b := r.submit(1, "release", "k3", time.Second)
	is.Equal(b.status, http.StatusOK)
	is.Equal(r.runs("k3"), 1)
}

// TestAtMostOnceStateful checks random interleavings of requests at either entry,
// retries of old keys, lost KV replies and KV outages. Every key runs at most
// once. After a "not run" answer, no upstream has run the key so far; after
// "served" or "replayed", it has run exactly once. Once the KV service is
// healthy, retries with any key must end in its answer. The failure to guard
// against is a key left "started" by a claim that never ran: its retries would be
// refused forever.
func TestAtMostOnceStateful(t *testing.T) {
	r := newPlainHarness(t, 2, 1)
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		n++
		var keys []string
		checkAnswer := func(key string, a answer) {
			runs := r.runs(key)
			switch {
			case runs > 1:
				rt.Fatalf("key %s ran %d times", key, runs)
			case a.code == "not_run" && runs != 0:
				rt.Fatalf("key %s answered not run but ran %d times", key, runs)
			case a.status == http.StatusOK && runs != 1:
				rt.Fatalf("key %s answered %s but ran %d times", key, a.body, runs)
			}
		}
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0:
				r.kv.SetFaults(citronkv.Faults{LoseReplies: rapid.IntRange(1, 3).Draw(rt, "lose"), DownAfterLoss: rapid.Bool().Draw(rt, "down after")})
			case 1:
				r.kv.SetFaults(citronkv.Faults{Down: rapid.Bool().Draw(rt, "down")})
			default:
				key := fmt.Sprintf("s%d-%d", n, len(keys))
				if len(keys) > 0 && rapid.Bool().Draw(rt, "retry") {
					key = rapid.SampledFrom(keys).Draw(rt, "old")
				} else {
					keys = append(keys, key)
				}
				checkAnswer(key, r.submit(rapid.IntRange(0, 1).Draw(rt, "entry"), "release", key, time.Second))
			}
		}
		r.kv.SetFaults(citronkv.Faults{})
		for i, key := range keys {
			a := r.submit(i%2, "release", key, time.Minute)
			for tries := 0; a.status != http.StatusOK; tries++ {
				if tries > 8_000 {
					rt.Fatalf("key %s is still refused after the last retry: %s", key, a.body)
				}
				time.Sleep(time.Millisecond)
				a = r.submit(i%2, "release", key, time.Minute)
			}
			checkAnswer(key, a)
		}
	})
}

// TestUnconfirmedClaimIsUndone makes the KV service apply a claim, lose its reply
// and go down before the entry can read the key back. The caller gets "outcome
// unknown", and nothing runs. Once the KV service is back, the entry must undo
// its claim, so that the caller's next retry runs instead of getting "in
// progress" forever.
func TestUnconfirmedClaimIsUndone(t *testing.T) {
	is := is.New(t)
	r := newPlainHarness(t, 2, 1)
	r.kv.SetFaults(citronkv.Faults{LoseReplies: 1, DownAfterLoss: true})
	is.Equal(r.submit(0, "release", "k", time.Minute).code, "outcome_unknown")
	is.Equal(r.runs("k"), 0)
	is.Equal(r.submit(1, "release", "k", time.Minute).code, "outcome_unknown") // still down
	r.kv.SetFaults(citronkv.Faults{})
	eventually(t, "served", func() bool { return r.submit(1, "release", "k", time.Minute).status == http.StatusOK })
	is.Equal(r.runs("k"), 1)
}

// TestFrozenKVFailsFast freezes the KV service: it takes calls, applies nothing
// and does not answer. The first caller gets "outcome unknown" after its claim has
// timed out. Nearly all later callers must get the same answer without a claim of
// their own; if each waited for the timeout, requests would pile up at the entry.
func TestFrozenKVFailsFast(t *testing.T) {
	is := is.New(t)
	r := newPlainHarness(t, 1, 1)
	r.kv.SetFaults(citronkv.Faults{Slow: time.Hour})
	is.Equal(r.submit(0, "release", "first", time.Minute).code, "outcome_unknown")
	claims := func() int {
		n, err := strconv.Atoi(r.entries[0].Metrics().Get("ledger_writes").String())
		is.NoErr(err)
		return n
	}
	before := claims()
	for i := range 50 {
		is.Equal(r.submit(0, "release", fmt.Sprint(i), time.Minute).code, "outcome_unknown")
	}
	// The circuit breaker admits one trial claim at a time, no sooner than
	// 200 ms after the last failed one. Nearly all of the 50 callers are
	// therefore answered without a claim.
	is.True(claims() <= before+5)
	is.Equal(len(r.upstreams[0].plain.Runs()), 0)
	r.kv.SetFaults(citronkv.Faults{})
	eventually(t, "served", func() bool { return r.submit(0, "release", "again", time.Minute).status == http.StatusOK })
}

// TestShortDeadlineDoesNotOpenBreaker simulates a slow KV service and a caller
// whose short deadline ends its claim. The ended claim does not show that the KV
// service is down, so the circuit breaker must stay closed and the next caller,
// with a longer deadline, must be served.
func TestShortDeadlineDoesNotOpenBreaker(t *testing.T) {
	is := is.New(t)
	r := newPlainHarness(t, 1, 1)
	r.kv.SetFaults(citronkv.Faults{Slow: 50 * time.Millisecond})
	is.Equal(r.submit(0, "release", "hasty", 5*time.Millisecond).code, "outcome_unknown")
	is.Equal(r.submit(0, "release", "patient", time.Minute).outcome, "served")
}

// TestRetryAfterKeyOwnerIsGone simulates an entry that is killed before it
// records the answer of a request that it runs, and another entry that takes its
// name. It is unknown whether the request ran, so it must not run again. A retry
// must get "outcome unknown"; with "in progress", the caller would retry forever.
func TestRetryAfterKeyOwnerIsGone(t *testing.T) {
	is := is.New(t)
	r := newPlainHarness(t, 1, 1)
	_, err := r.kv.Put(context.Background(), "idem/release/c/k", []byte(`{"state":"started","entry":"entry-0","incarnation":"dead","request":"entry-0-dead-1"}`), citronkv.Absent, 0)
	is.NoErr(err)
	a := r.submit(0, "release", "k", time.Minute)
	is.Equal(a.code, "outcome_unknown")
	is.Equal(r.runs("k"), 0)
}
