package citronentry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronentry"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronplain"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// rig is two entries, one KV stand-in (used in-process as the Store) and
// one non-idempotent plain upstream, all on loopback.
type rig struct {
	kv      *citronkv.Server
	up      *citronplain.Server
	entries []string
	stop    func()
}

func newRig(t *testing.T) *rig {
	t.Helper()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	up := citronplain.NewServer("u1")
	mux := http.NewServeMux()
	up.Mount(mux)
	us := httptest.NewServer(mux)
	fleet := fmt.Sprintf(`fleet: t
zones: [a]
customers: [{name: c}]
services:
  - name: release
    kind: plain
    idempotent: false
    upstreams: [{name: u1, addr: %q, zone: a}]
`, strings.TrimPrefix(us.URL, "http://"))
	if _, err := kv.Put(context.Background(), citronentry.ConfigKey, []byte(fleet), citronkv.Absent, 0); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{kv: kv, up: up}
	var done []chan struct{}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	noInstances := func(context.Context) ([]citronkv.Instance, error) { return nil, nil }
	for i := range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		set := citronentry.Settings{Name: fmt.Sprintf("entry-%d", i), Listen: ln.Addr().String(), Zone: "a", DrainGrace: time.Millisecond}
		e := citronentry.New(set, citronclock.Real{}, log, kv, noInstances, http.DefaultClient)
		d := make(chan struct{})
		done = append(done, d)
		go func() { defer close(d); _ = e.Run(ctx, ln) }()
		for e.Revision() == 0 {
			time.Sleep(time.Millisecond)
		}
		r.entries = append(r.entries, ln.Addr().String())
	}
	r.stop = func() {
		cancel()
		for _, d := range done {
			<-d
		}
		us.Close()
	}
	return r
}

type answer struct {
	status     int
	body       string
	retryAfter string
}

func (r *rig) submit(t *testing.T, entry int, key string, deadline time.Duration) answer {
	t.Helper()
	body := fmt.Sprintf(`{"customer":"c","body":"plate-7","deadline_ms":%d}`, deadline.Milliseconds())
	req, _ := http.NewRequest(http.MethodPost, "http://"+r.entries[entry]+"/v1/services/release/requests", strings.NewReader(body))
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(b), res.Header.Get("Retry-After")}
}

// A cut release whose upstream is slow: the caller's deadline passes, so
// the caller is told "outcome unknown" at once with Retry-After, and
// retries at the other entry. The retry must not run the release again:
// it finds the idempotency key in the ledger and is told "in progress",
// then, once the first run has finished, gets the recorded answer.
func TestRetryAtOtherEntryDoesNotRunTwice(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	defer r.stop()
	r.up.Hold = make(chan struct{})
	first := r.submit(t, 0, "k1", 100*time.Millisecond)
	is.Equal(first.status, http.StatusBadGateway) // outcome unknown
	is.True(strings.Contains(first.body, "outcome_unknown"))
	is.True(first.retryAfter != "")
	second := r.submit(t, 1, "k1", time.Second)
	is.Equal(second.status, http.StatusConflict) // in progress, not run again
	is.Equal(r.up.Runs()["k1"], 1)
}

// The KV applies the ledger create and loses its reply. The entry must
// read the key back and find it its own, run the release once, and
// answer "served"; a retry gets the replayed answer, not a second run.
func TestLostLedgerReplyIsReadBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	defer r.stop()
	r.kv.SetFaults(citronkv.Faults{LoseReplies: 1})
	a := r.submit(t, 0, "k2", time.Second)
	is.Equal(a.status, http.StatusOK)
	b := r.submit(t, 1, "k2", time.Second)
	is.Equal(b.status, http.StatusOK)
	is.True(strings.Contains(b.body, `"replayed"`))
	is.Equal(r.up.Runs()["k2"], 1)
}

// The KV is down: the entry cannot claim the key, so it must not call the
// upstream. It cannot know whether an earlier attempt with the key ran,
// so it answers "outcome unknown" (502, Retry-After, the key) at once,
// never "not run". Once the KV is back, the same key runs exactly once.
func TestKVDownRunsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	defer r.stop()
	r.kv.SetFaults(citronkv.Faults{Down: true})
	a := r.submit(t, 0, "k3", time.Second)
	is.Equal(a.status, http.StatusBadGateway)
	is.True(strings.Contains(a.body, "outcome_unknown"))
	is.True(a.retryAfter != "")
	is.Equal(r.up.Runs()["k3"], 0) // nothing ran
	r.kv.SetFaults(citronkv.Faults{})
	b := r.submit(t, 1, "k3", time.Second)
	is.Equal(b.status, http.StatusOK)
	is.Equal(r.up.Runs()["k3"], 1)
}

// Random interleavings of submits at either entry, retries of old keys,
// lost KV replies and KV outages. Oracle: every key runs at most once;
// a "not run" answer means the upstream never ran it at that moment; a
// "served" or "replayed" answer means it ran exactly once.
func TestAtMostOnceStateful(t *testing.T) {
	r := newRig(t)
	defer r.stop()
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		n++
		var keys []string
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0:
				r.kv.SetFaults(citronkv.Faults{LoseReplies: rapid.IntRange(1, 3).Draw(rt, "lose")})
			case 1:
				r.kv.SetFaults(citronkv.Faults{Down: rapid.Bool().Draw(rt, "down")})
			default:
				key := fmt.Sprintf("s%d-%d", n, len(keys))
				if len(keys) > 0 && rapid.Bool().Draw(rt, "retry") {
					key = rapid.SampledFrom(keys).Draw(rt, "old")
				} else {
					keys = append(keys, key)
				}
				a := r.submit(t, rapid.IntRange(0, 1).Draw(rt, "entry"), key, time.Second)
				runs := r.up.Runs()[key]
				switch {
				case runs > 1:
					rt.Fatalf("key %s ran %d times", key, runs)
				case strings.Contains(a.body, "not_run") && runs != 0:
					rt.Fatalf("key %s answered not run but ran %d times", key, runs)
				case a.status == http.StatusOK && runs != 1:
					rt.Fatalf("key %s answered %s but ran %d times", key, a.body, runs)
				}
			}
		}
		r.kv.SetFaults(citronkv.Faults{})
	})
}
