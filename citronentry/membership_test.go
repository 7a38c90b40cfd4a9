package citronentry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronentry"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/matryer/is"
)

// eventually waits for what will come without a time of its own; the
// bound only ends a test that has failed.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	// At a millisecond a try this is shorter than discovery's linger time,
	// so an entry that is only dropped by that does not pass for delisted.
	for range 8_000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("never came: %s", what)
}

// An engine says it is leaving, goes, and a new instance takes its name
// and address, as in a rolling restart. It must get work again; were
// "leaving" kept for ever, each restart would shrink the fleet until no
// chain is left.
func TestReplacedEngineIsUsedAgain(t *testing.T) {
	r := newModelRig(t, 4, 1, oneStage, nil)
	a1 := r.engines["a1"]
	a1.engine.SetLeaving()
	wantOracle(t, r.ask(0, "before", 2), "before", 4, 2)
	fresh := citronengine.New(citronengine.Settings{Name: "a1", To: 4})
	mux := http.NewServeMux()
	fresh.Mount(mux)
	a1.mux.Store(mux)
	n := 0
	eventually(t, "work at the new instance", func() bool {
		p := fmt.Sprintf("after-%d", n)
		n++
		wantOracle(t, r.ask(0, p, 2), p, 4, 2)
		return fresh.Steps.Load() > 0
	})
}

// An engine fails every call but answers probes. Its failures must not
// cost callers their answers, and each relapse doubles the time it is left
// alone, so it fails a few calls, not every other one.
func TestFlappingEngineIsLeftAlone(t *testing.T) {
	is := is.New(t)
	r := newModelRig(t, 4, 1, oneStage, nil)
	r.engines["a1"].set(garbageWork)
	start := time.Now()
	for i := 0; time.Since(start) < 2*time.Second; i++ {
		p := fmt.Sprintf("p%d", i)
		wantOracle(t, r.ask(0, p, 1), p, 4, 1)
		time.Sleep(time.Millisecond)
	}
	// Left alone 0.25, 0.5 and 1 s at least, it is tried four times.
	is.True(r.engines["a1"].work.Load() <= 4)
}

// An engine freezes with a request in its hands: it neither answers nor
// resets. The caller, whose deadline is ten minutes off, still gets its
// whole answer, from the spare engine.
func TestEngineFreezesMidRequest(t *testing.T) {
	r := newModelRig(t, 8, 1, twoByTwo, nil)
	r.engines["b1"].freezeAfter = 3
	wantOracle(t, r.ask(0, "layout", 6), "layout", 8, 6)
}

// An engine is slow, not frozen: it holds a step for longer than the
// watchdog's patience but answers probes. Its step must not be abandoned:
// in a surge that would throw away work that is only queued.
func TestBusyEngineIsNotTakenForFrozen(t *testing.T) {
	is := is.New(t)
	r := newModelRig(t, 4, 1, []stage{{name: "a1", to: 4}}, nil)
	hold := make(chan struct{})
	r.engines["a1"].hold = hold
	got := make(chan answer, 1)
	go func() { got <- r.ask(0, "slow", 1) }()
	time.Sleep(4 * citronentry.DefaultSettings.StallAfter)
	close(hold)
	wantOracle(t, <-got, "slow", 4, 1)
	is.Equal(r.engines["a1"].work.Load(), int64(1)) // the one step, never sent again
}

// The instance list says an engine is leaving while it generates a long
// answer. Between two tokens the request moves to the spare engine and
// takes its KV cache along: the answer is whole and nothing is recomputed.
func TestRequestLeavesLeavingEngineWithItsCache(t *testing.T) {
	is := is.New(t)
	r := newModelRig(t, 4, 1, oneStage, nil)
	a1, a2 := r.engines["a1"], r.engines["a2"]
	hold := make(chan struct{})
	a1.hold = hold
	got := make(chan answer, 1)
	go func() { got <- r.ask(0, "long", 6) }()
	eventually(t, "first step", func() bool { return a1.work.Load() == 1 })
	r.instances.Store(&[]citronkv.Instance{{Name: "a1", State: citronkv.Leaving}})
	eventually(t, "a1 avoided", func() bool {
		return strings.Contains(r.entries[0].Metrics().Get("avoided").String(), "leaving")
	})
	close(hold)
	wantOracle(t, <-got, "long", 4, 6)
	is.Equal(a1.work.Load(), int64(1))
	is.Equal(a2.engine.Imports.Load(), int64(1))
	is.Equal(a2.engine.Prefills.Load(), int64(0))
}

