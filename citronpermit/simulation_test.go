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

// allowed returns how many requests may arrive at an engine within a window, given its
// limit.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

// maxInWindow returns the maximum number of the given times that fall into one window.
func maxInWindow(at []time.Time) int {
	out, from := 0, 0
	for to := range at {
		for at[to].Sub(at[from]) > window {
			from++
		}
		out = max(out, to-from+1)
	}
	return out
}

// strategy is a way for nodes to share a limit.
type strategy interface {
	// allow reports whether a node may send a request now.
	allow(node int, now time.Time) bool
	// permitRequests returns the number of permit requests so far.
	permitRequests() int
}

// equalShares divides the limit equally between the nodes.
type equalShares struct{ buckets []*rate.Limiter }

func newEqualShares(nodes int, perSecond float64) *equalShares {
	s := &equalShares{}
	for range nodes {
		s.buckets = append(s.buckets, rate.NewLimiter(rate.Limit(perSecond/float64(nodes)), 1))
	}
	return s
}

func (s *equalShares) allow(node int, now time.Time) bool { return s.buckets[node].AllowN(now, 1) }
func (s *equalShares) permitRequests() int                { return 0 }

// oneSender lets only one node send.
type oneSender struct{ bucket *rate.Limiter }

func (s *oneSender) allow(node int, now time.Time) bool { return node == 0 && s.bucket.AllowN(now, 1) }
func (s *oneSender) permitRequests() int                { return 0 }

// singleIssuer makes the nodes ask one permit issuer.
type singleIssuer struct {
	issuer    *citronpermit.Issuer
	perSecond float64
	// retryAt is when each node may ask again.
	retryAt   []time.Time
	requested int
}

func (s *singleIssuer) allow(node int, now time.Time) bool {
	if now.Before(s.retryAt[node]) {
		return false
	}
	s.requested++
	d, denied := s.issuer.Issue(engineID, s.perSecond, 0, now).(citronpermit.Denied)
	if denied {
		s.retryAt[node] = now.Add(d.RetryAfter)
	}
	return !denied
}

func (s *singleIssuer) permitRequests() int { return s.requested }

// load is the demand for an engine: perSecond requests per second, distributed over the
// nodes.
type load struct {
	nodes     int
	perSecond float64
	// skew is the share of the requests that all arrive at the last node. The others
	// arrive at random nodes.
	skew float64
}

// run simulates the load for a duration and returns when requests were sent.
func (l load) run(s strategy, duration time.Duration) []time.Time {
	rng := rand.New(rand.NewPCG(1, uint64(l.nodes)))
	start := time.Unix(1000, 0)
	var sent []time.Time
	for at := time.Duration(0); at < duration; at += time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second)) {
		node := rng.IntN(l.nodes)
		if rng.Float64() < l.skew {
			node = l.nodes - 1
		}
		if s.allow(node, start.Add(at)) {
			sent = append(sent, start.Add(at))
		}
	}
	return sent
}

// Guards against permits that keep to the limit only in a small fleet, or that leave the
// engine idle when most requests for it arrive at one node. The used share of the limit is
// measured after the first seconds, in which a new issuer issues only half of the limit.
// Only the permits are checked; the two simpler strategies are logged for comparison.
func TestPermitsKeepLimitAtAnyFleetSize(t *testing.T) {
	const duration, stabilized = 60 * time.Second, 5 * time.Second
	for _, nodes := range []int{1, 9, 65, 295, 1200} {
		for _, perSecond := range []float64{0.5, 2.5, 20} {
			for _, skew := range []float64{0, 0.8} {
				t.Run(fmt.Sprintf("%d nodes, %g a second, skew %g", nodes, perSecond, skew), func(t *testing.T) {
					is := is.New(t)
					l := load{nodes: nodes, perSecond: 60, skew: skew}
					capacity := perSecond * (duration - stabilized).Seconds()
					share := func(at []time.Time) float64 {
						n := 0
						for _, a := range at {
							if a.Sub(time.Unix(1000, 0)) > stabilized {
								n++
							}
						}
						return float64(n) / capacity
					}
					shares, sender := l.run(newEqualShares(nodes, perSecond), duration), l.run(&oneSender{rate.NewLimiter(rate.Limit(perSecond), 2)}, duration)
					s := &singleIssuer{issuer: citronpermit.NewIssuer(), perSecond: perSecond, retryAt: make([]time.Time, nodes)}
					permits := l.run(s, duration)
					t.Logf("maximum number of requests in 4 s (%d allowed) and share of the limit used: equal shares %d, %.2f; one sender %d, %.2f; permits %d, %.2f with %.1f permit requests per second", allowed(perSecond), maxInWindow(shares), share(shares), maxInWindow(sender), share(sender), maxInWindow(permits), share(permits), float64(s.permitRequests())/duration.Seconds())
					is.True(maxInWindow(permits) <= allowed(perSecond))
					is.True(share(permits) >= 0.8)
				})
			}
		}
	}
}

