package main

// Many users come at once, with long prompts: the node holds each request's body until its
// stream ends.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// promptBytes is below the configuration's maxBodyBytes, 4,194,304.
	promptBytes = 4_000_000
	// arrivalsPerS is the usual number of requests a second for each node, burstFactor how much
	// it grows while many users come at once, for burstTime.
	arrivalsPerS = 14.5
	burstFactor  = 1.7
	burstTime    = 3 * time.Second
	// usualTime is how long the usual traffic runs before the burst, afterTime how long after.
	usualTime = 12 * time.Second
	afterTime = 8 * time.Second
	// linkBytesPerS is the machine's link, 1000 Mbit/s. A caller sends at a part of it.
	linkBytesPerS   = 125_000_000
	callerBytesPerS = linkBytesPerS / 6
	sendChunk       = 64 << 10
	// restartDelay is how long the platform takes to start an ended process again.
	restartDelay = time.Second
	// allowedLost is how many kept connections a machine may close without an answer.
	allowedLost = 3
)

// promptCall is a request with a long prompt.
type promptCall struct {
	id     string
	node   *node
	kept   bool // its connection had served a request before
	at     time.Time
	answer answer
}

// callerPool holds the idle connections to a node.
type callerPool struct {
	mu   sync.Mutex
	idle []net.Conn
}

func (p *callerPool) take() net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *callerPool) put(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// memoryWatch plays the platform: it kills a process that exceeds its memory, and starts it
// again.
type memoryWatch struct {
	f      *fleet
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	peakMB map[string]float64
	kills  map[string][]time.Time
}

func watchMemory(f *fleet) *memoryWatch {
	w := &memoryWatch{f: f, stop: make(chan struct{}), peakMB: map[string]float64{}, kills: map[string][]time.Time{}}
	for _, n := range f.nodes {
		w.wait.Go(func() { w.follow(n) })
	}
	return w
}

func (w *memoryWatch) follow(n *node) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := anonymousMB(n.pid())
		w.mu.Lock()
		w.peakMB[n.name] = max(w.peakMB[n.name], mb)
		w.mu.Unlock()
		if mb <= memoryMB || os.Getenv("KILL") == "0" {
			continue // KILL=0 only measures how much memory the node would take
		}
		w.f.record.printf("%s has %.0f MB of anonymous memory, its limit is %d: the platform kills it", n.name, mb, memoryMB)
		w.mu.Lock()
		w.kills[n.name] = append(w.kills[n.name], time.Now())
		w.mu.Unlock()
		n.kill()
		time.Sleep(restartDelay)
		n.start()
	}
}

func (w *memoryWatch) end() {
	close(w.stop)
	w.wait.Wait()
}

// anonymousMB returns the resident anonymous memory of a process in MiB.
func anonymousMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return float64(kb) / 1024
		}
	}
	return 0
}

func caseMemory(f *fleet) int {
	f.start(3, workload{work: 30 * time.Millisecond, first: 600 * time.Millisecond, interval: 62 * time.Millisecond, events: 43})
	time.Sleep(settle)
	memory := watchMemory(f)
	body := strings.Repeat("b", promptBytes)
	var callers sync.WaitGroup
	var calls callList
	for _, n := range f.nodes {
		callers.Go(func() { sendPrompts(f, n, body, &calls, &callers) })
	}
	callers.Wait()
	memory.end()
	return judgeMemory(f, memory, calls.all)
}

type callList struct {
	mu   sync.Mutex
	next atomic.Int64
	all  []*promptCall
}

// sendPrompts sends requests to a node at even intervals, also while it is down.
func sendPrompts(f *fleet, n *node, body string, calls *callList, callers *sync.WaitGroup) {
	pool := &callerPool{}
	began := time.Now()
	announced := false
	for elapsed := time.Duration(0); elapsed < usualTime+burstTime+afterTime; elapsed = time.Since(began) {
		rate := arrivalsPerS
		if trouble() && elapsed >= usualTime && elapsed < usualTime+burstTime {
			rate *= burstFactor
			if !announced {
				announced = true
				f.record.printf("burst: %.1f instead of %.1f requests a second at %s for %v", rate, arrivalsPerS, n.name, burstTime)
			}
		}
		c := &promptCall{id: fmt.Sprintf("m%015d", calls.next.Add(1)), node: n, at: time.Now()}
		calls.mu.Lock()
		calls.all = append(calls.all, c)
		calls.mu.Unlock()
		callers.Go(func() { c.run(f, pool, body) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

func (c *promptCall) run(f *fleet, pool *callerPool, body string) {
	conn := pool.take()
	c.kept = conn != nil
	if conn == nil {
		var err error
		if conn, err = dial(c.node.front); err != nil {
			c.answer = answer{err: err}
			return
		}
	}
	began := time.Now()
	err := sendPaced(conn, streamHead(c.id, len(body))+"\r\n", body)
	if err == nil {
		c.answer = readAnswer(bufio.NewReader(conn), began)
	} else {
		c.answer = answer{err: err, took: time.Since(began)}
	}
	f.record.printf("request %s to %s, kept connection: %v: %s", c.id, c.node.name, c.kept, c.answer)
	if c.answer.complete {
		pool.put(conn)
		return
	}
	_ = conn.Close()
}

// sendPaced sends a request at callerBytesPerS.
func sendPaced(conn net.Conn, head, body string) error {
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	began := time.Now()
	for sent := 0; sent < len(body); sent += sendChunk {
		if _, err := io.WriteString(conn, body[sent:min(len(body), sent+sendChunk)]); err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / callerBytesPerS * float64(time.Second)))))
	}
	return nil
}

// judgeMemory applies LOST (a machine in touch passes a request from a kept connection on to a
// sound engine and closes that connection without an answer, more than three times) and counts
// the processes that ended by themselves. Nothing but the burst disturbs the machines.
func judgeMemory(f *fleet, memory *memoryWatch, calls []*promptCall) int {
	whole, refused, cut, unsent, lost := 0, 0, 0, 0, 0
	for _, c := range calls {
		runs := f.runs.of(c.id)
		switch {
		case c.answer.complete && c.answer.status == 200:
			whole++
		case c.answer.complete:
			refused++
		case len(runs) == 0:
			unsent++
		case c.kept && c.answer.status == 0:
			lost++
			f.record.printf("LOST: request %s to %s, run by %s, kept connection closed without an answer", c.id, c.node.name, runs[0].engine)
		default:
			cut++
		}
	}
	kills := 0
	for _, n := range f.nodes {
		f.record.printf("%s: peak %.0f MB of %d, ended by itself %d times", n.name, memory.peakMB[n.name], memoryMB, len(memory.kills[n.name]))
		fmt.Printf("%s: peak %.0f MB of %d, ended by itself %d times\n", n.name, memory.peakMB[n.name], memoryMB, len(memory.kills[n.name]))
		kills += len(memory.kills[n.name])
	}
	return f.record.conclude(lost > allowedLost, "%d requests: %d answered whole, %d refused, %d not passed on, %d cut during the answer, %d passed on from a kept connection that was closed without an answer; processes ended by themselves %d times", len(calls), whole, refused, unsent, cut, lost, kills)
}
