package citronforward

// Retry delays of streams that are refused because the engines' caches are full.

import (
	"encoding/binary"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
)

// retryPlanners holds the planner of each service.
type retryPlanners struct{ services sync.Map }

func (r *retryPlanners) of(service string) *citronadmit.Planner {
	p, ok := r.services.Load(service)
	if !ok {
		p, _ = r.services.LoadOrStore(service, citronadmit.NewPlanner(nil))
	}
	return p.(*citronadmit.Planner)
}

// planner returns the planner of the stream's service.
func (s *streamJob) planner() *citronadmit.Planner { return s.f.retries.of(s.service.Name) }

// retryKey identifies the request when its caller sends it again.
func (j *job) retryKey() uint64 {
	f := j.fingerprint()
	return binary.BigEndian.Uint64(f[:])
}

// planRetry returns the retry delay for a stream that is refused because the engines'
// caches are full. While no stream of the service has ended recently on this node, it is as
// random as spreadRetryAfter.
func (s *streamJob) planRetry() time.Duration {
	r := citronadmit.RefusedRequest{
		Tokens: s.Tokens(), Level: s.priorityLevel, Levels: s.priorityLevels, Left: s.timeLeft(), Again: s.refusedBefore(), Key: s.retryKey(),
	}
	if s.f.RetryTurn != nil {
		r.Turn = s.f.RetryTurn()
	}
	return s.planner().RetryAfter(r, s.f.Clock.Now())
}

// returnsEarly reports whether this node refused the caller before and it returns before the
// time that it was given. It goes ahead of no other then.
func (s *streamJob) returnsEarly() bool {
	return s.planner().Early(s.retryKey(), s.f.Clock.Now())
}

// observeBegin records the capacity that a new stream takes. It is called for each run, and
// records the first.
func (s *streamJob) observeBegin() {
	if s.runs+s.refused+s.runsOnEndedEngines == 0 && !s.begun && !s.refusedBefore() {
		s.planner().ObserveBegin(s.Tokens(), s.f.Clock.Now())
	}
}

// observeEnd records the capacity that a stream which has begun releases at its end.
func (s *streamJob) observeEnd() {
	if s.begun {
		s.planner().ObserveEnd(s.Tokens(), s.f.Clock.Now())
	}
}
