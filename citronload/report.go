package citronload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronplain"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report summarizes the results of a surge. Its counts are requests unless a
// comment says otherwise.
type Report struct {
	// Replayed requests got a recorded response from the ledger. Lost requests
	// got no response in any of their tries.
	Sent, Served, Replayed int64
	NotRun, Unknown, Lost  int64
	// Misdelivered requests got a wrong response. Doubled is the number of
	// idempotency keys whose request a plain service ran more than once.
	Misdelivered, Doubled int64
	Tokens                int64
	Elapsed               time.Duration
	Latency               *hdrhistogram.Histogram // in microseconds
	// BoundTokensPerSecond is the sum of the maximum rates of the model services
	// in the surge (see Service.MaxTokenRate in citronfleet).
	BoundTokensPerSecond float64
	Entries              int // entries on the list at the start
	// FailedTries is the number of tries without a response: connection
	// refused or reset, or timeout.
	FailedTries   int64
	NonIdempotent int64
	// Unchecked is the number of upstreams that did not return what they ran.
	// Doubled does not include their runs.
	Unchecked int
}

// outcome is the result of one request. final is the outcome or error code of the
// last response, "http_" and the status if that response has neither, or "lost" if
// there was no response.
type outcome struct {
	final         string
	tokens        int
	misdelivered  bool
	failedTries   int64
	nonIdempotent bool
}

// add counts one request. One that ended with another error code than those listed
// counts only as sent.
func (r *Report) add(o outcome) {
	r.Sent++
	r.FailedTries += o.failedTries
	if o.nonIdempotent {
		r.NonIdempotent++
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

// executionsTimeout is the timeout for asking one upstream what it ran.
const executionsTimeout = 5 * time.Second

// countDoubled asks every upstream of the non-idempotent plain services how often
// it ran each idempotency key. It returns the number of keys of this run that ran
// more than once, and the number of upstreams that could not be asked.
func countDoubled(ctx context.Context, hc *http.Client, p Plan) (n int64, unchecked int) {
	runs := map[string]int{}
	asked := map[string]bool{} // services may share upstreams; ask each once
	for _, s := range p.Fleet.Services {
		if s.Kind != citronfleet.Plain || s.IsIdempotent() {
			continue
		}
		for _, u := range s.Upstreams {
			if asked[u.Addr] {
				continue
			}
			asked[u.Addr] = true
			got, err := executions(ctx, hc, u.Addr)
			if err != nil {
				unchecked++
				continue
			}
			for k, n := range got {
				runs[k] += n
			}
		}
	}
	for k, c := range runs {
		if c > 1 && len(k) > len(p.Prefix) && k[:len(p.Prefix)] == p.Prefix {
			n++
		}
	}
	return n, unchecked
}

// executions returns how often the upstream at addr ran each idempotency key.
func executions(ctx context.Context, hc *http.Client, addr string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, executionsTimeout)
	defer cancel()
	return citronplain.NewClient(hc, "http://"+addr).Executions(ctx)
}

// Print writes the report as human-readable text.
func (r Report) Print(w io.Writer) {
	secs := r.Elapsed.Seconds()
	fmt.Fprintf(w, "entries used        %d\n", r.Entries)
	fmt.Fprintf(w, "requests            %d (%d non-idempotent)\n", r.Sent, r.NonIdempotent)
	fmt.Fprintf(w, "served              %d (+%d replayed from the ledger)\n", r.Served, r.Replayed)
	fmt.Fprintf(w, "not run             %d\n", r.NotRun)
	fmt.Fprintf(w, "outcome unknown     %d\n", r.Unknown)
	fmt.Fprintf(w, "lost                %d\n", r.Lost)
	fmt.Fprintf(w, "doubled             %d\n", r.Doubled)
	if r.Unchecked > 0 {
		fmt.Fprintf(w, "not asked           %d upstreams could not say what they ran\n", r.Unchecked)
	}
	fmt.Fprintf(w, "misdelivered        %d\n", r.Misdelivered)
	fmt.Fprintf(w, "throughput          %.1f req/s, %.1f tokens/s over %.2fs\n", float64(r.Sent)/secs, float64(r.Tokens)/secs, secs)
	if r.BoundTokensPerSecond > 0 {
		fmt.Fprintf(w, "token bound         %.0f tokens/s (achieved/bound %.3f)\n", r.BoundTokensPerSecond, float64(r.Tokens)/secs/r.BoundTokensPerSecond)
	}
	fmt.Fprintf(w, "latency ms          p50 %.1f  p95 %.1f  p99 %.1f  max %.1f\n",
		float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(95))/1000,
		float64(r.Latency.ValueAtQuantile(99))/1000, float64(r.Latency.Max())/1000)
	fmt.Fprintf(w, "tries that failed   %d\n", r.FailedTries)
}
