package citronsoak_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

var (
	soakSeeds   = flag.Int("soak.seeds", 1, "how many seeds to run, one after the other")
	soakSeed    = flag.Uint64("soak.seed", 1, "the first seed")
	soakSeconds = flag.Int("soak.seconds", 6, "how long faults are injected for each seed")
)

const (
	nodeCount = 3
	callers   = 8
	// startTime is how long nodes and the first placement may take, and
	// recoverTime how long a fleet may need after the last fault; a slow
	// machine must not fail the soak.
	startTimeout   = 60 * time.Second
	recoverTimeout = 60 * time.Second
	// callTime is how long callers wait.
	callTimeout = 4 * time.Second
)

// world is one run of the soak.
type world struct {
	t       *testing.T
	store   *citronkv.Server
	nodes   []*node
	runs    *runLog
	mu      sync.Mutex
	engines map[string][]*engine
	// all are the engines that ever were.
	all         []*engine
	engineCount int
	version     atomic.Int64
	// writing is held while the operator writes.
	writing sync.Mutex
	// served are, for each life of a node, the newest version whose effect
	// a caller saw there.
	newestServed map[string]int64
	// notRun are the requests of which a caller was told so.
	notRun []string
	counts map[string]int
	// crashing: a request that crashes engines comes again and again.
	crashing bool
	// limiting: engines name rate limits.
	limiting bool
	// returning: the store comes back from older copies.
	restoring bool
}

// Nodes are killed, stopped, paused and restarted, engines die and leave, and
// the store is slow, silent, cut one way or resets connections, for one node
// or for all, in series and overlapping. Callers must see meanwhile: only
// whole answers of their own; a non-idempotent request that ran once at most,
// and not at all if they were told so; streams without a gap or a repeat; no
// configuration that reverts at a process; and after the last fault every
// node must serve every kind of request again.
func TestSoak(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newWorld(t, binary).soak(seed) })
	}
}

// build makes the binary of which all nodes are processes.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "citrondeck")
	if out, err := exec.Command("go", "build", "-o", binary, "citrondeck.dev/citrondeck").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func newWorld(t *testing.T, binary string) *world {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store := newStore(ctx)
	hs := httptest.NewServer(store)
	t.Cleanup(hs.CloseClientConnections)
	w := &world{t: t, store: store.kv, runs: &runLog{counts: map[string]int{}}, engines: map[string][]*engine{}, newestServed: map[string]int64{}, counts: map[string]int{}}
	w.writeNextConfig()
	for range 3 {
		w.addEngine("model", "card")
	}
	w.addEngine("app", "")
	w.addEngine("app", "")
	w.nodes = startNodes(t, binary, strings.TrimPrefix(hs.URL, "http://"), nodeCount)
	return w
}

func (w *world) addEngine(service, kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineCount++
	e := startEngine(w.t, w.store, w.runs, fmt.Sprintf("i-%d", w.engineCount), service, kind)
	e.mu.Lock()
	e.restart = func() { w.replaceCrashed(e) }
	e.mu.Unlock()
	w.t.Cleanup(func() { _ = e.hs.Close() })
	w.engines[service] = append(w.engines[service], e)
	w.all = append(w.all, e)
}

// replaceCrashed brings an engine in the place of one that ended.
func (w *world) replaceCrashed(e *engine) {
	w.mu.Lock()
	es := w.engines[e.service]
	w.engines[e.service] = slices.DeleteFunc(es, func(o *engine) bool { return o == e })
	w.mu.Unlock()
	w.addEngine(e.service, e.kind)
}

// takeEngine removes one engine of a service, oldest first, if others stay.
func (w *world) removeOldest(service string) *engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	es := w.engines[service]
	if len(es) < 2 {
		return nil
	}
	w.engines[service] = es[1:]
	return es[0]
}

// configure writes the next version; it has a route of its own.
func (w *world) writeNextConfig() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.writeConfig(w.version.Load() + 1)
}

// writeConfig writes a version.
func (w *world) writeConfig(v int64) {
	route := func(prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": prefix, "host": "h", "prefix": prefix, "kind": kind, "service": service, "maxAttempts": attempts,
			"timeoutMs": callTimeout.Milliseconds(), "targetLatencyMs": 500, "gapTargetMs": 250, "resumable": kind == "streaming",
		}
	}
	routes := []any{route("/safe/", "safe", "app", 2), route("/once/", "unsafe", "app", 1), route("/stream/", "streaming", "model", 2)}
	for i := int64(1); i <= v; i++ {
		routes = append(routes, route(fmt.Sprintf("/v%d/", i), "safe", "app", 2))
	}
	text, err := json.Marshal(map[string]any{
		"version": v, "routes": routes, "limits": map[string]any{},
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "model", "engine": map[string]any{
			"slotCount": 64, "kvTokenBytes": 1000, "step_ms": 1, "layers": 4, "layerMb": 100, "models": []any{map[string]any{"loadS": 0.1}},
			"kinds": []any{map[string]any{"name": "card", "mb": 1000, "pace": 1, "readX": 1}},
		}}},
	})
	if err != nil {
		panic(err) // plain values
	}
	if _, err := w.store.Put(context.Background(), "op/config", text, citronkv.AnyRevision, 0); err != nil {
		w.t.Errorf("configure: %v", err)
	}
	w.version.Store(v)
}

