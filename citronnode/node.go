// Package citronnode implements a node that serves callers in front of engines. The node
// keeps the configuration, the list of engines and the other nodes up to date, forwards
// requests accordingly, and tells callers where to connect. While it holds the leader's
// lease, it also places layers on engines.
//
//	store --watch--> sources --+                 +--> traffic (citronforward)
//	nodes --gossip-> exchange -+--> control loop +--> directory
//	                           (one goroutine)   +--> placement (leader only)
//
// All nodes are equal. They keep nothing on disk and read durable state from the store.
// The control loop owns all state and publishes it as immutable snapshots; traffic and
// directory only read the snapshots.
package citronnode

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citroncontact"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citrongate"
	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronlag"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronlink"
	"citrondeck.dev/citrondeck/citronlist"
	"citrondeck.dev/citrondeck/citronloan"
	"citrondeck.dev/citrondeck/citronmemory"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronquarantine"
	"citrondeck.dev/citrondeck/citronreach"
	"citrondeck.dev/citrondeck/citronrelay"
	"citrondeck.dev/citrondeck/citronroster"
	"citrondeck.dev/citrondeck/citrontable"
)

// Settings are the settings of a node.
type Settings struct {
	Name, Zone string
	// Front is the address for callers, Peer the address for other nodes.
	Front, Peer string
	// Seeds are peer addresses of nodes that may be running.
	Seeds []string
	// Cores is the processor time available to the node, in cores, or zero if it is
	// unknown.
	Cores float64
	// LeaseTTL is the lifetime of the leader's lease without renewal.
	LeaseTTL time.Duration
	// Grace is the time between the stop signal and the kill.
	Grace time.Duration
	// Heartbeat is how often engines renew their entries, or zero if it is unknown.
	Heartbeat time.Duration
	// DrainWithin is the time after which an engine that is leaving must not get new
	// work from any node, or zero if it is unknown.
	DrainWithin time.Duration
	// UsageInterval is how often this node asks the engines that it observes for their
	// usage, or zero if it does not.
	UsageInterval time.Duration
	// UsageMinNodes is the number of nodes of a zone from which on they poll its engines.
	// In a smaller zone each node has enough requests of its own to estimate the share of
	// each engine, and polls are billed.
	UsageMinNodes int
	// Memory is charged for the bodies of requests that other nodes relay. It may be nil.
	Memory *citronmemory.Account
}

// Sources tells where a node finds its documents and how to decode them.
type Sources struct {
	Store        citronkv.Store
	ConfigKey    string
	EnginePrefix string
	DecodeConfig func([]byte) (*citrontable.Table, error)
	DecodeEngine func(key string, text []byte) (citronmodel.Engine, error)
	// Engines is the client for engines. It uses this node's own connections.
	Engines citronreach.Direct
}

