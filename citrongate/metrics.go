package citrongate

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the gate.
type Metrics struct {
	LimitedSends       prometheus.Counter
	InvalidLimits      prometheus.Counter
	Cooldowns          prometheus.Counter
	CooldownStragglers prometheus.Counter
	InvalidCooldowns   prometheus.Counter
	LeavingAnswers     prometheus.Counter
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_" + name, Help: help})
		r.MustRegister(c)
		return c
	}
	return &Metrics{
		LimitedSends:       counter("limited_sends_total", "Requests sent to engines that name a rate limit."),
		InvalidLimits:      counter("invalid_limits_total", "Answers with a rate limit that cannot be read."),
		Cooldowns:          counter("cooldowns_total", "Refusals that asked for a cool-down of their engine."),
		CooldownStragglers: counter("cooldown_stragglers_total", "Requests that were on their way when their engine asked for a cool-down."),
		InvalidCooldowns:   counter("invalid_cooldowns_total", "Refusals with a cool-down that cannot be read."),
		LeavingAnswers:     counter("leaving_answers_total", "Responses whose engine says that it is leaving."),
	}
}
