package citronnode

// What this node knows of the retry budget that all nodes share.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronevent"
)

// budgetLogInterval is the minimum time between two log lines about the budget of a
// service.
const budgetLogInterval = time.Second

// budgetLog logs the state of the retry budget of the services that use it.
type budgetLog struct {
	loggedAt time.Time
	// last holds the states as of the last check.
	last map[string]citronbudget.Status
}

// logBudget logs the budgets of the services of which retries were sent or denied since
// the last check.
func (c *control) logBudget(ctx context.Context, now time.Time) {
	if now.Sub(c.budgetLog.loggedAt) < budgetLogInterval {
		return
	}
	services, nodes := c.n.budget.Status(now)
	for service, s := range services {
		last := c.budgetLog.last[service]
		if s.Denied == last.Denied && s.Sent == last.Sent {
			continue
		}
		citronevent.Log(ctx, c.n.log, citronevent.BudgetState, "service", service, "requests", s.Own.Requests, "retries", s.Own.Retries, "othersRequests", s.Others.Requests, "othersRetries", s.Others.Retries,
			"limit", s.Limit, "allowance", s.Allowance, "denied", s.Denied-last.Denied, "nodes", nodes)
	}
	c.budgetLog = budgetLog{loggedAt: now, last: services}
}
