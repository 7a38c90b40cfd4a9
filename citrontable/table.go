// Package citrontable is the configuration in force as traffic reads it:
// which route a request takes, which service runs it, and which customer a
// key belongs to. A Table is immutable; a new version is a new Table.
package citrontable

import (
	"sort"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
)

// Kind says what may be repeated.
type Kind int

// The kinds of request.
const (
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests answer with a series of numbered events.
	Streaming
)

func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "streaming"}[k]
}

// Weighted is one of the services a route divides its requests over.
type Weighted struct {
	Service string
	Weight  int
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time a caller is kept waiting; Target is the
	// time within which an answer is in time; MaxGap is the longest pause
	// between events that is still in time.
	Timeout, Target, MaxGap time.Duration
	Priority                int
	Services                []Weighted
	MaxAttempts             int
	Public                  bool
	Resumable               bool
}

// Idempotent reports whether a request may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Pick returns the service for a draw in [0, 1).
func (r Route) Pick(draw float64) string {
	total := 0
	for _, w := range r.Services {
		total += w.Weight
	}
	left := draw * float64(total)
	for _, w := range r.Services {
		left -= float64(w.Weight)
		if left < 0 {
			return w.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is a group of engines.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Model is nil for a plain service.
	Model *citronmodel.Spec
}

// Customer is the holder of keys; Priority, if set, goes before the route's.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	routes    map[string][]Route // by host, longest prefix first
	customers map[string]Customer
	// keyed: the configuration knows customers, so requests carry keys.
	keyed bool
}

// New builds a table.
func New(version int64, routes []Route, services []Service, customers []Customer, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, keyed: len(customers) > 0,
		Services: map[string]Service{}, routes: map[string][]Route{}, customers: map[string]Customer{},
	}
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
			t.customers[k] = c
		}
	}
	return t
}

// Route returns the route of a host with the longest prefix of path.
func (t *Table) Route(host, path string) (Route, bool) {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Customer returns the holder of key.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.customers[key]
	return c, ok
}

// NeedsKey reports whether a request on route r must carry a known key.
func (t *Table) NeedsKey(r Route) bool { return t.keyed && !r.Public }
