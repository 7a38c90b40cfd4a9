package citrontable

import "slices"

// maxPriority is the highest priority value, the least urgent. Values out of the range from
// 0 to maxPriority are taken as the nearest in it.
const maxPriority = 9

// Level is the place of a request's priority among those of its service's streams.
type Level struct {
	// Priority is the priority of the request's route or customer, 0 to 9. 0 is the most
	// urgent.
	Priority int
	// MoreUrgent holds the distinct priorities of the service's streams that are more
	// urgent, in ascending order. Its length is the request's level. It is shared and must
	// not be changed.
	MoreUrgent []int
}

// Level returns the level of a stream on route r to a service. customer is the zero value if
// the request states none. If the service's streaming routes do not differ in priority, all
// its streams have level 0.
func (t *Table) Level(service string, r Route, customer Customer) Level {
	l := Level{Priority: clampPriority(r.Priority)}
	if customer.Priority != nil {
		l.Priority = clampPriority(*customer.Priority)
	}
	priorities := t.priorities[service]
	i, _ := slices.BinarySearch(priorities, l.Priority)
	l.MoreUrgent = priorities[:i:i]
	return l
}

func clampPriority(p int) int { return min(max(p, 0), maxPriority) }

// streamPriorities returns the sorted distinct priorities of the streams of each service
// whose streaming routes differ in priority.
func (t *Table) streamPriorities(routes []Route, customers []Customer) map[string][]int {
	ofRoutes, all := map[string][]int{}, map[string][]int{}
	for _, r := range routes {
		if r.Kind != Streaming {
			continue
		}
		priorities := []int{clampPriority(r.Priority)}
		for _, c := range customers {
			if c.Priority != nil && t.NeedsKey(r) {
				priorities = append(priorities, clampPriority(*c.Priority))
			}
		}
		for _, w := range r.Services {
			ofRoutes[w.Service] = append(ofRoutes[w.Service], priorities[0])
			all[w.Service] = append(all[w.Service], priorities...)
		}
	}
	out := map[string][]int{}
	for service, priorities := range ofRoutes {
		if slices.Min(priorities) == slices.Max(priorities) {
			continue
		}
		slices.Sort(all[service])
		out[service] = slices.Compact(all[service])
	}
	return out
}
