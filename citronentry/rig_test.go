package citronentry_test

// The test rig: entries run in-process on loopback listeners against the
// KV stand-in (used directly as the Store, or behind a fake that injects
// faults at the interface), stand-in engines and plain upstreams behind
// httptest servers whose middleware injects faults.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronconfig"
	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronentry"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronplain"
	"citrondeck.dev/citrondeck/citronport"
	"github.com/matryer/is"
)

// fault is what a back end's middleware does to each call.
type fault int32

const (
	healthy     fault = iota
	resetBefore       // drops the connection before the call runs
	resetAfter        // runs the call, then drops the connection
	frozen            // answers nothing, neither calls nor probes
	garbage           // answers with a body that is not of the protocol
	garbageWork       // the same, but for probes, which it answers
	refused           // nothing listens
)

type backendHandle struct {
	engine *citronengine.Engine
	plain  *citronplain.Server
	srv    *httptest.Server
	fault  atomic.Int32
	// work counts calls that ask for work (steps and plain calls).
	work atomic.Int64
	// dieAfter kills the back end after that many of them (0: never).
	dieAfter int64
	// freezeAfter freezes it after that many (0: never).
	freezeAfter int64
	mux         atomic.Pointer[http.ServeMux]
	// hold, when set, keeps each call for work waiting until it is closed.
	hold     chan struct{}
	thaw     chan struct{}
	thawOnce sync.Once
	// reserved keeps the address after the server has closed.
	reserved *citronport.Reservation
}

func (b *backendHandle) addr() string { return b.srv.Listener.Addr().String() }

// listen starts the server on a reserved address.
func (b *backendHandle) listen() {
	var err error
	if b.reserved, err = citronport.Reserve(); err != nil {
		panic(err)
	}
	_ = b.srv.Listener.Close() // the one that httptest opened
	if b.srv.Listener, err = b.reserved.Listen(); err != nil {
		panic(err)
	}
	b.srv.Start()
}

func (b *backendHandle) set(f fault) {
	if f == refused {
		b.srv.Close()
		b.reserved.Claim()
		return
	}
	b.fault.Store(int32(f))
}

// stop ends the back end, letting frozen calls go first.
func (b *backendHandle) stop() {
	b.thawOnce.Do(func() { close(b.thaw) })
	b.srv.CloseClientConnections()
	b.srv.Close()
	b.reserved.Release()
}

func drop(w http.ResponseWriter) {
	if hj, ok := w.(http.Hijacker); ok {
		if c, _, err := hj.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

func newBackend(mount func(*http.ServeMux)) *backendHandle {
	b := &backendHandle{thaw: make(chan struct{})}
	b.mux.Store(http.NewServeMux())
	mount(b.mux.Load())
	b.srv = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux := b.mux.Load()
		work := strings.HasSuffix(r.URL.Path, "/Step") || strings.HasSuffix(r.URL.Path, "/Call")
		if work {
			n := b.work.Add(1)
			if b.dieAfter > 0 && n > b.dieAfter {
				b.set(resetBefore)
			}
			if b.freezeAfter > 0 && n > b.freezeAfter {
				b.set(frozen)
			}
		}
		switch f := fault(b.fault.Load()); f {
		case resetBefore:
			drop(w)
			return
		case resetAfter:
			mux.ServeHTTP(httptest.NewRecorder(), r)
			drop(w)
			return
		case frozen:
			<-b.thaw
			return
		case garbage, garbageWork:
			if f == garbageWork && !work {
				break
			}
			_, _ = io.WriteString(w, "<html>not the protocol</html>")
			return
		}
		if b.hold != nil && work {
			<-b.hold
		}
		mux.ServeHTTP(w, r)
	}))
	b.listen()
	return b
}

// deck is entries in front of one fleet, and the stand-ins around them.
type deck struct {
	kv      *citronkv.Server
	store   citronkv.Store
	entries []*citronentry.Entry
	addrs   []string
	cancel  []context.CancelFunc
	done    []chan struct{}
	// instances is what the platform's instance list answers.
	instances atomic.Pointer[[]citronkv.Instance]
	polled    chan struct{}
	// tune changes an entry's settings before it starts.
	tune func(*citronentry.Settings)
}

func newDeck() *deck {
	d := &deck{kv: citronkv.NewServer(citronclock.Real{}, 0), polled: make(chan struct{}, 64)}
	d.store = d.kv
	d.instances.Store(&[]citronkv.Instance{})
	return d
}

func (d *deck) apply(t testing.TB, fleet string) {
	t.Helper()
	if _, err := d.kv.Put(context.Background(), citronconfig.Key, []byte(fleet), citronkv.AnyRevision, 0); err != nil {
		t.Fatal(err)
	}
}

func (d *deck) start(t testing.TB, entries int) {
	t.Helper()
	for range entries {
		d.startEntry(t)
	}
}

func (d *deck) startEntry(t testing.TB) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	instances := func(context.Context) ([]citronkv.Instance, error) {
		select {
		case d.polled <- struct{}{}:
		default:
		}
		return *d.instances.Load(), nil
	}
	set := citronentry.Settings{Name: fmt.Sprintf("entry-%d", len(d.entries)), Listen: ln.Addr().String(), Zone: "a", DrainGrace: time.Millisecond}
	// A machine that stalls for a moment must not make a busy back end look
	// frozen: what the tests check is the answer, not how soon it comes.
	set.ProbeTimeout = time.Second
	if d.tune != nil {
		d.tune(&set)
	}
	e := citronentry.New(set, citronclock.Real{}, log, d.store, instances, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx, ln) }()
	for e.Revision().IsZero() {
		time.Sleep(time.Millisecond)
	}
	d.entries = append(d.entries, e)
	d.addrs = append(d.addrs, ln.Addr().String())
	d.cancel = append(d.cancel, cancel)
	d.done = append(d.done, done)
}

