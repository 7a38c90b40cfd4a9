// Package citronpeer exchanges gossip state between nodes: which nodes exist,
// which configuration is the newest, and which engines are leaving.
//
// A node that the store rejects for a while still has to learn of a new
// configuration and of engines that leave. A few times a second, every node
// contacts a few randomly chosen nodes, and the node with the older document
// takes the newer one. An update reaches all nodes in a number of rounds that
// grows with the logarithm of the fleet size. About members, a message carries
// only what the other node is missing (citronroster).
package citronpeer

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
)

// Member is the state of a node that other nodes know.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Front is the address for callers. Peer is the address for other nodes.
	Front string `json:"front"`
	Peer  string `json:"peer"`
	// Started is the start time of the process, in nanoseconds since the Unix
	// epoch. It tells a restarted process from the previous one.
	Started int64 `json:"started"`
	Gauges
	// Weak reports that the node has too little processor time to lead or to
	// watch the store if another node can (Before).
	Weak bool `json:"weak,omitempty"`
	// Ready reports whether callers may connect. Leaving reports that the node
	// is about to stop.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Leads reports whether the node holds the lease for placing layers, or is
	// the acting leader.
	Leads bool `json:"leads,omitempty"`
	// Partitioned reports that the node does not reach most engines that other nodes
	// reach. Its word on engines counts for nothing.
	Partitioned bool `json:"partitioned,omitempty"`
	// Watching reports whether the node watches the store and the store
	// responds.
	Watching bool `json:"watching,omitempty"`
	// Store is what the node knows about the availability of the store.
	Store citronhealth.Status `json:"store,omitzero"`
	// TargetLayers are target layer ranges (from, to) by engine ID, set by this node
	// as the leader. An entry remains until the engine holds its range or is no
	// longer available for placement.
	TargetLayers map[string][2]int `json:"goals,omitempty"`
	// Dead are the IDs of engines that have just failed to answer the node.
	Dead []string `json:"dead,omitempty"`
	// Starts are start times of engines, by their name in the list of engines.
	// These engines are known to have started later than their entries in the
	// store say.
	Starts map[string]int64 `json:"starts,omitempty"`
	// LeavingEngines are the IDs of engines that told the node that they are leaving,
	// although their entries in the list do not say so.
	LeavingEngines []string `json:"leavingEngines,omitempty"`
}

// Gauges are the frequently changing values of a member.
type Gauges struct {
	// Heartbeat is the heartbeat counter. It grows while the process lives.
	Heartbeat int64 `json:"beat"`
	// Load is the engine cache that the node's requests use, in tokens by zone.
	Load map[string]int64 `json:"load,omitempty"`
	// Sent is what the node has sent in the last window, by service.
	Sent map[string]Sent `json:"sent,omitempty"`
	// Counted is the number of nodes that the node counts when the retry budget is divided,
	// itself included, or zero if it does not know them yet.
	Counted int `json:"counted,omitempty"`
}

// WithGauges returns m with its gauges replaced by g.
func (m Member) WithGauges(g Gauges) Member {
	m.Gauges = g
	return m
}

// Sent counts the requests and retries that were sent for a service.
type Sent struct {
	Requests float64 `json:"requests"`
	Retries  float64 `json:"repeats"`
}

// MinHeartbeatInterval is the minimum average time between two heartbeats of a member.
const MinHeartbeatInterval = 100 * time.Millisecond

// Newer reports whether m is a later state of the same node than o.
func (m Member) Newer(o Member) bool {
	if m.Started != o.Started {
		return m.Started > o.Started
	}
	return m.Heartbeat > o.Heartbeat
}

// Before reports whether m precedes o in the order in which nodes take on the
// tasks that a few nodes do for the whole fleet. Weak nodes come last. The
// order is by hash of the name: names usually begin with the zone, so in
// alphabetical order the first few nodes would be in one zone and be cut off
// together.
func (m Member) Before(o Member) bool {
	if m.Weak != o.Weak {
		return o.Weak
	}
	a, b := xxhash.Sum64String(m.Name), xxhash.Sum64String(o.Name)
	return a < b || a == b && m.Name < o.Name
}

// Fingerprint is a fingerprint of a member without its gauges (citronroster). In one
// of six thousand fleets of 1,200 nodes two members have the same fingerprint,
// until one of them changes. Updates about one of them are then missing, and
// other nodes probe it.
type Fingerprint uint32

// Digest lists the members that a node knows: their fingerprints and, at the
// same index, their heartbeat counters.
type Digest struct {
	Fingerprints []Fingerprint `json:"prints,omitempty"`
	Heartbeats   []int64       `json:"beats,omitempty"`
}

