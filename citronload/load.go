// Package citronload is the caller side of experiments: it asks an entry
// which entries to use, keeps that answer for its time to live, fires a
// surge of requests at them and checks every answer against an oracle.
// A caller whose entry refuses the connection moves to the next entry on
// its list, with the same idempotency key, as a real caller would.
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

// Plan is one surge.
type Plan struct {
	Entry     string // an entry to ask for the list
	Zone      string
	Fleet     citronfleet.Fleet
	Count     int
	Rate      float64 // requests per second; 0 is as fast as Workers allow
	Workers   int
	MaxTokens int
	// Tries bounds how often one request is sent (across entries), and
	// TryTimeout how long one of them may take: an entry that is frozen
	// never answers.
	Tries      int
	TryTimeout time.Duration
	// Urgent is the share of the requests sent with urgentPriority.
	Urgent float64
	// Service, when set, is the only one requests go to.
	Service string
	// Prefix makes prompts and keys unique to this run.
	Prefix string
}

const urgentPriority = 9

type job struct {
	i   int
	svc citronfleet.Service
}

// Run fires the surge and checks every answer.
func Run(ctx context.Context, hc *http.Client, p Plan) (Report, error) {
	dir := &directory{hc: hc, ask: p.Entry, zone: p.Zone}
	entries, err := dir.list(ctx)
	if err != nil {
		return Report{}, err
	}
	r := Report{Latency: hdrhistogram.New(1, 60_000_000, 3), Entries: len(entries)}
	var services []citronfleet.Service
	for _, s := range p.Fleet.Services {
		if p.Service != "" && s.Name != p.Service {
			continue
		}
		services = append(services, s)
		if s.Kind == citronfleet.Model {
			r.BoundTokensPerSecond += s.Bound()
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
				t0 := time.Now()
				o := one(ctx, hc, p, dir, j)
				mu.Lock()
				_ = r.Latency.RecordValue(time.Since(t0).Microseconds())
				r.add(o)
				mu.Unlock()
			}
		}()
	}
	var tick *time.Ticker
	if p.Rate > 0 {
		tick = time.NewTicker(time.Duration(float64(time.Second) / p.Rate))
		defer tick.Stop()
	}
	for i := range p.Count {
		if tick != nil {
			<-tick.C
		}
		jobs <- job{i: i, svc: services[i%len(services)]}
	}
	close(jobs)
	wg.Wait()
	r.Elapsed = time.Since(start)
	r.Doubled, r.Unchecked = doubled(ctx, hc, p)
	return r, nil
}
