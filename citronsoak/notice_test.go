package citronsoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// cooldownGrace is the time after a refusal with a cool-down after which the requests
	// of the refused process count. At most maxStragglers may then arrive until the
	// cool-down ends.
	cooldownGrace = 500 * time.Millisecond
	maxStragglers = 2
	// noticeInterval is the time between two notices.
	noticeInterval = 700 * time.Millisecond
	// silentLeaveTime is how long an engine serves that says only in its answers that it is
	// leaving.
	silentLeaveTime = 6 * time.Second
)

// cooldown is a cool-down that an engine asked a node process for.
type cooldown struct {
	from, until time.Time
	stragglers  int
}

// notices are what an engine says in its answers about the requests that follow: that it
// wants none of a node for some time, and that it is leaving.
type notices struct {
	mu sync.Mutex
	// The engine refuses requests until refusesUntil and asks for cool-downs of wait.
	refusesUntil time.Time
	wait         time.Duration
	// leaving is true if answers say that the engine is leaving.
	leaving bool
	// cooldowns and toldAt hold, for each node process, its cool-downs, and when it was
	// first told that the engine is leaving.
	cooldowns map[string][]*cooldown
	toldAt    map[string]time.Time
	// lateArrivals describes the requests that arrived drainDeadline or more after their
	// process was told that the engine is leaving.
	lateArrivals []string
}

// refuseFor makes the engine refuse requests for a time and ask for cool-downs of wait.
func (n *notices) refuseFor(d, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusesUntil, n.wait = time.Now().Add(d), wait
}

// recordArrival writes the notices to the header of the answer to r, and records r against
// the earlier ones. It reports whether the engine refuses the request.
func (n *notices) recordArrival(h http.Header, r *http.Request) (refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	sender, bound := strings.CutSuffix(r.Header.Get(headerSender), " bound")
	if n.cooldowns == nil {
		n.cooldowns, n.toldAt = map[string][]*cooldown{}, map[string]time.Time{}
	}
	for _, c := range n.cooldowns[sender] {
		if bound && now.Sub(c.from) > cooldownGrace && now.Before(c.until) {
			c.stragglers++
		}
	}
	told, known := n.toldAt[sender]
	if bound && known && now.Sub(told) >= drainDeadline {
		n.lateArrivals = append(n.lateArrivals, fmt.Sprintf("%s from %s after %v", r.Header.Get("X-Attempt-Id"), sender, now.Sub(told)))
	}
	if n.leaving {
		h.Set("Server-Leaving", "1")
		if !known {
			n.toldAt[sender] = now
		}
	}
	if !now.Before(n.refusesUntil) {
		return false
	}
	h.Set("Retry-After", strconv.FormatFloat(n.wait.Seconds(), 'g', -1, 64))
	h.Set("X-Not-Executed", "1")
	n.cooldowns[sender] = append(n.cooldowns[sender], &cooldown{from: now, until: now.Add(n.wait)})
	return true
}

// leaveSilently makes the engine say in its answers that it is leaving, while its entry does
// not. It serves on and then crashes.
func (e *engine) leaveSilently() {
	e.notices.mu.Lock()
	e.notices.leaving = true
	e.notices.mu.Unlock()
	time.AfterFunc(silentLeaveTime, e.crash)
}

// giveNotices makes randomly chosen engines ask for cool-downs, or leave silently, until end.
func (w *world) giveNotices(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		service := []string{"app", "app", "model"}[r.IntN(3)]
		if r.IntN(4) == 0 {
			w.replace(service, map[string]string{"model": "card"}[service], (*engine).leaveSilently)
		} else {
			w.mu.Lock()
			e := w.engines[service][r.IntN(len(w.engines[service]))]
			w.mu.Unlock()
			wait := []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}[r.IntN(3)]
			e.notices.refuseFor(time.Duration(200+r.IntN(2500))*time.Millisecond, wait)
		}
		time.Sleep(noticeInterval)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.all {
		e.notices.refuseFor(0, 0)
	}
}

// checkNotices reports an error for each engine that got more requests during a cool-down,
// or after it said that it is leaving, than is allowed.
func (w *world) checkNotices() {
	w.mu.Lock()
	defer w.mu.Unlock()
	cooldowns, stragglers, told := 0, 0, 0
	for _, e := range w.all {
		e.notices.mu.Lock()
		for sender, all := range e.notices.cooldowns {
			for _, c := range all {
				cooldowns++
				stragglers += c.stragglers
				if c.stragglers > maxStragglers {
					w.t.Errorf("%s asked %s for a cool-down of %v and got %d requests in it; %d are allowed", e.id, sender, c.until.Sub(c.from), c.stragglers, maxStragglers)
				}
			}
		}
		told += len(e.notices.toldAt)
		for _, late := range e.notices.lateArrivals {
			w.t.Errorf("%s said that it is leaving and got a request %v or more later: %s", e.id, drainDeadline, late)
		}
		e.notices.mu.Unlock()
	}
	w.t.Logf("%d cool-downs with %d stragglers; processes were told %d times that an engine is leaving", cooldowns, stragglers, told)
}

// TestSoakWithNotices guards against requests to an engine that has asked the node for a
// cool-down, or told it that it is leaving, while nodes are killed, stopped, frozen or cut
// off from the store, engines start, crash, leave and name rate limits. It also checks the
// guarantees of TestSoak and the rate limits.
func TestSoakWithNotices(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, binary)
			w.addEngine("app", "")
			w.limiting, w.noticing = true, true
			w.soak(seed)
			w.checkLimits()
			w.checkNotices()
		})
	}
}
