package citronpermit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpermit"
	"github.com/matryer/is"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"
)

const (
	window   = 4 * time.Second
	engineID = "i-1@100"
)

// allowed is what may arrive at an engine of a limit in a window.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

// most is the most of the moments in any window.
func most(at []time.Time) int {
	out, from := 0, 0
	for to := range at {
		for at[to].Sub(at[from]) > window {
			from++
		}
		out = max(out, to-from+1)
	}
	return out
}

// way is how nodes hold to a limit: may reports whether a node may send at a moment.
type way interface {
	may(node int, now time.Time) bool
	// asks counts the messages so far.
	asks() int
}

// equalParts gives each node its part of the limit.
type equalParts struct{ buckets []*rate.Limiter }

func newEqualParts(nodes int, perSecond float64) *equalParts {
	w := &equalParts{}
	for range nodes {
		w.buckets = append(w.buckets, rate.NewLimiter(rate.Limit(perSecond/float64(nodes)), 1))
	}
	return w
}

func (w *equalParts) may(node int, now time.Time) bool { return w.buckets[node].AllowN(now, 1) }
func (w *equalParts) asks() int                        { return 0 }

// oneSender lets a single node send.
type oneSender struct{ bucket *rate.Limiter }

func (w *oneSender) may(node int, now time.Time) bool { return node == 0 && w.bucket.AllowN(now, 1) }
func (w *oneSender) asks() int                        { return 0 }

// dealt has nodes ask one of them for permits.
type dealt struct {
	dealer    *citronpermit.Dealer
	perSecond float64
	again     []time.Time
	asked     int
}

func (w *dealt) may(node int, now time.Time) bool {
	if now.Before(w.again[node]) {
		return false
	}
	w.asked++
	d, denied := w.dealer.Deal(engineID, w.perSecond, 0, now).(citronpermit.Denied)
	if denied {
		w.again[node] = now.Add(d.Again)
	}
	return !denied
}

func (w *dealt) asks() int { return w.asked }

// load is requests that could use the engine: so many a second, of which a part comes to
// one node.
type load struct {
	nodes     int
	perSecond float64
	skew      float64
}

// play has nodes want to send for a time, and returns when they did, past the first
// seconds in which nodes do not know the limit or have just heard of it.
func (l load) play(w way, lasts time.Duration) []time.Time {
	drawn := rand.New(rand.NewPCG(1, uint64(l.nodes)))
	from := time.Unix(1000, 0)
	var sent []time.Time
	for at := time.Duration(0); at < lasts; at += time.Duration(drawn.ExpFloat64() / l.perSecond * float64(time.Second)) {
		node := drawn.IntN(l.nodes)
		if drawn.Float64() < l.skew {
			node = l.nodes - 1
		}
		if w.may(node, from.Add(at)) {
			sent = append(sent, from.Add(at))
		}
	}
	return sent
}

// Guards against a way to share a limit that holds with a few nodes only, or leaves the
// engine without work where few nodes have any for it.
func TestPermitsKeepALimitAtAnySize(t *testing.T) {
	const lasts, settled = 60 * time.Second, 5 * time.Second
	for _, nodes := range []int{1, 9, 65, 295, 1200} {
		for _, perSecond := range []float64{0.5, 2.5, 20} {
			for _, skew := range []float64{0, 0.8} {
				t.Run(fmt.Sprintf("%d nodes, %g a second, skew %g", nodes, perSecond, skew), func(t *testing.T) {
					is := is.New(t)
					l := load{nodes: nodes, perSecond: 60, skew: skew}
					could := perSecond * (lasts - settled).Seconds()
					share := func(at []time.Time) float64 {
						n := 0
						for _, a := range at {
							if a.Sub(time.Unix(1000, 0)) > settled {
								n++
							}
						}
						return float64(n) / could
					}
					parts, sender := l.play(newEqualParts(nodes, perSecond), lasts), l.play(&oneSender{rate.NewLimiter(rate.Limit(perSecond), 2)}, lasts)
					w := &dealt{dealer: citronpermit.NewDealer(), perSecond: perSecond, again: make([]time.Time, nodes)}
					permits := l.play(w, lasts)
					t.Logf("most in 4 s of %d, share used: equal parts %d, %.2f; one sender %d, %.2f; permits %d, %.2f with %.1f asks a second", allowed(perSecond), most(parts), share(parts), most(sender), share(sender), most(permits), share(permits), float64(w.asks())/lasts.Seconds())
					is.True(most(permits) <= allowed(perSecond))
					is.True(share(permits) >= 0.8)
				})
			}
		}
	}
}

// fleet is nodes of which each has its own view of who lives.
type fleet struct {
	members []citronpeer.Member
	dealers []*citronpermit.Dealer
	// gone is when a node ended, late by how much another hears of that, frozen until
	// when it stands still.
	gone   []time.Time
	late   [][]time.Duration
	frozen []time.Time
}

// view is the nodes that a node takes for living at a moment.
func (f *fleet) view(node int, now time.Time) []citronpeer.Member {
	var out []citronpeer.Member
	for i, m := range f.members {
		if i == node || f.gone[i].IsZero() || now.Before(f.gone[i].Add(f.late[node][i])) {
			out = append(out, m)
		}
	}
	return out
}

// ask has a node ask for a permit.
func (f *fleet) ask(node int, perSecond float64, now time.Time) bool {
	owner, ok := citronpermit.DealerFor(engineID, "z0", f.view(node, now))
	if !ok {
		return false
	}
	at := f.index(owner.Name)
	lives := f.gone[at].IsZero() || now.Before(f.gone[at])
	if !lives || now.Before(f.frozen[at]) {
		return false
	}
	if own, ok := citronpermit.DealerFor(engineID, "z0", f.view(at, now)); !ok || own.Name != owner.Name {
		return false
	}
	_, granted := f.dealers[at].Deal(engineID, perSecond, 0, now).(citronpermit.Granted)
	return granted
}

func (f *fleet) index(name string) int {
	for i, m := range f.members {
		if m.Name == name {
			return i
		}
	}
	return -1
}

// Guards against nodes that get more permits together than the limit allows while they
// do not agree on who deals them out: nodes die, stand still and are heard of late, and
// the limit changes.
func TestPermitsKeepALimitWhileDealersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 12).Draw(t, "nodes")
		perSecond := rapid.SampledFrom([]float64{0, 0.5, 2.5, 4, 10}).Draw(t, "perSecond")
		f := &fleet{}
		for i := range nodes {
			f.members = append(f.members, citronpeer.Member{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%3), Weak: i%4 == 3})
			f.dealers = append(f.dealers, citronpermit.NewDealer())
			f.gone = append(f.gone, time.Time{})
			f.frozen = append(f.frozen, time.Time{})
			f.late = append(f.late, make([]time.Duration, nodes))
			for j := range nodes {
				f.late[i][j] = time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond
			}
		}
		now := time.Unix(1000, 0)
		var sent []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				if f.gone[node].IsZero() {
					f.gone[node] = now
				}
			case 1: // it starts anew
				f.gone[node], f.dealers[node] = time.Time{}, citronpermit.NewDealer()
			case 2:
				f.frozen[node] = now.Add(2 * time.Second)
			default:
				for range 5 {
					if f.ask(node, perSecond, now) {
						sent = append(sent, now)
					}
				}
			}
		}
		if got := most(sent); got > allowed(perSecond) {
			t.Fatalf("%d requests in %v, %d allowed", got, window, allowed(perSecond))
		}
	})
}
