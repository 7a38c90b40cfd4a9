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

// submitRequest is the body of a request to a service in the caller API.
type submitRequest struct {
	Customer  string `json:"customer"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Body      string `json:"body,omitempty"`
	Priority  int    `json:"priority,omitempty"`
}

// submitResponse is the body of the caller API's response.
type submitResponse struct {
	RequestID string   `json:"request_id"`
	Outcome   string   `json:"outcome"`
	Tokens    []string `json:"tokens"`
	Result    string   `json:"result"`
	Code      string   `json:"code"`
}

// entriesResponse is the list of entries that an entry returns.
type entriesResponse struct {
	Entries []struct {
		Addr string `json:"addr"`
	} `json:"entries"`
	TTLSeconds int `json:"ttl_seconds"`
}

// entryCache caches a caller's list of entries for its time to live.
type entryCache struct {
	hc   *http.Client
	seed string // the entry to ask first
	zone string

	mu      sync.Mutex
	entries []string
	expires time.Time
}

// list returns the entries to use. If the cached list has expired, it asks the
// seed and then the entries on the list for a new one. If none returns a
// non-empty list, it returns the old list and does not ask again for a second. The
// error is then that of the last entry asked, or nil if that entry returned an
// empty list. Calls during that second return the old list without an error.
func (d *entryCache) list(ctx context.Context) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expires) {
		return d.entries, nil
	}
	var lastErr error
	for _, addr := range append([]string{d.seed}, d.entries...) {
		entries, ttl, err := Discover(ctx, d.hc, addr, d.zone)
		if err != nil || len(entries) == 0 {
			lastErr = err
			continue
		}
		d.entries, d.expires = entries, time.Now().Add(ttl)
		return d.entries, nil
	}
	d.expires = time.Now().Add(time.Second)
	return d.entries, lastErr
}

// discoverTimeout is the timeout for asking one entry for the list.
const discoverTimeout = time.Second

// Discover asks an entry which entries a caller in zone should use. It returns
// their addresses and the time to live of the list.
func Discover(ctx context.Context, hc *http.Client, entry, zone string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries?zone="+zone, nil)
	res, err := hc.Do(req)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "ask %s for the list of entries", entry)
	}
	defer res.Body.Close()
	var a entriesResponse
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		return nil, 0, errors.Wrapf(err, "decode the list of entries from %s", entry)
	}
	out := make([]string, 0, len(a.Entries))
	for _, e := range a.Entries {
		out = append(out, e.Addr)
	}
	return out, time.Duration(a.TTLSeconds) * time.Second, nil
}

// submit sends one request until it has a final response or its tries are used
// up. Each try goes to another entry while there is an untried one. A request to a
// non-idempotent service carries the same idempotency key in all tries.
func submit(ctx context.Context, hc *http.Client, p Plan, dir *entryCache, j job) outcome {
	customer := p.Fleet.Customers[j.index%len(p.Fleet.Customers)].Name
	b := submitRequest{Customer: customer}
	if float64(j.index%100) < 100*p.Urgent {
		b.Priority = urgentPriority
	}
	key := ""
	if j.svc.Kind == citronfleet.Model {
		b.Prompt = fmt.Sprintf("%s-prompt-%d", p.Prefix, j.index)
		b.MaxTokens = p.MaxTokens
	} else {
		b.Body = fmt.Sprintf("%s-body-%d", p.Prefix, j.index)
	}
	o := outcome{final: "lost", nonIdempotent: !j.svc.IsIdempotent()}
	if o.nonIdempotent {
		key = fmt.Sprintf("%s-key-%d", p.Prefix, j.index)
	}
	payload, _ := json.Marshal(b)
	tries := max(1, p.Tries)
	tried := map[string]bool{}
	for t := 0; t < tries; t++ {
		entries, _ := dir.list(ctx) // on an error, the old list
		addr := pickEntry(entries, j.index+t, tried)
		tried[addr] = true
		res, a, err := post(ctx, hc, "http://"+addr+"/v1/services/"+j.svc.Name+"/requests", key, payload, p.TryTimeout)
		if err != nil {
			o.failedTries++ // connection refused or reset, or timeout: try the next entry
			continue
		}
		if res.StatusCode == http.StatusOK {
			o.final = a.Outcome
			o.tokens = len(a.Tokens)
			o.misdelivered = !isCorrect(j.svc, b, a)
			return o
		}
		o.final = a.Code
		if a.Code == "" {
			o.final = "http_" + strconv.Itoa(res.StatusCode)
		}
		retryAfter, _ := strconv.Atoi(res.Header.Get("Retry-After"))
		switch a.Code {
		case "not_run", "draining", "overloaded", "in_progress", "outcome_unknown":
			if retryAfter > 0 && t < tries-1 {
				time.Sleep(time.Duration(min(retryAfter, 2)) * time.Second)
			}
			continue
		}
		return o
	}
	return o
}

// pickEntry returns the first entry at or after position t, taken modulo the length
// of the list, that has not been tried, or the one at position t if all have.
func pickEntry(entries []string, t int, tried map[string]bool) string {
	for i := range entries {
		if addr := entries[(t+i)%len(entries)]; !tried[addr] {
			return addr
		}
	}
	return entries[t%len(entries)]
}

// post sends the request once and reads the whole response.
func post(ctx context.Context, hc *http.Client, url, key string, payload []byte, timeout time.Duration) (*http.Response, submitResponse, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var a submitResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, a, errors.Wrap(err, "create request")
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
		return nil, a, errors.Wrapf(err, "read response from %s", url)
	}
	_ = json.Unmarshal(body, &a)
	return res, a, nil
}

// isCorrect reports whether a is the response that the service must give to b.
func isCorrect(svc citronfleet.Service, b submitRequest, a submitResponse) bool {
	if svc.Kind == citronfleet.Model {
		return slices.Equal(a.Tokens, citronengine.Oracle(b.Prompt, svc.Layers, b.MaxTokens))
	}
	return a.Result == citronplain.Result(svc.Name, b.Customer, b.Body)
}
