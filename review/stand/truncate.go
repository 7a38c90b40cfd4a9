package main

// All engines of the plain service in one zone crash at once, while they send answers that
// have no length.

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// plainPerS is the number of unsafe requests a second at each node.
	plainPerS = 40
	// beforeCrash and afterCrash are how long the requests come before and after the crash.
	beforeCrash = 6 * time.Second
	afterCrash  = 4 * time.Second
)

// hostedZones are the zones of the engines of the plain service: 12 engines, 2 of them in z1,
// a share of 0.167.
var hostedZones = []string{"z1", "z1", "z2", "z2", "z2", "z2", "z2", "z3", "z3", "z3", "z3", "z3"}

const crashedZone = "z1"

// spared returns how many engines of crashedZone do not crash: none, unless SPARED=1 is in the
// environment, which shows that the node notices the crash while a neighbor is alive.
func spared() int {
	if os.Getenv("SPARED") == "1" {
		return 1
	}
	return 0
}

// plainCall is a request to the plain service.
type plainCall struct {
	id     string
	node   *node
	answer answer
	bytes  int
}

func caseTruncate(f *fleet) int {
	f.plainEngines = 0
	var engines []*hostedEngine
	f.beforeNodes = func() {
		for i, zone := range hostedZones {
			engines = append(engines, startHostedEngine(f, fmt.Sprintf("i-hosted%d", i), "", zone))
		}
	}
	f.start(3, workload{first: 80 * time.Millisecond, interval: 60 * time.Millisecond, events: 20})
	time.Sleep(settle)
	var wait sync.WaitGroup
	var next atomic.Int64
	var mu sync.Mutex
	var calls []*plainCall
	for _, n := range f.nodes {
		wait.Go(func() {
			for end := time.Now().Add(beforeCrash + afterCrash); time.Now().Before(end); time.Sleep(time.Second / plainPerS) {
				c := &plainCall{id: fmt.Sprintf("p%015d", next.Add(1)), node: n}
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
				wait.Go(func() { c.run(f) })
			}
		})
	}
	time.Sleep(beforeCrash)
	if trouble() {
		for _, e := range engines[spared():] {
			if e.zone == crashedZone {
				e.crash()
			}
		}
	}
	wait.Wait()
	return judgeTruncate(f, engines, calls)
}

func (c *plainCall) run(f *fleet) {
	began := time.Now()
	conn, err := dial(c.node.front)
	if err != nil {
		c.answer = answer{err: err}
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, unsafeHead(c.id, bodyBytes)+"\r\n"+strings.Repeat("b", bodyBytes))
	c.answer, c.bytes = readBody(bufio.NewReader(conn), began)
	f.record.printf("request %s to %s: %s, %d bytes", c.id, c.node.name, c.answer, c.bytes)
}

// judgeTruncate applies MIXED: a caller gets a success with a body that is not the engine's
// whole body.
func judgeTruncate(f *fleet, engines []*hostedEngine, calls []*plainCall) int {
	whole, failed, mixed := 0, 0, 0
	for _, c := range calls {
		success := c.answer.complete && c.answer.status >= 200 && c.answer.status < 300
		switch {
		case !success:
			failed++
		case c.bytes == answerBytes:
			whole++
		default:
			mixed++
			for _, e := range engines {
				if e.hasRun(c.id) {
					f.record.printf("MIXED: request %s to %s was answered with status %d and a complete body of %d bytes; engine %s, which ran it, has written its whole answer of %d bytes: %v", c.id, c.node.name, c.answer.status, c.bytes, e.id, answerBytes, e.completed(c.id))
				}
			}
		}
	}
	return f.record.conclude(mixed > 0, "%d requests: %d answered with the engine's whole body, %d refused or failed, %d answered with a success and a part of the engine's body", len(calls), whole, failed, mixed)
}
