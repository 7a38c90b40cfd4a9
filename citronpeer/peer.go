// Package citronpeer lets nodes tell each other what they know: who is
// there, which configuration is the newest, and which engines are leaving.
//
// A node that the store turns away for a while still has to learn of a new
// configuration and of engines that leave. Every node asks a few others,
// drawn at random, a few times a second; whoever has the older document
// takes the newer one. News reaches all nodes in a number of rounds that
// grows with the logarithm of the fleet. Of the members themselves a message
// tells only what the other node lacks (citronroster).
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

// Member is a node as the others know it.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Front is where callers connect, Peer where other nodes do.
	Front string `json:"front"`
	Peer  string `json:"peer"`
	// Started tells a restarted process from the one before it.
	Started int64 `json:"started"`
	Gauges
	// Weak: it has too little processor time to lead or watch where others
	// can (Before).
	Weak bool `json:"weak,omitempty"`
	// Ready: callers may connect. Leaving: it will stop.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Leads: the node holds the lease under which layers are placed.
	Leads bool `json:"leads,omitempty"`
	// Watching: the node watches the store, and the store answers it.
	Watching bool `json:"watching,omitempty"`
	// Store is what the node knows of the store.
	Store citronhealth.Status `json:"store,omitzero"`
	// Goals are the layers, from and up to, that the node as the leader
	// wants engines to hold, by their id, until they hold them.
	Goals map[string][2]int `json:"goals,omitempty"`
	// Dead are ids of engines that the node has just found not to answer.
	Dead []string `json:"dead,omitempty"`
	// Starts are engines, by their name in the list, that told the node that
	// they started at a later moment than the list says.
	Starts map[string]int64 `json:"starts,omitempty"`
}

// Gauges are what changes of a member from moment to moment.
type Gauges struct {
	// Beat grows while the process lives.
	Beat int64 `json:"beat"`
	// Load is the cache, in tokens, that the node's requests take by zone.
	Load map[string]int64 `json:"load,omitempty"`
	// Sent is what the node has sent for each service in a window.
	Sent map[string]Sent `json:"sent,omitempty"`
}

// WithGauges returns m with other gauges.
func (m Member) WithGauges(g Gauges) Member {
	m.Gauges = g
	return m
}

// Sent counts requests and repeats.
type Sent struct {
	Requests float64 `json:"requests"`
	Repeats  float64 `json:"repeats"`
}

// BeatEvery is the least time between two beats of a member, on average.
const BeatEvery = 100 * time.Millisecond

// Newer reports whether m is later news of the same node than o.
func (m Member) Newer(o Member) bool {
	if m.Started != o.Started {
		return m.Started > o.Started
	}
	return m.Beat > o.Beat
}

// Before is the order in which nodes take on what a few of them do for all.
// Weak nodes come last. Names begin with the zone as a rule: taken in their
// order, the first few would stand in one zone, and be cut off together.
func (m Member) Before(o Member) bool {
	if m.Weak != o.Weak {
		return o.Weak
	}
	a, b := xxhash.Sum64String(m.Name), xxhash.Sum64String(o.Name)
	return a < b || a == b && m.Name < o.Name
}

// Print is a fingerprint of all of a member but its gauges (citronroster). In
// one of six thousand fleets of 1,200 nodes two members share one, until either
// changes. The news of one is then missing, and it is asked itself.
type Print uint32

// Digest tells which members a node knows, by fingerprint, and how new each
// is. The lists go together.
type Digest struct {
	Prints []Print `json:"prints,omitempty"`
	Beats  []int64 `json:"beats,omitempty"`
}

// Beat is the beat that goes with the fingerprint at i; zero if a node has
// told fewer beats than fingerprints.
func (d Digest) Beat(i int) int64 {
	if i >= len(d.Beats) {
		return 0
	}
	return d.Beats[i]
}

// Gauge is news of a member that the other node knows whole.
type Gauge struct {
	Print Print `json:"print"`
	Gauges
}

// Diff is what one node has newer than another: members whole, and gauges of
// members of which the other has the details.
type Diff struct {
	Members []Member `json:"members,omitempty"`
	// AgesMS are how long ago the members were last heard of, in milliseconds.
	// The lists go together.
	AgesMS []int64 `json:"agesMs,omitempty"`
	Gauges []Gauge `json:"gauges,omitempty"`
}

// Age is how old the news of member i is. Without a word of it, or if it cannot
// be, it is taken for new, as from the member itself.
func (d Diff) Age(i int) time.Duration {
	if i >= len(d.AgesMS) || d.AgesMS[i] < 0 || d.AgesMS[i] > oldestNews.Milliseconds() {
		return 0
	}
	return time.Duration(d.AgesMS[i]) * time.Millisecond
}

// oldestNews is beyond what nodes tell of each other.
const oldestNews = time.Minute

// Sum is what the nodes of a zone do together.
type Sum struct {
	Zone string `json:"zone"`
	// AgeMS is how long ago it was added up by a node of that zone, in
	// milliseconds. Ages need no clocks that agree.
	AgeMS int64            `json:"ageMs"`
	Load  map[string]int64 `json:"load,omitempty"`
	Sent  map[string]Sent  `json:"sent,omitempty"`
}

// Wants is what a node asks for of what another has told of in its digest.
type Wants struct {
	Members []Print `json:"members,omitempty"`
	Gauges  []Print `json:"gauges,omitempty"`
}

