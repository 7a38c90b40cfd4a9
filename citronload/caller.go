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
	"github.com/cockroachdb/errors"
)

// submitBody and submitAnswer are the caller API's shapes.
type submitBody struct {
	Customer  string `json:"customer"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Body      string `json:"body,omitempty"`
	Priority  int    `json:"priority,omitempty"`
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

// directory is a caller's list of entries: asked for, and kept for its
// time to live.
type directory struct {
	hc   *http.Client
	ask  string
	zone string

	mu      sync.Mutex
	entries []string
	until   time.Time
}

// list returns the entries to use. Once the list has expired it asks the
// entries on it, one after the other; if none answers it keeps the list.
func (d *directory) list(ctx context.Context) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.until) {
		return d.entries, nil
	}
	var last error
	for _, addr := range append([]string{d.ask}, d.entries...) {
		entries, ttl, err := Discover(ctx, d.hc, addr, d.zone)
		if err != nil || len(entries) == 0 {
			last = err
			continue
		}
		d.entries, d.until = entries, time.Now().Add(ttl)
		return d.entries, nil
	}
	d.until = time.Now().Add(time.Second)
	return d.entries, last
}

// discoverTimeout bounds asking one entry for the list.
const discoverTimeout = time.Second

// Discover asks entry which entries to use.
func Discover(ctx context.Context, hc *http.Client, entry, zone string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
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

// one sends one request until it has its final answer or its tries are
// used up.
func one(ctx context.Context, hc *http.Client, p Plan, dir *directory, j job) outcome {
	cust := p.Fleet.Customers[j.i%len(p.Fleet.Customers)].Name
	b := submitBody{Customer: cust}
	if float64(j.i%100) < 100*p.Urgent {
		b.Priority = urgentPriority
	}
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
	tried := map[string]bool{}
	for t := 0; t < tries; t++ {
		entries, _ := dir.list(ctx) // on an error the list held so far
		addr := next(entries, j.i+t, tried)
		tried[addr] = true
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

// next picks the entry of the t-th try: one that has not been tried, if any
// is left.
func next(entries []string, t int, tried map[string]bool) string {
	for i := range entries {
		if addr := entries[(t+i)%len(entries)]; !tried[addr] {
			return addr
		}
	}
	return entries[t%len(entries)]
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
