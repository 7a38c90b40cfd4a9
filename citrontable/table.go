// Package citrontable holds the active configuration in the form in which
// requests look it up: the route of a request, the service that runs it, and the
// customer that an API key belongs to. A Table is immutable; each version of the
// configuration is a new Table.
package citrontable

import (
	"sort"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
)

// Kind says how a request is answered and whether it may run more than once.
type Kind int

// Kinds of request.
const (
	// Unsafe requests run at most once per attempt of the caller.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered with a sequence of numbered events.
	Streaming
)

func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "streaming"}[k]
}

// WeightedService is one of the services over which a route distributes its requests,
// with its relative weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route configures the handling of requests for one host and path prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the maximum time that a caller waits. TargetLatency is the target
	// latency: a later response, or a later first event of a stream, counts as
	// late. MaxEventGap is the maximum time between two events of a stream before it
	// counts as late.
	Timeout, TargetLatency, MaxEventGap time.Duration
	// Priority orders streams: 0 is the most urgent, MaxPriority the least.
	Priority int
	Services []WeightedService
	// MaxAttempts is the maximum number of runs of an idempotent request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable is true if another run of a stream can continue after the last
	// event.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// PickService chooses a service by weight. draw is a random number in [0, 1).
func (r Route) PickService(draw float64) string {
	total := 0
	for _, w := range r.Services {
		total += w.Weight
	}
	remaining := draw * float64(total)
	for _, w := range r.Services {
		remaining -= float64(w.Weight)
		if remaining < 0 {
			return w.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is a group of engines that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Model is nil for a plain service.
	Model *citronmodel.Spec
}

// Customer is a tenant and its API keys. Priority, if set, overrides the
// route's priority.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits holds the limits on what a caller may send.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body. Zero means no limit.
	MaxBodyBytes int64
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	routes         map[string][]Route // by host, longest prefix first
	customersByKey map[string]Customer
	// requireKeys is true if the configuration lists customers. Requests on
	// routes that are not public must then carry an API key.
	requireKeys bool
	priorities  map[string][]int // by service, see rankPriorities
	clamped     []ClampedPriority
}

// New returns a table with the given content.
func New(version int64, routes []Route, services []Service, customers []Customer, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, requireKeys: len(customers) > 0,
		Services: map[string]Service{}, routes: map[string][]Route{}, customersByKey: map[string]Customer{},
	}
	routes, customers = t.clampRoutes(routes), t.clampCustomers(customers)
	t.priorities = rankPriorities(routes)
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, rs := range t.routes {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for _, c := range customers {
		for _, k := range c.Keys {
			t.customersByKey[k] = c
		}
	}
	return t
}

// Route returns the route of the host with the longest prefix that matches
// path.
func (t *Table) Route(host, path string) (Route, bool) {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Customer returns the customer that key belongs to.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.customersByKey[key]
	return c, ok
}

// NeedsKey reports whether a request on route r must carry a customer's API key.
func (t *Table) NeedsKey(r Route) bool { return t.requireKeys && !r.Public }
