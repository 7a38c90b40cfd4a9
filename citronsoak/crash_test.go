package citronsoak_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crashBody is the body of a request that crashes every engine that runs it.
	// The engine crashes crashDelay after the run began, and a replacement starts
	// restartDelay later.
	crashBody    = "crash"
	crashDelay   = 60 * time.Millisecond
	restartDelay = time.Second
	// crashInterval is the pause after the answer to each such request. In
	// TestRequestThatCrashesEnginesIsStopped, they are sent for crashDuration, in a
	// soak as long as faults are injected.
	crashInterval = 300 * time.Millisecond
	crashDuration = 9 * time.Second
	// Once propagationTime has passed after the crashThreshold-th run of the request at
	// an engine, it may reach engines at most maxLateRuns more times. propagationTime is
	// the time within which all nodes without a fault learn of the crashes. A run does
	// not count if the node to which its request was sent had a fault less than
	// propagationTime before.
	crashThreshold  = 3
	maxLateRuns     = 3
	propagationTime = 3 * time.Second
)

// TestRequestThatCrashesEnginesIsStopped guards against a request that crashes engines
// without limit. Each engine crashes about 60 ms after it begins to run the request, and
// the caller sends it again at any node. If nodes forget a crash when the attempt ends,
// or do not report it to other nodes, each retry crashes several more engines, and most
// streams of other callers are rejected or broken: five of six were when such a request
// crashed 22 engines and was sent 13 times after all nodes could have known of the
// crashes. The test limits how often the request reaches engines. Of the other streams
// it checks only that their answers are not wrong.
func TestRequestThatCrashesEnginesIsStopped(t *testing.T) {
	w := newWorld(t, build(t))
	for range 3 {
		w.addEngine("model", "card")
	}
	w.waitUntilServing(startTimeout, "at the start")
	var streams sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for i := range callers {
		streams.Go(func() { w.sendStreams(ctx, i) })
	}
	w.sendCrashingRequests(time.Now().Add(crashDuration))
	cancel()
	streams.Wait()
	w.waitUntilServing(recoverTimeout, "after the request that crashes engines")
	w.checkCrashes()
}

// TestSoakWithCrashingRequest guards against nodes that forget a request that crashes
// engines, or send it again, because nodes are killed, stopped, frozen or cut off from
// the store meanwhile. It also checks the guarantees of TestSoak.
func TestSoakWithCrashingRequest(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, binary)
			w.addEngine("model", "card")
			w.crashing = true
			w.soak(seed)
			w.checkCrashes()
		})
	}
}

// sendStreams sends streaming requests with distinct bodies, one after the other,
// until ctx is canceled.
func (w *world) sendStreams(ctx context.Context, caller int) {
	hc := &http.Client{Timeout: callTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		n := w.nodes[(caller+i)%len(w.nodes)]
		id := fmt.Sprintf("sound-%d-%d", caller, i)
		w.checkAnswer(n, "/stream/", id, w.sendBody(hc, n, "/stream/", id, id))
		time.Sleep(20 * time.Millisecond)
	}
}

// sendCrashingRequests sends the request that crashes engines to one node after the
// other until end. The request's id ends in "true" if the node has been without a fault
// for propagationTime, which is long enough to learn of earlier crashes.
func (w *world) sendCrashingRequests(end time.Time) {
	hc := &http.Client{Timeout: callTimeout}
	for i := 0; time.Now().Before(end); i++ {
		n := w.nodes[i%len(w.nodes)]
		id := fmt.Sprintf("crash-%d-%t", i, n.faultFreeFor(propagationTime))
		w.sendBody(hc, n, "/stream/", id, crashBody)
		time.Sleep(crashInterval)
	}
}

// checkCrashes reports an error if the request reached engines more than maxLateRuns
// times after all nodes without a fault had time to learn that it crashes them. If the
// request has crashed fewer than crashThreshold engines, it reports none.
func (w *world) checkCrashes() {
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	runs := w.runs.crashes
	w.t.Logf("%d engines crashed under the request that crashes them; %v", len(runs), w.counts)
	if len(runs) < crashThreshold {
		return
	}
	known := runs[crashThreshold-1].at.Add(propagationTime)
	after := 0
	for _, r := range runs {
		if r.at.After(known) && strings.HasSuffix(r.id, "true") {
			after++
		}
	}
	if after > maxLateRuns {
		w.t.Errorf("a request under which %d engines had crashed reached engines %d more times, later than %v after these crashes; %d engines crashed in total", crashThreshold, after, propagationTime, len(runs))
	}
}
