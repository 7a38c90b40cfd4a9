package citronforward_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronquarantine"
	"citrondeck.dev/citrondeck/citrontable"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/prometheus/client_golang/prometheus"
)

// receivedCall is one call that the fake engines received.
type receivedCall struct {
	engine     string
	afterEvent string
	path       citronpath.Path
	noRetry    bool
}

// fakeEngines answers calls with the functions that the test sets.
type fakeEngines struct {
	mu      sync.Mutex
	calls   []receivedCall
	repaths []citronpath.Path
	answer  func(ctx context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error)
	report  func(addr string) (citronupstream.Report, error)
	repath  func(path citronpath.Path) error
}

func (f *fakeEngines) Send(ctx context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	f.mu.Lock()
	n := len(f.calls)
	f.calls = append(f.calls, receivedCall{engine: c.Engine.ID, afterEvent: c.AfterEvent, path: c.EnginePath, noRetry: c.NoRetry})
	f.mu.Unlock()
	return f.answer(ctx, n, c)
}

func (f *fakeEngines) Report(_ context.Context, addr string) (citronupstream.Report, error) {
	if f.report == nil {
		return citronupstream.Report{}, nil
	}
	return f.report(addr)
}

func (f *fakeEngines) Repath(_ context.Context, _, _ string, p citronpath.Path) error {
	f.mu.Lock()
	f.repaths = append(f.repaths, p)
	f.mu.Unlock()
	if f.repath == nil {
		return nil
	}
	return f.repath(p)
}

func (f *fakeEngines) received() []receivedCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedCall(nil), f.calls...)
}

// caller is a Sink that records the response to one request.
type caller struct {
	status     int
	retryAfter time.Duration
	body       string
	aborted    bool
	refused    bool
	reason     string
}

func (c *caller) Answer(status int, _ http.Header, body []byte) {
	c.status, c.body = status, string(body)
}

func (c *caller) Refuse(status int, after time.Duration, reason string) {
	c.status, c.retryAfter, c.refused, c.reason = status, after, true, reason
}
func (c *caller) Begin(status int, _ http.Header) { c.status = status }
func (c *caller) Event(text []byte) error         { c.body += string(text); return nil }
func (c *caller) Abort()                          { c.aborted = true }

var spec = citronmodel.Spec{
	Layers: 8, LayerMB: 1000, TokenBytes: 8000, StepMS: 1, PerSeqMS: 0.005, ContextMSPerK: 0.006, PromptTokensPerS: 160_000, Slots: 8,
	Kinds: map[string]citronmodel.Kind{"fast": {Name: "fast", MemoryMB: 10_000, StepFactor: 2, PromptFactor: 3}},
}

func modelEngine(id, zone string, from, to int) citronmodel.Engine {
	return citronmodel.Engine{ID: id, Service: "model", Addr: id + ":1", Zone: zone, Kind: "fast", Layers: citronmodel.Span{From: from, To: to}}
}

func plainEngine(id, zone string) citronmodel.Engine {
	return citronmodel.Engine{ID: id, Service: "app", Addr: id + ":1", Zone: zone}
}

// testForwarder is a forwarder in zone "a" that sends to fake engines.
type testForwarder struct {
	*citronforward.Forwarder
	engines *fakeEngines
	view    *citronpool.View
}

func newTestForwarder(t *testing.T, engines ...citronmodel.Engine) *testForwarder {
	t.Helper()
	route := func(name string, kind citrontable.Kind, service string, attempts int) citrontable.Route {
		return citrontable.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 10 * time.Second, TargetLatency: 100 * time.Millisecond,
			MaxEventGap: 250 * time.Millisecond, MaxAttempts: attempts, Services: []citrontable.WeightedService{{Service: service, Weight: 1}},
			Resumable: kind == citrontable.Streaming, Public: name == "public",
		}
	}
	table := citrontable.New(7, []citrontable.Route{
		route("safe", citrontable.Safe, "app", 2), route("unsafe", citrontable.Unsafe, "app", 1),
		route("stream", citrontable.Streaming, "model", 2), route("public", citrontable.Safe, "app", 2),
	}, []citrontable.Service{{Name: "app"}, {Name: "model", Model: &spec}},
		[]citrontable.Customer{{Name: "council", Keys: []string{"k1"}}}, citrontable.Limits{MaxBodyBytes: 100})
	r := &testForwarder{engines: &fakeEngines{}, view: citronpool.Build(engines, nil)}
	state := &citronforward.State{Table: table, View: r.view, OtherNodesCache: map[string]int64{}}
	r.Forwarder = &citronforward.Forwarder{
		Zone: "a", Clock: citronclock.Real{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Upstream: r.engines,
		Budget: newBudget(200),
		Loads:  &citronpool.ZoneLoads{},

		Quarantine: citronquarantine.New("n", citronclock.Real{}), Parts: citronpart.New(citronclock.Real{}),
		Limits:  citronlimit.NewRegistry(citronclock.Real{}),
		Current: func() *citronforward.State { return state },
		Metrics: citronforward.NewMetrics(prometheus.NewRegistry()),
	}
	return r
}

// newBudget returns the retry budget of the only node of a fleet, which has run for a while.
func newBudget(slack float64) *citronbudget.Budget {
	b := citronbudget.New(citronbudget.Limits{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}, time.Now().Add(-time.Minute))
	b.UpdateFleet(nil, citronbudget.Share{Parts: 1}, time.Now())
	return b
}

// ask sends a request to a route and returns what the caller got.
func (r *testForwarder) ask(route string, wait time.Duration, change ...func(*citronupstream.Request)) *caller {
	return r.askUntil(context.Background(), route, wait, change...)
}

// askUntil is ask for a request whose context is ctx.
func (r *testForwarder) askUntil(ctx context.Context, route string, wait time.Duration, change ...func(*citronupstream.Request)) *caller {
	req := &citronupstream.Request{
		ID: "r1", Method: "POST", Host: "h", Path: "/" + route + "/x", Target: "/" + route + "/x", Header: http.Header{},
		Received: time.Now(), CallerTimeout: wait, APIKey: "k1", PromptTokens: 100, OutputTokens: 20,
	}
	for _, f := range change {
		f(req)
	}
	c := &caller{}
	r.Serve(ctx, req, c)
	return c
}

func reply(status int, body string) *citronupstream.Reply {
	return &citronupstream.Reply{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), FromEngine: true}
}

func refusal(accusedAddr string) *citronupstream.Reply {
	r := reply(http.StatusServiceUnavailable, "")
	r.NotExecuted, r.AccusedAddr, r.FromEngine = true, accusedAddr, false
	return r
}
