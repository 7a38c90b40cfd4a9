// Package citronnode is a node that serves callers in front of engines: it
// keeps the configuration, the list of engines and the other nodes up to
// date, forwards requests by them, tells callers where to connect, and,
// when it holds the leader's lease, places layers on engines.
//
//	store --watch--> sources --+                 +--> traffic (citronforward)
//	nodes --gossip-> exchange -+--> control loop +--> directory
//	                           (one goroutine)   +--> placement (leader only)
//
// All nodes are alike, keep nothing on disk, and learn what must last from
// the store. The control loop owns all state and publishes it as immutable
// snapshots; traffic and directory only read those.
package citronnode

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronlimit"
	"citrondeck.dev/citrondeck/citronlist"
	"citrondeck.dev/citrondeck/citronloan"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpermit"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronquarantine"
	"citrondeck.dev/citrondeck/citronroster"
	"citrondeck.dev/citrondeck/citrontable"
)

// Settings of a node.
type Settings struct {
	Name, Zone string
	// Front and Peer are this node's addresses for callers and nodes.
	Front, Peer string
	// Seeds are peer addresses of nodes that may be running.
	Seeds []string
	// Cores is the processor time that the node has, in cores; zero if it
	// is not known.
	Cores float64
	// LeaseTTL is the life of the leader's lease without renewal.
	LeaseTTL time.Duration
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// Heartbeat is how often engines renew their entries; zero: it is not
	// known.
	Heartbeat time.Duration
	// DrainWithin is the time after which an engine that leaves gets no new
	// work from any node; zero: it is not known.
	DrainWithin time.Duration
}

// Sources is where a node's documents come from and how to read them.
type Sources struct {
	Store        citronkv.Store
	ConfigKey    string
	EnginePrefix string
	DecodeConfig func([]byte) (*citrontable.Table, error)
	DecodeEngine func(key string, text []byte) (citronmodel.Engine, error)
	Orders       citronplace.Orders
}

// Node is one node.
type Node struct {
	set    Settings
	src    Sources
	clock  citronclock.Clock
	log    *slog.Logger
	budget *citronbudget.Budget
	loads  *citronpool.Loads
	peers  *citronpeer.Client

	// control is the control loop's inbox; see control.go.
	control chan message
	snap    atomic.Pointer[snapshot]
	leaving atomic.Bool
	// startedAt is when it began to run.
	startedAt time.Time
	// leftAt is when the node began to stop.
	leftAt atomic.Pointer[time.Time]
	// news wakes the gossip loop when a document changed here, alarms when
	// the leader has to hear of it too.
	news, alarms chan struct{}
	// accused is when this node last told others of an accused engine.
	accused atomic.Pointer[time.Time]
	// configs is where decoded configurations wait for the control loop.
	configs configInbox
	// pull fetches documents that other nodes told of.
	pull puller
	// settling finds out when a node that started knows the others; hasSettled
	// is set once it does.
	settling   settling
	hasSettled atomic.Bool
	// loans asks other nodes for repeats.
	loans *citronloan.Borrower
	// quarantine is what is known of requests that crash engines.
	quarantine *citronquarantine.Ledger
	// limits are the rate limits that engines name. permits deals out permits for the
	// engines for which this node is the dealer.
	limits  *citronlimit.Book
	permits *citronpermit.Dealer
	// limitsRejected counts what other nodes told of limits and was invalid, and
	// limitsRejectedFrom holds the names of those nodes.
	limitsRejected     atomic.Int64
	limitsRejectedFrom sync.Map
	// barredNews wakes the goroutine that keeps its records in the store.
	barredNews chan struct{}
	// suspectsRejected counts what other nodes told of such requests and could
	// not be true, and rejectedFrom holds the names of those nodes.
	suspectsRejected atomic.Int64
	rejectedFrom     sync.Map
	// answered is how many of the followed prefixes the store answers.
	answered atomic.Int64
	// health is what this node's calls tell of the store.
	health *citronhealth.Record
	// leads is set while this node holds the lease, places while it gives orders.
	leads, places atomic.Bool
	// goals are what this node as the leader wants engines to hold.
	goals atomic.Pointer[func() map[string]citronmodel.Span]
	// leaderless is since when no leader has been heard of.
	leaderless atomic.Pointer[time.Time]
	// registered are peer addresses found in the store.
	registered atomic.Pointer[[]string]
	inflight   sync.WaitGroup
	running    atomic.Int64
}

// snapshot is what the control loop publishes.
type snapshot struct {
	traffic *citronforward.State
	engines []citronmodel.Engine
	members []citronpeer.Member
	// stale are the names of members that were not heard of lately.
	stale map[string]bool
	// config and list are passed on to other nodes.
	config citronpeer.ConfigDocument
	list   citronlist.Passed
	self   citronpeer.Member
	// roster is this node and the members, as others are told of them.
	roster citronroster.Roster
	// sums is what the zones do, with this one's.
	sums []citronpeer.Sum
	// others is the cache that the other nodes' requests take by zone.
	others map[string]int64
	// eraAt is when this node saw the store return from an older copy.
	eraAt time.Time
	// configAt and listAt are when they last changed here.
	configAt, listAt time.Time
	// goals are what a leader lately wanted engines to hold.
	goals       map[string]citronmodel.Span
	listSettled bool
	// unreadable is how many entries of the list name no engine.
	unreadable int
	// kept is how many engines are in use although their entries went.
	kept int
	// listWhole: no entries are missing that may come back.
	listWhole bool
}

