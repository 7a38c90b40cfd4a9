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
	soakSeeds   = flag.Int("soak.seeds", 1, "number of seeds to run, one after the other")
	soakSeed    = flag.Uint64("soak.seed", 1, "the first seed")
	soakSeconds = flag.Int("soak.seconds", 6, "seconds of fault injection per seed")
)

const (
	nodeCount = 3
	callers   = 8
	// startTimeout bounds the start of the nodes and the first placement, and
	// recoverTimeout the recovery after the last fault. Both are generous so that a
	// slow machine does not fail the soak.
	startTimeout   = 60 * time.Second
	recoverTimeout = 60 * time.Second
	// callTimeout is the callers' time limit for a request. Callers also send it as the
	// deadline.
	callTimeout = 4 * time.Second
)

// world is the environment of one run of the soak: the store, the nodes, the engines,
// and what callers and engines have observed.
type world struct {
	t     *testing.T
	store *citronkv.Server
	nodes []*node
	runs  *runLog
	mu    sync.Mutex
	// engines holds the current engines of each service, oldest first.
	engines map[string][]*engine
	// all holds every engine that was ever started, and engineCount is their number.
	all         []*engine
	engineCount int
	// version is the newest configuration version.
	version atomic.Int64
	// writing is held while the operator writes the configuration.
	writing sync.Mutex
	// newestServed holds, for each node process, the newest configuration version whose
	// effect a caller observed.
	newestServed map[string]int64
	// notRun holds the ids of requests that were reported as not executed.
	notRun []string
	// counts holds the number of answers of each kind, for the log.
	counts map[string]int
	// shares holds how many streams were served, by path and by the customer's key.
	shares map[string]share
	// crashing enables sending a request that crashes engines.
	crashing bool
	// crashingPart enables sending requests with a prompt part that crashes engines.
	crashingPart bool
	// limiting enables engines that announce rate limits.
	limiting bool
	// noticing enables engines that ask for cool-downs or say that they are leaving.
	noticing bool
	// crowding enables crowds of clients that do not behave.
	crowding bool
	// restoring enables restoring the store from older copies.
	restoring bool
	// retrying enables spells in which all engines refuse requests. refusing is set in these.
	retrying bool
	refusing atomic.Bool
	// arrivals records what callers send and what reaches engines, by service.
	arrivals map[string]*arrivals
	// links are the links between nodes and engines, or nil if nodes are not partitioned
	// from engines.
	links *engineLinks
	// machine holds further settings of the nodes' machines, limits those of the configuration.
	machine string
	limits  map[string]any
}

// withPartitions puts links between nodes and engines that can be cut.
func withPartitions(w *world) { w.links = newEngineLinks(w) }

// TestSoak checks that the nodes keep their guarantees under faults that occur one
// after the other and at the same time. Nodes are killed, stopped, frozen and
// restarted, engines crash and leave, and configurations change. The link to the store
// is slow, stalled, cut in one direction or resets connections, for one node or for
// all. Meanwhile:
//
//   - a successful answer is complete and belongs to its request;
//   - a non-idempotent request runs at most once, and never if its caller was told that
//     it did not run;
//   - a stream has no gap and no duplicate event;
//   - no process reverts to an older configuration;
//   - more urgent streams are served as often as less urgent ones, and no customer's less
//     than half as often as all.
//
// After the last fault, every node must serve every kind of request again. Last, the
// leader is frozen, and no node may send requests to an engine whose entry was removed
// after that.
func TestSoak(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newWorld(t, binary).soak(seed) })
	}
}

// build compiles the citrondeck binary, which all nodes run, and returns its path.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "citrondeck")
	if out, err := exec.Command("go", "build", "-o", binary, "citrondeck.dev/citrondeck").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// newWorld starts a store, engines and nodes.
func newWorld(t *testing.T, binary string, options ...func(*world)) *world {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store := newStore(ctx)
	hs := httptest.NewServer(store)
	t.Cleanup(hs.CloseClientConnections)
	w := &world{t: t, store: store.kv, runs: &runLog{counts: map[string]int{}}, engines: map[string][]*engine{}, newestServed: map[string]int64{}, counts: map[string]int{}, shares: map[string]share{}, arrivals: map[string]*arrivals{"app": {}, "model": {}}, limits: map[string]any{}}
	for _, o := range options {
		o(w)
	}
	w.writeNextConfig()
	for range 3 {
		w.addEngine("model", "card")
	}
	w.addEngine("app", "")
	w.addEngine("app", "")
	w.nodes = startNodes(t, binary, strings.TrimPrefix(hs.URL, "http://"), nodeCount, w.machine)
	return w
}

// addEngine starts another engine of a service.
func (w *world) addEngine(service, kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineCount++
	e := startEngine(w.t, w.store, w.runs, w.links, fmt.Sprintf("i-%d", w.engineCount), service, kind)
	e.mu.Lock()
	e.restart = func() { w.replaceCrashed(e) }
	e.arrivals, e.refusing = w.arrivals[service], &w.refusing
	e.mu.Unlock()
	w.t.Cleanup(func() { _ = e.hs.Close() })
	w.engines[service] = append(w.engines[service], e)
	w.all = append(w.all, e)
}

