package main

// The platform's store: a key-value service with leases and watches.

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyItems is how many changes a watch can go back.
const historyItems = 10_000

type item struct {
	Key            string `json:"key"`
	Payload        []byte `json:"payload,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is safe for concurrent use.
type store struct {
	mu        sync.Mutex
	revision  int64
	nextLease int64
	items     map[string]item
	leases    map[int64]*lease
	history   []item
	changed   chan struct{}
}

func newStore() *store {
	s := &store{revision: 100, nextLease: 7000, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// listen serves the store on a loopback address and returns the address.
func (s *store) listen() string {
	ln := mustListen("127.0.0.1:0")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(ln, mux) }()
	return ln.Addr().String()
}

func mustListen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fatalf("listen on %s: %v", addr, err)
	}
	return ln
}

// record appends a change. The caller holds the lock.
func (s *store) record(it item) {
	s.history = append(s.history, it)
	if len(s.history) > historyItems {
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putLocked(key string, payload []byte, leaseID int64) {
	old, had := s.items[key]
	it := item{Key: key, Payload: payload, Revision: s.revision, CreateRevision: s.revision, Lease: leaseID}
	if had {
		it.CreateRevision = old.CreateRevision
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// put writes a key as the operator and the engines do.
func (s *store) put(key string, payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, payload, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeLocked(key)
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLocked(id)
		}
	}
}

func (s *store) endLocked(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.removeLocked(key)
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]int64{"storeRevision": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"storeRevision"`
	}{it, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "storeRevision": revision}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item
		Writes   []item
		Remove   []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, it := range t.Writes {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, it := range t.Writes {
		s.putLocked(it.Key, it.Payload, it.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TTLMs int64 }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": s.nextLease, "ttlMs": in.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}