// New returns a node. hc is used to speak to other nodes.
func New(set Settings, src Sources, clock citronclock.Clock, log *slog.Logger, budget *citronbudget.Budget, loads *citronpool.Loads, hc *http.Client) *Node {
	health := citronhealth.NewRecord(set.Heartbeat)
	src.Store = citronhealth.Observe(src.Store, clock, health.Note)
	n := &Node{
		set: set, src: src, health: health, clock: clock, log: log, budget: budget, loads: loads,
		peers:   &citronpeer.Client{HC: hc, Timeout: exchangeTimeout},
		control: make(chan message, inboxSize),
		news:    make(chan struct{}, 1),
		alarms:  make(chan struct{}, 1),

		barredNews: make(chan struct{}, 1),
		configs:    newConfigInbox(src.DecodeConfig),
	}
	n.limits, n.permits = citronlimit.NewBook(clock), citronpermit.NewDealer()
	n.limits.Notify(n.limitsChanged)
	n.quarantine = citronquarantine.New(set.Name, clock)
	n.quarantine.Notify(func() {
		n.tell()
		wake(n.barredNews)
	})
	n.loans = citronloan.New(budget, n.peers, clock, func() []citronpeer.Member { return n.snap.Load().members })
	n.snap.Store(&snapshot{self: citronpeer.Member{Name: set.Name, Zone: set.Zone, Front: set.Front, Peer: set.Peer, Weak: set.weak(), Started: clock.Now().UnixNano()}})
	return n
}

// Traffic returns what requests are forwarded by, nil before there is any.
func (n *Node) Traffic() *citronforward.State { return n.snap.Load().traffic }

// Ready reports whether callers may connect.
func (n *Node) Ready() bool { return !n.leaving.Load() && n.snap.Load().ready() }

// Leaving reports whether this node is about to stop.
func (n *Node) Leaving() bool { return n.leaving.Load() }

func (s *snapshot) ready() bool { return s.traffic != nil && s.listSettled }

// Track counts a request in flight.
func (n *Node) Track() func() {
	n.inflight.Add(1)
	n.running.Add(1)
	return func() {
		n.running.Add(-1)
		n.inflight.Done()
	}
}

// Borrow has other nodes lend this one repeats for a service, and reports
// whether any did.
func (n *Node) Borrow(service string) bool { return n.loans.Borrow(service) }

// Lend implements citronpeer.Lender.
func (a answerer) Lend(service string, want int) citronpeer.Loan {
	return citronloan.Lend(a.n.budget, service, want, a.n.clock.Now())
}

// Handle mounts what other nodes call.
func (n *Node) Handle(mux *http.ServeMux) {
	citronpeer.Handle(mux, answerer{n})
	citronpeer.HandleLend(mux, answerer{n})
	citronpeer.HandlePermit(mux, answerer{n})
}

// Run keeps the node up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.startedAt = n.clock.Now()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { n.loop(ctx) })
	tasks.Go(func() { n.gossip(ctx) })
	tasks.Go(func() { n.follow(ctx, n.src.ConfigKey, true) })
	tasks.Go(func() { n.follow(ctx, n.src.EnginePrefix, false) })
	tasks.Go(func() { n.lead(ctx) })
	tasks.Go(func() { n.register(ctx) })
	tasks.Go(func() { n.keepBarred(ctx) })
}

const (
	// leaveSettle is the part of the grace in which callers may still come:
	// their answers from the directory are up to two seconds old.
	leaveSettle = 0.3
	// leaveMargin is kept before the kill.
	leaveMargin = 400 * time.Millisecond
)

// Stopping tells whether and how far the node is stopping.
func (n *Node) Stopping() citronforward.Stopping {
	at := n.leftAt.Load()
	if at == nil {
		return citronforward.Stopping{}
	}
	since := n.clock.Now().Sub(*at)
	others := slices.ContainsFunc(n.snap.Load().members, takesCallers)
	return citronforward.Stopping{Active: true, Since: since, Left: n.set.Grace - leaveMargin - since, Others: others}
}

func takesCallers(m citronpeer.Member) bool { return m.Ready && !m.Leaving }

// Drain takes the node out of the directory, serves on while callers still
// know its address, and returns when nothing is in flight or the grace is
// nearly over.
func (n *Node) Drain(ctx context.Context) {
	begin := n.clock.Now()
	n.leftAt.Store(&begin)
	n.leaving.Store(true)
	n.announce(ctx)
	citronevent.Log(ctx, n.log, citronevent.DrainStarted, "inflight", n.running.Load())
	end := n.clock.Now().Add(n.set.Grace - leaveMargin)
	_ = n.clock.Sleep(ctx, time.Duration(float64(n.set.Grace)*leaveSettle))
	for n.running.Load() > 0 && n.clock.Now().Before(end) && ctx.Err() == nil {
		_ = n.clock.Sleep(ctx, drainPoll)
	}
	citronevent.Log(ctx, n.log, citronevent.DrainDone, "inflight", n.running.Load())
}

// announceTo is how many nodes hear at once that this one is stopping; they
// pass it on. Callers that are sent here after that are refused later.
const announceTo = 16

// announce tells other nodes that this one is stopping, without waiting for
// the next round of gossip.
func (n *Node) announce(ctx context.Context) {
	_ = n.clock.Sleep(ctx, tickEvery+tickEvery/2) // the next tick publishes it
	members := n.snap.Load().members
	for _, m := range members[:min(len(members), announceTo)] {
		go n.exchange(ctx, m.Peer)
	}
}

const drainPoll = 50 * time.Millisecond

// tell has other nodes hear soon that a document changed here.
func (n *Node) tell() { wake(n.news) }

// alarm has the leader hear of it too.
func (n *Node) alarm() { wake(n.alarms) }

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // a wake-up is pending already
	}
}