// replaceCrashed starts an engine in place of e, which has crashed.
func (w *world) replaceCrashed(e *engine) {
	w.mu.Lock()
	es := w.engines[e.service]
	w.engines[e.service] = slices.DeleteFunc(es, func(o *engine) bool { return o == e })
	w.mu.Unlock()
	w.addEngine(e.service, e.kind)
}

// removeOldest removes the oldest engine of a service from the current engines and
// returns it. It returns nil if the service has no other engine.
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

// writeNextConfig writes the next configuration version, which adds a route.
func (w *world) writeNextConfig() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.writeConfig(w.version.Load() + 1)
}

// writeConfig writes configuration version v, which has one route per version up to v.
// The caller holds writing.
func (w *world) writeConfig(v int64) {
	route := func(prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": prefix, "host": "h", "prefix": prefix, "kind": kind, "service": service, "maxAttempts": attempts,
			"timeoutMs": callTimeout.Milliseconds(), "targetLatencyMs": 500, "gapTargetMs": 250, "resumable": kind == "streaming",
		}
	}
	routes := []any{route("/safe/", "safe", "app", 2), route("/once/", "unsafe", "app", 1), route("/stream/", "streaming", "model", 2)}
	later := route(lessUrgentStream, "streaming", "model", 2)
	later["priority"] = 2
	routes = append(routes, later)
	for i := int64(1); i <= v; i++ {
		routes = append(routes, route(fmt.Sprintf("/v%d/", i), "safe", "app", 2))
	}
	text, err := json.Marshal(map[string]any{
		"version": v, "routes": routes, "limits": w.limits, "tenants": customers(),
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "model", "engine": map[string]any{
			"slotCount": 64, "kvTokenBytes": 1000, "step_ms": 1, "layers": 4, "layerMb": 100, "models": []any{map[string]any{"loadS": 0.1}},
			"kinds": []any{map[string]any{"name": "card", "mb": 1000, "pace": 1, "readX": 1}},
		}}},
	})
	if err != nil {
		panic(err) // unreachable: the configuration holds only values that JSON can encode
	}
	if _, err := w.store.Put(context.Background(), "op/config", text, citronkv.AnyRevision, 0); err != nil {
		w.t.Errorf("write configuration version %d: %v", v, err)
	}
	w.version.Store(v)
}

// soak injects random faults while callers send requests, and checks all guarantees.
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
	if w.crashingPart {
		all.Go(func() { w.sendRequestsWithCrashingPart(end, func() {}) })
	}
	if w.limiting {
		all.Go(func() { w.sendLoad(ctx) })
		all.Go(func() { w.announceLimits(rand.New(rand.NewPCG(seed, 3000)), end) })
	}
	if w.retrying {
		all.Go(func() { w.sendRetriedLoad(ctx) })
		all.Go(func() { w.refuseRequests(rand.New(rand.NewPCG(seed, 6000)), end) })
	}
	if w.noticing {
		all.Go(func() { w.giveNotices(rand.New(rand.NewPCG(seed, 4000)), end) })
	}
	if w.links != nil {
		all.Go(func() { w.partitionNodes(rand.New(rand.NewPCG(seed, 5000)), end) })
	}
	if w.crowding {
		all.Go(func() { w.sendCrowds(rand.New(rand.NewPCG(seed, 7000)), end) })
		all.Go(func() { w.checkMachines(ctx) })
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
	w.checkShares()
	w.t.Logf("seed %d: %v; %v", seed, w.counts, w.shares)
}

const (
	// freezeTime is how long the leader is frozen. It is longer than the duration of
	// the leader's lease.
	freezeTime = 3 * time.Second
	// afterFreeze is the time between the end of the freeze and the removal of an
	// engine's entry. The node that was frozen must know of the removal once
	// drainDeadline has passed, like any other node.
	afterFreeze = time.Second
)

// checkRemovalAfterFreeze freezes the leader until its lease has expired, resumes it, and
// removes the entry of an engine afterFreeze later. A node that mistook its own freeze
// for an outage of the store would keep using engines whose entries are missing. No
// node may send requests to that engine once drainDeadline has passed after the removal.
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
		w.t.Errorf("a request reached an engine %v or more after the removal of its entry: %s; %s was the leader and was frozen before", drainDeadline, late, n.name)
	}
}

// sendBurst sends a hundred requests to every node, five at a time, so that each
// engine gets some of them.
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

// leader returns the node that is the leader, which assigns layers to engines. It
// waits for one for at most recoverTimeout.
func (w *world) leader() *node {
	for end := time.Now().Add(recoverTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		it, err := w.store.Get(context.Background(), "deck/leader")
		for _, n := range w.nodes {
			if err == nil && string(it.Value) == n.name {
				return n
			}
		}
	}
	w.t.Fatalf("no node became the leader within %v", recoverTimeout)
	return nil
}

// randomFault chooses a random fault or a change of the configuration, and returns a
// function that carries it out and returns when it has ended.
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

