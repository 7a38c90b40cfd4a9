package citronforward

// Admission control for streams.
//
// A traffic surge, or the loss of engines at peak load, can bring more streams than the
// engines can cache. An engine whose cache is full preempts its newest requests and
// later reads their tokens again. Beyond that point every stream is late and less work
// is completed overall. A stream that finds no path with free capacity therefore waits
// briefly, since streams end all the time, in a line ordered by priority, fair share and
// arrival (citronadmit). If no capacity becomes free, it is refused with a delay after which
// capacity is likely to be free. Less urgent streams are admitted up to a lower utilization. Streams that have begun are
// always admitted, because the caller already has part of the response.

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpath"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxCacheUsage is the cache usage of the fullest engine up to which streams are
	// admitted, as a share of its cache. It exceeds 1 because each request is counted
	// with its maximum number of tokens, which is more than it holds on average.
	maxCacheUsage = 1.05
	// firstAttemptShare is the share of the route's time limit that a caller states at
	// least in its first attempt. One that states less has been refused before: retry
	// delays are at least minRetryShare of its time.
	firstAttemptShare = 0.95
	// admissionSampleEvery is the sampling interval of the log for streams that waited or
	// spilled over. In a surge these are a large part of all streams.
	admissionSampleEvery = 10
	// reasonNoPath means that some layer is held by no engine that the request can use.
	reasonNoPath = "no path runs all layers"
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

// admissionState is the admission state of one service at this node.
type admissionState struct {
	line   *citronadmit.Line
	demand citronadmit.Demand
}

// admissionOf returns the admission state of a service. Services are few: the
// configuration names them.
func (f *Forwarder) admissionOf(service string) *admissionState {
	if a, ok := f.admissions.Load(service); ok {
		return a.(*admissionState)
	}
	a, _ := f.admissions.LoadOrStore(service, &admissionState{line: citronadmit.NewLine(f.Clock)})
	return a.(*admissionState)
}

// tryWaiting tries the streams that wait for capacity, because this one has ended.
func (s *streamJob) tryWaiting() {
	if s.path != nil {
		s.f.admissionOf(s.service.Name).line.Free()
	}
}

// admissionRecord holds what a decision about admission was based on.
type admissionRecord struct {
	// asked is true once the stream has asked for capacity.
	asked bool
	// reason is the reason of the refusal, if it was refused.
	reason   string
	limit    float64
	forecast time.Duration
}

// admissionArgs returns the keys and values of the refusal's log line that tell what the
// decision about admission was based on.
func (j *job) admissionArgs() []any {
	if !j.admission.asked {
		return nil
	}
	return []any{"usedLimit", roundShare(j.admission.limit), "forecast", j.admission.forecast}
}

// roundShare rounds a share for the log.
func roundShare(share float64) float64 { return math.Round(100*share) / 100 }

// refusedBefore reports whether the caller has been refused already. A caller that retries
// has waited for part of the route's time limit and states what is left.
func (j *job) refusedBefore() bool {
	return j.CallerTimeout > 0 && float64(j.CallerTimeout) < firstAttemptShare*float64(j.route.Timeout)
}

// awaitCapacity waits until a path has free capacity for the stream and returns it, with the
// capacity reserved. full reports that there is a path, but none with free capacity.
func (s *streamJob) awaitCapacity(ctx context.Context) (p citronpath.Path, full, ok bool) {
	if s.begun || s.ResumeAfter != "" {
		p, ok = s.job.path(s.f.Current(), "")
		return p, false, ok
	}
	s.unbind()
	a := s.f.admissionOf(s.service.Name)
	w := &capacityWait{streamJob: s, demand: &a.demand, since: s.f.Clock.Now()}
	if !s.admission.asked {
		s.admission.asked = true
		a.demand.Record(s.priorityLevel, s.Tokens(), w.since)
	}
	d, err := a.line.Await(ctx, citronadmit.Request{
		Customer: s.customer, Tokens: s.Tokens(), Priority: s.priorityLevel, RefusedBefore: s.refusedBefore() && !s.returnsEarly(),
	}, len(s.avoid) > 0, w.try)
	w.record(ctx, d, err)
	if _, admitted := d.(citronadmit.Admit); admitted {
		return w.path, false, true
	}
	return nil, !w.noPath, false
}

// capacityWait is a stream that asks for capacity. Its fields are guarded by the line, or by
// its own goroutine once the decision is made.
type capacityWait struct {
	*streamJob
	demand *citronadmit.Demand
	since  time.Time
	// path is the path on which capacity has been reserved. noPath is true if no path runs
	// all layers.
	path   citronpath.Path
	noPath bool
	// waited is true if the stream was not decided at once, spilled if it was admitted in
	// another zone because the cheapest path was full.
	waited, spilled bool
}

