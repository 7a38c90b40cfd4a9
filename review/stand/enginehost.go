package main

// An engine as a process of its own, so that it can be killed. Its answers have no length and
// end with their connection.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerBytes is the length of an answer. Half of it is written at firstHalfAfter, the rest
	// at secondHalfAfter.
	answerBytes     = 800
	firstHalfAfter  = 20 * time.Millisecond
	secondHalfAfter = 170 * time.Millisecond
	// A stream has hostedEvents events, the first after firstEventAfter.
	hostedEvents    = 69
	firstEventAfter = 80 * time.Millisecond
	eventInterval   = 20 * time.Millisecond
)

// serveEngine is the process: stand engine ID, or stand engine ID KIND for a model engine.
func serveEngine(id, kind string) {
	ln := mustListen("127.0.0.1:0")
	fmt.Println("listens", ln.Addr())
	h := &engineHost{id: id, kind: kind}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", h.report)
	mux.HandleFunc("POST /order", h.order)
	mux.HandleFunc("/", h.serve)
	_ = http.Serve(ln, mux)
}

type engineHost struct {
	id, kind string
	mu       sync.Mutex
	running  int
	accepted int64
	from, to int
}

// order accepts an order to hold layers.
func (h *engineHost) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string
		From, Target int
		Expected     *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Expected != nil && *o.Expected != h.accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	h.accepted++
	h.from, h.to = o.From, o.Target
	fmt.Println("holds", o.From, o.Target)
	w.WriteHeader(http.StatusAccepted)
}

func (h *engineHost) report(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer := map[string]any{"busy": false, "sequence": h.accepted, "waiting": 0, "running": h.running, "pace": 1.0, "kvUsed": 0, "kvTotal": 100_000 * layers}
	if h.kind != "" {
		answer["kind"], answer["layers"], answer["stalled"] = h.kind, heldLayers(h.from, h.to), []any{}
	}
	writeJSON(w, http.StatusOK, answer)
}

// heldLayers returns a layer range as it is reported: nil before the first order.
func heldLayers(from, to int) any {
	if from == to {
		return nil
	}
	return map[string]int{"from": from, "target": to}
}

// begin takes a slot, if there is one.
func (h *engineHost) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running >= plainSlots && (h.kind == "" || h.running >= modelSlots) {
		return false
	}
	h.running++
	return true
}

func (h *engineHost) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

func (h *engineHost) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != h.id {
		w.Header().Set("X-Instance-Id", h.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !h.begin() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer h.end()
	fmt.Println("begins", id)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-of-%s\r\nConnection: close\r\n", id, h.id)
	if h.kind != "" {
		h.stream(conn, head, r.Header.Get("Last-Event-Id"))
	} else {
		time.Sleep(firstHalfAfter)
		half := strings.Repeat("r", answerBytes/2)
		_, _ = io.WriteString(conn, head+"\r\n"+half)
		time.Sleep(secondHalfAfter - firstHalfAfter)
		_, _ = io.WriteString(conn, half)
	}
	fmt.Println("completes", id)
}

// stream writes the events after the last one that the caller has.
func (h *engineHost) stream(conn net.Conn, head, last string) {
	next, _ := strconv.Atoi(last)
	time.Sleep(firstEventAfter)
	_, err := io.WriteString(conn, head+"Content-Type: text/event-stream\r\n\r\n")
	for next++; next <= hostedEvents && err == nil; next++ {
		_, err = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", next, strings.Repeat("t", 40))
		if next < hostedEvents {
			time.Sleep(eventInterval)
		}
	}
}

// hostedEngine is such a process, and its entry in the store.
type hostedEngine struct {
	id, kind, zone, addr string
	f                    *fleet
	cmd                  *exec.Cmd
	mu                   sync.Mutex
	dead                 bool
	begun, whole         map[string]time.Time
	from, to             int
	beats                int64
}

func startHostedEngine(f *fleet, id, kind, zone string) *hostedEngine {
	cmd := exec.Command(os.Args[0], "engine", id, kind)
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fatalf("start engine: %v", err)
	}
	e := &hostedEngine{id: id, kind: kind, zone: zone, f: f, cmd: cmd, begun: map[string]time.Time{}, whole: map[string]time.Time{}}
	f.addHosted(cmd.Process)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		fatalf("engine %s does not listen", id)
	}
	e.addr = strings.TrimPrefix(lines.Text(), "listens ")
	f.record.printf("engine %s starts at %s in %s, process %d", id, e.addr, zone, cmd.Process.Pid)
	go func() {
		for lines.Scan() {
			what, rest, _ := strings.Cut(lines.Text(), " ")
			f.record.printf("engine %s %s %s", id, what, rest)
			e.note(what, rest)
		}
		_ = cmd.Wait()
	}()
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	return e
}

// note records a line of the process.
func (e *hostedEngine) note(what, rest string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch what {
	case "begins":
		e.begun[rest] = time.Now()
	case "completes":
		e.whole[rest] = time.Now()
	case "holds":
		_, _ = fmt.Sscan(rest, &e.from, &e.to)
		go e.beat()
	}
}

// beat writes the engine's entry.
func (e *hostedEngine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	e.beats++
	entry := map[string]any{"service": plainService, "address": e.addr, "zone": e.zone, "version": "v1", "slotCount": plainSlots, "state": "ready", "coldLeftMs": 0, "sequence": e.beats}
	if e.kind != "" {
		entry["service"], entry["slotCount"], entry["kind"], entry["layers"] = modelService, modelSlots, e.kind, heldLayers(e.from, e.to)
	}
	text, _ := json.Marshal(entry)
	e.f.store.put("servers/"+e.id, text)
}

// crash kills the process. Its entry is removed after three heartbeats.
func (e *hostedEngine) crash() {
	e.mu.Lock()
	e.dead = true
	e.mu.Unlock()
	e.f.record.printf("engine %s crashes: its process is killed", e.id)
	_ = e.cmd.Process.Kill()
	time.AfterFunc(3*heartbeat, func() { e.f.store.remove("servers/" + e.id) })
}

// completed reports whether the engine has written the whole answer to a request.
func (e *hostedEngine) completed(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.whole[request]
	return ok
}

func (e *hostedEngine) hasRun(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.begun[request]
	return ok
}
