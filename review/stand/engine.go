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
	modelKind                  = "a100"
	layers                     = 8
	heartbeat                  = 1200 * time.Millisecond
	plainSlots, modelSlots     = 6, 192
)

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
	model                   bool
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
}

// listen starts the engine.
func (e *engine) listen() {
	ln := mustListen("127.0.0.1:0")
	e.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.serve)
	go func() { _ = http.Serve(ln, mux) }()
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	e.beats++
	entry := map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slotCount": plainSlots, "state": "ready", "coldLeftMs": 0, "sequence": e.beats}
	if e.model {
		entry["slotCount"], entry["kind"], entry["stage"] = modelSlots, modelKind, "both"
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
	if e.model {
		answer["kind"], answer["layers"], answer["stalled"] = modelKind, e.layers(), []any{}
	}
	writeJSON(w, http.StatusOK, answer)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
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
	fits := o.Expected == nil || *o.Expected == e.accepted
	if fits {
		e.from, e.to, e.placed = o.From, o.Target, true
		e.accepted++
	}
	e.mu.Unlock()
	e.record.printf("engine %s is ordered to hold layers %d to %d, accepted: %v", e.id, o.From, o.Target, fits)
	if !fits {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.beat()
	w.WriteHeader(http.StatusAccepted)
}

// serve runs a request, or rejects one that it was not meant for or has no slot for.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	slots := plainSlots
	if e.model {
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
	if e.model {
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
