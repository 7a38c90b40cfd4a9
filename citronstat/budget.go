package citronstat

import (
	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"github.com/prometheus/client_golang/prometheus"
)

// budgetCollector collects the state of a retry budget.
type budgetCollector struct {
	budget *citronbudget.Budget
	clock  citronclock.Clock
}

var (
	budgetRequests  = prometheus.NewDesc("citrondeck_budget_requests", "Requests in the last window of the retry budget, by service, of this node and, as far as it knows, of the others.", []string{"service", "of"}, nil)
	budgetRetries   = prometheus.NewDesc("citrondeck_budget_retries", "Retries in the last window of the retry budget, by service, of this node and, as far as it knows, of the others.", []string{"service", "of"}, nil)
	budgetLimit     = prometheus.NewDesc("citrondeck_budget_limit", "Retries that all nodes together may send in a window, by service.", []string{"service"}, nil)
	budgetAllowance = prometheus.NewDesc("citrondeck_budget_allowance", "Retries that this node may still send, by service.", []string{"service"}, nil)
	budgetDenied    = prometheus.NewDesc("citrondeck_budget_denied_total", "Retries that the budget denied, by service.", []string{"service"}, nil)
	budgetNodes     = prometheus.NewDesc("citrondeck_budget_nodes", "Nodes among which the slack of the retry budget is divided, 0 if this node has no share of it.", nil, nil)
)

// RegisterBudget registers metrics of a retry budget with r.
func RegisterBudget(b *citronbudget.Budget, clock citronclock.Clock, r prometheus.Registerer) {
	r.MustRegister(budgetCollector{b, clock})
}

// Describe implements prometheus.Collector.
func (c budgetCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{budgetRequests, budgetRetries, budgetLimit, budgetAllowance, budgetDenied, budgetNodes} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c budgetCollector) Collect(out chan<- prometheus.Metric) {
	services, nodes := c.budget.Status(c.clock.Now())
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	gauge(budgetNodes, float64(nodes))
	for service, s := range services {
		gauge(budgetRequests, s.Own.Requests, service, "self")
		gauge(budgetRequests, s.Others.Requests, service, "others")
		gauge(budgetRetries, s.Own.Retries, service, "self")
		gauge(budgetRetries, s.Others.Retries, service, "others")
		gauge(budgetLimit, s.Limit, service)
		gauge(budgetAllowance, s.Allowance, service)
		out <- prometheus.MustNewConstMetric(budgetDenied, prometheus.CounterValue, float64(s.Denied), service)
	}
}
