package citronentry_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"citrondeck.dev/citrondeck/citronengine"
	"github.com/matryer/is"
)

type streamEvent struct {
	Type   string `json:"type"`
	Offset int    `json:"offset"`
	Token  string `json:"token"`
	Code   string `json:"code"`
}

// stream posts a streaming request and returns its status and a channel of its
// events, which is closed at the end of the stream.
func (r *modelHarness) stream(t *testing.T, body string) (int, <-chan streamEvent) {
	t.Helper()
	res, err := http.Post("http://"+r.addrs[0]+"/v1/services/m/streams", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan streamEvent)
	go func() {
		defer res.Body.Close()
		defer close(events)
		for sc := bufio.NewScanner(res.Body); sc.Scan(); {
			if data, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
				var ev streamEvent
				_ = json.Unmarshal([]byte(data), &ev)
				events <- ev
			}
		}
	}()
	return res.StatusCode, events
}

// TestStreamUnderStageFailure kills the engine of a stage while a caller streams
// an answer. The engine that takes over recomputes the positions before, and none
// of their tokens may be sent again. The tokens must arrive each once, in order
// and equal to the oracle's, and "done" must give their number.
func TestStreamUnderStageFailure(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 8, 1, twoStages, nil)
	r.engines["b1"].dieAfter = 3
	status, events := r.stream(t, `{"customer":"c","prompt":"nest","max_tokens":6}`)
	is.Equal(status, http.StatusOK)
	want := citronengine.Oracle("nest", 8, 6)
	for i, tok := range want {
		ev := <-events
		is.Equal(ev, streamEvent{Type: "token", Offset: i, Token: tok})
	}
	is.Equal(<-events, streamEvent{Type: "done", Offset: 6})
}

// TestStreamEndsWithFailedEvent kills the only engine during a stream. The HTTP
// status has been sent with the first tokens, so the stream must end with
// "failed". If it just ended, a truncated answer would look like a complete one.
func TestStreamEndsWithFailedEvent(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, []engineSpec{{name: "a1", to: 4}}, nil)
	r.engines["a1"].dieAfter = 2
	status, events := r.stream(t, `{"customer":"c","prompt":"nest","max_tokens":6}`)
	is.Equal(status, http.StatusOK)
	var all []streamEvent
	for ev := range events {
		all = append(all, ev)
	}
	is.Equal(len(all), 3)
	is.Equal(all[2], streamEvent{Type: "failed", Offset: 2, Code: "outcome_unknown"})
}

// TestStreamRefusedBeforeFirstToken makes requests fail before their first token:
// one because no engine is reachable, one because its customer is unknown. The
// caller must get the HTTP status of the refusal and not that of a stream.
func TestStreamRefusedBeforeFirstToken(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, []engineSpec{{name: "a1", to: 4}}, nil)
	r.engines["a1"].set(refused)
	status, _ := r.stream(t, `{"customer":"c","prompt":"nest","max_tokens":6}`)
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = r.stream(t, `{"customer":"nobody"}`)
	is.Equal(status, http.StatusForbidden)
}

// TestStreamRejectsNonIdempotentService checks that the entry rejects streams of
// non-idempotent services. A non-idempotent request continues after its caller
// has left, and its tokens would then be written to a connection that may serve
// another caller.
func TestStreamRejectsNonIdempotentService(t *testing.T) {
	is := is.New(t)
	r := newModelHarness(t, 4, 1, []engineSpec{{name: "a1", to: 4}}, nil)
	fleet := modelFleet(4, []engineSpec{{name: "a1", to: 4}}, r.engines)
	before := r.entries[0].Revision()
	r.apply(t, strings.Replace(fleet, "kind: model", "kind: model\n    idempotent: false", 1))
	eventually(t, "the fleet change in effect", func() bool { return r.entries[0].Revision().After(before) })
	a := r.post(0, "/v1/services/m/streams", "key", `{"customer":"c","prompt":"nest"}`)
	is.Equal(a.status, http.StatusBadRequest)
	is.Equal(a.code, "bad_request")
	is.Equal(r.engines["a1"].work.Load(), int64(0))
}
