package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// One of seven engines fails a part of its requests after it has run them.

const (
	greyTime  = 6500 * time.Millisecond // for_s
	greyShare = 0.45                    // x
	// engineCount makes one engine a share of 0.143 of the service.
	engineCount = 7
)

// greyEngine is a plain engine that can fail a part of its requests. Its health check stays good.
type greyEngine struct {
	id   string
	born int64
	grey atomic.Bool

	mu sync.Mutex
	// runs counts the runs of each attempt.
	runs map[string]int
}

func (e *greyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if answerChecks(w, r, e.id, e.born) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	e.runs[attempt]++
	e.mu.Unlock()
	time.Sleep(workTime)
	setAnswerHead(w, e.id, attempt)
	if e.grey.Load() && rand.Float64() < greyShare {
		// The run has begun, so the answer does not bear X-Not-Executed.
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "failed at work\n")
		return
	}
	_, _ = io.WriteString(w, "done "+attempt+"\n")
}

// promise checks that no unsafe request that has run is answered with a status that promises
// the contrary.
func promise(l *lab) (bool, error) {
	if _, err := l.writeConfig(floorConfig(7)); err != nil {
		return false, err
	}
	zones := []string{"karratha-hall", "hedland-hall", "dampier-hall"}
	var engines []*greyEngine
	for i := range engineCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		e := &greyEngine{id: fmt.Sprintf("i-%d", i), born: time.Now().UnixMilli(), runs: map[string]int{}}
		hs := &http.Server{Handler: e}
		go func() { _ = hs.Serve(ln) }()
		l.onClose(func() { _ = hs.Close() })
		l.register(e.id, entry{Service: "floor", Address: ln.Addr().String(), Zone: zones[i%len(zones)], Version: "v1", SlotCount: 6, State: "ready", Born: e.born})
		engines = append(engines, e)
	}
	if err := l.startNodes(zones...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	runs := func(id string) (n int) {
		for _, e := range engines {
			e.mu.Lock()
			n += e.runs[id]
			e.mu.Unlock()
		}
		return n
	}
	if l.trouble {
		engines[0].grey.Store(true)
		l.note("%s fails %v of its requests from now on", engines[0].id, greyShare)
	}
	var callers sync.WaitGroup
	var sent, broken atomic.Int64
	end := time.Now().Add(greyTime)
	for i := range 2 * len(l.nodes) {
		callers.Go(func() {
			for time.Now().Before(end) {
				a := call(l.nodes[i%len(l.nodes)], http.MethodPost, "/release/plate", time.Second)
				sent.Add(1)
				n := runs(a.id)
				if n > 1 {
					l.note("%s: TWICE: ran %d times", a.id, n)
				}
				switch a.status {
				case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
					if a.err == nil && n > 0 {
						broken.Add(1)
						l.note("%s: REFUSED: answered %d, which promises that it has not run, and it ran", a.id, a.status)
					}
				}
				time.Sleep(callPeriod)
			}
		})
	}
	callers.Wait()
	l.note("%d unsafe requests sent, %d answered as not run though they ran", sent.Load(), broken.Load())
	return broken.Load() > 0, nil
}
