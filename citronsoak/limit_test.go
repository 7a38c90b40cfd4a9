package citronsoak_test

import (
	"context"
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
	// headerSender names the process that a request was sent to, and whether it has run
	// for long enough to be bound by limits. Nodes pass it on to engines.
	headerSender = "X-Soak-Sender"
	// Of the requests that come from processes which got an engine's limit toldAfter ago
	// or before, the engine gets one and a half times what the limit allows and
	// limitSlack in any limitWindow.
	limitGrace  = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// limitExcuse is how long a process is excused after it was started or stood still; a
	// store out of reach excuses none.
	startupGrace = time.Second
	// limitPause is the time between two engines that name limits.
	limitInterval = time.Second
)

// limit is the rate limit that an engine names for a time, and who has been told.
type limit struct {
	mu           sync.Mutex
	perSecond    float64
	since, until time.Time
	firstTold    map[string]time.Time
	arrivals     []time.Time
}

// name has the engine name a limit from now on, once in its life.
func (l *limit) announce(perSecond float64, lasts time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.since.IsZero() {
		return
	}
	l.perSecond, l.since, l.firstTold = perSecond, time.Now(), map[string]time.Time{}
	l.until = l.since.Add(lasts)
}

// end has the engine name no limit any more.
func (l *limit) withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Before(l.until) {
		l.until = now
	}
}

// arrived notes a request and puts the limit into its answer.
func (l *limit) recordArrival(h http.Header, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.since.IsZero() || !now.Before(l.until) {
		return
	}
	h.Set("Server-Limit", strconv.FormatFloat(l.perSecond, 'g', -1, 64))
	sender, bound := strings.CutSuffix(r.Header.Get(headerSender), " bound")
	first, known := l.firstTold[sender]
	if !known {
		l.firstTold[sender] = now
	}
	if bound && known && now.Sub(first) >= limitGrace {
		l.arrivals = append(l.arrivals, now)
	}
}

// most is the most that the engine got in any window that ends later than contact after
// it named its limit, and what is allowed.
func (l *limit) maxInWindow() (got, allowed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := 0
	for to, at := range l.arrivals {
		for at.Sub(l.arrivals[from]) > limitWindow {
			from++
		}
		if at.Sub(l.since) > propagationTime {
			got = max(got, to-from+1)
		}
	}
	return got, int(1.5*l.perSecond*limitWindow.Seconds()) + limitSlack
}

// sender is what a request says of the process that it is sent to.
func (n *node) senderHeader() string {
	process, _ := n.state()
	s := fmt.Sprintf("%s-%d", n.name, process)
	if n.runningFor(startupGrace) {
		s += " bound"
	}
	return s
}

// nameLimits has engines drawn at random name limits until the end.
func (w *world) announceLimits(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		w.mu.Lock()
		service := []string{"app", "app", "model"}[r.IntN(3)]
		e := w.engines[service][r.IntN(len(w.engines[service]))]
		w.mu.Unlock()
		e.limit.announce([]float64{0, 0.5, 2.5, 4}[r.IntN(4)], time.Duration(4+r.IntN(8))*time.Second)
		time.Sleep(limitInterval)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.all {
		e.limit.withdraw()
	}
}

// pressCallers is how many callers ask without a pause.
const loadCallers = 8

// pressOn has callers ask the plain service without a pause until ctx ends.
func (w *world) sendLoad(ctx context.Context) {
	var all sync.WaitGroup
	for c := range loadCallers {
		all.Go(func() {
			hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
			for i := 0; ctx.Err() == nil; i++ {
				n := w.nodes[(c+i)%len(w.nodes)]
				id := fmt.Sprintf("press-%d-%d", c, i)
				w.checkAnswer(n, "/safe/", id, w.send(hc, n, "/safe/", id))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// checkLimits fails for each engine that got more than its limit allows.
func (w *world) checkLimits() {
	w.mu.Lock()
	defer w.mu.Unlock()
	announced := 0
	for _, e := range w.all {
		got, allowed := e.limit.maxInWindow()
		if !e.limit.since.IsZero() {
			announced++
		}
		if got > allowed {
			w.t.Errorf("%s, which had named a limit of %g a second, got %d requests in %v from processes that it had told; %d allowed", e.id, e.limit.perSecond, got, limitWindow, allowed)
		}
	}
	w.t.Logf("%d engines named limits", announced)
}

// Guards against nodes that send an engine more than the rate limit that it names, while
// they and those who deal out permits are killed, stopped, frozen or cut off, engines come
// and go, and the limits begin and end.
func TestSoakWithRateLimits(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, binary)
			w.addEngine("app", "")
			w.limiting = true
			w.soak(seed)
			w.checkLimits()
		})
	}
}
