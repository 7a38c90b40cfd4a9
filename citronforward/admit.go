package citronforward

// Admission control for streams.
//
// A traffic surge, or the loss of engines at peak load, can bring more streams than the
// engines can cache. An engine whose cache is full preempts its newest requests and
// later reads their tokens again. Beyond that point every stream is late and less work
// is completed overall. A stream that finds no path with free capacity therefore waits
// briefly, since streams end all the time. If no capacity becomes free, it is refused
// with a delay after which capacity is likely to be free. Streams that have begun are
// always admitted, because the caller already has part of the response.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronpath"
)

const (
	// maxCacheUsage is the cache usage of the fullest engine up to which streams are
	// admitted, as a share of its cache. It exceeds 1 because each request is counted
	// with its maximum number of tokens, which is more than it holds on average.
	maxCacheUsage = 1.05
	// capacityWaitShare is the share of the target time to the first event that a
	// stream may spend waiting for capacity. The rest is needed for reading the prompt.
	capacityWaitShare = 0.12
	// capacityPollInterval is how often a waiting stream checks for free capacity.
	capacityPollInterval = 20 * time.Millisecond
	// minRetryShare and maxRetryShare bound the retry delay given to a refused caller,
	// as a share of the time that it has left. Callers wait for a third of that time at
	// most. Full caches take some seconds to drain, and a caller that retries sooner is
	// likely to be refused a second time and to give up.
	minRetryShare = 0.15
	maxRetryShare = 0.32
)

// spreadRetryAfter returns the retry delay for a refused caller that has the given time
// left. drawn is a random number from 0 to 1, a new one for each caller, so that
// callers refused together do not return together.
func spreadRetryAfter(left time.Duration, drawn float64) time.Duration {
	share := minRetryShare + (maxRetryShare-minRetryShare)*drawn
	return time.Duration(share * float64(max(0, left)))
}

// awaitCapacity waits until the best path has free capacity for the stream and returns
// it. full reports that there is a path, but the best one has no free capacity.
func (s *streamJob) awaitCapacity(ctx context.Context) (p citronpath.Path, full, ok bool) {
	until := s.f.Clock.Now().Add(time.Duration(float64(s.route.TargetLatency) * capacityWaitShare))
	for {
		state := s.f.Current()
		p, ok = s.job.path(state, "")
		if !ok {
			return nil, false, false
		}
		cacheUsage := p.Utilization(s.query(state, ""))
		if cacheUsage <= maxCacheUsage || s.begun || s.ResumeAfter != "" {
			return p, false, true
		}
		if s.f.Clock.Now().Add(capacityPollInterval).After(until) || s.f.Clock.Sleep(ctx, capacityPollInterval) != nil {
			s.cacheUsage = cacheUsage
			s.retryAfter = s.planRetry()
			return nil, true, false
		}
	}
}