// injectAt injects a fault at node n, unless another fault of its process is active.
func (w *world) injectAt(n *node, fault func()) {
	if _, faulty := n.state(); faulty {
		return
	}
	n.setFaulty(true)
	defer n.setFaulty(false)
	fault()
}

// impairLinks puts the links of nodes to the store into condition s for d.
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

// replace starts a new engine of a service and calls end for the oldest one, unless
// that was the only one.
func (w *world) replace(service, kind string, end func(*engine)) {
	e := w.removeOldest(service)
	w.addEngine(service, kind)
	if e != nil {
		end(e)
	}
}

// waitUntilServing waits until every node serves every kind of request. It fails the
// test if one is not served within timeout.
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
					w.t.Fatalf("%s: %s is not served by %s within %v (last status %d); its log is %s", when, path, n.name, timeout, a.status, n.log.Name())
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// answer is what a caller received; it is zero if the caller received no answer.
type answer struct {
	status int
	// complete reports whether the body is complete and belongs to the request.
	complete bool
	body     string
	// truncated reports whether the body ended with an error.
	truncated bool
}

// runCaller sends requests of all kinds to randomly chosen nodes and checks the
// answers, until ctx is canceled.
func (w *world) runCaller(ctx context.Context, r *rand.Rand, caller int) {
	hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	for i := 0; ctx.Err() == nil; i++ {
		n := w.nodes[r.IntN(len(w.nodes))]
		version := w.version.Load()
		path := []string{"/safe/", "/once/", "/stream/", fmt.Sprintf("/v%d/", 1+r.Int64N(version))}[r.IntN(4)]
		if path == "/stream/" && i%2 == 1 {
			path = lessUrgentStream
		}
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

// send sends a request with an ordinary body to node n.
func (w *world) send(hc *http.Client, n *node, path, id string) answer {
	return w.sendBody(hc, n, path, id, "body")
}

// sendBody sends a request with the body text to node n, and compares the answer
// with the expected one.
func (w *world) sendBody(hc *http.Client, n *node, path, id, text string) answer {
	return w.sendPrompt(hc, n, path, id, text, "")
}

// sendPrompt is like sendBody for a request whose prompt has the given parts.
func (w *world) sendPrompt(hc *http.Client, n *node, path, id, text, parts string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.front+path+"x", strings.NewReader(text))
	if err != nil {
		return answer{}
	}
	req.Host = "h"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Credential", customerKey(id))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	req.Header.Set("X-Token-Counts", "10,32")
	req.Header.Set(headerSender, n.senderHeader())
	if parts != "" {
		req.Header.Set(headerParts, parts)
	}
	w.arrivals[serviceOf(path)].recordSent()
	req.GetBody = nil // the caller's HTTP client must not send the request twice
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

// checkAnswer counts an answer and checks it, and the number of runs of its request.
func (w *world) checkAnswer(n *node, path, id string, a answer) {
	w.mu.Lock()
	w.counts[fmt.Sprintf("%.5s %d cut=%t", path, a.status, a.truncated)]++
	w.recordShare(path, id, a)
	if strings.HasPrefix(path, "/once/") && a.status == http.StatusServiceUnavailable {
		w.notRun = append(w.notRun, id)
	}
	w.mu.Unlock()
	if a.status == http.StatusOK && !a.truncated && !a.complete {
		w.t.Errorf("%s: %s %s: status 200 without the complete answer to this request: %q", n.name, path, id, a.body)
	}
	if a.truncated && a.status == http.StatusOK && strings.HasPrefix(path, "/stream/") && !isStreamPrefix(id, a.body) {
		w.t.Errorf("%s: stream %s has a gap or a duplicate event: %q", n.name, id, a.body)
	}
	if k := w.runs.count(id); strings.HasPrefix(path, "/once/") && k > 1 {
		w.t.Errorf("%s: non-idempotent request %s ran %d times", n.name, id, k)
	}
}

// isStreamPrefix reports whether body is a prefix of the complete stream that answers
// request id. Its last event may be incomplete.
func isStreamPrefix(id, body string) bool {
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += eventText(id, i)
	}
	return strings.HasPrefix(want, body)
}

// newestVersion returns the newest configuration version whose effect a caller observed
// at the given process of node n.
func (w *world) newestVersion(n *node, process int) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newestServed[fmt.Sprint(n.name, process)]
}

// checkVersion checks the answer to a request for a route that a configuration version
// added. seen is the newest version whose route this process had served before the
// request was sent. It reports an error if the process does not know a route of that
// version or an older one.
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
		w.t.Errorf("%s: %s got status 404, although this process had served version %d, which has this route", n.name, path, seen)
	}
}

// checkNotRun reports an error for each request that ran although its caller was told
// that it did not run. It waits 500 ms first, to find also runs that begin after the
// answer.
func (w *world) checkNotRun() {
	time.Sleep(500 * time.Millisecond)
	for _, id := range w.notRun {
		if w.runs.count(id) > 0 {
			w.t.Errorf("request %s ran, although its caller was told that it did not run", id)
		}
	}
}
