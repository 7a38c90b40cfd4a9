// Package citronpermit makes all nodes together respect the rate limit of an upstream.
//
// An overloaded upstream accepts only a few requests per second from all nodes together,
// often fewer than there are nodes. Dividing the limit between the nodes does not work:
// with three hundred nodes, a share of a hundredth of a request per second either admits
// nothing or, if each node starts with one request, admits many times the limit. The
// shares of nodes that have no requests for the upstream would be lost. Instead, one node
// is the permit issuer of each such upstream, and every request takes a permit before it
// is sent:
//
//	request -> its node --ask--> issuer's bucket --granted--> upstream
//	                       |                \---denied-----> another upstream, or rejected
//	                       +-- the issuer's own requests, too
//
// The issuer is chosen among the live nodes by their zone, their spare processor time and a
// rendezvous hash (IssuerFor), so nodes that know the same members agree on it without
// communication. Permits are not stored: when an issuer is lost, the next one starts with
// an empty bucket.
package citronpermit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Decision is the answer to a request for a permit. It is one of Granted and Denied.
type Decision interface{ isDecision() }

// Granted allows a request to be sent after a wait.
type Granted struct{ Wait time.Duration }

// Denied does not allow a request to be sent.
type Denied struct {
	// AvailableIn is the time after which a permit becomes available.
	AvailableIn time.Duration
	// RetryAfter is the time after which the node should ask again. It may differ from
	// AvailableIn because other nodes request the same permits.
	RetryAfter time.Duration
}

func (Granted) isDecision() {}
func (Denied) isDecision()  {}

const (
	// burst is the maximum number of permits that accumulate while no node asks. A new
	// bucket is empty.
	burst = 2
	// warmUp is how long a new bucket issues permits at only half of the limit. Another
	// node may have been the issuer until now, and may still be issuing permits to nodes
	// that have not learned of the change.
	warmUp = 4 * time.Second
	// minPerSecond is the minimum rate at which permits are issued, even if the limit is
	// lower. Without any requests the nodes would never learn that the limit has ended,
	// because only a response says so.
	minPerSecond = 0.25
	// requestsPerPermit is how many permit requests all nodes together should send per
	// issued permit. If they send more, denied nodes pause longer.
	requestsPerPermit = 4
	// minPause and maxPause bound the time after which a denied node asks again.
	minPause = 20 * time.Millisecond
	maxPause = 2 * time.Second
	// pauseStep is the factor by which the pause grows or shrinks with each denial.
	// rateWindow is the time constant of the average request rate, which decides whether
	// the pause grows.
	pauseStep  = 1.25
	rateWindow = time.Second
	// bucketTTL is the minimum time for which a bucket is kept after the last permit request
	// for it, and the minimum time between two sweeps.
	bucketTTL = time.Minute
)

// Issuer issues the permits for the upstreams that are assigned to this node.
type Issuer struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	sweptAt time.Time
}

// bucket is the token bucket of one upstream.
type bucket struct {
	limiter     *rate.Limiter
	createdAt   time.Time
	requestedAt time.Time
	// requestRate is the recent number of permit requests per second.
	requestRate float64
	// pause is how long a denied node waits on average before it asks again, unless a
	// permit becomes available only later.
	pause time.Duration
}

// NewIssuer returns an Issuer without buckets.
func NewIssuer() *Issuer { return &Issuer{buckets: map[string]*bucket{}} }

// Issue decides whether a request may be sent to an engine that accepts perSecond requests
// per second. maxWait is how long the request can wait for its permit.
func (i *Issuer) Issue(engine string, perSecond float64, maxWait time.Duration, now time.Time) Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	b := i.buckets[engine]
	if b == nil {
		b = newBucket(perSecond, now)
		i.buckets[engine] = b
	}
	return b.issue(perSecond, maxWait, now)
}

func newBucket(perSecond float64, now time.Time) *bucket {
	b := &bucket{limiter: rate.NewLimiter(rate.Limit(warmUpRate(perSecond)), burst), createdAt: now, requestedAt: now, pause: minPause}
	b.limiter.ReserveN(now, burst)
	return b
}

// warmUpRate returns the rate at which permits are issued during warmUp.
func warmUpRate(perSecond float64) float64 { return max(minPerSecond, perSecond/2) }

func (b *bucket) issue(perSecond float64, maxWait time.Duration, now time.Time) Decision {
	perSecond = max(minPerSecond, perSecond)
	if now.Sub(b.createdAt) < warmUp {
		perSecond = warmUpRate(perSecond)
	}
	if rate.Limit(perSecond) != b.limiter.Limit() {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	b.countRequest(now)
	permit := b.limiter.ReserveN(now, 1)
	wait := permit.DelayFrom(now)
	if wait <= maxWait {
		return Granted{Wait: wait}
	}
	permit.CancelAt(now)
	return Denied{AvailableIn: wait, RetryAfter: b.retryAfter(perSecond, wait)}
}

// countRequest adds one permit request to the exponentially weighted request rate.
func (b *bucket) countRequest(now time.Time) {
	b.requestRate = b.requestRate*math.Exp(-now.Sub(b.requestedAt).Seconds()/rateWindow.Seconds()) + 1/rateWindow.Seconds()
	b.requestedAt = now
}

// retryAfter returns the time after which a denied node should ask again, with jitter.
// The pause adapts to the request rate. The load on the issuer therefore does not grow
// with the number of nodes until the pause reaches maxPause, and a few nodes that have all
// the requests do not leave permits unused.
func (b *bucket) retryAfter(perSecond float64, wait time.Duration) time.Duration {
	if b.requestRate > requestsPerPermit*perSecond+1/rateWindow.Seconds() {
		b.pause = min(maxPause, time.Duration(float64(b.pause)*pauseStep))
	} else {
		b.pause = max(minPause, time.Duration(float64(b.pause)/pauseStep))
	}
	retryAfter := max(wait, b.pause)
	return retryAfter/2 + rand.N(retryAfter)
}

// sweep drops the buckets for which no node has requested permits lately.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < bucketTTL {
		return
	}
	i.sweptAt = now
	for engine, b := range i.buckets {
		if now.Sub(b.requestedAt) > bucketTTL {
			delete(i.buckets, engine)
		}
	}
}
