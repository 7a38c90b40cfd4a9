package citronroster

import (
	"maps"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
)

// sumLife is how old a zone's sum may be. It is told anew a few times a second;
// one that is older tells of nodes that are cut off or gone.
const sumLife = 3 * time.Second

// Sums is what one node knows of what each zone does. It is not safe for use by
// several goroutines.
type Sums struct {
	zone string
	held map[string]heldSum
}

type heldSum struct {
	citronpeer.Sum
	// made is when it was added up, by this node's clock.
	made time.Time
}

// NewSums returns the empty sums of a node of this zone.
func NewSums(zone string) *Sums { return &Sums{zone: zone, held: map[string]heldSum{}} }

// Set takes the sum of the node's own zone, as this node has added it up.
func (s *Sums) Set(sum citronpeer.Sum, now time.Time) {
	sum.Zone = s.zone
	s.held[s.zone] = heldSum{Sum: sum, made: now}
}

// Take takes another node's word for the sum of another zone, if it is newer.
// One with an age that cannot be is left alone: it would never be replaced.
func (s *Sums) Take(sum citronpeer.Sum, now time.Time) {
	if sum.Zone == s.zone || sum.AgeMS < 0 {
		return
	}
	made := now.Add(-time.Duration(sum.AgeMS) * time.Millisecond)
	if old, ok := s.held[sum.Zone]; ok && !made.After(old.made) {
		return
	}
	s.held[sum.Zone] = heldSum{Sum: sum, made: made}
}

// Tell returns the sums of all zones that are not too old, with their ages.
func (s *Sums) Tell(now time.Time) []citronpeer.Sum {
	var out []citronpeer.Sum
	for _, h := range s.held {
		if age := now.Sub(h.made); age <= sumLife {
			sum := h.Sum
			sum.AgeMS = max(0, age.Milliseconds())
			out = append(out, sum)
		}
	}
	return out
}

// Total adds a sum to the loads and uses of several.
type Total struct {
	Load map[string]int64
	Sent map[string]citronpeer.Sent
}

// NewTotal returns a total of nothing.
func NewTotal() Total {
	return Total{Load: map[string]int64{}, Sent: map[string]citronpeer.Sent{}}
}

// Add adds what a member or a zone does.
func (t Total) Add(load map[string]int64, sent map[string]citronpeer.Sent) {
	for zone, tokens := range load {
		t.Load[zone] += tokens
	}
	for service, u := range sent {
		sum := t.Sent[service]
		sum.Requests += u.Requests
		sum.Repeats += u.Repeats
		t.Sent[service] = sum
	}
}

// Clone returns a copy.
func (t Total) Clone() Total { return Total{Load: maps.Clone(t.Load), Sent: maps.Clone(t.Sent)} }