// Node is one node of the fleet. New creates it, and Run keeps it up to date.
type Node struct {
	settings Settings
	sources  Sources
	clock    citronclock.Clock
	log      *slog.Logger
	budget   *citronbudget.Budget
	loads    *citronpool.ZoneLoads
	peers    *citronpeer.Client
	// engines is the client for engines, and links records what it reaches.
	engines *citronreach.Engines
	links   *citronlink.Links
	// relays makes the calls of other nodes, through relayGate.
	relays    *citronreach.Server
	relayGate atomic.Pointer[citrongate.Gate]

	// lag measures the scheduling delay of this node.
	lag *citronlag.Monitor

	// control is the inbox of the control loop (control.go).
	control chan message
	snap    atomic.Pointer[snapshot]
	leaving atomic.Bool
	// startedAt is when Run was called.
	startedAt time.Time
	// leftAt is when the node began to stop.
	leftAt atomic.Pointer[time.Time]
	// closed is set once no more requests are accepted.
	closed atomic.Bool
	// updates wakes the gossip loop after a document has changed on this node. urgentUpdates
	// does the same if the leader must be informed too.
	updates, urgentUpdates chan struct{}
	accusations            accusations
	// probeAccused probes an engine that another node accused (ProbeAccusedThrough).
	probeAccused atomic.Pointer[func(e *citronpool.Engine, wasAccused bool)]
	// configs holds the newest decoded configuration for the control loop.
	configs configInbox
	// pull fetches documents that other nodes have announced.
	pull puller
	// stabilizer determines when a started node knows the other nodes. hasStabilized is
	// set once it does.
	stabilizer    citroncontact.Stabilizer
	hasStabilized atomic.Bool
	// refusals holds the nodes that refuse connections.
	refusals citroncontact.Refusals
	// loans borrows retry budget from other nodes.
	loans *citronloan.Borrower
	// quarantine holds what is known about requests that crash engines.
	quarantine *citronquarantine.Ledger
	// limits are the rate limits that engines have announced. permits issues permits for
	// the engines for which this node is the permit issuer.
	limits  *citronlimit.Registry
	permits *citronpermit.Issuer
	// heardShare is the share of the nodes that this node hears, as the bits of a float64.
	heardShare atomic.Uint64
	// limitsRejected counts the invalid messages of other nodes about limits.
	// limitsRejectedFrom holds the names of the nodes that sent them.
	limitsRejected     atomic.Int64
	limitsRejectedFrom sync.Map
	// invalidUsageFrom holds the engines and nodes from which invalid usage reports came.
	invalidUsageFrom sync.Map
	// parts holds what is known about prompt parts that crash engines. crashSeen wakes the
	// goroutine that reports crashes.
	parts     *citronpart.Ledger
	crashSeen chan struct{}
	// crashesRejectedFrom holds the nodes of which an invalid message about crashes or
	// prompt parts has been logged.
	crashesRejectedFrom sync.Map
	// quarantineChanged wakes the goroutine that saves quarantine records to the store.
	quarantineChanged chan struct{}
	// suspectsRejected counts the invalid messages of other nodes, and the invalid
	// records in the store, about suspects: requests under which engines have crashed.
	// suspectsRejectedFrom holds the names of the nodes that sent the messages, and "store" for
	// the records.
	suspectsRejected     atomic.Int64
	suspectsRejectedFrom sync.Map
	// watchedPrefixes is the number of followed prefixes that this node watches and for
	// which the store answers.
	watchedPrefixes atomic.Int64
	// health records the results of this node's calls to the store.
	health *citronhealth.StoreMonitor
	// leads is set while this node holds the lease or is the acting leader. places is set
	// while it places layers.
	leads, places atomic.Bool
	// targets returns the target layer ranges that this node has chosen as the leader.
	targets atomic.Pointer[func() map[string]citronmodel.Span]
	// leaderless is the time since which no leader has been heard of.
	leaderless atomic.Pointer[time.Time]
	// registered holds the nodes that are registered in the store, as last read.
	registered atomic.Pointer[registeredNodes]
	inflight   sync.WaitGroup
	running    atomic.Int64
}

// snapshot is the immutable state that the control loop publishes.
type snapshot struct {
	traffic *citronforward.State
	engines []citronmodel.Engine
	members []citronpeer.Member
	// stale holds the names of members that have not been heard of lately.
	stale map[string]bool
	// config and list are passed on to other nodes.
	config citronpeer.ConfigDocument
	list   citronlist.Snapshot
	self   citronpeer.Member
	// roster describes this node and the members, as sent to other nodes.
	roster citronroster.Roster
	// zoneTotals holds the zone totals, including those of this node's zone.
	zoneTotals []citronpeer.ZoneTotals
	// otherNodesCache maps each zone to the cache, in tokens, that requests of other nodes
	// occupy there.
	otherNodesCache map[string]int64
	// eraAt is when this node observed that the store was restored from an older copy.
	eraAt time.Time
	// configAt and listAt are when the configuration and the list last changed here.
	configAt, listAt time.Time
	// targets holds the target layer ranges that a leader announced recently.
	targets    map[string]citronmodel.Span
	listStable bool
	// unreadable is the number of entries in the list that do not describe an engine.
	unreadable int
	// retained is the number of engines in use whose entries are missing.
	retained int
	// listComplete reports that the list is complete: no missing entries are expected to
	// come back.
	listComplete bool
}

