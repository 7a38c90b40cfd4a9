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
	headerParts = "X-Prompt-Prefix"
	// crashingPart is the prompt part that crashes every engine that begins to answer a
	// request with it.
	crashingPart = "bad0"
	// subjects is the number of first parts that sound requests share with the requests
	// that crash engines.
	subjects = 4
	// partInterval is the time between two requests with crashingPart, sent for
	// partDuration.
	partInterval = 150 * time.Millisecond
	partDuration = 15 * time.Second
	// partCrashes is the number of engines that may crash before propagationTime begins.
	// After it, at most maxLateRuns requests with the part may reach engines.
	partCrashes = 5
	// minServedShare is the least share of sound requests that must be served from twice
	// propagationTime on, measured against the share without requests that crash engines.
	minServedShare = 0.5
	// refusedForPart is in the answer to a request that is refused because of a part of its
	// prompt.
	refusedForPart = "a part of this prompt"
	// spareEngines is the number of engines beyond those of newWorld.
	spareEngines = 5
)

// hasCrashingPart reports whether a request has crashingPart in its prompt.
func hasCrashingPart(r *http.Request) bool {
	return strings.Contains(r.Header.Get(headerParts), crashingPart)
}

// TestRequestsWithPartThatCrashesEnginesAreStopped guards against requests that have only one
// part of their prompts in common and crash engine after engine, because crashes are counted
// for each request alone.
func TestRequestsWithPartThatCrashesEnginesAreStopped(t *testing.T) {
	w := newWorld(t, build(t))
	for range spareEngines {
		w.addEngine("model", "card")
	}
	w.waitUntilServing(startTimeout, "at the start")
	s := &soundStreams{w: w}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { s.send(ctx, i) })
	}
	time.Sleep(propagationTime)
	usual := s.reset()
	w.sendRequestsWithCrashingPart(time.Now().Add(partDuration), func() { s.reset() })
	during := s.reset()
	cancel()
	all.Wait()
	w.waitUntilServing(recoverTimeout, "after the requests that crash engines")
	w.checkPartCrashes()
	t.Logf("sound streams served: %.3f before, %.3f while requests with the part were sent", usual.of(), during.of())
	if during.of() < minServedShare*usual.of() {
		t.Errorf("%.3f of the sound streams were served while requests with a part that crashes engines were sent, want at least %v of the usual %.3f", during.of(), minServedShare, usual.of())
	}
}

// TestEnginesThatEndByThemselvesRefuseNobody guards against blaming the prompt parts that many
// requests share for the ends of engines that have other causes: one after the other, and half
// of them at once, each with requests of all subjects on it.
func TestEnginesThatEndByThemselvesRefuseNobody(t *testing.T) {
	w := newWorld(t, build(t))
	for range spareEngines {
		w.addEngine("model", "card")
	}
	w.waitUntilServing(startTimeout, "at the start")
	s := &soundStreams{w: w}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { s.send(ctx, i) })
	}
	for end := time.Now().Add(partDuration / 2); time.Now().Before(end); time.Sleep(2 * partInterval) {
		w.replace("model", "card", (*engine).crash)
	}
	for range spareEngines - 1 {
		w.replace("model", "card", (*engine).crash)
	}
	time.Sleep(propagationTime)
	cancel()
	all.Wait()
	w.waitUntilServing(recoverTimeout, "after engines ended")
	t.Logf("%d of %d sound streams served, %d refused because of a part", s.served, s.sent, s.refused)
	if s.refused > 0 {
		t.Errorf("%d sound streams were refused because of a part of their prompts, want none", s.refused)
	}
}

// TestSoakWithCrashingPart guards against nodes that forget a prompt part which crashes engines,
// or send requests with it again, because nodes are killed, stopped, frozen or cut off from the
// store meanwhile. It also checks the guarantees of TestSoak.
func TestSoakWithCrashingPart(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, binary)
			for range spareEngines {
				w.addEngine("model", "card")
			}
			w.crashingPart = true
			w.soak(seed)
			w.checkPartCrashes()
		})
	}
}

// soundStreams counts streams that share callers and first parts with the requests that crash
// engines.
type soundStreams struct {
	w  *world
	mu sync.Mutex
	share
	// refused counts the streams that were refused because of a part of their prompts.
	refused int
}

// send sends streams one after the other until ctx is canceled.
func (s *soundStreams) send(ctx context.Context, caller int) {
	hc := &http.Client{Timeout: callTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		n := s.w.nodes[(caller+i)%len(s.w.nodes)]
		id := fmt.Sprintf("sound-%d-%d", caller, i)
		a := s.w.sendPrompt(hc, n, "/stream/", id, id, fmt.Sprintf("5b%d:40,c%d%d:10", i%subjects, caller, i))
		s.w.checkAnswer(n, "/stream/", id, a)
		s.mu.Lock()
		s.sent++
		if a.complete {
			s.served++
		}
		if strings.Contains(a.body, refusedForPart) {
			s.refused++
		}
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// reset returns the counts since the last reset.
func (s *soundStreams) reset() share {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.share = share{} }()
	return s.share
}

// sendRequestsWithCrashingPart sends requests with the part, no two alike, to one node after
// the other until end. It calls settled once twice propagationTime after the first
// partCrashes engines crashed.
func (w *world) sendRequestsWithCrashingPart(end time.Time, settled func()) {
	var all sync.WaitGroup
	reported := false
	for i := 0; time.Now().Before(end); i++ {
		n := w.nodes[i%len(w.nodes)]
		id := fmt.Sprintf("part-%d-%t", i, n.faultFreeFor(propagationTime))
		all.Go(func() {
			w.sendPrompt(&http.Client{Timeout: callTimeout}, n, "/stream/", id, id, fmt.Sprintf("5b%d:40,%s:60,d%d:10", i%subjects, crashingPart, i))
		})
		if at, ok := w.crashTime(partCrashes); !reported && ok && time.Since(at) > 2*propagationTime {
			reported = true
			settled()
		}
		time.Sleep(partInterval)
	}
	all.Wait()
}

// crashTime returns when the count-th engine crashed under a request.
func (w *world) crashTime(count int) (at time.Time, ok bool) {
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range w.runs.crashes {
		if seen[r.engine] = true; len(seen) == count {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// checkPartCrashes reports an error if requests with the part reached engines more than
// maxLateRuns times after all nodes without a fault had time to learn of partCrashes crashes.
func (w *world) checkPartCrashes() {
	at, ok := w.crashTime(partCrashes)
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	late := 0
	for _, r := range w.runs.crashes {
		if ok && r.at.After(at.Add(propagationTime)) && strings.HasSuffix(r.id, "true") {
			late++
		}
	}
	w.t.Logf("%d requests with the part reached engines, %d of them late; %v", len(w.runs.crashes), late, w.counts)
	if late > maxLateRuns {
		w.t.Errorf("requests with a part under which %d engines had crashed reached engines %d more times, later than %v after these crashes", partCrashes, late, propagationTime)
	}
}
