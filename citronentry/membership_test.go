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

// eventually polls ok until it returns true, and fails the test after 8,000
// tries.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	// If a try takes little more than a millisecond, the limit is shorter than
	// discovery's linger time (15 s). A test that waits for an entry to be
	// delisted then fails if the entry stays listed until its linger time ends.
	for range 8_000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// TestReplacedEngineIsUsedAgain checks that a new engine gets work after it
// takes over the name and address of one that announced its departure, as in
// a rolling restart. If the name stayed marked as leaving, each restart would
// shrink the fleet until no chain of engines remained.
func TestReplacedEngineIsUsedAgain(t *testing.T) {
	r := newModelHarness(t, 4, 1, oneStage, nil)
	a1 := r.engines["a1"]
	a1.engine.SetLeaving()
	wantOracle(t, r.ask(0, "before", 2), "before", 4, 2)
	replacement := citronengine.New(citronengine.Settings{Name: "a1", To: 4})
	mux := http.NewServeMux()
	replacement.Mount(mux)
	a1.mux.Store(mux)
	n := 0
	eventually(t, "a step at the new engine", func() bool {
		p := fmt.Sprintf("after-%d", n)
		n++
		wantOracle(t, r.ask(0, p, 2), p, 4, 2)
		return replacement.Steps.Load() > 0
	})
}

// TestFlappingEngineIsAvoided simulates an engine that fails every call but
// answers probes. If each probe made it usable again, it would fail a call after
// every probe. Callers must get complete responses, and as each further failure
// doubles the time for which the engine is avoided, only a few calls may reach it.
func TestFlappingEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, oneStage, nil)
	r.engines["a1"].set(garbageWork)
	start := time.Now()
	for i := 0; time.Since(start) < 2*time.Second; i++ {
		p := fmt.Sprintf("p%d", i)
		wantOracle(t, r.ask(0, p, 1), p, 4, 1)
		time.Sleep(time.Millisecond)
	}
	// The engine is avoided for at least 0.25, 0.5 and 1 s, so at most four
	// calls reach it in 2 s.
	is.True(r.engines["a1"].work.Load() <= 4)
}

// TestEngineFreezesMidRequest freezes an engine during a request: it neither
// responds nor resets the connection, so that the call would hang until the
// caller's deadline of ten minutes. The caller must still get the complete
// response, from the spare engine.
func TestEngineFreezesMidRequest(t *testing.T) {
	r := newModelHarness(t, 8, 1, twoStages, nil)
	r.engines["b1"].freezeAfter = 3
	wantOracle(t, r.ask(0, "layout", 6), "layout", 8, 6)
}

// TestSlowEngineIsNotTreatedAsFrozen makes an engine delay a step for four times
// StallAfter while it still answers probes. The entry must not abandon the step:
// under high load that would discard work that is only queued.
func TestSlowEngineIsNotTreatedAsFrozen(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, []engineSpec{{name: "a1", to: 4}}, nil)
	hold := make(chan struct{})
	r.engines["a1"].hold = hold
	got := make(chan answer, 1)
	go func() { got <- r.ask(0, "slow", 1) }()
	time.Sleep(4 * citronentry.DefaultSettings.StallAfter)
	close(hold)
	wantOracle(t, <-got, "slow", 4, 1)
	is.Equal(r.engines["a1"].work.Load(), int64(1)) // the step was sent exactly once
}

// TestRequestMovesOffLeavingEngineWithItsCache marks an engine as leaving in
// the instance list while it runs the first step of a request. Before the next
// token, the request must move to the spare engine together with its KV cache: the
// response is complete and nothing is recomputed. A request that stayed could lose
// the engine before its last token.
func TestRequestMovesOffLeavingEngineWithItsCache(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, oneStage, nil)
	a1, a2 := r.engines["a1"], r.engines["a2"]
	hold := make(chan struct{})
	a1.hold = hold
	got := make(chan answer, 1)
	go func() { got <- r.ask(0, "long", 6) }()
	eventually(t, "the first step", func() bool { return a1.work.Load() == 1 })
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

