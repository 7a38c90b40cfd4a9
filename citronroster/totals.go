package citronroster

import (
	"maps"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
)

// maxTotalsAge is the age up to which zone totals are used. They are refreshed
// a few times a second; older ones describe nodes that are cut off or gone.
const maxTotalsAge = 3 * time.Second

// ZoneTotals holds the zone totals that one node knows. It is not safe for concurrent
// use.
type ZoneTotals struct {
	zone   string
	byZone map[string]timedTotals
}

type timedTotals struct {
	citronpeer.ZoneTotals
	// computed is when the totals were computed, by this node's clock.
	computed time.Time
}

// NewZoneTotals returns empty zone totals for a node of zone.
func NewZoneTotals(zone string) *ZoneTotals {
	return &ZoneTotals{zone: zone, byZone: map[string]timedTotals{}}
}

// Set stores the totals of the node's own zone, computed by this node.
func (s *ZoneTotals) Set(sum citronpeer.ZoneTotals, now time.Time) {
	sum.Zone = s.zone
	s.byZone[s.zone] = timedTotals{ZoneTotals: sum, computed: now}
}

// Merge stores the totals of another zone, as received from another node, if
// they are newer than the known ones. It ignores totals with a negative age,
// which no later ones would replace, and those that are too old to be used.
func (s *ZoneTotals) Merge(sum citronpeer.ZoneTotals, now time.Time) {
	if sum.Zone == s.zone || sum.AgeMS < 0 || sum.AgeMS > maxTotalsAge.Milliseconds() {
		return
	}
	computed := now.Add(-time.Duration(sum.AgeMS) * time.Millisecond)
	if old, ok := s.byZone[sum.Zone]; ok && !computed.After(old.computed) {
		return
	}
	s.byZone[sum.Zone] = timedTotals{ZoneTotals: sum, computed: computed}
}

// Current returns the totals of all zones that are at most maxTotalsAge old, with
// their current ages.
func (s *ZoneTotals) Current(now time.Time) []citronpeer.ZoneTotals {
	var out []citronpeer.ZoneTotals
	for _, t := range s.byZone {
		if age := now.Sub(t.computed); age <= maxTotalsAge {
			sum := t.ZoneTotals
			sum.AgeMS = max(0, age.Milliseconds())
			out = append(out, sum)
		}
	}
	return out
}

// Total accumulates the load and usage of several members or zones.
type Total struct {
	Load map[string]int64
	Sent map[string]citronpeer.Sent
}

// NewTotal returns an empty total.
func NewTotal() Total {
	return Total{Load: map[string]int64{}, Sent: map[string]citronpeer.Sent{}}
}

// Add adds the load and usage of a member or a zone.
func (t Total) Add(load map[string]int64, sent map[string]citronpeer.Sent) {
	for zone, tokens := range load {
		t.Load[zone] += tokens
	}
	for service, u := range sent {
		sum := t.Sent[service]
		sum.Requests += u.Requests
		sum.Retries += u.Retries
		t.Sent[service] = sum
	}
}

// Clone returns a copy that shares no maps with t.
func (t Total) Clone() Total { return Total{Load: maps.Clone(t.Load), Sent: maps.Clone(t.Sent)} }
