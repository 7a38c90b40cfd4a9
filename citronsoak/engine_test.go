package citronsoak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

const (
	// streamEvents is how many events a stream has, eventEvery the time
	// between two.
	streamEvents  = 8
	eventInterval = 40 * time.Millisecond
	// workTime is how long a plain call takes.
	plainCallTime = 15 * time.Millisecond
)

// drainPromise is the time after which an engine whose entry has gone gets no
// new work.
const drainDeadline = 2 * time.Second

// runs counts, over all engines, how often each request ran.
type runLog struct {
	mu     sync.Mutex
	counts map[string]int
	// late are requests that reached an engine after drainPromise.
	lateArrivals []string
	// crashes are the runs of a request that crashes engines.
	crashes []crashedRun
}

// crashedRun is one run of a request that crashes engines: its id, and when it
// began.
type crashedRun struct {
	id string
	at time.Time
}

func (r *runLog) recordCrash(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, crashedRun{id, time.Now()})
}

// arrived notes when a request reached an engine whose entry had gone.
func (r *runLog) recordLate(id, engine string, since time.Duration) {
	if since < drainDeadline {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateArrivals = append(r.lateArrivals, fmt.Sprintf("%s at %s after %v", id, engine, since))
}

func (r *runLog) recordRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
}

func (r *runLog) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

// engine is one incarnation of an engine: a model's if it has a kind, else of
// a plain service.
type engine struct {
	id, addr, service, kind         string
	store                           citronkv.Store
	runs                            *runLog
	hs                              *http.Server
	mu                              sync.Mutex
	from, to                        int
	accepted, heartbeats, startedMS int64
	leaving, stopped                bool
	// gone is when its entry went without a word; zero while it is there.
	removedAt time.Time
	// limit is the rate limit that it names.
	limit limit
	// restart brings another engine in the place of one that a request crashed.
	restart func()
}

func startEngine(t *testing.T, store citronkv.Store, r *runLog, id, service, kind string) *engine {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{id: id, addr: ln.Addr().String(), service: service, kind: kind, store: store, runs: r, startedMS: time.Now().UnixMilli()}
	mux := http.NewServeMux()
	mux.HandleFunc("/report", e.report)
	mux.HandleFunc("/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.hs = &http.Server{Handler: mux}
	go func() { _ = e.hs.Serve(ln) }()
	e.register()
	return e
}

// register writes the engine's entry; a store that is away gets it later.
func (e *engine) register() {
	e.mu.Lock()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	e.heartbeats++
	entry := map[string]any{
		"service": e.service, "address": e.addr, "zone": "z", "state": state, "slotCount": 64,
		"version": "v1", "coldLeftMs": 0, "sequence": e.heartbeats, "born": e.startedMS,
	}
	if e.kind != "" {
		entry["kind"] = e.kind
		entry["layers"] = map[string]int{"from": e.from, "target": e.to}
	}
	e.mu.Unlock()
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err) // plain values
	}
	_, _ = e.store.Put(context.Background(), "servers/"+e.id, text, citronkv.AnyRevision, 0)
}

// crash ends the engine; its entry goes a second later.
func (e *engine) crash() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	_ = e.hs.Close()
	time.AfterFunc(time.Second, func() {
		_ = e.store.Delete(context.Background(), "servers/"+e.id, citronkv.AnyRevision)
	})
}

// crashUnder has a request that has begun to run crash the engine.
func (e *engine) crashDuringRun(w http.ResponseWriter, id string) {
	e.runs.recordCrash(id)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(crashDelay)
	e.crash()
	e.mu.Lock()
	restart := e.restart
	e.mu.Unlock()
	time.AfterFunc(restartDelay, restart)
}

// leave has the engine say that it leaves, serve on for a while, and end.
func (e *engine) leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.register()
	time.AfterFunc(2500*time.Millisecond, e.crash)
}

// vanish has the engine's entry go without a word. It serves on, well beyond
// drainPromise.
func (e *engine) removeEntry() {
	_ = e.store.Delete(context.Background(), "servers/"+e.id, citronkv.AnyRevision)
	e.mu.Lock()
	e.removedAt = time.Now()
	e.mu.Unlock()
}

// writes reports whether the engine keeps its entry.
func (e *engine) keepsEntry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stopped && e.removedAt.IsZero()
}

// sinceGone is how long the engine's entry has been missing, zero if it is there.
func (e *engine) sinceRemoval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.removedAt.IsZero() {
		return 0
	}
	return time.Since(e.removedAt)
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"born": e.startedMS, "kind": e.kind, "sequence": e.accepted, "pace": 1.0, "layers": map[string]int{"from": e.from, "target": e.to}})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string
		From, Target int
		Expected     *int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.mu.Lock()
	fits := o.Expected == nil || *o.Expected == e.accepted
	if fits {
		e.from, e.to = o.From, o.Target
		e.accepted++
	}
	e.mu.Unlock()
	if !fits {
		w.WriteHeader(http.StatusConflict)
		return
	}
	go e.register()
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Server-Stamp", e.id)
	e.limit.recordArrival(h, r)
	e.runs.recordRun(id)
	e.runs.recordLate(id, e.id, e.sinceRemoval())
	if e.kind == "" {
		time.Sleep(plainCallTime)
		_, _ = fmt.Fprint(w, answerText(id))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if body, _ := io.ReadAll(r.Body); string(body) == crashBody {
		e.crashDuringRun(w, id)
		return
	}
	begin, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none: from the first
	for i := begin + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprint(w, eventText(id, i)); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// answerTo and eventOf are what a request with an id is answered.
func answerText(id string) string { return "answer to " + id }

func eventText(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i) }