// Heartbeat returns the heartbeat counter for the fingerprint at index i. It returns
// zero if the digest has fewer counters than fingerprints.
func (d Digest) Heartbeat(i int) int64 {
	if i >= len(d.Heartbeats) {
		return 0
	}
	return d.Heartbeats[i]
}

// GaugeUpdate holds new gauges of a member whose details the receiver knows.
type GaugeUpdate struct {
	Fingerprint Fingerprint `json:"print"`
	Gauges
}

// Diff is what one node has newer than another: full members, and the gauges of
// members whose details the other node knows.
type Diff struct {
	Members []Member `json:"members,omitempty"`
	// AgesMS are the times since the members were last heard of, in
	// milliseconds, at the same index as in Members.
	AgesMS []int64       `json:"agesMs,omitempty"`
	Gauges []GaugeUpdate `json:"gauges,omitempty"`
}

// Age returns the age of the state of Members[i]. A missing or implausible age
// counts as zero, as if the state came from the member itself.
func (d Diff) Age(i int) time.Duration {
	if i >= len(d.AgesMS) || d.AgesMS[i] < 0 || d.AgesMS[i] > maxPlausibleAge.Milliseconds() {
		return 0
	}
	return time.Duration(d.AgesMS[i]) * time.Millisecond
}

// maxPlausibleAge is above any age of a state that nodes send.
const maxPlausibleAge = time.Minute

// ZoneTotals holds the load and usage of all nodes of one zone.
type ZoneTotals struct {
	Zone string `json:"zone"`
	// AgeMS is how long ago a node of the zone computed the totals, in
	// milliseconds. Ages need no synchronized clocks.
	AgeMS int64            `json:"ageMs"`
	Load  map[string]int64 `json:"load,omitempty"`
	Sent  map[string]Sent  `json:"sent,omitempty"`
}

// MissingItems lists the missing items that a node requests from a peer, by
// fingerprint from the peer's digest.
type MissingItems struct {
	Members []Fingerprint `json:"members,omitempty"`
	Gauges  []Fingerprint `json:"gauges,omitempty"`
}

// Empty reports whether no item is missing.
func (m MissingItems) Empty() bool { return len(m.Members)+len(m.Gauges) == 0 }

// ConfigDocument is the configuration as nodes pass it on. The higher version
// wins.
type ConfigDocument struct {
	Version int64  `json:"revision"`
	Body    []byte `json:"body,omitempty"`
}

// ListDocument is the list of engines as nodes pass it on. The later revision
// wins.
type ListDocument struct {
	Revision citronkv.Revision `json:"revision"`
	// Base is the revision that the changes in Body apply to. It is zero if
	// Body is the full list.
	Base citronkv.Revision `json:"base,omitzero"`
	Body []byte            `json:"body,omitempty"`
}

// GossipState is the gossip state that a node sends to another. A document with
// an empty body only tells which revision the sender has.
type GossipState struct {
	// From is the sender.
	From Member
	// Diff is what the receiver is missing according to the digest that it has
	// sent, or what it has requested. It is empty in other messages.
	Diff
	// Digest lists the members that the sender knows. ZoneTotals holds one item for
	// each zone whose totals it knows. Both are empty in updates.
	Digest     Digest
	ZoneTotals []ZoneTotals
	// Missing are the items of the receiver's digest that the sender is missing.
	Missing MissingItems
	Config  ConfigDocument
	Engines ListDocument
	// Accused are the IDs of accused engines: engines that another engine, which
	// refused a request, has just named as the cause.
	Accused []string
	// Suspects are requests under which engines have crashed. SuspectChecksum is a
	// checksum of those that all nodes have to agree on (citronquarantine.Ledger.Sum).
	// It is set in exchanges.
	Suspects        []Suspect
	SuspectChecksum uint64
	// Limits are rate limits of engines. LimitChecksum is a checksum of all limits
	// that the sender knows. It is set in exchanges.
	Limits        []Limit
	LimitChecksum uint64
	// Crashes are crashes that the sender has seen, for a node that looks for the prompt
	// parts that crash engines. Parts are records of such parts, and PartChecksum is a
	// checksum of all that the sender knows. It is set in exchanges.
	Crashes      []Crash
	Parts        []PartRecord
	PartChecksum uint64
	// Usage are recent reports of engines about their usage, MaxUsageReports at most. A
	// node of an earlier version ignores them.
	Usage []UsageReport
}

