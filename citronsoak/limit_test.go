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
	// headerSender names the node process to which the caller sends a request. The value
	// ends in " bound" if the process has run without interruption for startupGrace, so
	// that its requests count against limits. Nodes forward the header to engines.
	headerSender = "X-Soak-Sender"
	// A process learns an engine's limit from the first answer that carries it. Once
	// limitGrace has passed after that answer, the requests of the process count. In any
	// limitWindow that ends later than propagationTime after the announcement, an engine
	// may get one and a half times as many counted requests as its limit allows, plus
	// limitSlack.
	limitGrace  = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// startupGrace is the time after a process was restarted or resumed during which its
	// requests do not count. Requests do count while the store is unreachable.
	startupGrace = time.Second
	// limitInterval is the time between the announcements of two limits.
	limitInterval = time.Second
)

// limit is the rate limit that an engine announces for a period. It records the
// requests that arrive in that period.
type limit struct {
	mu        sync.Mutex
	perSecond float64
	// since and until are the period [since, until) in which answers carry the limit.
	// since is zero if the engine has announced none.
	since, until time.Time
	// firstAnnounced holds, for each node process, when an answer to it first carried the
	// limit.
	firstAnnounced map[string]time.Time
	// arrivals are the times of the requests that count against the limit.
	arrivals []time.Time
}

// announce makes the engine announce a limit from now on. Each engine announces only
// one limit in its life; later calls have no effect.
func (l *limit) announce(perSecond float64, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.since.IsZero() {
		return
	}
	l.perSecond, l.since, l.firstAnnounced = perSecond, time.Now(), map[string]time.Time{}
	l.until = l.since.Add(duration)
}

// withdraw ends the announcement of the limit.
func (l *limit) withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Before(l.until) {
		l.until = now
	}
}

// recordArrival sets the limit in the header of the answer to r, and records the
// arrival of r if it counts against the limit.
func (l *limit) recordArrival(h http.Header, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.since.IsZero() || !now.Before(l.until) {
		return
	}
	h.Set("Server-Limit", strconv.FormatFloat(l.perSecond, 'g', -1, 64))
	sender, bound := strings.CutSuffix(r.Header.Get(headerSender), " bound")
	first, known := l.firstAnnounced[sender]
	if !known {
		l.firstAnnounced[sender] = now
	}
	if bound && known && now.Sub(first) >= limitGrace {
		l.arrivals = append(l.arrivals, now)
	}
}

// maxInWindow returns the maximum number of counted requests in any window that ends
// later than propagationTime after the announcement, and the number that is allowed.
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

// senderHeader returns the value of headerSender for requests to the node's current
// process.
func (n *node) senderHeader() string {
	process, _ := n.state()
	s := fmt.Sprintf("%s-%d", n.name, process)
	if n.runningFor(startupGrace) {
		s += " bound"
	}
	return s
}

// announceLimits makes randomly chosen engines announce random limits until end, and
// then withdraws all limits.
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

// loadCallers is the number of callers that sendLoad runs concurrently.
const loadCallers = 8

// sendLoad sends requests to the plain service at a high rate until ctx is canceled.
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

// checkLimits reports an error for each engine that got more requests than its limit
// allows.
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
			w.t.Errorf("%s announced a limit of %g requests per second and got %d requests in %v from processes that knew it; %d are allowed", e.id, e.limit.perSecond, got, limitWindow, allowed)
		}
	}
	w.t.Logf("%d engines announced limits", announced)
}

// TestSoakWithRateLimits guards against nodes that together exceed the rate limit that an
// engine announces, because one does not know what the others send. Meanwhile nodes, also
// those that issue permits, are killed, stopped, frozen or cut off from the store, engines
// start, crash and leave, and limits begin and end. It also checks the guarantees of
// TestSoak.
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
