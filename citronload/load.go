// Package citronload is a load generator that checks every response. It asks an
// entry for the list of entries, caches the list for its time to live, sends a
// surge of requests to these entries and compares the responses with the expected
// ones. If an entry does not respond, the request is retried at the next entry
// with the same idempotency key, if it has one, as a real caller would do.
package citronload

import (
	"context"
	"net/http"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronfleet"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Plan describes one surge of requests.
type Plan struct {
	Entry     string // the entry to ask for the list of entries
	Zone      string // the caller's zone
	Fleet     citronfleet.Fleet
	Count     int     // requests to send
	Rate      float64 // requests per second; 0 means as fast as Workers allow
	Workers   int     // concurrent callers
	MaxTokens int     // tokens per model request
	// Tries is the maximum number of times one request is sent, across
	// entries. TryTimeout limits each of them, as a frozen entry never
	// responds; 0 means no limit.
	Tries      int
	TryTimeout time.Duration
	// Urgent is the share of the requests sent with urgentPriority, from 0 to
	// 1.
	Urgent float64
	// Service, if set, is the only service that requests are sent to.
	Service string
	// Prefix makes the prompts, bodies and idempotency keys of this run unique.
	Prefix string
}

// urgentPriority is the priority of urgent requests.
const urgentPriority = 9

// job is one request of a surge.
type job struct {
	index int // position in the surge, from 0
	svc   citronfleet.Service
}

// Run sends the surge and checks every response.
func Run(ctx context.Context, hc *http.Client, p Plan) (Report, error) {
	dir := &entryCache{hc: hc, seed: p.Entry, zone: p.Zone}
	entries, err := dir.list(ctx)
	if err != nil {
		return Report{}, err
	}
	if len(entries) == 0 {
		return Report{}, errors.Newf("%s lists no entries", p.Entry)
	}
	r := Report{Latency: hdrhistogram.New(1, 60_000_000, 3), Entries: len(entries)}
	var services []citronfleet.Service
	for _, s := range p.Fleet.Services {
		if p.Service != "" && s.Name != p.Service {
			continue
		}
		services = append(services, s)
		if s.Kind == citronfleet.Model {
			r.BoundTokensPerSecond += s.MaxTokenRate()
		}
	}
	if len(services) == 0 {
		return Report{}, errors.Newf("the fleet text has no service %q", p.Service)
	}
	jobs := make(chan job)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for range max(1, p.Workers) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range jobs {
				began := time.Now()
				o := submit(ctx, hc, p, dir, j)
				mu.Lock()
				_ = r.Latency.RecordValue(time.Since(began).Microseconds())
				r.add(o)
				mu.Unlock()
			}
		}()
	}
	var ticker *time.Ticker
	if p.Rate > 0 {
		ticker = time.NewTicker(time.Duration(float64(time.Second) / p.Rate))
		defer ticker.Stop()
	}
	for i := range p.Count {
		if ticker != nil {
			<-ticker.C
		}
		jobs <- job{index: i, svc: services[i%len(services)]}
	}
	close(jobs)
	wg.Wait()
	r.Elapsed = time.Since(start)
	r.Doubled, r.Unchecked = countDoubled(ctx, hc, p)
	return r, nil
}