// exchangeMessage is GossipState as it is encoded. Both have the same fields, so
// that one converts to the other.
type exchangeMessage struct {
	From Member `json:"from"`
	Diff
	Digest     Digest         `json:"digest,omitzero"`
	ZoneTotals []ZoneTotals   `json:"sums,omitempty"`
	Missing    MissingItems   `json:"wants,omitzero"`
	Config     ConfigDocument `json:"config"`
	Engines    ListDocument   `json:"engines"`
	Accused    []string       `json:"accused,omitempty"`

	Suspects        []Suspect `json:"suspects,omitempty"`
	SuspectChecksum uint64    `json:"suspectSum,omitempty"`
	Limits          []Limit   `json:"limits,omitempty"`
	LimitChecksum   uint64    `json:"limitSum,omitempty"`

	Crashes      []Crash      `json:"crashes,omitempty"`
	Parts        []PartRecord `json:"parts,omitempty"`
	PartChecksum uint64       `json:"partSum,omitempty"`

	Usage []UsageReport `json:"usage,omitempty"`
}

const (
	procedureExchange = "/citron.peer/Exchange"
	procedureUpdate   = "/citron.peer/News"
	// maxConcurrentExchanges is the number of exchanges a node serves
	// concurrently. Each may hold the decoded members of the whole fleet. A node
	// that had stalled for a moment ran out of memory when all waiting nodes
	// contacted it. A node whose exchange is rejected contacts another node in
	// its next round.
	maxConcurrentExchanges = 8
	// maxConcurrentUpdates is the same for updates, which are small: an update
	// usually concerns one node.
	maxConcurrentUpdates = 64
	// minCompressedBytes is the smallest message size that is worth compressing.
	// Most messages of a large fleet consist of fingerprints, which do not
	// compress.
	minCompressedBytes = 4 << 10
)

// GossipHandler serves the messages that other nodes send.
type GossipHandler interface {
	// Exchange receives the digest of another node. It returns what the other
	// node is missing, and requests what this node is missing.
	Exchange(GossipState) GossipState
	// Update receives another node's update about itself and about the members
	// that this node has requested. It returns this node's own update, with the
	// documents that the other node is missing.
	Update(GossipState) GossipState
}

// Handle mounts a node's procedures on mux.
func Handle(mux *http.ServeMux, a GossipHandler) {
	handle(mux, procedureExchange, maxConcurrentExchanges, a.Exchange)
	handle(mux, procedureUpdate, maxConcurrentUpdates, a.Update)
}

func handle(mux *http.ServeMux, procedure string, maxConcurrent int, answer func(GossipState) GossipState) {
	inner := http.NewServeMux()
	citronwire.Handle(inner, procedure, func(_ context.Context, m *exchangeMessage) (*exchangeMessage, error) {
		a := exchangeMessage(answer(GossipState(*m)))
		return &a, nil
	}, citronwire.CBOR(), citronwire.FastGzipHandler, connect.WithCompressMinBytes(minCompressedBytes))
	mux.Handle(procedure, limitConcurrency(inner, maxConcurrent))
}

// limitConcurrency serves at most maxConcurrent requests concurrently. It
// rejects further requests before it reads their bodies.
func limitConcurrency(h http.Handler, maxConcurrent int) http.Handler {
	slots := make(chan struct{}, maxConcurrent)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
}

// Client sends messages to other nodes.
type Client struct {
	HC      *http.Client
	Timeout time.Duration
}

// Exchange sends this node's digest to the node at addr. It returns what that
// node has newer, and what it is missing.
func (c *Client) Exchange(ctx context.Context, addr string, state GossipState) (GossipState, error) {
	return c.call(ctx, addr, procedureExchange, state)
}

// Update sends the node at addr an update about this node and the revisions of
// its documents. It returns that node's update, with the documents that this
// node is missing.
func (c *Client) Update(ctx context.Context, addr string, state GossipState) (GossipState, error) {
	return c.call(ctx, addr, procedureUpdate, state)
}

func (c *Client) call(ctx context.Context, addr, procedure string, state GossipState) (GossipState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	m := exchangeMessage(state)
	// The members in a message contain the same names many times. Compression
	// shrinks a message to a quarter, and traffic between zones is expensive.
	res, err := citronwire.NewUnary[exchangeMessage, exchangeMessage](c.HC, "http://"+addr, procedure, citronwire.CBOR(), citronwire.FastGzipClient, connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressedBytes)).Call(ctx, &m)
	if err != nil {
		return GossipState{}, err
	}
	return GossipState(*res), nil
}
