package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// workTime is how long a plain engine works on a request.
	workTime = 15 * time.Millisecond
)

// entry is what an engine writes to the store about itself.
type entry struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	SlotCount  int    `json:"slotCount"`
	State      string `json:"state"`
	ColdLeftMS int    `json:"coldLeftMs"`
	Sequence   int64  `json:"sequence"`
	Born       int64  `json:"born"`
}

// registration keeps the entry of an engine in the store.
type registration struct {
	l   *lab
	key string

	mu    sync.Mutex
	entry entry
}

func (l *lab) register(id string, e entry) *registration {
	r := &registration{l: l, key: "servers/" + id, entry: e}
	r.write()
	go func() {
		for l.ctx.Err() == nil {
			time.Sleep(heartbeat)
			r.write()
		}
	}()
	return r
}

// write writes the entry with the next heartbeat.
func (r *registration) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry.Sequence++
	if err := r.l.put(r.key, r.entry); err != nil && r.l.ctx.Err() == nil {
		r.l.note("entry %s: %v", r.key, err)
	}
}

// drain reports that the engine is draining, and returns when the store acknowledged it.
func (r *registration) drain() time.Time {
	r.mu.Lock()
	r.entry.State = "draining"
	r.mu.Unlock()
	r.write()
	at := time.Now()
	r.l.note("%s: draining is acknowledged", r.key)
	return at
}

// plainEngine is an engine of a plain service in this process.
type plainEngine struct {
	id   string
	born int64
	// onArrival is called with each request that is not a check.
	onArrival func(id string)
}

func (e *plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if answerChecks(w, r, e.id, e.born) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	if e.onArrival != nil {
		e.onArrival(id)
	}
	time.Sleep(workTime)
	body := "done " + id + "\n"
	setAnswerHead(w, e.id, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func setAnswerHead(w http.ResponseWriter, engine, id string) {
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Stamp", "stand."+engine+"."+id)
	w.Header().Set("Content-Type", "text/plain")
}

// answerChecks answers reports, health checks and requests for another instance.
func answerChecks(w http.ResponseWriter, r *http.Request, id string, born int64) bool {
	switch want := r.Header.Get("X-Expect-Instance"); {
	case r.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":0,"handleIds":0,"born":%d}`, born)
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", id)
	case want != "" && want != id:
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		return false
	}
	return true
}

// startEngine starts a plain engine in this process and registers it.
func (l *lab) startEngine(id, zone string, onArrival func(id string)) (*registration, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	hs := &http.Server{Handler: &plainEngine{id: id, born: born, onArrival: onArrival}}
	go func() { _ = hs.Serve(ln) }()
	l.onClose(func() { _ = hs.Close() })
	return l.register(id, entry{Service: "floor", Address: ln.Addr().String(), Zone: zone, Version: "v1", SlotCount: 6, State: "ready", Born: born}), nil
}
