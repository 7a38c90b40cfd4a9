package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// One request crashes the engine that begins to run it, each time that it comes.

const (
	// backAfter is how long a crashed engine is away.
	backAfter = time.Second
	// deadlyPeriod is the time between two of the caller's attempts.
	deadlyPeriod = 1500 * time.Millisecond
	// touchTime is contactMs.
	touchTime = 3 * time.Second
	// maxLater is how often the request may reach engines later than touchTime after it has
	// crashed the third.
	maxLater = 3
	// deadlyAttempts is how often the caller sends the request.
	deadlyAttempts = 13
)

// mortalEngine is a plain engine that crashes and comes back at its address.
type mortalEngine struct {
	l    *lab
	id   string
	addr string
	reg  *registration

	mu      sync.Mutex
	hs      *http.Server
	born    int64
	crashes []time.Time
	later   int
}

func (e *mortalEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	born := e.born
	e.mu.Unlock()
	if answerChecks(w, r, e.id, born) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/release/deadly" && e.l.trouble {
		e.crash(attempt)
		return
	}
	time.Sleep(workTime)
	setAnswerHead(w, e.id, attempt)
	_, _ = io.WriteString(w, "done "+attempt+"\n")
}

// crash closes the listener and all connections, and starts the engine again later.
func (e *mortalEngine) crash(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.crashes); n >= 3 && time.Since(e.crashes[2]) > touchTime {
		e.later++
		e.l.note("%s: BUDGET: reaches the engine %.3f s after the third crash", attempt, time.Since(e.crashes[2]).Seconds())
	}
	e.crashes = append(e.crashes, time.Now())
	e.l.note("%s: crashes the engine, crash %d", attempt, len(e.crashes))
	hs := e.hs
	go func() {
		_ = hs.Close()
		time.Sleep(backAfter)
		if err := e.start(); err != nil {
			e.l.note("the engine does not start: %v", err)
		}
	}()
}

// start starts the engine's next life under the same ID.
func (e *mortalEngine) start() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.born = time.Now().UnixMilli()
	e.hs = &http.Server{Handler: e}
	hs, born := e.hs, e.born
	e.mu.Unlock()
	go func() { _ = hs.Serve(ln) }()
	e.l.onClose(func() { _ = hs.Close() })
	if e.reg == nil {
		e.reg = e.l.register(e.id, entry{Service: "floor", Address: e.addr, Zone: "karratha-hall", Version: "v1", SlotCount: 6, State: "ready", Born: born})
		return nil
	}
	e.reg.mu.Lock()
	e.reg.entry.Born = born
	e.reg.mu.Unlock()
	e.reg.write()
	return nil
}

// deadly checks that a request under which the engine has ended three times is not sent on.
func deadly(l *lab) (bool, error) {
	if _, err := l.writeConfig(floorConfig(7)); err != nil {
		return false, err
	}
	addr, err := l.freeAddr()
	if err != nil {
		return false, err
	}
	e := &mortalEngine{l: l, id: "i-0", addr: addr}
	if err := e.start(); err != nil {
		return false, err
	}
	if err := l.startNodes("karratha-hall", "hedland-hall", "dampier-hall"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	for i := range deadlyAttempts {
		a := call(l.nodes[i%len(l.nodes)], http.MethodPost, "/release/deadly", time.Second)
		l.note("%s", a)
		time.Sleep(deadlyPeriod)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l.note("%d crashes, %d of them later than %v after the third", len(e.crashes), e.later, touchTime)
	return e.later > maxLater, nil
}