func (d *deck) stop() {
	for i, c := range d.cancel {
		c()
		<-d.done[i]
	}
	d.cancel = nil
}

type answer struct {
	status     int
	body       string
	retryAfter string
	tokens     []string
	code       string
	outcome    string
}

// post sends one request. Status 0 means the connection failed; it is
// returned, not fatal, so that callers on other goroutines report it.
func (d *deck) post(entry int, path, key, body string) answer {
	req, _ := http.NewRequest(http.MethodPost, "http://"+d.addrs[entry]+path, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	var v struct {
		Tokens  []string `json:"tokens"`
		Code    string   `json:"code"`
		Outcome string   `json:"outcome"`
	}
	_ = json.Unmarshal(b, &v)
	return answer{status: res.StatusCode, body: string(b), retryAfter: res.Header.Get("Retry-After"), tokens: v.Tokens, code: v.Code, outcome: v.Outcome}
}

type stage struct {
	name     string
	from, to int
	// runs overrides the layers the engine really runs (a misconfigured
	// engine); zero values mean from, to.
	runFrom, runTo int
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

// modelRig is a deck with a model service "m".
type modelRig struct {
	*deck
	engines map[string]*backendHandle
	layers  int
}

func modelFleet(layers int, stages []stage, engines map[string]*backendHandle) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet: t\nzones: [a, b]\ncustomers: [{name: c}]\nservices:\n  - name: m\n    kind: model\n    layers: %d\n    engines:\n", layers)
	first := map[int]bool{}
	for _, s := range stages {
		fmt.Fprintf(&b, "      - {name: %s, addr: %q, zone: %s, layers: [%d, %d]}\n", s.name, engines[s.name].addr(), zoneOf(first, s.from), s.from, s.to)
	}
	return b.String()
}

// zoneOf puts the first back end of each kind in the entries' zone and the
// others elsewhere, so that with equal load the first is chosen.
func zoneOf(first map[int]bool, kind int) string {
	if first[kind] {
		return "b"
	}
	first[kind] = true
	return "a"
}

func newModelRig(t testing.TB, layers, entries int, stages []stage, store func(*citronkv.Server) citronkv.Store) *modelRig {
	t.Helper()
	return newTunedRig(t, layers, entries, stages, store, nil)
}

func newTunedRig(t testing.TB, layers, entries int, stages []stage, store func(*citronkv.Server) citronkv.Store, tune func(*citronentry.Settings)) *modelRig {
	t.Helper()
	r := &modelRig{deck: newDeck(), engines: map[string]*backendHandle{}, layers: layers}
	r.tune = tune
	for _, s := range stages {
		r.engines[s.name] = startEngine(s)
	}
	r.apply(t, modelFleet(layers, stages, r.engines))
	if store != nil {
		r.store = store(r.kv)
	}
	r.start(t, entries)
	t.Cleanup(r.stop)
	return r
}

func (r *modelRig) stop() {
	r.deck.stop()
	for _, b := range r.engines {
		b.stop()
	}
}

func (r *modelRig) ask(entry int, prompt string, tokens int) answer {
	return r.post(entry, "/v1/services/m/requests", "", fmt.Sprintf(`{"customer":"c","prompt":%q,"max_tokens":%d,"deadline_ms":600000}`, prompt, tokens))
}

// wantOracle asserts a served answer equal to the oracle's.
func wantOracle(t *testing.T, a answer, prompt string, layers, tokens int) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.tokens, citronengine.Oracle(prompt, layers, tokens)) // every layer once, in order
}

// plainRig is a deck with a non-idempotent service "release" and an
// idempotent one, "summary", on the same upstreams.
type plainRig struct {
	*deck
	ups []*backendHandle
}

func newPlainRig(t testing.TB, entries, upstreams int) *plainRig {
	t.Helper()
	r := &plainRig{deck: newDeck()}
	var list []string
	first := map[int]bool{}
	for i := range upstreams {
		s := citronplain.NewServer(fmt.Sprintf("u%d", i+1))
		b := newBackend(s.Mount)
		b.plain = s
		r.ups = append(r.ups, b)
		list = append(list, fmt.Sprintf("{name: u%d, addr: %q, zone: %s}", i+1, b.addr(), zoneOf(first, 0)))
	}
	r.apply(t, fmt.Sprintf(`fleet: t
zones: [a, b]
customers: [{name: c}]
services:
  - name: release
    kind: plain
    idempotent: false
    upstreams: [%[1]s]
  - name: summary
    kind: plain
    upstreams: [%[1]s]
`, strings.Join(list, ", ")))
	r.start(t, entries)
	t.Cleanup(r.stop)
	return r
}

func (r *plainRig) stop() {
	r.deck.stop()
	for _, b := range r.ups {
		b.stop()
	}
}

// runs is how often key ran, over all upstreams.
func (r *plainRig) runs(key string) int {
	n := 0
	for _, b := range r.ups {
		n += b.plain.Runs()[key]
	}
	return n
}

func (r *plainRig) submit(entry int, service, key string, deadline time.Duration) answer {
	return r.post(entry, "/v1/services/"+service+"/requests", key, fmt.Sprintf(`{"customer":"c","body":"plate-7","deadline_ms":%d}`, deadline.Milliseconds()))
}