// try decides whether the stream is admitted now, and if so, reserves the capacity.
func (w *capacityWait) try() citronadmit.Decision {
	if reason, ok := w.quarantined(); ok {
		w.admission.reason = reason
		return citronadmit.Reject{Reason: reason}
	}
	state := w.f.Current()
	q := w.query(state, "")
	engines := state.View.ByService[w.service.Name]
	p, ok := citronpath.Choose(engines, q)
	w.noPath = !ok
	if !ok {
		return citronadmit.Reject{Reason: reasonNoPath}
	}
	c := w.conditions(p, q)
	d := citronadmit.Decide(c)
	w.cacheUsage = c.Utilization
	w.admission.limit, w.admission.forecast = c.LevelLimit(), c.Forecast
	if _, admitted := d.(citronadmit.Admit); !admitted || c.IsLate() {
		other, ok := citronpath.ChooseWithin(engines, q, c.LevelLimit(), rand.Float64())
		if ok && c.Elapsed+w.forecastAdmission(other, q.Now) <= c.Target {
			p, d = other, citronadmit.Admit{}
			w.spilled = p[0].Engine.Zone != w.f.Zone
		}
	}
	switch d := d.(type) {
	case citronadmit.Admit:
		w.path = p
		w.reserve(p)
	case citronadmit.Wait:
		if !w.waited {
			w.waited = true
			w.waitingGauge().Inc()
		}
	case citronadmit.Reject:
		w.admission.reason = d.Reason
	}
	return d
}

// conditions returns what the decision about the stream depends on, for its cheapest path.
func (w *capacityWait) conditions(p citronpath.Path, q citronpath.Query) citronadmit.Conditions {
	c := citronadmit.Conditions{
		Now: q.Now, Utilization: p.Utilization(q), Limit: maxCacheUsage, Level: w.priorityLevel,
		Target: w.route.TargetLatency, Elapsed: q.Now.Sub(w.Received), Waited: q.Now.Sub(w.since),
		RetryAfter: spreadRetryAfter(w.timeLeft(), 0.5),
	}
	c.Forecast = w.forecastAdmission(p, q.Now)
	if c.Level > 0 {
		c.Headroom = w.demand.Headroom(w.priorityLevel, ownCapacity(q, c.Utilization), q.Now)
	}
	return c
}

// ownCapacity estimates how many tokens this node's streams would have in progress if the
// engines were full and each node's share of them stayed as it is.
func ownCapacity(q citronpath.Query, utilization float64) float64 {
	own := 0.0
	for _, tokens := range q.OwnTokens {
		own += float64(tokens)
	}
	if utilization <= 0 || math.IsInf(utilization, 1) {
		return 0
	}
	return own / utilization
}

// record sets what the caller is told, and records the decision in metrics and the log.
func (w *capacityWait) record(ctx context.Context, d citronadmit.Decision, err error) {
	if w.waited {
		w.waitingGauge().Dec()
	}
	_, admitted := d.(citronadmit.Admit)
	outcome, zone := "refused", w.f.Zone
	switch {
	case err != nil:
		outcome, w.admission.reason = "left", citronadmit.ReasonNoCapacity
	case w.noPath:
		return
	case admitted:
		zone = w.path[0].Engine.Zone
		outcome = "admitted"
		if w.spilled {
			outcome = "spilled"
		} else if w.waited {
			outcome = "waited"
		}
	}
	w.f.Metrics.Admissions.WithLabelValues(outcome, w.route.Name, w.levelLabel(), zone).Inc()
	if !admitted {
		w.retryAfter = w.refusalDelay()
		return
	}
	if outcome != "admitted" && w.f.delayed.Add(1)%admissionSampleEvery == 1 {
		citronevent.Log(ctx, w.f.Log, citronevent.StreamDelayed, append(w.admissionArgs(), "request", w.ID, "service", w.service.Name, "route", w.route.Name, "customer", w.customer, "priorityLevel", w.priorityLevel, "outcome", outcome, "zone", zone, "waited", w.f.Clock.Now().Sub(w.since), "used", roundShare(w.cacheUsage))...)
	}
}

// refusalDelay returns the time after which a caller that is refused for want of capacity is
// told to retry.
func (w *capacityWait) refusalDelay() time.Duration {
	return w.planRetry()
}

// levelLabel returns the level of the stream's priority as a label.
func (w *capacityWait) levelLabel() string { return strconv.Itoa(w.priorityLevel) }

// waitingGauge returns the gauge that counts the stream while it waits.
func (w *capacityWait) waitingGauge() prometheus.Gauge {
	return w.f.Metrics.Waiting.WithLabelValues(w.route.Name, w.levelLabel(), w.f.Zone)
}
