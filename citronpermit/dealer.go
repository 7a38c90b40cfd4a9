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
	"math"
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
	// burst is how many permits are saved up while nobody asks. A new bucket is empty.
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
	// pauseStep is by how much the pause grows or shrinks with each node that is denied,
	// and askMemory the time over which asks are counted for that.
	pauseStep = 1.25
	askMemory = time.Second
	// bucketMemory is how long a bucket is kept that nobody asks for.
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
	// asks is how often nodes asked lately, a second.
	asks float64
	// pause is what a node that is denied waits before it asks again.
	pause time.Duration
}

// NewDealer returns a dealer without buckets.
func NewDealer() *Dealer { return &Dealer{buckets: map[string]*bucket{}} }

// Deal decides whether a request that can wait for so long may be sent to an engine of a
// limit.
func (d *Dealer) Deal(engine string, perSecond float64, patience time.Duration, now time.Time) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	b := d.buckets[engine]
	if b == nil {
		b = newBucket(perSecond, now)
		d.buckets[engine] = b
	}
	return b.deal(perSecond, patience, now)
}

func newBucket(perSecond float64, now time.Time) *bucket {
	b := &bucket{limiter: rate.NewLimiter(rate.Limit(warm(perSecond)), burst), since: now, askedAt: now, pause: leastAgain}
	b.limiter.ReserveN(now, burst)
	return b
}

// warm is what is dealt out of a limit at first.
func warm(perSecond float64) float64 { return max(leastPerSecond, perSecond/2) }

func (b *bucket) deal(perSecond float64, patience time.Duration, now time.Time) Decision {
	perSecond = max(leastPerSecond, perSecond)
	if now.Sub(b.since) < warmUp {
		perSecond = warm(perSecond)
	}
	if rate.Limit(perSecond) != b.limiter.Limit() {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	b.count(now)
	permit := b.limiter.ReserveN(now, 1)
	wait := permit.DelayFrom(now)
	if wait <= patience {
		return Granted{After: wait}
	}
	permit.CancelAt(now)
	return Denied{Free: wait, Again: b.again(perSecond, wait)}
}

// count adds one to the asks of late.
func (b *bucket) count(now time.Time) {
	b.asks = b.asks*math.Exp(-now.Sub(b.askedAt).Seconds()/askMemory.Seconds()) + 1/askMemory.Seconds()
	b.askedAt = now
}

// again is when a node that is denied asks again. The pause follows how often nodes ask,
// so that neither their number sets what the dealer has to answer, nor a few of them that
// have all the requests leave permits unused.
func (b *bucket) again(perSecond float64, wait time.Duration) time.Duration {
	if b.asks > asksPerPermit*perSecond+1/askMemory.Seconds() {
		b.pause = min(mostAgain, time.Duration(float64(b.pause)*pauseStep))
	} else {
		b.pause = max(leastAgain, time.Duration(float64(b.pause)/pauseStep))
	}
	again := max(wait, b.pause)
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
