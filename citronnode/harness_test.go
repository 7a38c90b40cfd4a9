package citronnode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronnode"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citrontable"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// gatedStore is the store as seen by one node. It can reject the calls of that node or
// of all nodes, except Grant, Delete and Revoke, and it can stall watches.
type gatedStore struct {
	*citronkv.Server
	// rejecting makes the store reject this node.
	rejecting atomic.Bool
	// unavailable makes the store reject all nodes.
	unavailable *atomic.Bool
	// stalled makes watches report nothing until they end.
	stalled atomic.Bool
	// watches counts the pending watches.
	watches atomic.Int64
	// calls counts the calls of Range and Put, including rejected ones, and the watches
	// that were not rejected at their start.
	calls atomic.Int64
}

func (d *gatedStore) rejects() bool {
	return d.rejecting.Load() || d.unavailable != nil && d.unavailable.Load()
}

var errRejected = errors.Mark(errors.New("the fake store rejects this node"), citronkv.ErrUnavailable)

func (d *gatedStore) Get(ctx context.Context, key string) (citronkv.Item, error) {
	if d.rejects() {
		return citronkv.Item{}, errRejected
	}
	return d.Server.Get(ctx, key)
}

func (d *gatedStore) Range(ctx context.Context, prefix string) ([]citronkv.Item, citronkv.Revision, error) {
	d.calls.Add(1)
	if d.rejects() {
		return nil, citronkv.Revision{}, errRejected
	}
	return d.Server.Range(ctx, prefix)
}

func (d *gatedStore) Put(ctx context.Context, key string, value []byte, expect citronkv.Revision, lease citronkv.LeaseID) (citronkv.Revision, error) {
	d.calls.Add(1)
	if d.rejects() {
		return citronkv.Revision{}, errRejected
	}
	return d.Server.Put(ctx, key, value, expect, lease)
}

func (d *gatedStore) Watch(ctx context.Context, prefix string, after citronkv.Revision) ([]citronkv.Item, citronkv.Revision, error) {
	if d.rejects() {
		return nil, citronkv.Revision{}, errRejected
	}
	d.calls.Add(1)
	d.watches.Add(1)
	defer d.watches.Add(-1)
	if d.stalled.Load() {
		<-ctx.Done()
		return nil, citronkv.Revision{}, errors.Mark(ctx.Err(), citronkv.ErrUnavailable)
	}
	limit, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	items, rev, err := d.Server.Watch(limit, prefix, after)
	if err != nil && limit.Err() != nil && ctx.Err() == nil {
		return nil, after, nil // the wait ended without events
	}
	if d.rejects() {
		return nil, citronkv.Revision{}, errRejected
	}
	return items, rev, err
}

func (d *gatedStore) KeepAlive(ctx context.Context, id citronkv.LeaseID) error {
	if d.rejects() {
		return errRejected
	}
	return d.Server.KeepAlive(ctx, id)
}

// orders is a fake for the engines that carries out each order at once.
type orders struct {
	store   *citronkv.Server
	mu      sync.Mutex
	ordered []string
	// orderedBy holds the names of the nodes that gave the orders.
	orderedBy []string
	// dead is the address of an engine that does not answer.
	dead string
}

// nodeOrders is the fake for the engines as used by one node.
type nodeOrders struct {
	*orders
	node string
}

func (o nodeOrders) Place(ctx context.Context, e citronmodel.Engine, order citronplace.Order, accepted int64) error {
	o.mu.Lock()
	o.orderedBy = append(o.orderedBy, o.node)
	o.mu.Unlock()
	return o.orders.Place(ctx, e, order, accepted)
}

func (o *orders) State(_ context.Context, addr string) (citronplace.EngineState, error) {
	if err := o.reach(addr); err != nil {
		return citronplace.EngineState{}, err
	}
	return citronplace.EngineState{AcceptedOrders: 1}, nil // it holds the layers that it was ordered to hold
}

// reach returns an error if the engine does not answer.
func (o *orders) reach(addr string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if addr == o.dead {
		return errors.New("the fake engine does not answer")
	}
	return nil
}

func (o *orders) markDead(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dead = addr
}

func (o *orders) Place(ctx context.Context, e citronmodel.Engine, order citronplace.Order, _ int64) error {
	o.mu.Lock()
	o.ordered = append(o.ordered, e.ID)
	o.mu.Unlock()
	e.Layers = order.Span
	return putEngine(ctx, o.store, e)
}

// issuersAfter returns the names of the nodes that gave orders after the first n.
func (o *orders) issuersAfter(n int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.orderedBy[n:]...)
}

func (o *orders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ordered)
}

