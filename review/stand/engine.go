package main

// Engines: model engines that hold all layers, and a plain service.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	modelService, plainService = "model-a", "app-b"
	otherModelService          = "model-c"
	modelKind, smallKind       = "a100", "v100"
	layerMB                    = 1750
	layers                     = 16
	heartbeat                  = 1200 * time.Millisecond
	plainSlots, modelSlots     = 6, 192
)

// kindMB is the memory of each kind of engine.
var kindMB = map[string]int{modelKind: 72_000, smallKind: 14_400}

// run is one run of a request at an engine.
type run struct {
	id, engine string
	began      time.Time
}

// runLog holds the runs of all engines.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// of returns the runs of a request.
func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

// workload tells how long requests take.
type workload struct {
	// work is the duration of a plain request. first is the time to the first event of a
	// stream, interval the time between two events, and events their number.
	work, first, interval time.Duration
	events                int
}

// engine is one engine. Its fields above mu do not change once it is listening.
type engine struct {
	id, addr, service, zone string
	kind                    string // empty for the plain service
	store                   *store
	runs                    *runLog
	record                  *record
	workload

	mu       sync.Mutex
	from, to int
	placed   bool
	accepted int64
	beats    int64
	running  int
	ended    bool
	// oversized describes the orders to hold more layers than the engine's memory holds.
	oversized []string
	hs        *http.Server
	// crashOnOrder makes the engine crash for good at its next order, before it answers.
	// crashed is closed then.
	crashOnOrder bool
	crashed      chan struct{}
}

// listen starts the engine at an address, or at a free one if it is empty.
func (e *engine) listen(addr string) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln := mustListen(addr)
	e.addr = ln.Addr().String()
	e.record.printf("engine %s of %s starts at %s, kind %q", e.id, e.service, e.addr, e.kind)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.serve)
	e.hs = &http.Server{Handler: mux}
	go func() { _ = e.hs.Serve(ln) }()
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
}

// crash ends the engine for good. Its entry is removed after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	e.record.printf("engine %s at %s crashes for good", e.id, e.addr)
	_ = e.hs.Close()
	time.AfterFunc(3*heartbeat, func() { e.store.remove("servers/" + e.id) })
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	e.beats++
	entry := map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slotCount": plainSlots, "state": "ready", "coldLeftMs": 0, "sequence": e.beats}
	if e.kind != "" {
		entry["slotCount"], entry["kind"], entry["stage"] = modelSlots, e.kind, "both"
		entry["models"] = []any{map[string]any{"name": "m1", "version": 1, "adapters": []any{}}}
		entry["layers"] = e.layers()
	}
	ended := e.ended
	e.mu.Unlock()
	if ended {
		return
	}
	text, _ := json.Marshal(entry)
	e.store.put("servers/"+e.id, text)
}

// layers returns the layers as they are reported. The caller holds the lock.
func (e *engine) layers() any {
	if !e.placed {
		return nil
	}
	return map[string]int{"from": e.from, "target": e.to}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := map[string]any{"busy": false, "sequence": e.accepted, "waiting": 0, "running": e.running, "pace": 1.0, "kvUsed": 0, "kvTotal": 100_000 * layers}
	if e.kind != "" {
		answer["kind"], answer["layers"], answer["stalled"] = e.kind, e.layers(), []any{}
	}
	writeJSON(w, http.StatusOK, answer)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	if e.isAnother(r) {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o struct {
		Operation    string
		From, Target int
		Expected     *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.mu.Lock()
	if e.crashOnOrder {
		e.mu.Unlock()
		e.record.printf("engine %s gets the order to hold layers %d to %d", e.id, o.From, o.Target)
		e.crash()
		close(e.crashed)
		return
	}
	if need := (o.Target - o.From) * layerMB; need > kindMB[e.kind] {
		e.oversized = append(e.oversized, fmt.Sprintf("engine %s of %s at %s (%s, %d MB) is ordered to hold layers %d to %d, %d MB", e.id, e.service, e.addr, e.kind, kindMB[e.kind], o.From, o.Target, need))
	}
	fits := o.Expected == nil || *o.Expected == e.accepted
	if fits {
		e.from, e.to, e.placed = o.From, o.Target, true
		e.accepted++
	}
	e.mu.Unlock()
	e.record.printf("engine %s of %s is ordered to hold layers %d to %d, accepted: %v", e.id, e.service, o.From, o.Target, fits)
	if !fits {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.beat()
	w.WriteHeader(http.StatusAccepted)
}

// isAnother reports whether a request or an order was meant for another engine.
func (e *engine) isAnother(r *http.Request) bool {
	want := r.Header.Get("X-Expect-Instance")
	return want != "" && want != e.id
}

// serve runs a request, or rejects one that it was not meant for or has no slot for.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if e.isAnother(r) {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	slots := plainSlots
	if e.kind != "" {
		slots = modelSlots
	}
	e.mu.Lock()
	full := e.running >= slots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	if full || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	began := time.Now()
	e.runs.add(run{id, e.id, began})
	w.Header().Set("X-Server-Stamp", "stamp-of-"+e.id)
	if e.kind != "" {
		e.stream(w, r, id)
		return
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.record.printf("engine %s: run of %s ends after %v, its connection was closed", e.id, id, time.Since(began).Round(time.Millisecond))
		return
	}
	_, _ = io.WriteString(w, strings.Repeat("r", 800))
	e.record.printf("engine %s: run of %s is complete after %v", e.id, id, time.Since(began).Round(time.Millisecond))
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	var next int
	_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &next)
	wait := e.first
	for next++; next <= e.events; next++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			e.record.printf("engine %s: run of %s is cut before event %d of %d", e.id, id, next, e.events)
			return
		}
		wait = e.interval
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, strings.Repeat("t", 40))
		_ = http.NewResponseController(w).Flush()
	}
	e.record.printf("engine %s: run of %s is complete", e.id, id)
}
