package citronstat_test

import (
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronstat"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Guards against a retry budget whose use cannot be seen: what a node counts of its own and
// of the other nodes' retries, and how many nodes it divides by.
func TestBudgetMetrics(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := citronbudget.New(citronbudget.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, time.Now())
	b.UpdateFleet(map[string]citronbudget.Usage{"s": {Requests: 50, Retries: 7}}, citronbudget.Share{Parts: 4}, now)
	b.CountRequest("s", now)
	r := prometheus.NewRegistry()
	citronstat.RegisterBudget(b, citronclock.Real{}, r)
	is.NoErr(testutil.GatherAndCompare(r, strings.NewReader(`
# HELP citrondeck_budget_nodes Nodes among which the slack of the retry budget is divided, 0 if this node has no share of it.
# TYPE citrondeck_budget_nodes gauge
citrondeck_budget_nodes 4
# HELP citrondeck_budget_retries Retries in the last window of the retry budget, by service, of this node and, as far as it knows, of the others.
# TYPE citrondeck_budget_retries gauge
citrondeck_budget_retries{of="others",service="s"} 7
citrondeck_budget_retries{of="self",service="s"} 0
`), "citrondeck_budget_nodes", "citrondeck_budget_retries"))
}
