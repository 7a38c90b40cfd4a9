package citronforward

import (
	"math"

	"citrondeck.dev/citrondeck/citrongate"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of forwarded requests.
type Metrics struct {
	Requests         *prometheus.CounterVec
	Refusals         *prometheus.CounterVec
	Attempts         *prometheus.CounterVec
	Repairs          *prometheus.CounterVec
	Admissions       *prometheus.CounterVec
	Waiting          *prometheus.GaugeVec
	MovePauses       *prometheus.CounterVec
	RetriesDenied    prometheus.Counter
	Crashes          prometheus.Counter
	Permits          *prometheus.CounterVec
	Gate             *citrongate.Metrics
	TimeToFirstEvent prometheus.Histogram
	LongestPause     prometheus.Histogram
	UnaryDuration    prometheus.Histogram
	ForecastError    prometheus.Histogram
	CancelTime       prometheus.Histogram
}

// latencyBuckets spans 5 ms, as for a cached response, to 20 s. Requests may have later
// deadlines than that: defaultWait is 30 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// cancelBuckets spans 0.5 ms, as for a connection that is closed at once, to 4 s.
var cancelBuckets = prometheus.ExponentialBuckets(0.0005, 2, 14)

// forecastBuckets spans the ratios that the forecast can correct, with two buckets for each
// doubling around 1.
var forecastBuckets = prometheus.ExponentialBuckets(0.125, math.Sqrt2, 13)

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Gate:             citrongate.NewMetrics(r),
		Requests:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_requests_total", Help: "Requests by kind."}, []string{"kind"}),
		Refusals:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_refusals_total", Help: "Answers of the node's own by reason."}, []string{"reason"}),
		Attempts:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_attempts_total", Help: "Calls to engines by outcome."}, []string{"outcome"}),
		Repairs:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_repairs_total", Help: "Streams moved while they ran, by way."}, []string{"way"}),
		Admissions:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_admissions_total", Help: "Streams admitted at once, admitted after a wait, admitted in another zone because the cheapest path was full, or refused, by route, level of priority and zone."}, []string{"outcome", "route", "level", "zone"}),
		Waiting:          prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "citrondeck_admission_waiting", Help: "Streams that wait for capacity, by route, level of priority and zone."}, []string{"route", "level", "zone"}),
		MovePauses:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_move_pauses_total", Help: "Moves of streams that had begun, by whether the allowed pause between events was kept or missed."}, []string{"pause"}),
		RetriesDenied:    prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_budget_spent_total", Help: "Repeats that the shared budget did not allow."}),
		Crashes:          prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_run_crashes_total", Help: "Runs that had just begun when their engine ended."}),
		Permits:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_permits_total", Help: "Permits asked for to send to engines that name a rate limit, by result."}, []string{"result"}),
		TimeToFirstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citrondeck_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets}),
		LongestPause:     prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citrondeck_pause_seconds", Help: "Longest pause between events of a stream.", Buckets: latencyBuckets}),
		UnaryDuration:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citrondeck_answer_seconds", Help: "Time to a whole answer.", Buckets: latencyBuckets}),
		CancelTime:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citrondeck_cancel_seconds", Help: "Time from seeing that a caller of a stream has left to the end of its call to an engine.", Buckets: cancelBuckets}),
		ForecastError:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "citrondeck_forecast_ratio", Help: "Actual time to the first event of a run, divided by its forecast.", Buckets: forecastBuckets}),
	}
	r.MustRegister(m.Requests, m.Refusals, m.Attempts, m.Repairs, m.MovePauses, m.Admissions, m.Waiting, m.ForecastError, m.RetriesDenied, m.Crashes, m.Permits, m.TimeToFirstEvent, m.LongestPause, m.UnaryDuration, m.CancelTime)
	return m
}
