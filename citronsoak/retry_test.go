package citronsoak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// retryRatio, retryWindow and retrySlack are the retry budget in the settings of the nodes.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 300
	// refusedShare is the share of the requests that refusing engines do not run.
	refusedShare = 0.8
)

// arrivals records the requests that callers send and those that reach the engines of a
// service.
type arrivals struct {
	mu sync.Mutex
	// sent holds when callers sent requests, repeated when a request reached an engine that
	// had reached one before.
	sent, repeated []time.Time
	seen           map[string]bool
}

func (a *arrivals) recordSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = append(a.sent, time.Now())
}

func (a *arrivals) recordArrival(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen == nil {
		a.seen = map[string]bool{}
	}
	if a.seen[id] {
		a.repeated = append(a.repeated, time.Now())
	}
	a.seen[id] = true
}

// serviceOf returns the service of a path's route.
func serviceOf(path string) string {
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, lessUrgentStream) {
		return "model"
	}
	return "app"
}

// countBetween returns how many of the times, which ascend, are in [from, from+retryWindow).
func countBetween(times []time.Time, from time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) < retryWindow {
			n++
		}
	}
	return n
}

// worstWindow returns the number of retries and the number allowed in the window in which most
// were sent, measured by what is allowed. The requests are those of the window, the one before
// it, or the one half a window before it, whichever has most.
func (a *arrivals) worstWindow() (retries int, allowed float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	worst := -1.0
	for _, from := range a.repeated {
		requests := max(countBetween(a.sent, from), countBetween(a.sent, from.Add(-retryWindow/2)), countBetween(a.sent, from.Add(-retryWindow)))
		n, limit := countBetween(a.repeated, from), retryRatio*float64(requests)+retrySlack
		if share := float64(n) / limit; share > worst {
			worst, retries, allowed = share, n, limit
		}
	}
	return retries, allowed
}

// refuseRequests makes all engines refuse a share of their requests, in spells, until end.
func (w *world) refuseRequests(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		w.refusing.Store(true)
		time.Sleep(time.Duration(1000+r.IntN(3000)) * time.Millisecond)
		w.refusing.Store(false)
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
	}
}

// retryInterval is the pause of the callers of sendRetriedLoad between two requests.
const retryInterval = 40 * time.Millisecond

// sendRetriedLoad sends requests of both services until ctx is canceled, streams of each
// urgency alike.
func (w *world) sendRetriedLoad(ctx context.Context) {
	paths := []string{"/safe/", "/stream/", lessUrgentStream}
	var all sync.WaitGroup
	for c := range 2 * loadCallers {
		all.Go(func() {
			hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
			for i := 0; ctx.Err() == nil; i++ {
				path, id := paths[i%len(paths)], fmt.Sprintf("flow-%d-%d", c, i)
				n := w.nodes[(c+i)%len(w.nodes)]
				w.checkAnswer(n, path, id, w.send(hc, n, path, id))
				time.Sleep(retryInterval)
			}
		})
	}
	all.Wait()
}

// checkRetries reports an error for each service of which the nodes together sent more
// retries in a window than the budget allows.
func (w *world) checkRetries() {
	for service, a := range w.arrivals {
		retries, allowed := a.worstWindow()
		w.t.Logf("%s: %d retries, %.0f allowed in the worst window", service, retries, allowed)
		if float64(retries) > allowed {
			w.t.Errorf("nodes sent %d retries for %s in %v; %.0f are allowed", retries, service, retryWindow, allowed)
		}
	}
}

// TestSoakWithRefusingEngines guards against nodes that together send more retries than their
// shared budget allows, because what killed, restarted and frozen nodes have sent is forgotten,
// or because nodes do not hear each other. It also checks the guarantees of TestSoak.
func TestSoakWithRefusingEngines(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, binary)
			w.addEngine("app", "")
			w.retrying = true
			w.soak(seed)
			w.checkRetries()
		})
	}
}