func (w *world) soak(seed uint64) {
	w.waitUntilServing(startTimeout, "at the start")
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { w.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(i))), i) })
	}
	r := rand.New(rand.NewPCG(seed, 1000))
	var faults sync.WaitGroup
	end := time.Now().Add(time.Duration(*soakSeconds) * time.Second)
	if w.crashing {
		all.Go(func() { w.sendCrashingRequests(end) })
	}
	if w.limiting {
		all.Go(func() { w.sendLoad(ctx) })
		all.Go(func() { w.announceLimits(rand.New(rand.NewPCG(seed, 3000)), end) })
	}
	if w.restoring {
		all.Go(func() { w.restoreStore(rand.New(rand.NewPCG(seed, 2000)), end) })
	}
	for time.Now().Before(end) {
		f := w.randomFault(r)
		faults.Go(f)
		time.Sleep(time.Duration(100+r.IntN(700)) * time.Millisecond)
	}
	faults.Wait()
	w.waitUntilServing(recoverTimeout, "after the last fault")
	w.checkRemovalAfterFreeze()
	cancel()
	all.Wait()
	w.checkNotRun()
	w.t.Logf("seed %d: %v", seed, w.counts)
}

const (
	// standstill is longer than the leader's lease lives.
	freezeTime = 3 * time.Second
	// afterStandstill is when the engine leaves: the node that stood still is
	// bound by the promise again when the time of the promise is over.
	afterFreeze = time.Second
)

// leaveAfterStandstill has the node that leads stand still until its lease has
// run out, and an engine leave without a word soon after. However the node takes
// what it finds when it goes on, callers must not be sent to that engine.
func (w *world) checkRemovalAfterFreeze() {
	n := w.leader()
	n.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	n.signal(syscall.SIGCONT)
	time.Sleep(afterFreeze)
	w.replace("app", "", (*engine).removeEntry)
	time.Sleep(drainDeadline)
	w.sendBurst()
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	for _, late := range w.runs.lateArrivals {
		w.t.Errorf("a request reached an engine after its entry had gone: %s; %s had led and stood still", late, n.name)
	}
}

// press asks every node a hundred times, a few requests at once so that each of
// its engines gets some.
func (w *world) sendBurst() {
	var all sync.WaitGroup
	for _, n := range w.nodes {
		for k := range 5 {
			all.Go(func() {
				hc := &http.Client{Timeout: callTimeout}
				for i := range 20 {
					w.send(hc, n, "/safe/", fmt.Sprintf("press-%s-%d-%d", n.name, k, i))
				}
			})
		}
	}
	all.Wait()
}

// leader is the node that places layers.
func (w *world) leader() *node {
	for end := time.Now().Add(recoverTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		it, err := w.store.Get(context.Background(), "deck/leader")
		for _, n := range w.nodes {
			if err == nil && string(it.Value) == n.name {
				return n
			}
		}
	}
	w.t.Fatalf("no node leads within %v", recoverTimeout)
	return nil
}

// fault draws a fault; the result brings it about and ends it.
func (w *world) randomFault(r *rand.Rand) func() {
	n := w.nodes[r.IntN(len(w.nodes))]
	d := time.Duration(200+r.IntN(1500)) * time.Millisecond
	link := []linkState{slow, stalled, oneWay, broken}[r.IntN(4)]
	service := []string{"model", "app"}[r.IntN(2)]
	kind := map[string]string{"model": "card"}[service]
	switch r.IntN(8) {
	case 0:
		return func() { w.injectAt(n, func() { n.restart(w.t, false, d/2) }) }
	case 1:
		return func() { w.injectAt(n, func() { n.restart(w.t, true, d/2) }) }
	case 2:
		return func() {
			w.injectAt(n, func() {
				n.signal(syscall.SIGSTOP)
				time.Sleep(d)
				n.signal(syscall.SIGCONT)
			})
		}
	case 3:
		return func() { w.impairLinks([]*node{n}, link, d) }
	case 4:
		return func() { w.impairLinks(w.nodes, link, d) }
	case 5:
		return func() { w.replace(service, kind, (*engine).crash) }
	case 6:
		return func() { w.replace(service, kind, (*engine).leave) }
	}
	return w.writeNextConfig
}

// on brings a fault about at a node that has none.
func (w *world) injectAt(n *node, fault func()) {
	if _, faulty := n.state(); faulty {
		return
	}
	n.setFaulty(true)
	defer n.setFaulty(false)
	fault()
}

func (w *world) impairLinks(nodes []*node, s linkState, d time.Duration) {
	for _, n := range nodes {
		n.proxy.set(s)
		n.recordLinkFault()
	}
	time.Sleep(d)
	for _, n := range nodes {
		n.proxy.set(healthy)
		n.recordLinkFault()
	}
}

