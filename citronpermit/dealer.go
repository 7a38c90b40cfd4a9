// Package citronpermit has all nodes together keep to the rate limit of an upstream.
//
// The load it answers: an upstream in need takes a few requests a second from all nodes
// together, fewer than there are nodes. Were each node to keep to its part by itself,
// three hundred parts of a hundredth of a request would either come to nothing or, with
// one request to begin with each, to many times the limit; and the parts of nodes that
// have no use for the upstream would be lost. So for each such upstream one node deals
// out permits, and every request takes one before it is sent:
//
//	request -> its node --ask--> dealer's bucket --granted--> upstream
//	                       |                \---denied-----> another upstream, or refused
//	                       +-- the dealer's own requests, too
//
// The dealer is drawn by rendezvous hashing from the nodes that live, so that nodes which
// know the same nodes agree on it without a word. Nothing is kept of permits: when a
// dealer is lost, the next one begins with an empty bucket.
package citronpermit

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Decision is the answer to a request for a permit: one of Granted and Denied.
type Decision interface{ isDecision() }

// Granted lets a request be sent after a wait.
type Granted struct{ After time.Duration }

// Denied holds a request back.
type Denied struct {
	// Free is when a permit will be free.
	Free time.Duration
	// Again is when the node should ask again; others ask too.
	Again time.Duration
}

func (Granted) isDecision() {}
func (Denied) isDecision()  {}

const (
	// burst is how many permits are saved up while nobody asks.
	burst = 2
	// warmUp is the time in which a new dealer deals out half of the limit: the one
	// before it may be dealing still, at a node that has not heard of the change.
	warmUp = 4 * time.Second
	// leastPerSecond is dealt out also of lower limits: only an answer tells that a
	// limit has ended.
	leastPerSecond = 0.25
	// asksPerPermit is how often nodes that were denied ask for each permit.
	asksPerPermit = 4
	// leastAgain and mostAgain bound the time after which a node asks again.
	leastAgain = 20 * time.Millisecond
	mostAgain  = 2 * time.Second
	// askerMemory is how long a node that asked counts among those that share a limit,
	// and bucketMemory how long a bucket is kept that nobody asks for.
	askerMemory  = 3 * time.Second
	bucketMemory = time.Minute
)

// Dealer deals out permits for the upstreams that have fallen to this node.
type Dealer struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	sweptAt time.Time
}

// bucket is what one upstream takes.
type bucket struct {
	limiter *rate.Limiter
	since   time.Time
	askedAt time.Time
	// askers are the nodes that asked lately.
	askers map[string]time.Time
}

// NewDealer returns a dealer without buckets.
func NewDealer() *Dealer { return &Dealer{buckets: map[string]*bucket{}} }

// Deal decides whether a node may send a request to an engine of a limit. The request
// can wait for so long.
func (d *Dealer) Deal(engine string, perSecond float64, node string, patience time.Duration, now time.Time) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	b := d.buckets[engine]
	if b == nil {
		b = newBucket(perSecond, now)
		d.buckets[engine] = b
	}
	return b.deal(perSecond, node, patience, now)
}

func newBucket(perSecond float64, now time.Time) *bucket {
	b := &bucket{limiter: rate.NewLimiter(rate.Limit(warm(perSecond)), burst), since: now, askers: map[string]time.Time{}}
	b.limiter.ReserveN(now, burst-1)
	return b
}

// warm is what is dealt out of a limit at first.
func warm(perSecond float64) float64 { return max(leastPerSecond, perSecond/2) }

func (b *bucket) deal(perSecond float64, node string, patience time.Duration, now time.Time) Decision {
	perSecond = max(leastPerSecond, perSecond)
	if now.Sub(b.since) < warmUp {
		perSecond = warm(perSecond)
	}
	if rate.Limit(perSecond) != b.limiter.Limit() {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	b.askedAt = now
	b.askers[node] = now
	permit := b.limiter.ReserveN(now, 1)
	wait := permit.DelayFrom(now)
	if wait <= patience {
		return Granted{After: wait}
	}
	permit.CancelAt(now)
	return Denied{Free: wait, Again: b.again(perSecond, wait, now)}
}

// again spreads the nodes that ask, so that their number does not set what the dealer
// has to answer.
func (b *bucket) again(perSecond float64, wait time.Duration, now time.Time) time.Duration {
	for node, at := range b.askers {
		if now.Sub(at) > askerMemory {
			delete(b.askers, node)
		}
	}
	shared := time.Duration(float64(len(b.askers)) / (asksPerPermit * perSecond) * float64(time.Second))
	again := min(mostAgain, max(leastAgain, wait, shared))
	return again/2 + rand.N(again)
}

// sweep drops the buckets that nobody asks for.
func (d *Dealer) sweep(now time.Time) {
	if now.Sub(d.sweptAt) < bucketMemory {
		return
	}
	d.sweptAt = now
	for engine, b := range d.buckets {
		if now.Sub(b.askedAt) > bucketMemory {
			delete(d.buckets, engine)
		}
	}
}