// A caller hangs up in mid-answer. The engines' caches of its request must
// be freed: they would fill with dead requests, and an engine that leaves
// would wait for them.
func TestAbandonedRequestFreesEngines(t *testing.T) {
	is := is.New(t)
	r := newModelRig(t, 8, 1, twoByTwo, nil)
	hold := make(chan struct{})
	defer close(hold)
	r.engines["b1"].hold = hold
	ctx, hangUp := context.WithCancel(context.Background())
	go func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addrs[0]+"/v1/services/m/requests", strings.NewReader(`{"customer":"c","max_tokens":50}`))
		_, _ = http.DefaultClient.Do(req)
	}()
	eventually(t, "a step at b1", func() bool { return r.engines["b1"].work.Load() == 1 })
	is.Equal(r.engines["a1"].engine.InFlight(), 1)
	hangUp()
	eventually(t, "a1 free", func() bool { return r.engines["a1"].engine.InFlight() == 0 })
}

// The KV service is down for longer than the discovery leases live, so
// all of them lapse at once. Callers who ask meanwhile, or in the moment
// it is back, must still be sent to every entry; an entry that stops
// afterwards is no longer listed.
func TestDiscoverySurvivesLapsedLeases(t *testing.T) {
	is := is.New(t)
	r := newTunedRig(t, 4, 2, []stage{{name: "a1", to: 4}}, nil, func(s *citronentry.Settings) { s.LeaseTTL = 150 * time.Millisecond })
	sweep, stop := context.WithCancel(context.Background())
	defer stop()
	go r.kv.Run(sweep)
	listed := func(entry int) int { return r.listed(t, entry) }
	eventually(t, "both listed", func() bool { return listed(0) == 2 && listed(1) == 2 })
	r.kv.SetFaults(citronkv.Faults{Down: true})
	eventually(t, "leases lapsed", func() bool { return r.kv.Leases() == 0 })
	is.Equal(listed(0), 2)
	r.kv.SetFaults(citronkv.Faults{})
	for range 300 { // across the moment the lapses arrive
		is.Equal(listed(0), 2)
		time.Sleep(time.Millisecond)
	}
	eventually(t, "leases taken anew", func() bool { return r.kv.Leases() >= 2 })
	r.cancel[1]()
	<-r.done[1]
	eventually(t, "the stopped entry delisted", func() bool { return listed(0) == 1 })
}

// An entry freezes or is killed: its lease lapses while the KV service is
// well. It must leave the list at once; callers sent to a frozen entry lose
// a whole time-out each.
func TestLapsedEntryIsDelistedWhileKVIsWell(t *testing.T) {
	is := is.New(t)
	r := newModelRig(t, 4, 1, oneStage, nil)
	ctx := context.Background()
	id, err := r.kv.Grant(ctx, time.Minute)
	is.NoErr(err)
	_, err = r.kv.Put(ctx, citronentry.EntriesPrefix+"ghost", []byte(`{"name":"ghost","addr":"ghost:1","zone":"a"}`), citronkv.Absent, id)
	is.NoErr(err)
	eventually(t, "ghost listed", func() bool { return r.listed(t, 0) == 2 })
	r.kv.ExpireLease(id)
	eventually(t, "ghost delisted", func() bool { return r.listed(t, 0) == 1 })
}

// listed is how many entries discovery names.
func (d *deck) listed(t *testing.T, entry int) int {
	t.Helper()
	is := is.New(t)
	res, err := http.Get("http://" + d.addrs[entry] + "/v1/entries?zone=a")
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return strings.Count(string(body), `"addr"`)
}
