package citronforward

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of forwarded requests.
type Metrics struct {
	Requests           *prometheus.CounterVec
	Refusals           *prometheus.CounterVec
	Attempts           *prometheus.CounterVec
	Repairs            *prometheus.CounterVec
	RetriesDenied      prometheus.Counter
	Crashes            prometheus.Counter
	LimitedSends       prometheus.Counter
	InvalidLimits      prometheus.Counter
	Permits            *prometheus.CounterVec
	Cooldowns          prometheus.Counter
	CooldownStragglers prometheus.Counter
	LeavingAnswers     prometheus.Counter
	InvalidCooldowns   prometheus.Counter
	TimeToFirstEvent   prometheus.Histogram
	LongestPause       prometheus.Histogram
	UnaryDuration      prometheus.Histogram
}

// latencyBuckets spans 5 ms, as for a cached response, to 20 s. Requests may have later
// deadlines than that: defaultWait is 30 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Requests:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_requests_total", Help: "Requests by kind."}, []string{"kind"}),
		Refusals:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_refusals_total", Help: "Answers of the node's own by reason."}, []string{"reason"}),
		Attempts:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_attempts_total", Help: "Calls to engines by outcome."}, []string{"outcome"}),
		Repairs:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_repairs_total", Help: "Streams moved while they ran, by way."}, []string{"way"}),
		RetriesDenied:      prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_budget_spent_total", Help: "Repeats that the shared budget did not allow."}),
		Crashes:            prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_run_crashes_total", Help: "Runs that had just begun when their engine ended."}),
		LimitedSends:       prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_limited_sends_total", Help: "Requests sent to engines that name a rate limit."}),
		Permits:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_permits_total", Help: "Permits asked for to send to engines that name a rate limit, by result."}, []string{"result"}),
		InvalidLimits:      prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_invalid_limits_total", Help: "Answers with a rate limit that cannot be read."}),
		Cooldowns:          prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_cooldowns_total", Help: "Refusals that asked for a cool-down of their engine."}),
		CooldownStragglers: prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_cooldown_stragglers_total", Help: "Requests that were on their way when their engine asked for a cool-down."}),
		LeavingAnswers:     prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_leaving_answers_total", Help: "Responses whose engine says that it is leaving."}),
		InvalidCooldowns:   prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_invalid_cooldowns_total", Help: "Refusals with a cool-down that cannot be read."}),
		TimeToFirstEvent:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citrondeck_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets}),
		LongestPause:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citrondeck_pause_seconds", Help: "Longest pause between events of a stream.", Buckets: latencyBuckets}),
		UnaryDuration:      prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citrondeck_answer_seconds", Help: "Time to a whole answer.", Buckets: latencyBuckets}),
	}
	r.MustRegister(m.Requests, m.Refusals, m.Attempts, m.Repairs, m.RetriesDenied, m.Crashes, m.LimitedSends, m.InvalidLimits, m.Permits, m.Cooldowns, m.CooldownStragglers, m.InvalidCooldowns, m.LeavingAnswers, m.TimeToFirstEvent, m.LongestPause, m.UnaryDuration)
	return m
}
