package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

// storeHandler serves the protocol of the platform's store from the project's own stand-in.
type storeHandler struct {
	kv *citronkv.Server
	// first is the revision of the store before its first change.
	first int64
}

type storeItem struct {
	Key      string `json:"key"`
	Payload  []byte `json:"payload"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func (s *storeHandler) items(items []citronkv.Item) []storeItem {
	out := make([]storeItem, len(items))
	for i, it := range items {
		out[i] = storeItem{it.Key, it.Value, s.revision(it.Revision), int64(it.Lease), it.Deleted}
	}
	return out
}

// revision returns a revision as the store tells it.
func (s *storeHandler) revision(r citronkv.Revision) int64 { return s.first + r.Count() }

func (s *storeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64) // nodes send numbers only
	return n
}

func (s *storeHandler) call(r *http.Request) (any, error) {
	q, ctx := r.URL.Query(), r.Context()
	renewed, isRenewal := strings.CutPrefix(r.URL.Path, "/kv-keep/")
	ended, isEnd := strings.CutPrefix(r.URL.Path, "/kv-lease-end/")
	switch {
	case r.URL.Path == "/kv-key":
		it, err := s.kv.Get(ctx, q.Get("key"))
		return s.items([]citronkv.Item{it})[0], err
	case r.URL.Path == "/kv-range":
		items, rev, err := s.kv.Range(ctx, q.Get("prefix"))
		return map[string]any{"items": s.items(items), "truncated": false, "storeRevision": s.revision(rev)}, err
	case r.URL.Path == "/kv-watch":
		return s.watch(ctx, q.Get("prefix"), number(q.Get("after")), number(q.Get("waitMs")))
	case r.URL.Path == "/kv-txn":
		return s.commit(ctx, r)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTLMS int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			return nil, err
		}
		lease, err := s.kv.Grant(ctx, time.Duration(in.TTLMS)*time.Millisecond)
		return map[string]any{"lease": lease, "ttlMs": in.TTLMS}, err
	case isRenewal:
		return struct{}{}, s.kv.KeepAlive(ctx, citronkv.LeaseID(number(renewed)))
	case isEnd:
		return struct{}{}, s.kv.Revoke(ctx, citronkv.LeaseID(number(ended)))
	}
	return nil, citronkv.ErrNotFound
}

func (s *storeHandler) watch(ctx context.Context, prefix string, after, waitMS int64) (any, error) {
	limit, cancel := context.WithTimeout(ctx, time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	from := citronkv.RevisionOf(0, after-s.first)
	items, rev, err := s.kv.Watch(limit, prefix, from)
	if err != nil && limit.Err() != nil {
		items, rev, err = nil, from, nil // no change in time
	}
	return map[string]any{"events": s.items(items), "storeRevision": s.revision(rev)}, err
}

// commit runs a transaction of one key, the only kind that nodes send.
func (s *storeHandler) commit(ctx context.Context, r *http.Request) (any, error) {
	var t struct {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return nil, err
	}
	expect := func(key string) citronkv.Revision {
		for _, e := range t.Expected {
			switch {
			case e.Key != key:
			case e.Revision == 0:
				return citronkv.Absent
			default:
				return citronkv.RevisionOf(0, e.Revision-s.first)
			}
		}
		return citronkv.AnyRevision
	}
	var last citronkv.Revision
	for _, p := range t.Writes {
		rev, err := s.kv.Put(ctx, p.Key, p.Payload, expect(p.Key), citronkv.LeaseID(p.Lease))
		if err != nil {
			return nil, err
		}
		last = rev
	}
	for _, key := range t.Remove {
		if err := s.kv.Delete(ctx, key, expect(key)); err != nil {
			return nil, err
		}
	}
	return map[string]any{"revision": s.revision(last)}, nil
}