// New returns a node. hc is used to talk to other nodes.
func New(settings Settings, sources Sources, clock citronclock.Clock, log *slog.Logger, budget *citronbudget.Budget, loads *citronpool.ZoneLoads, hc *http.Client) *Node {
	health := citronhealth.NewStoreMonitor(settings.Heartbeat)
	sources.Store = citronhealth.Observe(sources.Store, clock, health.RecordCall)
	n := &Node{
		settings: settings, sources: sources, health: health, clock: clock, log: log, budget: budget, loads: loads,
		peers:         &citronpeer.Client{HC: hc, Timeout: exchangeTimeout},
		control:       make(chan message, inboxSize),
		updates:       make(chan struct{}, 1),
		urgentUpdates: make(chan struct{}, 1),

		quarantineChanged: make(chan struct{}, 1),
		crashSeen:         make(chan struct{}, 1),
		configs:           newConfigInbox(sources.DecodeConfig),
	}
	n.lag = citronlag.New(clock, n.newDelayObserver())
	n.links = citronlink.NewLinks(clock, log)
	n.engines = citronreach.NewEngines(citronreach.Settings{
		Node: settings.Name, Direct: sources.Engines, Links: n.links, Relays: &citronrelay.Client{HC: hc, Memory: settings.Memory}, Helpers: n.helpers, Neighbors: n.neighbors, Clock: clock, Log: log, Lag: n.lag,
	})
	n.relays = citronreach.NewServer(n.engines, n.view, n.relayGate.Load, n.trackRelay)
	n.limits, n.permits = citronlimit.NewRegistry(clock), citronpermit.NewIssuer()
	n.limits.OnChange(n.limitsChanged)
	n.quarantine = citronquarantine.New(settings.Name, clock)
	n.quarantine.OnChange(func() {
		n.notifyPeers()
		wake(n.quarantineChanged)
	})
	n.parts = citronpart.New(clock)
	n.parts.OnCrash(func() { wake(n.crashSeen) })
	n.parts.OnChange(func() {
		n.quarantine.Explain(n.parts.CrashedEngines())
		n.notifyPeers()
		wake(n.quarantineChanged)
	})
	n.loans = citronloan.New(budget, n.peers, clock, func() []citronpeer.Member { return n.snap.Load().members })
	n.snap.Store(&snapshot{self: citronpeer.Member{Name: settings.Name, Zone: settings.Zone, Front: settings.Front, Peer: settings.Peer, Weak: settings.lowCPU(), Started: clock.Now().UnixNano()}})
	return n
}

// Traffic returns the state by which requests are forwarded, or nil if there is none
// yet.
func (n *Node) Traffic() *citronforward.State { return n.snap.Load().traffic }

// Ready reports whether callers may connect.
func (n *Node) Ready() bool { return !n.leaving.Load() && n.snap.Load().ready() }

// Leaving reports whether this node is about to stop.
func (n *Node) Leaving() bool { return n.leaving.Load() }

func (s *snapshot) ready() bool { return s.traffic != nil && s.listStable }

// Track counts a request in flight. The returned function ends the request.
func (n *Node) Track() func() {
	n.inflight.Add(1)
	n.running.Add(1)
	return func() {
		n.running.Add(-1)
		n.inflight.Done()
	}
}

// RetryTurn returns this node's turn among the nodes of its zone.
func (n *Node) RetryTurn() citronadmit.Turn {
	s := n.snap.Load()
	index, nodes := 0, 1
	for _, m := range s.members {
		if m.Zone != s.self.Zone || m.Leaving {
			continue
		}
		nodes++
		if m.Name < s.self.Name {
			index++
		}
	}
	return citronadmit.TurnOf(index, nodes)
}

// Borrow borrows retry budget for a service from other nodes and reports whether any of
// them lent some.
func (n *Node) Borrow(service string) bool { return n.loans.Borrow(service) }

// Lend implements citronpeer.Lender.
func (h peerHandler) Lend(service string, want int) citronpeer.Loan {
	return citronloan.Lend(h.n.budget, service, want, h.n.clock.Now())
}