// Empty reports whether nothing is wanted.
func (w Wants) Empty() bool { return len(w.Members)+len(w.Gauges) == 0 }

// ConfigDocument is a configuration that nodes pass on; the higher version wins.
type ConfigDocument struct {
	Version int64  `json:"revision"`
	Body    []byte `json:"body,omitempty"`
}

// ListDocument is the list of engines as nodes pass it on; the later revision
// wins.
type ListDocument struct {
	Revision citronkv.Revision `json:"revision"`
	// Base is the revision whose changes Body holds; zero if Body is whole.
	Base citronkv.Revision `json:"base,omitzero"`
	Body []byte            `json:"body,omitempty"`
}

// Knowledge is what a node tells another. Documents whose body is empty
// only tell which revision it has.
type Knowledge struct {
	// From is the node that tells it.
	From Member
	// Diff is what the other lacks, as far as it has told what it knows.
	Diff
	// Digest is which members this node knows, and Sums what the zones do;
	// both are empty in news.
	Digest Digest
	Sums   []Sum
	// Wants is what this node lacks of the other's digest.
	Wants   Wants
	Config  ConfigDocument
	Engines ListDocument
	// Accused are ids of engines that have just been named in a refusal.
	Accused []string
	// Suspects are requests that crash engines; SuspectSum is a checksum of all
	// that this node knows, in exchanges.
	Suspects   []Suspect
	SuspectSum uint64
	// Limits are rate limits of engines; LimitSum is a checksum of all that this
	// node knows, in exchanges.
	Limits   []Limit
	LimitSum uint64
}

type exchangeMessage struct {
	From Member `json:"from"`
	Diff
	Digest  Digest         `json:"digest,omitzero"`
	Sums    []Sum          `json:"sums,omitempty"`
	Wants   Wants          `json:"wants,omitzero"`
	Config  ConfigDocument `json:"config"`
	Engines ListDocument   `json:"engines"`
	Accused []string       `json:"accused,omitempty"`

	Suspects   []Suspect `json:"suspects,omitempty"`
	SuspectSum uint64    `json:"suspectSum,omitempty"`
	Limits     []Limit   `json:"limits,omitempty"`
	LimitSum   uint64    `json:"limitSum,omitempty"`
}

const (
	procedureExchange = "/citron.peer/Exchange"
	procedureNews     = "/citron.peer/News"
	// mostExchanges is how many exchanges a node serves at once. Each may
	// hold the decoded members of the whole fleet; a node that stood still for
	// a moment is met by all that waited, and ran out of memory. Who is turned
	// away asks another node in its next round.
	mostExchanges = 8
	// mostNews is the same for news, which is of one node as a rule and small.
	mostNews = 64
	// smallMessage is below what compressing a message gains. Fingerprints,
	// of which most messages of a large fleet consist, do not compress.
	smallMessage = 4 << 10
)

// Answerer is a node's side of what others begin.
type Answerer interface {
	// Exchange gets which members another node knows, and returns what it
	// lacks of what this one knows, and what this one lacks.
	Exchange(Knowledge) Knowledge
	// News gets what another node tells of itself, and of the members that
	// this one asked it for, and returns the same of this node.
	News(Knowledge) Knowledge
}

// Handle mounts the procedures of a node on mux.
func Handle(mux *http.ServeMux, a Answerer) {
	handle(mux, procedureExchange, mostExchanges, a.Exchange)
	handle(mux, procedureNews, mostNews, a.News)
}

func handle(mux *http.ServeMux, procedure string, most int, answer func(Knowledge) Knowledge) {
	inner := http.NewServeMux()
	citronwire.Handle(inner, procedure, func(_ context.Context, m *exchangeMessage) (*exchangeMessage, error) {
		a := exchangeMessage(answer(Knowledge(*m)))
		return &a, nil
	}, citronwire.Compact(), citronwire.FastGzipHandler, connect.WithCompressMinBytes(smallMessage))
	mux.Handle(procedure, limited(inner, most))
}

// limited turns away what comes while so many requests are being served,
// before anything of it is read.
func limited(h http.Handler, most int) http.Handler {
	places := make(chan struct{}, most)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
			h.ServeHTTP(w, r)
		default:
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
}

// Client asks other nodes.
type Client struct {
	HC      *http.Client
	Timeout time.Duration
}

// Exchange tells the node at addr which members this one knows and returns
// what that one has newer.
func (c *Client) Exchange(ctx context.Context, addr string, k Knowledge) (Knowledge, error) {
	return c.call(ctx, addr, procedureExchange, k)
}

// News tells the node at addr of this one and which documents it has, and
// returns those that this one lacks.
func (c *Client) News(ctx context.Context, addr string, k Knowledge) (Knowledge, error) {
	return c.call(ctx, addr, procedureNews, k)
}

func (c *Client) call(ctx context.Context, addr, procedure string, k Knowledge) (Knowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	m := exchangeMessage(k)
	// Members repeat the same names; compressed, a message is a quarter as
	// long, and bytes between zones are dear.
	res, err := citronwire.NewUnary[exchangeMessage, exchangeMessage](c.HC, "http://"+addr, procedure, citronwire.Compact(), citronwire.FastGzipClient, connect.WithSendGzip(), connect.WithCompressMinBytes(smallMessage)).Call(ctx, &m)
	if err != nil {
		return Knowledge{}, err
	}
	return Knowledge(*res), nil
}
