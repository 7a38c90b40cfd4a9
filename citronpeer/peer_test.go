package citronpeer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/matryer/is"
)

func gauges(i int) citronpeer.Gauges {
	return citronpeer.Gauges{
		Heartbeat: int64(1000 + i*37%900), Load: map[string]int64{"hall-0": int64(i * 991), "hall-1": int64(i * 17)},
		Sent: map[string]citronpeer.Sent{"model": {Requests: float64(i), Retries: 1}},
	}
}

func member(i int) citronpeer.Member {
	return citronpeer.Member{
		Name: fmt.Sprintf("front-hall-%d", i), Zone: fmt.Sprintf("hall-%d", i%3), Front: fmt.Sprintf("10.1.%d.%d:8227", i/250, i%250),
		Peer: fmt.Sprintf("10.1.%d.%d:8229", i/250, i%250), Started: 1_790_000_000_000_000_000 + int64(i)*7919, Ready: true,
		Gauges: gauges(i),
	}
}

// answerFunc answers exchanges and updates alike.
type answerFunc func(citronpeer.GossipState) citronpeer.GossipState

func (a answerFunc) Exchange(state citronpeer.GossipState) citronpeer.GossipState { return a(state) }
func (a answerFunc) Update(state citronpeer.GossipState) citronpeer.GossipState   { return a(state) }

// Guards against values that are lost or changed on the wire: each node receives exactly
// what the other node sent.
func TestExchange(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	var received citronpeer.GossipState
	answer := citronpeer.GossipState{
		From: member(2), Diff: citronpeer.Diff{Members: []citronpeer.Member{member(3)}, AgesMS: []int64{70}, Gauges: []citronpeer.GaugeUpdate{{Fingerprint: 7, Gauges: gauges(7)}}},
		Missing: citronpeer.MissingItems{Gauges: []citronpeer.Fingerprint{1 << 31}}, Config: citronpeer.ConfigDocument{Version: 9, Body: []byte("nine")},
	}
	citronpeer.Handle(mux, answerFunc(func(state citronpeer.GossipState) citronpeer.GossipState {
		received = state
		return answer
	}))
	hs := httptest.NewServer(mux)
	defer hs.Close()
	c := &citronpeer.Client{HC: hs.Client(), Timeout: 30 * time.Second}
	sent := citronpeer.GossipState{From: member(1), Digest: citronpeer.Digest{Fingerprints: []citronpeer.Fingerprint{5}, Heartbeats: []int64{9}}, Engines: citronpeer.ListDocument{Revision: citronkv.RevisionOf(0, 4)}}
	got, err := c.Exchange(context.Background(), strings.TrimPrefix(hs.URL, "http://"), sent)
	is.NoErr(err)
	is.Equal(received, sent)
	is.Equal(got, answer)
}

// Guards against a stalled node that delays the rounds of other nodes: an exchange that
// gets no answer ends after the client's timeout.
func TestExchangeTimesOut(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	hs := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-block }))
	defer hs.Close()
	defer close(block)
	c := &citronpeer.Client{HC: hs.Client(), Timeout: 50 * time.Millisecond}
	_, err := c.Exchange(context.Background(), strings.TrimPrefix(hs.URL, "http://"), citronpeer.GossipState{})
	is.True(err != nil)
}

// Guards against old state that replaces newer state of the same node. A later start
// wins, and within one start the higher heartbeat counter.
func TestNewer(t *testing.T) {
	is := is.New(t)
	at := func(started, heartbeat int64) citronpeer.Member {
		return citronpeer.Member{Started: started, Gauges: citronpeer.Gauges{Heartbeat: heartbeat}}
	}
	a := at(5, 10)
	is.True(at(5, 11).Newer(a))
	is.True(at(6, 1).Newer(a))
	is.True(!at(4, 99).Newer(a))
	is.True(!a.Newer(a))
}

// Guards against losing all nodes that watch the store and are ready to lead when one
// zone is cut off. They are the first few in the order of Before. In a fleet of five
// zones, the first four must be in at least three zones, and a weak node must not be one
// of them while stronger nodes exist.
func TestFirstNodesAreInSeveralZones(t *testing.T) {
	is := is.New(t)
	var all []citronpeer.Member
	for i := range 300 {
		zone := fmt.Sprintf("hall-%d", i%5)
		all = append(all, citronpeer.Member{Name: fmt.Sprintf("front-%s-%d", zone, i/5), Zone: zone, Weak: i >= 40})
	}
	slices.SortFunc(all, func(a, b citronpeer.Member) int {
		if a.Before(b) {
			return -1
		}
		return 1
	})
	zones := map[string]bool{}
	for _, m := range all[:4] {
		zones[m.Zone] = true
		is.True(!m.Weak)
	}
	is.True(len(zones) >= 3)
	is.True(!all[0].Before(all[0]))
}

// BenchmarkUpdate reports the bytes on the wire of one update: a node and the
// revisions of its documents, without the other members of the fleet. The full
// gossip state of a hundred nodes, which an update need not carry, is 3.8 KB.
func BenchmarkUpdate(b *testing.B) {
	state := citronpeer.GossipState{From: member(1), Config: citronpeer.ConfigDocument{Version: 9}, Engines: citronpeer.ListDocument{Revision: citronkv.RevisionOf(0, 4)}}
	var size int64
	mux := http.NewServeMux()
	citronpeer.Handle(mux, answerFunc(func(citronpeer.GossipState) citronpeer.GossipState { return citronpeer.GossipState{} }))
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size = r.ContentLength
		mux.ServeHTTP(w, r)
	}))
	defer hs.Close()
	c := &citronpeer.Client{HC: hs.Client(), Timeout: 30 * time.Second}
	for range b.N {
		if _, err := c.Update(context.Background(), strings.TrimPrefix(hs.URL, "http://"), state); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkMessage reports the bytes on the wire and the time of one message, by
// the number of members in it.
func BenchmarkMessage(b *testing.B) {
	for _, n := range []int{9, 100, 295, 1200} {
		state := citronpeer.GossipState{}
		for i := range n {
			state.Members = append(state.Members, member(i))
		}
		var size int64
		mux := http.NewServeMux()
		citronpeer.Handle(mux, answerFunc(func(citronpeer.GossipState) citronpeer.GossipState { return citronpeer.GossipState{} }))
		hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			size = r.ContentLength
			mux.ServeHTTP(w, r)
		}))
		c := &citronpeer.Client{HC: hs.Client(), Timeout: 30 * time.Second}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				if _, err := c.Exchange(context.Background(), strings.TrimPrefix(hs.URL, "http://"), state); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
		hs.Close()
	}
}
