package citrontable

import (
	"math"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxPriority is the highest priority value, that of the least urgent requests. Zero is
// the most urgent.
const MaxPriority = 1000

// PriorityValue is a priority as a configuration in JSON holds it. Integers beyond the range of int32 are read as its nearest
// bound: New replaces them by a valid priority, and they must not prevent the rest
// of the configuration from taking effect.
type PriorityValue int

// UnmarshalJSON implements json.Unmarshaler.
func (p *PriorityValue) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || f != math.Trunc(f) {
		return errors.Newf("priority is %s, want an integer", text)
	}
	*p = PriorityValue(max(math.MinInt32, min(math.MaxInt32, f)))
	return nil
}

// ClampedPriority is a priority of the configuration that is out of range and was replaced
// by the nearest valid one. Route or Customer names its owner.
type ClampedPriority struct {
	Route, Customer string
	Value, Used     int
}

func clampPriority(p int) int { return min(MaxPriority, max(0, p)) }

// ClampedPriorities returns the priorities of the configuration that were out of range:
// those of routes, then those of customers, each in the order of the configuration.
func (t *Table) ClampedPriorities() []ClampedPriority { return t.clamped }

// clampRoutes returns the routes with valid priorities.
func (t *Table) clampRoutes(routes []Route) []Route {
	out := append([]Route(nil), routes...)
	for i, r := range out {
		if p := clampPriority(r.Priority); p != r.Priority {
			t.clamped = append(t.clamped, ClampedPriority{Route: r.Name, Value: r.Priority, Used: p})
			out[i].Priority = p
		}
	}
	return out
}

// clampCustomers returns the customers with valid priorities.
func (t *Table) clampCustomers(customers []Customer) []Customer {
	out := append([]Customer(nil), customers...)
	for i, c := range out {
		if c.Priority == nil {
			continue
		}
		if p := clampPriority(*c.Priority); p != *c.Priority {
			t.clamped = append(t.clamped, ClampedPriority{Customer: c.Name, Value: *c.Priority, Used: p})
			out[i].Priority = &p
		}
	}
	return out
}

// rankPriorities maps each service to the distinct priorities of its streaming routes, the
// most urgent first. Services that share a route share their priorities too, so that a
// stream has the same level whichever of them runs it.
func rankPriorities(routes []Route) map[string][]int {
	group := map[string]string{} // a service to another one of its group; a group's root maps to itself
	root := func(s string) string {
		for group[s] != s {
			s = group[s]
		}
		return s
	}
	for _, r := range routes {
		if r.Kind != Streaming {
			continue
		}
		for _, w := range r.Services {
			if _, ok := group[w.Service]; !ok {
				group[w.Service] = w.Service
			}
			group[root(w.Service)] = root(r.Services[0].Service)
		}
	}
	distinct := map[string]map[int]bool{} // by root
	for _, r := range routes {
		if r.Kind != Streaming || len(r.Services) == 0 {
			continue
		}
		g := root(r.Services[0].Service)
		if distinct[g] == nil {
			distinct[g] = map[int]bool{}
		}
		distinct[g][r.Priority] = true
	}
	out := map[string][]int{}
	for s := range group {
		for p := range distinct[root(s)] {
			out[s] = append(out[s], p)
		}
		sort.Ints(out[s])
	}
	return out
}

// PriorityLevel returns the rank of a stream's priority among the distinct priorities of
// its service's streaming routes, and their number. Level 0 is the most urgent. A
// customer's own priority overrides the route's. A priority between two levels gets the
// nearest one, the less urgent of two equally near ones. If all streams are equally urgent
// it returns 0 and 1.
func (t *Table) PriorityLevel(r Route, c Customer) (level, levels int) {
	if r.Kind != Streaming || len(r.Services) == 0 {
		return 0, 1
	}
	ranks := t.priorities[r.Services[0].Service]
	if len(ranks) < 2 {
		return 0, 1
	}
	p := clampPriority(r.Priority)
	if c.Priority != nil {
		p = clampPriority(*c.Priority)
	}
	i := sort.SearchInts(ranks, p)
	if i == len(ranks) || i > 0 && p-ranks[i-1] < ranks[i]-p {
		i--
	}
	return i, len(ranks)
}
