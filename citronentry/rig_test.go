package citronentry_test

// The test rig: entries run in-process on loopback listeners against the
// KV stand-in (used directly as the Store, or behind a fake that injects
// faults at the interface), stand-in engines and plain upstreams behind
// httptest servers. A back end can be killed mid-request: its middleware
// then drops every connection, as a dead process would.

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronentry"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/matryer/is"
)

type stage struct {
	name     string
	from, to int
	// runs overrides the layers the engine really runs (a misconfigured
	// engine); zero values mean from, to.
	runFrom, runTo int
}

type backendHandle struct {
	engine *citronengine.Engine
	srv    *httptest.Server
	steps  atomic.Int64
	// dieAfter kills the back end after that many steps (0: never).
	dieAfter int64
	dead     atomic.Bool
	// hold, when set, keeps each call waiting until it is closed.
	hold chan struct{}
}

func (b *backendHandle) addr() string { return strings.TrimPrefix(b.srv.URL, "http://") }

// kill makes the back end drop every connection from now on.
func (b *backendHandle) kill() { b.dead.Store(true) }

func newBackend(mount func(*http.ServeMux)) *backendHandle {
	b := &backendHandle{}
	mux := http.NewServeMux()
	mount(mux)
	b.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := b.steps.Add(1); b.dieAfter > 0 && n > b.dieAfter {
			b.dead.Store(true)
		}
		if b.dead.Load() {
			if hj, ok := w.(http.Hijacker); ok {
				if c, _, err := hj.Hijack(); err == nil {
					_ = c.Close()
				}
			}
			return
		}
		if b.hold != nil {
			<-b.hold
		}
		mux.ServeHTTP(w, r)
	}))
	return b
}

func startEngine(s stage) *backendHandle {
	rf, rt := s.from, s.to
	if s.runTo != 0 {
		rf, rt = s.runFrom, s.runTo
	}
	e := citronengine.New(citronengine.Settings{Name: s.name, From: rf, To: rt})
	b := newBackend(e.Mount)
	b.engine = e
	return b
}

// modelRig is entries in front of a model service "m" of layers layers.
type modelRig struct {
	kv      *citronkv.Server
	engines map[string]*backendHandle
	entries []*citronentry.Entry
	addrs   []string
	cancel  []context.CancelFunc
	done    []chan struct{}
	layers  int
	// instances is what the platform's instance list answers.
	instances atomic.Pointer[[]citronkv.Instance]
	polled    chan struct{}
}

func modelFleet(layers int, stages []stage, engines map[string]*backendHandle) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet: t\nzones: [a]\ncustomers: [{name: c}]\nservices:\n  - name: m\n    kind: model\n    layers: %d\n    engines:\n", layers)
	for _, s := range stages {
		fmt.Fprintf(&b, "      - {name: %s, addr: %q, zone: a, layers: [%d, %d]}\n", s.name, engines[s.name].addr(), s.from, s.to)
	}
	return b.String()
}

func newModelRig(t *testing.T, layers, entries int, stages []stage, store func(*citronkv.Server) citronkv.Store) *modelRig {
	t.Helper()
	r := &modelRig{kv: citronkv.NewServer(citronclock.Real{}, 0), engines: map[string]*backendHandle{}, layers: layers, polled: make(chan struct{}, 64)}
	r.instances.Store(&[]citronkv.Instance{})
	for _, s := range stages {
		r.engines[s.name] = startEngine(s)
	}
	if _, err := r.kv.Put(context.Background(), citronentry.ConfigKey, []byte(modelFleet(layers, stages, r.engines)), citronkv.Absent, 0); err != nil {
		t.Fatal(err)
	}
	var st citronkv.Store = r.kv
	if store != nil {
		st = store(r.kv)
	}
	for i := range entries {
		r.startEntry(t, i, st)
	}
	t.Cleanup(r.stop)
	return r
}

func (r *modelRig) startEntry(t *testing.T, i int, st citronkv.Store) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	instances := func(context.Context) ([]citronkv.Instance, error) {
		select {
		case r.polled <- struct{}{}:
		default:
		}
		return *r.instances.Load(), nil
	}
	set := citronentry.Settings{Name: fmt.Sprintf("entry-%d", i), Listen: ln.Addr().String(), Zone: "a", DrainGrace: time.Millisecond}
	e := citronentry.New(set, citronclock.Real{}, log, st, instances, http.DefaultClient)
	ctx, cancel := context.WithCancel(context.Background())
	d := make(chan struct{})
	go func() { defer close(d); _ = e.Run(ctx, ln) }()
	for e.Revision() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.entries = append(r.entries, e)
	r.addrs = append(r.addrs, ln.Addr().String())
	r.cancel = append(r.cancel, cancel)
	r.done = append(r.done, d)
}

func (r *modelRig) stop() {
	for i, c := range r.cancel {
		c()
		<-r.done[i]
	}
	r.cancel = nil
	for _, b := range r.engines {
		b.srv.Close()
	}
}

type modelAnswer struct {
	status int
	tokens []string
	body   string
}

func (r *modelRig) ask(t *testing.T, entry int, prompt string, tokens int) modelAnswer {
	t.Helper()
	body := fmt.Sprintf(`{"customer":"c","prompt":%q,"max_tokens":%d}`, prompt, tokens)
	res, err := http.Post("http://"+r.addrs[entry]+"/v1/services/m/requests", "application/json", strings.NewReader(body))
	if err != nil {
		// Status 0: the connection failed. Returned, not t.Fatal, so that
		// callers on other goroutines report it instead of hanging.
		return modelAnswer{body: err.Error()}
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	a := modelAnswer{status: res.StatusCode, body: string(b)}
	if i := strings.Index(a.body, `"tokens":[`); i >= 0 {
		list := a.body[i+len(`"tokens":[`):]
		list = list[:strings.Index(list, "]")]
		for _, tok := range strings.Split(list, ",") {
			a.tokens = append(a.tokens, strings.Trim(tok, `"`))
		}
	}
	return a
}

// wantOracle asserts a served answer equal to the oracle's.
func wantOracle(t *testing.T, a modelAnswer, prompt string, layers, tokens int) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.tokens, citronengine.Oracle(prompt, layers, tokens)) // every layer once, in order
}