// TestAbandonedRequestFreesEngineCaches makes a caller disconnect while the
// second stage runs a step. The entry must have the request's KV cache freed;
// otherwise the caches fill with abandoned requests, and a leaving engine waits
// for them. The test looks only at the first stage, because the second one is held.
func TestAbandonedRequestFreesEngineCaches(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 8, 1, twoStages, nil)
	hold := make(chan struct{})
	defer close(hold)
	r.engines["b1"].hold = hold
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addrs[0]+"/v1/services/m/requests", strings.NewReader(`{"customer":"c","max_tokens":50}`))
		_, _ = http.DefaultClient.Do(req)
	}()
	eventually(t, "a step at b1", func() bool { return r.engines["b1"].work.Load() == 1 })
	is.Equal(r.engines["a1"].engine.InFlight(), 1)
	disconnect()
	eventually(t, "a1 free", func() bool { return r.engines["a1"].engine.InFlight() == 0 })
}

// TestDiscoverySurvivesExpiredLeases takes the KV service down for longer than
// the lease TTL, so that all discovery leases expire at once. If each missing key
// removed its entry, callers would find no entry. Discovery must list every entry
// at the end of the outage and while the KV service recovers. An entry that stops
// afterwards must be delisted.
func TestDiscoverySurvivesExpiredLeases(t *testing.T) {
	is := is.New(t)
	r := newModelHarnessWithSettings(t, 4, 2, []engineSpec{{name: "a1", to: 4}}, nil, func(s *citronentry.Settings) { s.LeaseTTL = 150 * time.Millisecond })
	sweep, stop := context.WithCancel(context.Background())
	defer stop()
	go r.kv.Run(sweep)
	listed := func(entry int) int { return r.listed(t, entry) }
	eventually(t, "both listed", func() bool { return listed(0) == 2 && listed(1) == 2 })
	r.kv.SetFaults(citronkv.Faults{Down: true})
	eventually(t, "leases expired", func() bool { return r.kv.Leases() == 0 })
	is.Equal(listed(0), 2)
	r.kv.SetFaults(citronkv.Faults{})
	for range 300 { // at least 300 ms, for the deletions to reach the entries
		is.Equal(listed(0), 2)
		time.Sleep(time.Millisecond)
	}
	eventually(t, "leases granted again", func() bool { return r.kv.Leases() >= 2 })
	r.cancel[1]()
	<-r.done[1]
	eventually(t, "the stopped entry delisted", func() bool { return listed(0) == 1 })
}

// TestExpiredEntryIsDelistedWhileKVIsHealthy expires the lease of another entry
// while the KV service is healthy, as happens if that entry is frozen or killed.
// Discovery must remove it well before the linger time, because each caller sent
// to a frozen entry waits for a full timeout.
func TestExpiredEntryIsDelistedWhileKVIsHealthy(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, oneStage, nil)
	ctx := context.Background()
	id, err := r.kv.Grant(ctx, time.Minute)
	is.NoErr(err)
	_, err = r.kv.Put(ctx, citronentry.EntriesPrefix+"ghost", []byte(`{"name":"ghost","addr":"ghost:1","zone":"a"}`), citronkv.Absent, id)
	is.NoErr(err)
	eventually(t, "ghost listed", func() bool { return r.listed(t, 0) == 2 })
	r.kv.ExpireLease(id)
	eventually(t, "ghost delisted", func() bool { return r.listed(t, 0) == 1 })
}

// listed returns the number of entries that discovery at the given entry returns.
func (tc *testCluster) listed(t *testing.T, entry int) int {
	t.Helper()
	is := is.New(t)
	res, err := http.Get("http://" + tc.addrs[entry] + "/v1/entries?zone=a")
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return strings.Count(string(body), `"addr"`)
}
