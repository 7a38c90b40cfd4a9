package citronnode

// What this node knows of the retry budget that all nodes share.

import (
	"context"
	"math"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronroster"
)

// populationInterval is the minimum time between two counts of the nodes that share bounds.
const populationInterval = 500 * time.Millisecond

// updateBudget tells the retry budget what the other nodes have sent, by service, and which
// share of the slack this node has.
func (c *control) updateBudget(alive []citronroster.Entry, sent map[string]citronpeer.Sent, now time.Time) {
	if now.Sub(c.countedAt) >= populationInterval {
		c.countedAt = now
		c.countPopulation(alive, now)
	}
	others := map[string]citronbudget.Usage{}
	for service, u := range sent {
		others[service] = citronbudget.Usage(u)
	}
	c.n.budget.UpdateFleet(others, c.share, now)
}

// countPopulation counts the nodes that may use a part of a bound that all nodes share.
func (c *control) countPopulation(alive []citronroster.Entry, now time.Time) {
	var o citronbudget.Observation
	for _, e := range alive {
		o.Alive = append(o.Alive, e.Name)
		// Gauges are passed on within a zone only, so those of other zones are old.
		if e.Zone == c.self.Zone {
			o.Announced = max(o.Announced, e.Counted)
		}
	}
	if registered := c.n.registered.Load(); registered != nil {
		o.Registered, o.RegisteredRead = registered.names, true
	}
	c.share = c.population.Update(o, now)
	c.self.Counted = c.population.Count()
	c.n.heardShare.Store(math.Float64bits(c.population.HeardShare()))
}

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