// Handle mounts the handlers that other nodes call.
func (n *Node) Handle(mux *http.ServeMux) {
	citronpeer.Handle(mux, peerHandler{n})
	citronpeer.HandleLend(mux, peerHandler{n})
	citronpeer.HandlePermit(mux, peerHandler{n})
	citronrelay.Handle(mux, n.relays)
}

// Run keeps the node up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.startedAt = n.clock.Now()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { n.loop(ctx) })
	tasks.Go(func() { n.gossip(ctx) })
	tasks.Go(func() { n.follow(ctx, n.sources.ConfigKey, true) })
	tasks.Go(func() { n.follow(ctx, n.sources.EnginePrefix, false) })
	tasks.Go(func() { n.lead(ctx) })
	tasks.Go(func() { n.register(ctx) })
	tasks.Go(func() { n.persistQuarantine(ctx) })
	tasks.Go(func() { n.reportCrashes(ctx) })
	tasks.Go(func() { n.observeUsage(ctx) })
	tasks.Go(func() { n.lag.Run(ctx) })
}

const (
	// drainServeShare is the share of the grace period in which callers may still
	// connect: the addresses that they got from the directory are up to two seconds old.
	drainServeShare = 0.3
	// killMargin is the part of the grace period that is left unused before the kill.
	killMargin = 400 * time.Millisecond
)

// Stopping returns whether the node is stopping and how much time is left.
func (n *Node) Stopping() citronforward.Stopping {
	at := n.leftAt.Load()
	if at == nil {
		return citronforward.Stopping{}
	}
	since := n.clock.Now().Sub(*at)
	left := n.settings.Grace - killMargin - since
	if n.closed.Load() {
		left = 0
	}
	others := slices.ContainsFunc(n.snap.Load().members, acceptsCallers)
	return citronforward.Stopping{Active: true, Since: since, Left: left, OtherNodeServing: others}
}

func acceptsCallers(m citronpeer.Member) bool { return m.Ready && !m.Leaving }

// Drain removes the node from the directory and continues to serve while callers still
// know its address. It returns when no request is in flight or the grace period is
// nearly over.
func (n *Node) Drain(ctx context.Context) {
	begin := n.clock.Now()
	n.leftAt.Store(&begin)
	n.leaving.Store(true)
	n.announce(ctx)
	citronevent.Log(ctx, n.log, citronevent.DrainStarted, "inflight", n.running.Load())
	end := begin.Add(n.settings.Grace - killMargin)
	_ = n.clock.Sleep(ctx, time.Duration(float64(n.settings.Grace)*drainServeShare))
	n.awaitIdle(ctx, end)
	n.closed.Store(true)
	n.awaitIdle(ctx, end) // requests that were accepted just before
	citronevent.Log(ctx, n.log, citronevent.DrainDone, "inflight", n.running.Load())
}

// awaitIdle waits until no request is in flight, or until the given time.
func (n *Node) awaitIdle(ctx context.Context, end time.Time) {
	for n.running.Load() > 0 && n.clock.Now().Before(end) && ctx.Err() == nil {
		_ = n.clock.Sleep(ctx, drainPollInterval)
	}
}

// announceFanout is the number of nodes that this node tells directly that it is stopping or
// partitioned, or that it has a document that they wait for. These nodes pass it on by gossip. Callers
// that still connect to a stopping node meanwhile are served; it rejects a request only
// once it can no longer be expected to finish it in time.
const announceFanout = 16

// announce tells other nodes of a changed state of this node, without waiting for the next
// gossip round.
func (n *Node) announce(ctx context.Context) {
	_ = n.clock.Sleep(ctx, tickInterval+tickInterval/2) // the next tick publishes the state
	members := n.snap.Load().members
	for _, m := range members[:min(len(members), announceFanout)] {
		go n.exchange(ctx, m.Peer)
	}
}

const drainPollInterval = 50 * time.Millisecond

// notifyPeers wakes the gossip loop to inform other nodes of a changed document.
func (n *Node) notifyPeers() { wake(n.updates) }

// notifyLeader wakes the gossip loop to inform the leader too.
func (n *Node) notifyLeader() { wake(n.urgentUpdates) }

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // a wake-up is already pending
	}
}
