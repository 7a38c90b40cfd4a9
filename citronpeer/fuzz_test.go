package citronpeer_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/fxamacker/cbor/v2"
)

// FuzzPeerMessage guards against a node that crashes on a message of another process:
// any bytes sent as an exchange or an update are answered or rejected, and an accepted
// message can be read and encoded again.
func FuzzPeerMessage(f *testing.F) {
	for _, v := range []any{
		nil, 7, "text",
		[]int{1},
		map[string]any{"from": member(1), "engines": map[string]any{"revision": int64(1) << 62}},
		map[string]any{"engines": map[string]any{"revision": -5}},
		map[string]any{"engines": citronpeer.ListDocument{Revision: citronkv.RevisionOf(3, 9), Base: citronkv.RevisionOf(3, 8), Body: []byte("[]")}},
		map[string]any{"digest": citronpeer.Digest{Fingerprints: []citronpeer.Fingerprint{1, 2}, Heartbeats: []int64{-1}}},
	} {
		data, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		mux := http.NewServeMux()
		citronpeer.Handle(mux, answerFunc(func(state citronpeer.GossipState) citronpeer.GossipState {
			state.Diff.Age(0)
			state.Digest.Heartbeat(0)
			return state
		}))
		for _, procedure := range []string{"/citron.peer/Exchange", "/citron.peer/News"} {
			r := httptest.NewRequest(http.MethodPost, procedure, bytes.NewReader(data))
			r.Header.Set("Content-Type", "application/cbor")
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			if w.Code != http.StatusOK && w.Code < http.StatusBadRequest {
				t.Fatalf("%s responded with status %d, want 200 or an error status (400 or higher)", procedure, w.Code)
			}
		}
	})
}
