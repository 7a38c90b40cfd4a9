package main

// An engine of the plain service as a process of its own, so that it can be killed. Its
// answers have no length and end with their connection.

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
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
)

// serveEngine is the process: stand engine ID.
func serveEngine(id string) {
	ln := mustListen("127.0.0.1:0")
	fmt.Println("listens", ln.Addr())
	h := &engineHost{id: id}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", h.report)
	mux.HandleFunc("/", h.serve)
	_ = http.Serve(ln, mux)
}

type engineHost struct {
	id      string
	mu      sync.Mutex
	running int
}

func (h *engineHost) report(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"busy": false, "sequence": 0, "waiting": 0, "running": h.running, "pace": 1.0})
}

// begin takes a slot, if there is one.
func (h *engineHost) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running >= plainSlots {
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
	time.Sleep(firstHalfAfter)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	half := strings.Repeat("r", answerBytes/2)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-of-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", id, h.id, half)
	time.Sleep(secondHalfAfter - firstHalfAfter)
	_, _ = io.WriteString(conn, half)
	fmt.Println("completes", id)
}

// hostedEngine is such a process, and its entry in the store.
type hostedEngine struct {
	id, zone, addr string
	f              *fleet
	cmd            *exec.Cmd
	mu             sync.Mutex
	dead           bool
	begun, whole   map[string]time.Time
}

func startHostedEngine(f *fleet, id, zone string) *hostedEngine {
	cmd := exec.Command(os.Args[0], "engine", id)
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fatalf("start engine: %v", err)
	}
	e := &hostedEngine{id: id, zone: zone, f: f, cmd: cmd, begun: map[string]time.Time{}, whole: map[string]time.Time{}}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		fatalf("engine %s does not listen", id)
	}
	e.addr = strings.TrimPrefix(lines.Text(), "listens ")
	f.record.printf("engine %s starts at %s in %s, process %d", id, e.addr, zone, cmd.Process.Pid)
	go func() {
		for lines.Scan() {
			what, request, _ := strings.Cut(lines.Text(), " ")
			f.record.printf("engine %s %s %s", id, what, request)
			e.mu.Lock()
			if what == "begins" {
				e.begun[request] = time.Now()
			} else {
				e.whole[request] = time.Now()
			}
			e.mu.Unlock()
		}
		_ = cmd.Wait()
	}()
	e.beat(1)
	go func() {
		for n := int64(2); ; n++ {
			time.Sleep(heartbeat)
			e.beat(n)
		}
	}()
	return e
}

// beat writes the engine's entry.
func (e *hostedEngine) beat(n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		e.f.store.put("servers/"+e.id, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slotCount":%d,"state":"ready","coldLeftMs":0,"sequence":%d}`, plainService, e.addr, e.zone, plainSlots, n)))
	}
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