// replace takes an engine away in some manner and brings another.
func (w *world) replace(service, kind string, end func(*engine)) {
	e := w.removeOldest(service)
	w.addEngine(service, kind)
	if e != nil {
		end(e)
	}
}

// untilServing waits until every node serves every kind of request.
func (w *world) waitUntilServing(timeout time.Duration, when string) {
	for i, n := range w.nodes {
		for _, path := range []string{"/safe/", "/once/", "/stream/", fmt.Sprintf("/v%d/", w.version.Load())} {
			end := time.Now().Add(timeout)
			for k := 0; ; k++ {
				a := w.send(&http.Client{Timeout: callTimeout}, n, path, fmt.Sprintf("%s-%d-%d-%s", when, i, k, path))
				if a.status == http.StatusOK && a.complete {
					break
				}
				if time.Now().After(end) {
					w.t.Fatalf("%s: %s not served by %s within %v (last status %d); log %s", when, path, n.name, timeout, a.status, n.log.Name())
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

type answer struct {
	status int
	// whole: the body is the request's own and complete.
	complete bool
	body     string
	// cut: the answer broke off.
	truncated bool
}

// call sends requests of all kinds to nodes drawn at random and checks the
// answers.
func (w *world) runCaller(ctx context.Context, r *rand.Rand, caller int) {
	hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	for i := 0; ctx.Err() == nil; i++ {
		n := w.nodes[r.IntN(len(w.nodes))]
		version := w.version.Load()
		path := []string{"/safe/", "/once/", "/stream/", fmt.Sprintf("/v%d/", 1+r.Int64N(version))}[r.IntN(4)]
		id := fmt.Sprintf("c%d-%d", caller, i)
		process, _ := n.state()
		seen := w.newestVersion(n, process)
		a := w.send(hc, n, path, id)
		if now, _ := n.state(); now == process {
			w.checkVersion(n, process, path, seen, a)
		}
		w.checkAnswer(n, path, id, a)
		time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
	}
}

func (w *world) send(hc *http.Client, n *node, path, id string) answer {
	return w.sendBody(hc, n, path, id, "body")
}

// askWith sends a request with a body.
func (w *world) sendBody(hc *http.Client, n *node, path, id, text string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.front+path+"x", strings.NewReader(text))
	if err != nil {
		return answer{}
	}
	req.Host = "h"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	req.Header.Set("X-Token-Counts", "10,32")
	req.Header.Set(headerSender, n.senderHeader())
	req.GetBody = nil // the caller's own client must not send it twice
	res, err := hc.Do(req)
	if err != nil {
		return answer{}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, body: string(body), truncated: err != nil}
	want := answerText(id)
	if strings.HasPrefix(path, "/stream/") {
		want = ""
		for i := 1; i <= streamEvents; i++ {
			want += eventText(id, i)
		}
	}
	a.complete = !a.truncated && a.body == want
	return a
}

func (w *world) checkAnswer(n *node, path, id string, a answer) {
	w.mu.Lock()
	w.counts[fmt.Sprintf("%.5s %d cut=%t", path, a.status, a.truncated)]++
	if strings.HasPrefix(path, "/once/") && a.status == http.StatusServiceUnavailable {
		w.notRun = append(w.notRun, id)
	}
	w.mu.Unlock()
	if a.status == http.StatusOK && !a.truncated && !a.complete {
		w.t.Errorf("%s: %s %s: a success that is not the request's own whole answer: %q", n.name, path, id, a.body)
	}
	if a.truncated && a.status == http.StatusOK && strings.HasPrefix(path, "/stream/") && !isStreamPrefix(id, a.body) {
		w.t.Errorf("%s: stream %s has a gap or a repeat: %q", n.name, id, a.body)
	}
	if k := w.runs.count(id); strings.HasPrefix(path, "/once/") && k > 1 {
		w.t.Errorf("%s: %s ran %d times", n.name, id, k)
	}
}

// isPart reports whether a stream that broke off has the first events in
// order, the last perhaps in part.
func isStreamPrefix(id, body string) bool {
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += eventText(id, i)
	}
	return strings.HasPrefix(want, body)
}

func (w *world) newestVersion(n *node, process int) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newestServed[fmt.Sprint(n.name, process)]
}

// checkVersion fails if a process handles a request as only an older version
// allows than one whose effect it has shown before the request was sent.
func (w *world) checkVersion(n *node, process int, path string, seen int64, a answer) {
	var v int64
	if _, err := fmt.Sscanf(path, "/v%d/", &v); err != nil {
		return
	}
	key := fmt.Sprint(n.name, process)
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.status == http.StatusOK {
		w.newestServed[key] = max(w.newestServed[key], v)
	}
	if a.status == http.StatusNotFound && v <= seen {
		w.t.Errorf("%s: version %d was in force, and its route is unknown again", n.name, seen)
	}
}

// checkNotRun fails for each request that ran although its caller was told
// that it did not, also if it ran later.
func (w *world) checkNotRun() {
	time.Sleep(500 * time.Millisecond)
	for _, id := range w.notRun {
		if w.runs.count(id) > 0 {
			w.t.Errorf("%s: the caller was told that it did not run, but it did", id)
		}
	}
}
