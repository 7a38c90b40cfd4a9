package main

// Model engines crash one at a time, while they send streams that have no length.

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamsPerS is the number of streaming requests a second at each node.
	streamsPerS = 60
	// hostedModelEngines is the number of model engines, two in each zone. One of them is a
	// share of 0.167.
	hostedModelEngines = 6
	// crashes engines crash, crashGap apart. Each is replaced by another start after downTime.
	crashes  = 8
	crashGap = 7 * time.Second
	downTime = 3 * time.Second
)

// streamCall is a streaming request.
type streamCall struct {
	id     string
	node   *node
	answer answer
}

func caseStreams(f *fleet) int {
	f.modelEngines = 0
	var engines []*hostedEngine
	f.beforeNodes = func() {
		for i := range hostedModelEngines {
			engines = append(engines, startHostedEngine(f, fmt.Sprintf("i-hosted%d", i), modelKind, zoneOf(i)))
		}
	}
	f.start(3, workload{work: 30 * time.Millisecond})
	time.Sleep(settle)
	var wait sync.WaitGroup
	var next atomic.Int64
	var mu sync.Mutex
	var calls []*streamCall
	for _, n := range f.nodes {
		wait.Go(func() {
			for end := time.Now().Add(beforeCrash + crashes*crashGap); time.Now().Before(end); time.Sleep(time.Second / streamsPerS) {
				c := &streamCall{id: fmt.Sprintf("s%015d", next.Add(1)), node: n}
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
				wait.Go(func() { c.run(f) })
			}
		})
	}
	time.Sleep(beforeCrash)
	for i := range crashes {
		slot := i % hostedModelEngines
		if trouble() {
			engines[slot].crash()
			time.Sleep(downTime)
			engines[slot] = startHostedEngine(f, fmt.Sprintf("i-hosted%d-%d", slot, i), modelKind, engines[slot].zone)
			time.Sleep(crashGap - downTime)
			continue
		}
		time.Sleep(crashGap)
	}
	wait.Wait()
	return judgeStreams(f, calls)
}

func (c *streamCall) run(f *fleet) {
	began := time.Now()
	conn, err := dial(c.node.front)
	if err != nil {
		c.answer = answer{err: err}
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, streamHead(c.id, bodyBytes)+"\r\n"+strings.Repeat("b", bodyBytes))
	c.answer = readAnswer(bufio.NewReader(conn), began)
	f.record.printf("request %s to %s: %s", c.id, c.node.name, c.answer)
}

// judgeStreams applies ORDER: a stream ends as complete before its last piece.
func judgeStreams(f *fleet, calls []*streamCall) int {
	whole, other, short := 0, 0, 0
	for _, c := range calls {
		switch {
		case !c.answer.complete || c.answer.status != 200:
			other++
		case c.answer.events == hostedEvents:
			whole++
		default:
			short++
			f.record.printf("ORDER: the stream of request %s to %s ended as complete after %d of %d events", c.id, c.node.name, c.answer.events, hostedEvents)
		}
	}
	return f.record.conclude(short > 0, "%d streams: %d whole, %d refused or cut, %d ended as complete before the last event", len(calls), whole, other, short)
}
