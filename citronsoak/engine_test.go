package citronsoak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

const (
	// streamEvents is the number of events of a stream, and eventInterval the time
	// between two events.
	streamEvents  = 8
	eventInterval = 40 * time.Millisecond
	// plainCallTime is the duration of a plain call at an engine.
	plainCallTime = 15 * time.Millisecond
)

// drainDeadline is the time that nodes have to stop sending requests to an engine after
// its entry was removed.
const drainDeadline = 2 * time.Second

// runLog records what reached the engines, over all engines.
type runLog struct {
	mu sync.Mutex
	// counts holds the number of runs of each request id.
	counts map[string]int
	// lateArrivals describes the requests that reached an engine drainDeadline or more
	// after the removal of its entry.
	lateArrivals []string
	// crashes holds the runs of the request that crashes engines, oldest first.
	crashes []crashedRun
}

// crashedRun is one run of a request that crashes engines.
type crashedRun struct {
	id, engine string
	at         time.Time // when the run began
}

// recordCrash records that a run of the request that crashes engines began.
func (r *runLog) recordCrash(id, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, crashedRun{id, engine, time.Now()})
}

// recordLate records a request that reached an engine although its entry had been
// removed. since is the time since the removal; a request that arrives before
// drainDeadline is not recorded.
func (r *runLog) recordLate(id, engine string, since time.Duration) {
	if since < drainDeadline {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateArrivals = append(r.lateArrivals, fmt.Sprintf("%s at %s after %v", id, engine, since))
}

// recordRun counts a run of request id.
func (r *runLog) recordRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
}

// count returns the number of runs of request id.
func (r *runLog) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

// engine is one incarnation of a fake engine. It serves a model if it has a kind,
// else a plain service.
type engine struct {
	id, addr, service, kind string
	store                   citronkv.Store
	runs                    *runLog
	hs                      *http.Server
	mu                      sync.Mutex
	// from and to are the layer range [from, to) that the engine holds.
	from, to int
	// accepted counts the orders that the engine accepted, heartbeats is its heartbeat
	// counter, and startedMS is its start time in Unix milliseconds.
	accepted, heartbeats, startedMS int64
	leaving, stopped                bool
	// removedAt is when the entry was removed while the engine went on serving; zero
	// while the entry is in the store.
	removedAt time.Time
	// limit is the rate limit that the engine announces.
	limit limit
	// notices are the cool-downs that the engine asks for, and whether it says that it is
	// leaving.
	notices notices
	// arrivals records what reaches the engines of its service. While refusing is set, the
	// engine refuses a share of its requests.
	arrivals *arrivals
	refusing *atomic.Bool
	// restart starts a replacement after a request has crashed the engine.
	restart func()
	// front is the proxy in front of the engine, or nil.
	front net.Listener
}

// startEngine starts an engine on a loopback port and writes its entry.
func startEngine(t *testing.T, store citronkv.Store, r *runLog, links *engineLinks, id, service, kind string) *engine {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{id: id, addr: ln.Addr().String(), service: service, kind: kind, store: store, runs: r, startedMS: time.Now().UnixMilli()}
	if links != nil {
		e.front = links.front(t, e.addr)
		e.addr = e.front.Addr().String()
		t.Cleanup(func() { _ = e.front.Close() })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/report", e.report)
	mux.HandleFunc("/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.hs = &http.Server{Handler: mux}
	go func() { _ = e.hs.Serve(ln) }()
	e.register()
	return e
}

// register writes the engine's entry to the store with the next heartbeat.
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
		panic(err) // unreachable: the entry holds only values that JSON can encode
	}
	_, _ = e.store.Put(context.Background(), "servers/"+e.id, text, citronkv.AnyRevision, 0)
}

// crash stops the engine at once. Its entry is deleted a second later, as if it had
// expired.
func (e *engine) crash() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	if e.front != nil {
		_ = e.front.Close()
	}
	_ = e.hs.Close()
	time.AfterFunc(time.Second, func() {
		_ = e.store.Delete(context.Background(), "servers/"+e.id, citronkv.AnyRevision)
	})
}

// crashDuringRun begins the answer to a request, crashes the engine while the
// request runs, and starts a replacement.
func (e *engine) crashDuringRun(w http.ResponseWriter, id string) {
	e.runs.recordCrash(id, e.id)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(crashDelay)
	e.crash()
	e.mu.Lock()
	restart := e.restart
	e.mu.Unlock()
	time.AfterFunc(restartDelay, restart)
}

// leave announces in the entry that the engine is leaving. The engine serves for a
// while longer and then stops.
func (e *engine) leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.register()
	time.AfterFunc(2500*time.Millisecond, e.crash)
}

// removeEntry deletes the engine's entry without announcing that the engine leaves.
// The engine keeps serving, well beyond drainDeadline.
func (e *engine) removeEntry() {
	_ = e.store.Delete(context.Background(), "servers/"+e.id, citronkv.AnyRevision)
	e.mu.Lock()
	e.removedAt = time.Now()
	e.mu.Unlock()
}

// keepsEntry reports whether the engine is running and its entry was not removed.
func (e *engine) keepsEntry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stopped && e.removedAt.IsZero()
}

// sinceRemoval returns the time since the engine's entry was removed, or zero if it
// was not.
func (e *engine) sinceRemoval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.removedAt.IsZero() {
		return 0
	}
	return time.Since(e.removedAt)
}

// report answers a node's request for the state of the engine.
func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"born": e.startedMS, "kind": e.kind, "sequence": e.accepted, "pace": 1.0, "layers": map[string]int{"from": e.from, "target": e.to}})
}

// order accepts an order to hold a layer range, unless the order expects a count of
// accepted orders other than the current one. It answers other orders with status 404.
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

// serve answers a request that a node has forwarded.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	e.mu.Lock()
	a, refusing := e.arrivals, e.refusing
	e.mu.Unlock()
	a.recordArrival(id)
	if refusing.Load() && rand.Float64() < refusedShare {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.notices.recordArrival(h, r) {
		w.WriteHeader(http.StatusServiceUnavailable)
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
	if body, _ := io.ReadAll(r.Body); string(body) == crashBody || hasCrashingPart(r) {
		e.crashDuringRun(w, id)
		return
	}
	begin, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without the header: from the first event
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

// answerText returns the body of the plain answer to request id.
func answerText(id string) string { return "answer to " + id }

// eventText returns event i of the stream that answers request id.
func eventText(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i) }
