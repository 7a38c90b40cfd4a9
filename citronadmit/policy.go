package citronadmit

import "time"

const (
	// minWaitShare is the share of the target time to the first event that a stream may
	// always spend waiting for capacity. The rest is needed for reading the prompt.
	minWaitShare = 0.12
	// maxWaitShare bounds the wait of a stream whose forecast time to the first event
	// leaves more. Forecasts have errors, and a quarter of the target is the least in
	// which a prompt of usual size is read.
	maxWaitShare = 0.75
	// hopelessTargets is the forecast time to the first event, in multiples of the target,
	// beyond which a stream is refused: callers leave a stream that sends nothing for a
	// few targets.
	hopelessTargets = 2
	// minLimitShare bounds what headroom takes from the limit of the least urgent
	// streams, so that a service with many levels still serves them.
	minLimitShare = 0.5
)

// Reasons of a Reject.
const (
	// ReasonNoCapacity means that no capacity became free in the time that the request
	// could wait.
	ReasonNoCapacity = "engines' cache is full"
	// ReasonTooLate means that the first event is forecast to come so late that a retry
	// would be served sooner, or that the caller may have left by then.
	ReasonTooLate = "the first event would come too late"
)

// Decision states what happens to a request. It is one of Admit, Wait and Reject.
type Decision interface{ isDecision() }

// Admit means that the request may be sent now.
type Admit struct{}

// Wait means that the request may be tried again until the given time.
type Wait struct{ Until time.Time }

// Reject means that the request is refused.
type Reject struct{ Reason string }

func (Admit) isDecision()  {}
func (Wait) isDecision()   {}
func (Reject) isDecision() {}

// Conditions hold what the decision about a stream depends on.
type Conditions struct {
	Now time.Time
	// Utilization is the utilization of the best path's fullest engine, as a share of its
	// capacity.
	Utilization float64
	// Limit is the utilization up to which streams of the most urgent level are admitted.
	Limit float64
	// Level is the index of the request's priority among the priorities of the service's
	// streams, 0 for the most urgent. Headroom is the share of capacity that is reserved
	// for more urgent levels; it does not apply to level 0.
	Level    int
	Headroom float64
	// Target is the target time to the first event. Elapsed is the time since the request
	// was received, and Waited the part of it that it has waited for capacity.
	Target, Elapsed, Waited time.Duration
	// Forecast is the forecast time from admission to the first event, zero if it is not
	// known.
	Forecast time.Duration
	// RetryAfter is the time after which the caller would be told to retry, zero if it
	// would not retry.
	RetryAfter time.Duration
}

// LevelLimit returns the utilization up to which the stream is admitted.
func (c Conditions) LevelLimit() float64 {
	if c.Level <= 0 {
		return c.Limit
	}
	return max(c.Limit-c.Headroom, c.Limit*minLimitShare)
}

// Decide returns whether the stream is admitted now, waits or is refused.
func Decide(c Conditions) Decision {
	if c.isHopeless() {
		return Reject{Reason: ReasonTooLate}
	}
	if c.Utilization <= c.LevelLimit() {
		return Admit{}
	}
	if c.retryIsSooner() {
		return Reject{Reason: ReasonTooLate}
	}
	left := c.maxWait() - c.Waited
	if left <= 0 {
		return Reject{Reason: ReasonNoCapacity}
	}
	return Wait{Until: c.Now.Add(left)}
}

// maxWait returns how long the stream may wait for capacity in total: as long as it is still
// forecast to be in time afterwards, within bounds. Without a forecast it is the lower bound.
func (c Conditions) maxWait() time.Duration {
	shortest := time.Duration(minWaitShare * float64(c.Target))
	if c.Forecast <= 0 {
		return shortest
	}
	longest := time.Duration(maxWaitShare * float64(c.Target))
	return min(longest, max(shortest, c.Waited+c.Target-c.Elapsed-c.Forecast))
}

// IsLate reports whether the first event is forecast to come after the target time if the
// stream is admitted now.
func (c Conditions) IsLate() bool { return c.Forecast > 0 && c.Elapsed+c.Forecast > c.Target }

// isHopeless reports whether the first event is forecast to come so late that the caller may
// have left. Prompts then queue at engines whose caches have free capacity, and each further
// stream delays all others by work that nobody waits for.
func (c Conditions) isHopeless() bool {
	return c.RetryAfter > 0 && c.IsLate() && c.Elapsed+c.Forecast > hopelessTargets*c.Target
}

// retryIsSooner reports whether the stream would be late if admitted now, and later than its
// caller's retry would be served. A refusal costs nearly as much as lateness, and a second
// one loses the request, so lateness alone is no reason to refuse.
func (c Conditions) retryIsSooner() bool {
	return c.RetryAfter > 0 && c.IsLate() && c.Forecast > c.RetryAfter+c.Target
}
