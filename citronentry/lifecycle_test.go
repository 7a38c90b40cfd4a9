package citronentry_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronentry"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/matryer/is"
)

var oneStage = []stage{{name: "a1", from: 0, to: 4}, {name: "a2", from: 0, to: 4}}

// An engine starts leaving while the instance list has not caught up.
// The first new request it sees is refused with the leaving mark, the
// entry serves that request on the other engine at once, and from then
// on sends the leaving engine no new work: callers see only whole
// answers, and the leaving engine gets at most one refused request.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	r := newModelRig(t, 4, 1, oneStage, nil)
	r.engines["a1"].engine.SetLeaving()
	for i := range 10 {
		wantOracle(t, r.ask(0, "p"+string(rune('a'+i)), 2), "p"+string(rune('a'+i)), 4, 2)
	}
	is.True(r.engines["a1"].engine.Refused.Load() <= 1) // told once, then skipped
	is.Equal(r.engines["a1"].engine.Steps.Load(), int64(0))
}

// The instance list says an engine is leaving before the engine says so
// itself (it still answers). Once the entry has polled the list, no new
// request reaches that engine.
func TestInstanceListLeavingStopsNewWork(t *testing.T) {
	is := is.New(t)
	r := newModelRig(t, 4, 1, oneStage, nil)
	r.instances.Store(&[]citronkv.Instance{{Name: "a1", State: citronkv.Leaving}})
	for len(r.polled) > 0 { // polls that may have read the list before
		<-r.polled
	}
	for range 2 { // the second poll starts after the first one was published
		<-r.polled
	}
	for i := range 6 {
		wantOracle(t, r.ask(0, "q"+string(rune('a'+i)), 2), "q"+string(rune('a'+i)), 4, 2)
	}
	is.Equal(r.engines["a1"].engine.Steps.Load(), int64(0))
}

// A stopping entry first leaves discovery (its key is gone at once, not
// after the lease lapses), then finishes the request it holds: the
// caller of that request gets its whole answer. A caller that still uses
// the old address afterwards is told "draining" or cannot connect, and
// nothing runs for it.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	is := is.New(t)
	r := newModelRig(t, 4, 1, oneStage, nil)
	hold := make(chan struct{})
	for _, n := range []string{"a1", "a2"} {
		r.engines[n].hold = hold
	}
	got := make(chan answer, 1)
	go func() { got <- r.ask(0, "held", 2) }()
	for r.engines["a1"].work.Load()+r.engines["a2"].work.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.cancel[0]() // stop the entry with a request in flight
	for {
		items, _, err := r.kv.Range(context.Background(), citronentry.EntriesPrefix)
		is.NoErr(err)
		if len(items) == 0 {
			break // left discovery while the request is still held
		}
		time.Sleep(time.Millisecond)
	}
	select {
	case a := <-got:
		t.Fatalf("request ended before it was released: %d %s", a.status, a.body)
	default:
	}
	close(hold)
	wantOracle(t, <-got, "held", 4, 2)
	<-r.done[0]
	res, err := http.Post("http://"+r.addrs[0]+"/v1/services/m/requests", "application/json", strings.NewReader(`{"customer":"c","prompt":"late"}`))
	if err == nil {
		res.Body.Close()
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	}
}
