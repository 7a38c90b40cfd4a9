package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// A route for all paths is added, and callers use paths that begin with two slashes.

// received is what an engine received of a request.
type received struct{ method, target, host, path, query, body string }

// recordingEngine is a plain engine that keeps what it received, by attempt.
type recordingEngine struct {
	id   string
	born int64

	mu   sync.Mutex
	runs map[string]received
}

func (e *recordingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if answerChecks(w, r, e.id, e.born) {
		return
	}
	body, _ := io.ReadAll(r.Body)
	attempt := r.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	e.runs[attempt] = received{r.Method, r.RequestURI, r.Host, r.URL.EscapedPath(), r.URL.RawQuery, string(body)}
	e.mu.Unlock()
	setAnswerHead(w, e.id, attempt)
	_, _ = io.WriteString(w, "done "+attempt+"\n")
}

// sendTarget sends a request with the given path and query as they are, and returns the status
// of the answer.
func sendTarget(n *node, id, method, path, query, body string) (int, error) {
	conn, err := net.Dial("tcp", n.front)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	target := path
	if query != "" {
		target += "?" + query
	}
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 600\r\nX-Credential: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", method, target, host, id, apiKey, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode, nil
}

// startRecordingEngine starts an engine of a plain service that keeps what it received.
func (l *lab) startRecordingEngine(id, service string) (*recordingEngine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &recordingEngine{id: id, born: time.Now().UnixMilli(), runs: map[string]received{}}
	hs := &http.Server{Handler: e}
	go func() { _ = hs.Serve(ln) }()
	l.onClose(func() { _ = hs.Close() })
	l.register(id, entry{Service: service, Address: ln.Addr().String(), Zone: "karratha-hall", Version: "v1", SlotCount: 6, State: "ready", Born: e.born})
	return e, nil
}

// run returns what the engine received of an attempt, and whether it ran it.
func (e *recordingEngine) run(id string) (received, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	got, ran := e.runs[id]
	return got, ran
}

// target checks that the engine runs each request with the path that its caller sent.
func target(l *lab) (bool, error) {
	if _, err := l.writeConfig(floorConfig(7)); err != nil {
		return false, err
	}
	e, err := l.startRecordingEngine("i-0", "floor")
	if err != nil {
		return false, err
	}
	if err := l.startNodes("karratha-hall", "hedland-hall", "dampier-hall"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if l.trouble {
		if _, err := l.writeConfig(floorConfig(8, "/")); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	broken := false
	for i, c := range []struct{ method, path, query, body string }{
		{http.MethodGet, "/lock/7", "", ""},
		{http.MethodPost, "/release/7", "", "nest 12"},
		{http.MethodGet, "//lock/7", "sheet=3", ""},
		{http.MethodPost, "//plates/release/7", "", "nest 12"},
		{http.MethodGet, "/plates//7", "", ""},
	} {
		id := newID()
		status, err := sendTarget(l.nodes[i%len(l.nodes)], id, c.method, c.path, c.query, c.body)
		l.note("%s: caller sends %s %s?%s to host %s, gets status %d, error %v", id, c.method, c.path, c.query, host, status, err)
		got, ran := e.run(id)
		if !ran {
			l.note("%s: not run", id)
			continue
		}
		l.note("%s: engine receives %s %s: host %s, path %s, query %s", id, got.method, got.target, got.host, got.path, got.query)
		if got.method != c.method || got.path != c.path || got.query != c.query || got.body != c.body {
			l.note("%s: UNASKED: the engine runs path %s at host %s, the caller sent path %s to host %s", id, got.path, got.host, c.path, host)
			broken = true
		}
	}
	return broken, nil
}