func putEngine(ctx context.Context, s citronkv.Store, e citronmodel.Engine) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = s.Put(ctx, "engines/"+e.ID, text, citronkv.AnyRevision, 0)
	return err
}

var spec = citronmodel.Spec{
	Layers: 8, LayerMB: 1000, TokenBytes: 8000, StepMS: 1, PromptTokensPerS: 1000, Slots: 8,
	Kinds: map[string]citronmodel.Kind{"fast": {Name: "fast", MemoryMB: 6000, StepFactor: 2, PromptFactor: 3}},
}

func decodeConfig(text []byte) (*citrontable.Table, error) {
	var version int64
	if err := json.Unmarshal(text, &version); err != nil {
		return nil, err
	}
	return citrontable.New(version, nil, []citrontable.Service{{Name: "model", Model: &spec}, {Name: "app"}}, nil, citrontable.Limits{}), nil
}

func decodeEngine(_ string, text []byte) (citronmodel.Engine, error) {
	var e citronmodel.Engine
	err := json.Unmarshal(text, &e)
	return e, err
}

// nodeEngines is the fake for the engines as one node reaches them.
type nodeEngines struct {
	nodeOrders
	mu sync.Mutex
	// upstream receives requests. It is nil in tests without requests.
	upstream citronupstream.Engines
	// links holds the state of the node's link to each engine, by address. An engine that
	// is missing is reached.
	links map[string]linkState
}

// linkState is the state of the link between a node and an engine.
type linkState int

const (
	linkUp linkState = iota
	// linkRefused means that new connections are refused.
	linkRefused
	// linkSilent means that nothing arrives, in either direction.
	linkSilent
	// linkAccepting means that connections are accepted, and that nothing arrives on them.
	linkAccepting
)

// connectTimeout is how long the fake waits for a connection over a silent link.
const connectTimeout = 200 * time.Millisecond

// setLinks puts the node's links to the engines at the given addresses into a state.
func (g *nodeEngines) setLinks(state linkState, addrs ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links == nil {
		g.links = map[string]linkState{}
	}
	for _, addr := range addrs {
		g.links[addr] = state
	}
}

func (g *nodeEngines) link(addr string) linkState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links[addr]
}

// Reach implements citronreach.Direct.
func (g *nodeEngines) Reach(ctx context.Context, addr string) error {
	switch g.link(addr) {
	case linkRefused:
		return errors.Wrap(syscall.ECONNREFUSED, "dial")
	case linkSilent:
		limit, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		<-limit.Done()
		return errors.Wrap(limit.Err(), "dial")
	case linkAccepting:
		<-ctx.Done()
		return ctx.Err()
	}
	if g.orders == nil {
		return nil
	}
	return g.reach(addr)
}

func (g *nodeEngines) setUpstream(u citronupstream.Engines) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.upstream = u
}

func (g *nodeEngines) current() citronupstream.Engines {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream
}

func (g *nodeEngines) Send(ctx context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	if g.link(c.Engine.Addr) == linkAccepting {
		return nil, g.await(ctx, c.Engine.Addr)
	}
	if err := g.Reach(ctx, c.Engine.Addr); err != nil {
		return nil, errors.Mark(err, citronupstream.ErrNotSent)
	}
	reply, err := g.current().Send(ctx, c)
	if err != nil {
		return nil, err
	}
	reply.Body = linkedBody{reply.Body, g, c.Engine.Addr, ctx}
	if err := g.await(ctx, c.Engine.Addr); err != nil {
		_ = reply.Body.Close()
		return nil, err
	}
	return reply, nil
}

func (g *nodeEngines) Report(ctx context.Context, addr string) (citronupstream.Report, error) {
	if err := g.Reach(ctx, addr); err != nil {
		return citronupstream.Report{}, err
	}
	return g.current().Report(ctx, addr)
}

func (g *nodeEngines) Repath(ctx context.Context, first, id string, p citronpath.Path) error {
	if err := g.Reach(ctx, first); err != nil {
		return err
	}
	return g.current().Repath(ctx, first, id, p)
}

func (g *nodeEngines) State(ctx context.Context, addr string) (citronplace.EngineState, error) {
	if err := g.Reach(ctx, addr); err != nil {
		return citronplace.EngineState{}, err
	}
	return g.nodeOrders.State(ctx, addr)
}

func (g *nodeEngines) Place(ctx context.Context, e citronmodel.Engine, o citronplace.Order, accepted int64) error {
	if err := g.Reach(ctx, e.Addr); err != nil {
		return err
	}
	return g.nodeOrders.Place(ctx, e, o, accepted)
}

