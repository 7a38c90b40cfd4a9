package citronsoak_test

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

const (
	// crashBody is the body of requests that crash the engines that run them,
	// crashAfter into the run; another engine starts restartTime later.
	crashBody   = "crash"
	crashAfter  = 60 * time.Millisecond
	restartTime = time.Second
	// crashPause is the time between two such requests, crashTime how long they
	// come.
	crashPause = 300 * time.Millisecond
	crashTime  = 9 * time.Second
	// A request under which mostCrashes engines have ended may reach engines
	// mostAfter times more from contact on.
	mostCrashes = 3
	mostAfter   = 3
	contact     = 3 * time.Second
)

// One request of a customer ended each engine that began to run it, and came again
// every two seconds, at any node. Three engines ended at 37.19, 37.30 and 37.39 s,
// three more at 39.16, 39.28 and 39.36 s, and so on, each about 60 ms after the
// request began to run there; 22 ended under one request and 13 of its sends came
// after all nodes could have known. Each attempt began from zero: nothing of it
// outlived the attempt, and nothing was told to other nodes. Meanwhile five of six
// streams of everybody else were refused or broken.
func TestRequestThatCrashesEnginesIsStopped(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "citrondeck")
	if out, err := exec.Command("go", "build", "-o", binary, "citrondeck.dev/citrondeck").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	w := newWorld(t, binary)
	for range 3 {
		w.addEngine("model", "card")
	}
	w.untilServing(startTime, "at the start")
	var sound sync.WaitGroup
	stop := make(chan struct{})
	for i := range callers {
		sound.Go(func() { w.streamUntil(stop, i) })
	}
	w.crashEngines()
	close(stop)
	sound.Wait()
	w.untilServing(recoverTime, "after the request that crashes engines")
	w.checkCrashes()
}

// streamUntil sends streams, each with a body of its own, one after the other.
func (w *world) streamUntil(stop <-chan struct{}, caller int) {
	hc := &http.Client{Timeout: callTime}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		n := w.nodes[(caller+i)%len(w.nodes)]
		id := fmt.Sprintf("sound-%d-%d", caller, i)
		w.check(n, "/stream/", id, w.askWith(hc, n, "/stream/", id, id))
	}
}

// crashEngines sends the request that crashes engines to one node after the other.
func (w *world) crashEngines() {
	hc := &http.Client{Timeout: callTime}
	i := 0
	for end := time.Now().Add(crashTime); time.Now().Before(end); time.Sleep(crashPause) {
		w.askWith(hc, w.nodes[i%len(w.nodes)], "/stream/", fmt.Sprintf("crash-%d", i), crashBody)
		i++
	}
}

// checkCrashes fails if the request reached engines too often after all nodes had
// time to know that it crashes them.
func (w *world) checkCrashes() {
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	at := w.runs.crashes
	w.t.Logf("%d engines ended; %v", len(at), w.counts)
	if len(at) < mostCrashes {
		return
	}
	known := at[mostCrashes-1].Add(contact)
	after := 0
	for _, a := range at {
		if a.After(known) {
			after++
		}
	}
	if after > mostAfter {
		w.t.Errorf("a request under which %d engines had ended reached engines %d times more from %v on; %d ended in all", mostCrashes, after, contact, len(at))
	}
}
