// Package citronload is the caller side of experiments: it asks an entry
// which entries to use, keeps that answer for its time to live, fires a
// surge of requests at them and checks every answer against an oracle.
// A caller whose entry refuses the connection moves to the next entry on
// its list, with the same idempotency key, as a real caller would.
package citronload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronplain"
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
	// Service, when set, is the only one requests go to.
	Service string
	// Prefix makes prompts and keys unique to this run.
	Prefix string
}

// Report is what a surge came to.
type Report struct {
	Sent, Served, Replayed      int64
	NotRun, Unknown, Lost       int64
	Misdelivered, Doubled       int64
	Tokens                      int64
	Elapsed                     time.Duration
	Latency                     *hdrhistogram.Histogram
	BoundTokensPerSecond        float64
	Entries                     int
	RefusedConnect, Redirected  int64
	FinalCodes                  map[string]int64
	NonIdempotent, IdempotentRq int64
}

type submitBody struct {
	Customer  string `json:"customer"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Body      string `json:"body,omitempty"`
}

type submitAnswer struct {
	RequestID string   `json:"request_id"`
	Outcome   string   `json:"outcome"`
	Tokens    []string `json:"tokens"`
	Result    string   `json:"result"`
	Code      string   `json:"code"`
}

type entriesAnswer struct {
	Entries []struct {
		Addr string `json:"addr"`
	} `json:"entries"`
	TTLSeconds int `json:"ttl_seconds"`
}

// Discover asks entry which entries to use.
func Discover(ctx context.Context, hc *http.Client, entry, zone string) ([]string, time.Duration, error) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries?zone="+zone, nil)
	res, err := hc.Do(req)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "discover at %s", entry)
	}
	defer res.Body.Close()
	var a entriesAnswer
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		return nil, 0, errors.Wrapf(err, "decode discovery from %s", entry)
	}
	out := make([]string, 0, len(a.Entries))
	for _, e := range a.Entries {
		out = append(out, e.Addr)
	}
	return out, time.Duration(a.TTLSeconds) * time.Second, nil
}

type job struct {
	i   int
	svc citronfleet.Service
}

// Run fires the surge and checks every answer.
func Run(ctx context.Context, hc *http.Client, p Plan) (Report, error) {
	entries, _, err := Discover(ctx, hc, p.Entry, p.Zone)
	if err != nil {
		return Report{}, err
	}
	if len(entries) == 0 {
		entries = []string{p.Entry}
	}
	r := Report{Latency: hdrhistogram.New(1, 60_000_000, 3), Entries: len(entries), FinalCodes: map[string]int64{}}
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
				o := one(ctx, hc, p, entries, j)
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
	r.Doubled = doubled(ctx, hc, p)
	return r, nil
}

type outcome struct {
	final         string
	tokens        int
	misdelivered  bool
	refused       int64
	nonIdempotent bool
}

func (r *Report) add(o outcome) {
	r.Sent++
	r.RefusedConnect += o.refused
	r.FinalCodes[o.final]++
	if o.nonIdempotent {
		r.NonIdempotent++
	} else {
		r.IdempotentRq++
	}
	switch o.final {
	case "served":
		r.Served++
	case "replayed":
		r.Replayed++
	case "not_run", "draining", "overloaded":
		r.NotRun++
	case "outcome_unknown", "in_progress":
		r.Unknown++
	case "lost":
		r.Lost++
	}
	if o.misdelivered {
		r.Misdelivered++
	}
	r.Tokens += int64(o.tokens)
}

func one(ctx context.Context, hc *http.Client, p Plan, entries []string, j job) outcome {
	cust := p.Fleet.Customers[j.i%len(p.Fleet.Customers)].Name
	b := submitBody{Customer: cust}
	key := ""
	if j.svc.Kind == citronfleet.Model {
		b.Prompt = fmt.Sprintf("%s-prompt-%d", p.Prefix, j.i)
		b.MaxTokens = p.MaxTokens
	} else {
		b.Body = fmt.Sprintf("%s-body-%d", p.Prefix, j.i)
	}
	o := outcome{final: "lost", nonIdempotent: !j.svc.IsIdempotent()}
	if o.nonIdempotent {
		key = fmt.Sprintf("%s-key-%d", p.Prefix, j.i)
	}
	payload, _ := json.Marshal(b)
	tries := max(1, p.Tries)
	for t := 0; t < tries; t++ {
		addr := entries[(j.i+t)%len(entries)]
		res, a, err := post(ctx, hc, "http://"+addr+"/v1/services/"+j.svc.Name+"/requests", key, payload, p.TryTimeout)
		if err != nil {
			o.refused++ // refused, reset or timed out: try the next entry
			continue
		}
		if res.StatusCode == http.StatusOK {
			o.final = a.Outcome
			o.tokens = len(a.Tokens)
			o.misdelivered = !correct(j.svc, b, a)
			return o
		}
		o.final = a.Code
		if a.Code == "" {
			o.final = "http_" + strconv.Itoa(res.StatusCode)
		}
		ra, _ := strconv.Atoi(res.Header.Get("Retry-After"))
		switch a.Code {
		case "not_run", "draining", "overloaded", "in_progress", "outcome_unknown":
			if ra > 0 && t < tries-1 {
				time.Sleep(time.Duration(min(ra, 2)) * time.Second)
			}
			continue
		}
		return o
	}
	return o
}

// post sends one try and reads its whole answer.
func post(ctx context.Context, hc *http.Client, url, key string, payload []byte, timeout time.Duration) (*http.Response, submitAnswer, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var a submitAnswer
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, a, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := hc.Do(req)
	if err != nil {
		return nil, a, errors.Wrapf(err, "send to %s", url)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, a, errors.Wrapf(err, "read answer from %s", url)
	}
	_ = json.Unmarshal(body, &a)
	return res, a, nil
}

func correct(svc citronfleet.Service, b submitBody, a submitAnswer) bool {
	if svc.Kind == citronfleet.Model {
		return slices.Equal(a.Tokens, citronengine.Oracle(b.Prompt, svc.Layers, b.MaxTokens))
	}
	return a.Result == citronplain.Result(svc.Name, b.Customer, b.Body)
}

// doubled asks every upstream of a non-idempotent plain service how often
// each key of this run ran, and counts keys that ran more than once.
func doubled(ctx context.Context, hc *http.Client, p Plan) int64 {
	runs := map[string]int{}
	asked := map[string]bool{} // services may share upstreams: ask each once
	for _, s := range p.Fleet.Services {
		if s.Kind != citronfleet.Plain || s.IsIdempotent() {
			continue
		}
		for _, u := range s.Upstreams {
			if asked[u.Addr] {
				continue
			}
			asked[u.Addr] = true
			got, err := citronplain.NewClient(hc, "http://"+u.Addr).Executions(ctx)
			if err != nil {
				continue
			}
			for k, n := range got {
				runs[k] += n
			}
		}
	}
	var n int64
	for k, c := range runs {
		if c > 1 && len(k) > len(p.Prefix) && k[:len(p.Prefix)] == p.Prefix {
			n++
		}
	}
	return n
}

// Print writes the report for a person.
func (r Report) Print(w io.Writer) {
	secs := r.Elapsed.Seconds()
	fmt.Fprintf(w, "entries used        %d\n", r.Entries)
	fmt.Fprintf(w, "requests            %d (%d non-idempotent)\n", r.Sent, r.NonIdempotent)
	fmt.Fprintf(w, "served              %d (+%d replayed from the ledger)\n", r.Served, r.Replayed)
	fmt.Fprintf(w, "not run             %d\n", r.NotRun)
	fmt.Fprintf(w, "outcome unknown     %d\n", r.Unknown)
	fmt.Fprintf(w, "lost                %d\n", r.Lost)
	fmt.Fprintf(w, "doubled             %d\n", r.Doubled)
	fmt.Fprintf(w, "misdelivered        %d\n", r.Misdelivered)
	fmt.Fprintf(w, "throughput          %.1f req/s, %.1f tokens/s over %.2fs\n", float64(r.Sent)/secs, float64(r.Tokens)/secs, secs)
	if r.BoundTokensPerSecond > 0 {
		fmt.Fprintf(w, "token bound         %.0f tokens/s (achieved/bound %.3f)\n", r.BoundTokensPerSecond, float64(r.Tokens)/secs/r.BoundTokensPerSecond)
	}
	fmt.Fprintf(w, "latency ms          p50 %.1f  p95 %.1f  p99 %.1f  max %.1f\n",
		float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(95))/1000,
		float64(r.Latency.ValueAtQuantile(99))/1000, float64(r.Latency.Max())/1000)
	fmt.Fprintf(w, "tries that failed   %d\n", r.RefusedConnect)
}