// linkedBody is the body of an engine's response, of which nothing more arrives over a
// link that is not up.
type linkedBody struct {
	io.ReadCloser
	engines *nodeEngines
	addr    string
	ctx     context.Context
}

func (b linkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err := b.engines.await(b.ctx, b.addr); err != nil {
		return 0, err
	}
	return n, err
}

// await returns the error of a response that does not arrive because the link to the engine
// at addr is not up.
func (g *nodeEngines) await(ctx context.Context, addr string) error {
	switch g.link(addr) {
	case linkRefused:
		return errors.Wrap(syscall.ECONNRESET, "read")
	case linkSilent, linkAccepting:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// network connects nodes.
type network interface {
	// listen serves a node at a new address; hc reaches the other nodes.
	listen(h http.Handler) (addr string, hc *http.Client, disconnect func())
}

// loopback connects nodes over the loopback interface.
type loopback struct{}

func (loopback) listen(h http.Handler) (string, *http.Client, func()) {
	hs := httptest.NewServer(h)
	return strings.TrimPrefix(hs.URL, "http://"), hs.Client(), hs.Close
}

// mesh connects nodes by function calls, because three hundred nodes need more
// connections than a process may open. It counts the bytes of all bodies.
type mesh struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	bytes    atomic.Int64
	// dropExchanges makes all exchanges between nodes fail. Updates still arrive.
	dropExchanges atomic.Bool
	// delay, if set, returns the delay of the next message in one direction.
	delay func() time.Duration
}

func newMesh() *mesh { return &mesh{handlers: map[string]http.Handler{}} }

func (m *mesh) listen(h http.Handler) (string, *http.Client, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addr := fmt.Sprintf("node-%d:1", len(m.handlers))
	m.handlers[addr] = h
	disconnect := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.handlers[addr] = nil
	}
	return addr, &http.Client{Transport: m}, disconnect
}

// RoundTrip implements http.RoundTripper.
func (m *mesh) RoundTrip(r *http.Request) (*http.Response, error) {
	m.mu.Lock()
	h := m.handlers[r.URL.Host]
	m.mu.Unlock()
	if h == nil || m.dropExchanges.Load() && strings.HasSuffix(r.URL.Path, "/Exchange") {
		return nil, errors.Wrap(syscall.ECONNREFUSED, "dial")
	}
	if err := m.delayMessage(r.Context()); err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	m.bytes.Add(max(0, r.ContentLength))
	ctx, cancel := context.WithCancel(r.Context())
	w := newMeshResponse(&m.bytes)
	go func() {
		defer cancel()
		h.ServeHTTP(w, r.WithContext(ctx))
		w.finish()
	}()
	body := canceledBody{w.body, cancel, r.Context()}
	select {
	case <-w.begun:
	case <-r.Context().Done():
		_ = body.Close()
		return nil, r.Context().Err()
	}
	if err := m.delayMessage(r.Context()); err != nil {
		_ = body.Close()
		return nil, err
	}
	return w.result(r, body), nil
}

// meshResponse is the response of a node, which the other node reads while the handler
// writes it.
type meshResponse struct {
	header http.Header
	status int
	begun  chan struct{}
	once   sync.Once
	body   *io.PipeReader
	out    *io.PipeWriter
	bytes  *atomic.Int64
}

func newMeshResponse(bytes *atomic.Int64) *meshResponse {
	w := &meshResponse{header: http.Header{}, begun: make(chan struct{}), bytes: bytes}
	w.body, w.out = io.Pipe()
	return w
}

func (w *meshResponse) Header() http.Header { return w.header }

func (w *meshResponse) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.begun)
	})
}

func (w *meshResponse) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	n, err := w.out.Write(b)
	w.bytes.Add(int64(n))
	return n, err
}

// Flush implements http.Flusher. The pipe holds nothing back.
func (w *meshResponse) Flush() {}

func (w *meshResponse) finish() {
	w.WriteHeader(http.StatusOK)
	_ = w.out.Close()
}

// result returns the response with the given body. It must be called after begun is closed.
func (w *meshResponse) result(r *http.Request, body io.ReadCloser) *http.Response {
	return &http.Response{StatusCode: w.status, Status: http.StatusText(w.status), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: w.header.Clone(), ContentLength: -1, Body: body, Request: r}
}

// canceledBody is the body of a response, which ends with the context of its request. Its
// Close cancels the handler's context, as a closed connection does.
type canceledBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	ctx    context.Context
}

func (b canceledBody) Read(p []byte) (int, error) {
	stop := context.AfterFunc(b.ctx, func() { _ = b.ReadCloser.Close() })
	defer stop()
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.ctx.Err() != nil {
		return n, b.ctx.Err()
	}
	return n, err
}