// fleet is a set of nodes, each with its own view of which nodes are alive.
type fleet struct {
	members []citronpeer.Member
	issuers []*citronpermit.Issuer
	// endedAt is when each node ended, or zero. noticeDelay is how much later each node
	// learns that another has ended, and frozenUntil is when a frozen node resumes.
	endedAt     []time.Time
	noticeDelay [][]time.Duration
	frozenUntil []time.Time
}

// view returns the nodes that a node believes to be alive.
func (f *fleet) view(node int, now time.Time) []citronpeer.Member {
	var out []citronpeer.Member
	for i, m := range f.members {
		if i == node || f.endedAt[i].IsZero() || now.Before(f.endedAt[i].Add(f.noticeDelay[node][i])) {
			out = append(out, m)
		}
	}
	return out
}

// ask makes a node ask for a permit, and reports whether it is granted. No permit is granted
// by a node that has ended, is frozen, or believes that another node is the issuer.
func (f *fleet) ask(node int, perSecond float64, now time.Time) bool {
	issuer, ok := citronpermit.IssuerFor(engineID, "z0", f.view(node, now))
	if !ok {
		return false
	}
	at := f.index(issuer.Name)
	alive := f.endedAt[at].IsZero() || now.Before(f.endedAt[at])
	if !alive || now.Before(f.frozenUntil[at]) {
		return false
	}
	if own, ok := citronpermit.IssuerFor(engineID, "z0", f.view(at, now)); !ok || own.Name != issuer.Name {
		return false
	}
	_, granted := f.issuers[at].Issue(engineID, perSecond, 0, now).(citronpermit.Granted)
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

// Guards against nodes that together get more permits than the limit allows while they
// disagree about the issuer. They do so because nodes end, restart and freeze, and because
// each node learns of another's end up to 3 s late.
func TestPermitsKeepLimitWhileIssuersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 12).Draw(t, "nodes")
		perSecond := rapid.SampledFrom([]float64{0, 0.5, 2.5, 4, 10}).Draw(t, "perSecond")
		f := &fleet{}
		for i := range nodes {
			f.members = append(f.members, citronpeer.Member{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%3), Weak: i%4 == 3})
			f.issuers = append(f.issuers, citronpermit.NewIssuer())
			f.endedAt = append(f.endedAt, time.Time{})
			f.frozenUntil = append(f.frozenUntil, time.Time{})
			f.noticeDelay = append(f.noticeDelay, make([]time.Duration, nodes))
			for j := range nodes {
				f.noticeDelay[i][j] = time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond
			}
		}
		now := time.Unix(1000, 0)
		var sent []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				if f.endedAt[node].IsZero() {
					f.endedAt[node] = now
				}
			case 1: // the node restarts
				f.endedAt[node], f.issuers[node] = time.Time{}, citronpermit.NewIssuer()
			case 2:
				f.frozenUntil[node] = now.Add(2 * time.Second)
			default:
				for range 5 {
					if f.ask(node, perSecond, now) {
						sent = append(sent, now)
					}
				}
			}
		}
		if got := maxInWindow(sent); got > allowed(perSecond) {
			t.Fatalf("%d requests were sent in %v, %d are allowed", got, window, allowed(perSecond))
		}
	})
}
