package citronsoak_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

// storeServer serves the platform's store protocol from a citronkv.Server.
type storeServer struct{ kv *citronkv.Server }

// newStore returns a fake store that runs until ctx is canceled.
func newStore(ctx context.Context) *storeServer {
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	go kv.Run(ctx)
	return &storeServer{kv: kv}
}

// wireItem is an item of the store in the JSON of the store protocol.
type wireItem struct {
	Key      string `json:"key"`
	Payload  []byte `json:"payload"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func wire(items []citronkv.Item) []wireItem {
	out := make([]wireItem, len(items))
	for i, it := range items {
		out[i] = wireItem{it.Key, it.Value, it.Revision.Count(), int64(it.Lease), it.Deleted}
	}
	return out
}

// txn is the body of a transaction in the store protocol.
type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Writes []struct {
		Key     string `json:"key"`
		Payload []byte `json:"payload"`
		Lease   int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The era is the number of times the store has been restored from an older copy.
	// A call during which the store is restored reports the era before that.
	w.Header().Set("Store-Era", strconv.FormatInt(s.kv.Era(), 10))
	v, err := s.call(r)
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, citronkv.ErrNotFound), errors.Is(err, citronkv.ErrLeaseExpired):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, citronkv.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, citronkv.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// call runs one call of the store protocol and returns the JSON value of its answer.
func (s *storeServer) call(r *http.Request) (any, error) {
	q, ctx := r.URL.Query(), r.Context()
	renewed, isRenewal := strings.CutPrefix(r.URL.Path, "/kv-keep/")
	ended, isEnd := strings.CutPrefix(r.URL.Path, "/kv-lease-end/")
	switch {
	case r.URL.Path == "/kv-key":
		it, err := s.kv.Get(ctx, q.Get("key"))
		return wire([]citronkv.Item{it})[0], err
	case r.URL.Path == "/kv-range":
		items, rev, err := s.kv.Range(ctx, q.Get("prefix"))
		return map[string]any{"items": wire(items), "storeRevision": rev.Count()}, err
	case r.URL.Path == "/kv-watch":
		return s.watch(ctx, q.Get("prefix"), number(q.Get("after")), number(q.Get("waitMs")))
	case r.URL.Path == "/kv-txn":
		return s.commit(ctx, r)
	case r.URL.Path == "/kv-lease":
		lease, err := s.kv.Grant(ctx, 2500*time.Millisecond)
		return map[string]any{"lease": lease, "ttlMs": 2500}, err
	case isRenewal:
		return struct{}{}, s.kv.KeepAlive(ctx, citronkv.LeaseID(number(renewed)))
	case isEnd:
		return struct{}{}, s.kv.Revoke(ctx, citronkv.LeaseID(number(ended)))
	}
	return nil, citronkv.ErrNotFound
}

func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // not reached: nodes send only numbers here
	}
	return n
}

// watch waits at most waitMS milliseconds for changes below prefix after a revision.
func (s *storeServer) watch(ctx context.Context, prefix string, after, waitMS int64) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	from := citronkv.RevisionOf(s.kv.Era(), after)
	items, rev, err := s.kv.Watch(ctx, prefix, from)
	if err != nil && ctx.Err() != nil {
		items, rev, err = nil, from, nil // no change arrived in time
	}
	return map[string]any{"events": wire(items), "storeRevision": rev.Count()}, err
}

// commit runs a transaction. It is not atomic: the expected revision of a key is checked
// when that key is written or removed, after earlier keys were changed. It is not checked
// if the transaction neither writes nor removes the key.
func (s *storeServer) commit(ctx context.Context, r *http.Request) (any, error) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return nil, err
	}
	expect := map[string]citronkv.Revision{}
	for _, e := range t.Expected {
		expect[e.Key] = citronkv.Absent
		if e.Revision != 0 {
			expect[e.Key] = citronkv.RevisionOf(s.kv.Era(), e.Revision)
		}
	}
	revision := func(key string) citronkv.Revision {
		if rev, ok := expect[key]; ok {
			return rev
		}
		return citronkv.AnyRevision
	}
	var last citronkv.Revision
	for _, p := range t.Writes {
		rev, err := s.kv.Put(ctx, p.Key, p.Payload, revision(p.Key), citronkv.LeaseID(p.Lease))
		if err != nil {
			return nil, err
		}
		last = rev
	}
	for _, key := range t.Remove {
		if err := s.kv.Delete(ctx, key, revision(key)); err != nil {
			return nil, err
		}
	}
	return map[string]any{"revision": last.Count()}, nil
}