func (b canceledBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// delayMessage waits for the delay of a message, or until ctx ends.
func (m *mesh) delayMessage(ctx context.Context) error {
	if m.delay == nil {
		return nil
	}
	m.mu.Lock()
	d := m.delay()
	m.mu.Unlock()
	return citronclock.Real{}.Sleep(ctx, d)
}

// maxMessageDelay is the longest delay of a message between nodes in a healthy network.
const maxMessageDelay = 20 * time.Millisecond

// delayMessages connects the nodes by a network that delays each message by a random time up
// to maxMessageDelay. The test must run on fake time.
func (f *fleet) delayMessages(seed uint64) {
	f.t.Cleanup(func() { time.Sleep(5 * time.Second) }) // messages on their way must arrive
	net, random := newMesh(), rand.New(rand.NewPCG(seed, 1))
	net.delay = func() time.Duration { return time.Duration(random.Int64N(int64(maxMessageDelay))) }
	f.net = net
}

// fleet is a set of nodes that share one store.
type fleet struct {
	t      testing.TB
	store  *citronkv.Server
	orders *orders
	// net is the network that connects the nodes.
	net network
	// ownZoneSeedsOnly gives nodes only seeds of their own zone.
	ownZoneSeedsOnly bool
	// log handles the log records of all nodes.
	log   slog.Handler
	nodes []*member
	// storeUnavailable makes the store reject all nodes.
	storeUnavailable atomic.Bool
	// drainWithin is the DrainWithin setting of the nodes.
	drainWithin time.Duration
	// usageInterval is the UsageInterval setting of the nodes.
	usageInterval time.Duration
}

type member struct {
	*citronnode.Node
	gate    *gatedStore
	engines *nodeEngines
	name    string
	addr    string
	zone    string
	budget  *citronbudget.Budget
	stop    context.CancelFunc
	// stopped reports that the node's process has ended.
	stopped atomic.Bool
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	store := citronkv.NewServer(citronclock.Real{}, 0)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go store.Run(ctx)
	return &fleet{t: t, store: store, orders: &orders{store: store}, net: loopback{}, log: slog.NewTextHandler(io.Discard, nil)}
}

// maxSeeds is the number of seed addresses that a node is given.
const maxSeeds = 8

// addNode starts a node that knows the addresses of the last nodes before it.
func (f *fleet) addNode(name, zone string) *member {
	f.t.Helper()
	mux := http.NewServeMux()
	addr, hc, disconnect := f.net.listen(mux)
	var seeds []string
	for _, m := range f.nodes[max(0, len(f.nodes)-maxSeeds):] {
		if !f.ownZoneSeedsOnly || m.zone == zone {
			seeds = append(seeds, m.addr)
		}
	}
	m := &member{name: name, gate: &gatedStore{Server: f.store, unavailable: &f.storeUnavailable}, engines: &nodeEngines{nodeOrders: nodeOrders{f.orders, name}}, addr: addr, zone: zone, budget: citronbudget.New(citronbudget.Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, time.Now())}
	m.Node = citronnode.New(citronnode.Settings{
		Name: name, Zone: zone, Front: "front-" + name, Peer: addr, Seeds: seeds, LeaseTTL: 600 * time.Millisecond, Grace: time.Second, DrainWithin: f.drainWithin, UsageInterval: f.usageInterval,
	}, citronnode.Sources{
		Store: m.gate, ConfigKey: "config", EnginePrefix: "engines/",
		DecodeConfig: decodeConfig, DecodeEngine: decodeEngine, Engines: m.engines,
	}, citronclock.Real{}, slog.New(f.log), m.budget, &citronpool.ZoneLoads{}, hc)
	m.Handle(mux)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	var once sync.Once
	m.stop = func() {
		once.Do(func() {
			m.stopped.Store(true)
			cancel()
			<-done
			disconnect()
		})
	}
	f.t.Cleanup(m.stop)
	f.nodes = append(f.nodes, m)
	return m
}

func (f *fleet) putConfig(text string) {
	f.t.Helper()
	if _, err := f.store.Put(context.Background(), "config", []byte(text), citronkv.AnyRevision, 0); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) putEngine(e citronmodel.Engine) {
	f.t.Helper()
	if err := putEngine(context.Background(), f.store, e); err != nil {
		f.t.Fatal(err)
	}
}

func (m *member) version() int64 {
	if s := m.Traffic(); s != nil {
		return s.Table.Version
	}
	return 0
}

// eventuallyTimeout is how long a test waits for a condition that takes a few seconds at
// most, so that slow machines do not fail it.
const eventuallyTimeout = 30 * time.Second

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", eventuallyTimeout, what)
}
