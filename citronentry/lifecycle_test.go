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

// oneStage is a chain of one stage with two interchangeable engines.
var oneStage = []engineSpec{{name: "a1", from: 0, to: 4}, {name: "a2", from: 0, to: 4}}

// TestLeavingEngineGetsNoNewWork simulates an engine that begins to leave
// before the instance list marks it as leaving. It rejects new requests with a
// leaving header. The entry must serve the first of them on the other engine and
// send the leaving engine no more: callers see only complete responses, and the
// engine rejects at most one request.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, oneStage, nil)
	r.engines["a1"].engine.SetLeaving()
	for i := range 10 {
		wantOracle(t, r.ask(0, "p"+string(rune('a'+i)), 2), "p"+string(rune('a'+i)), 4, 2)
	}
	is.True(r.engines["a1"].engine.Rejected.Load() <= 1) // rejects one request, then is skipped
	is.Equal(r.engines["a1"].engine.Steps.Load(), int64(0))
}

// TestInstanceListLeavingStopsNewWork marks an engine as leaving in the
// instance list while the engine itself still accepts work. Once the entry
// has polled the list, no new request may reach that engine.
func TestInstanceListLeavingStopsNewWork(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, oneStage, nil)
	r.instances.Store(&[]citronkv.Instance{{Name: "a1", State: citronkv.Leaving}})
	for len(r.polled) > 0 { // discard polls that may have read the old list
		<-r.polled
	}
	for range 2 { // the second poll starts 500 ms after the first one's result was handed to the control loop
		<-r.polled
	}
	for i := range 6 {
		wantOracle(t, r.ask(0, "q"+string(rune('a'+i)), 2), "q"+string(rune('a'+i)), 4, 2)
	}
	is.Equal(r.engines["a1"].engine.Steps.Load(), int64(0))
}

// TestGracefulShutdownFinishesRequestsInFlight stops an entry with a request
// in flight. The entry must first leave discovery: it must delete its key itself,
// as no lease expires in this test. It must then finish the request, and the
// caller gets the complete response. A later request to the old address cannot
// connect or gets status 503.
func TestGracefulShutdownFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, oneStage, nil)
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
			break // the entry left discovery while the request is in flight
		}
		time.Sleep(time.Millisecond)
	}
	select {
	case a := <-got:
		t.Fatalf("request ended before its engine was released: status %d, body %s", a.status, a.body)
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
