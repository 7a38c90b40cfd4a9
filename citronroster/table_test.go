package citronroster_test

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronroster"
	"github.com/matryer/is"
)

var start = time.Unix(1_790_000_000, 0)

const tick = 100 * time.Millisecond

// statusOf returns a store status that differs between the values 0 to 3 of
// details.
func statusOf(details int64) citronhealth.Status {
	return citronhealth.Status{Answered: details&1 != 0, Served: details&2 != 0}
}

// age ages a table for d, tick by tick, and returns the members that were probed
// and lost.
func age(tb *citronroster.Table, now *time.Time, d time.Duration) (probed, lost []string) {
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(tick)
		p, l := tb.Age(*now)
		for _, k := range p {
			probed = append(probed, k.Name)
		}
		for _, k := range l {
			lost = append(lost, k.Name)
		}
	}
	return probed, lost
}

// advertised returns the members that callers may be sent to.
func advertised(tb *citronroster.Table, now time.Time) (names []string) {
	for _, e := range tb.Alive(now) {
		if e.Age <= citronroster.FreshFor {
			names = append(names, e.Name)
		}
	}
	return names
}

// A node is killed. The other nodes probe it, get no answer, and consider it lost
// within the 3 s in which callers may still be sent there.
func TestDeadMemberIsLostInTime(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	tb.RecordMember(member("b", "z1", 0, 1), now, now)
	probed, lost := age(tb, &now, 3*time.Second)
	is.Equal(probed, []string{"b"})
	is.Equal(lost, []string{"b"})
	is.Equal(len(tb.Alive(now)), 0)
	// A later heartbeat brings the member back, and RecordGauges reports it.
	_, back := tb.RecordGauges(citronpeer.GaugeUpdate{Fingerprint: citronroster.Fingerprint(member("b", "z1", 0, 1)), Gauges: citronpeer.Gauges{Heartbeat: 50}}, now)
	is.True(back)
	is.Equal(len(tb.Alive(now)), 1)
}

// Guards against starting nodes that keep a dead member alive for each other: a
// second-hand report must count as old as the sender's own information.
func TestSecondHandReportKeepsItsAge(t *testing.T) {
	is := is.New(t)
	now := start
	first := citronroster.NewTable("a", "z1")
	first.RecordMember(member("b", "z1", 0, 1), now, now)
	_, lost := age(first, &now, 1900*time.Millisecond)
	is.Equal(len(lost), 0)
	report := citronroster.New("z1", first.Alive(now)).Diff(citronpeer.Digest{}, true)
	is.Equal(len(report.Members), 1)
	second := citronroster.NewTable("c", "z1")
	second.RecordMember(report.Members[0], now.Add(-report.Age(0)), now)
	_, lost = age(second, &now, 600*time.Millisecond)
	is.Equal(lost, []string{"b"})
}

// Updates about a healthy node are later than usual. The node answers the probe
// and is not lost.
func TestMemberThatAnswersProbeStays(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	tb.RecordMember(member("b", "z1", 0, 1), now, now)
	probed, _ := age(tb, &now, 1600*time.Millisecond)
	is.Equal(probed, []string{"b"})
	tb.RecordMember(member("b", "z1", 0, 17), now, now)
	_, lost := age(tb, &now, 1500*time.Millisecond)
	is.Equal(len(lost), 0)
}

// A zone is cut off, and more of its nodes send nothing than can be probed at the
// same time. Callers must still not be sent to any of them past the time limit.
func TestCutOffZoneIsLostInTime(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	for i := range 200 {
		tb.RecordMember(member(fmt.Sprint(i), []string{"z1", "z2"}[i%2], 0, 1), now, now)
	}
	_, lost := age(tb, &now, 2200*time.Millisecond+tick)
	is.Equal(len(lost), 100)
	is.Equal(len(advertised(tb, now)), 0)
	_, lost = age(tb, &now, 2*time.Second)
	is.Equal(len(lost), 100)
}

// A node stalls for five seconds (it is frozen, or gets no processor time). It
// hears of no member meanwhile, although the members are healthy.
func TestStalledNodeLosesNoMember(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	tb.RecordMember(member("b", "z1", 0, 1), now, now)
	age(tb, &now, tick)
	now = now.Add(5 * time.Second)
	_, lost := age(tb, &now, time.Second)
	is.Equal(len(lost), 0)
	_, lost = age(tb, &now, 2*time.Second)
	is.Equal(lost, []string{"b"}) // time without updates counts again
}

// In a large fleet updates about nodes of other zones are usually slow, and a
// second old when they arrive. Callers must still not be sent to a node more than
// three seconds after it died, which leaves slightly more than two seconds after
// the last update.
func TestSlowUpdatesDoNotKeepDeadMember(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	tb.RecordMember(member("b", "z2", 0, 1), now, now)
	for heartbeat := int64(10); heartbeat < 10000; heartbeat += 10 {
		now = now.Add(400 * time.Millisecond)
		tb.Age(now)
		now = now.Add(400 * time.Millisecond)
		tb.Age(now)
		tb.RecordDigest(citronpeer.Digest{Fingerprints: []citronpeer.Fingerprint{citronroster.Fingerprint(member("b", "z2", 0, 1))}, Heartbeats: []int64{heartbeat}}, now)
	}
	is.Equal(advertised(tb, now), []string{"b"})
	age(tb, &now, 2200*time.Millisecond+tick)
	is.Equal(len(advertised(tb, now)), 0)
	probed, lost := age(tb, &now, 2*time.Second)
	is.Equal(probed, []string{"b"})
	is.Equal(lost, []string{"b"})
}

// Guards against a dead member that is kept alive by heartbeats traveling from
// node to node: the last of them arrives a second after it died.
func TestLateHeartbeatDoesNotKeepDeadMember(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	b := member("b", "z1", 0, 1)
	tb.RecordMember(b, now, now)
	age(tb, &now, time.Second)
	tb.RecordDigest(citronpeer.Digest{Fingerprints: []citronpeer.Fingerprint{citronroster.Fingerprint(b)}, Heartbeats: []int64{4}}, now)
	_, lost := age(tb, &now, 2*time.Second)
	is.Equal(lost, []string{"b"})
}

// Guards against a fleet that spends its time on probing members of other zones,
// about which updates are usually late.
func TestMemberOfAnotherZoneIsProbedLater(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	tb.RecordMember(member("near", "z1", 0, 1), now, now)
	tb.RecordMember(member("far", "z2", 0, 1), now, now)
	probed, lost := age(tb, &now, 2200*time.Millisecond+tick)
	is.Equal(probed, []string{"near"})
	is.Equal(lost, []string{"near"})
	is.Equal(len(advertised(tb, now)), 0)
	probed, lost = age(tb, &now, 2*time.Second)
	is.Equal(probed, []string{"far"})
	is.Equal(lost, []string{"far"})
}

// Guards against constant probes of a healthy member that is short of processor
// time and sends heartbeats at half the usual rate.
func TestSlowMemberIsNotProbed(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	b := member("b", "z2", 0, 1)
	tb.RecordMember(b, now, now)
	for heartbeat := int64(1); heartbeat < 500; heartbeat += 2 {
		probed, _ := age(tb, &now, 4*tick)
		is.Equal(len(probed), 0)
		tb.RecordDigest(citronpeer.Digest{Fingerprints: []citronpeer.Fingerprint{citronroster.Fingerprint(b)}, Heartbeats: []int64{heartbeat}}, now)
	}
}

// A peer reports a heartbeat counter that no node can have reached. If it were
// accepted, everything the member later reports about itself would look old.
func TestImpossibleHeartbeatIsRejected(t *testing.T) {
	is := is.New(t)
	tb, now := citronroster.NewTable("a", "z1"), start
	b := member("b", "z1", 0, 1)
	tb.RecordMember(b, now, now)
	tb.RecordDigest(citronpeer.Digest{Fingerprints: []citronpeer.Fingerprint{citronroster.Fingerprint(b)}, Heartbeats: []int64{1 << 60}}, now)
	k, _ := tb.RecordGauges(citronpeer.GaugeUpdate{Fingerprint: citronroster.Fingerprint(b), Gauges: citronpeer.Gauges{Heartbeat: 1 << 60}}, now)
	is.True(k == nil)
	k, _ = tb.RecordGauges(citronpeer.GaugeUpdate{Fingerprint: citronroster.Fingerprint(b), Gauges: citronpeer.Gauges{Heartbeat: 2}}, now)
	is.True(k != nil)
	k, _ = tb.RecordGauges(citronpeer.GaugeUpdate{Fingerprint: 77, Gauges: citronpeer.Gauges{Heartbeat: 2}}, now)
	is.True(k == nil) // unknown fingerprint
}

// The most recent totals of a zone count, from whichever node they come. Totals
// older than three seconds do not count: the zone's nodes may be cut off.
func TestMostRecentZoneTotalsCount(t *testing.T) {
	is := is.New(t)
	s := citronroster.NewZoneTotals("z1")
	tokens := func(now time.Time) int64 {
		total := citronroster.NewTotal()
		for _, sum := range s.Current(now) {
			total.Add(sum.Load, sum.Sent)
		}
		return total.Load["z2"]
	}
	sum := func(ageMS, tokens int64) citronpeer.ZoneTotals {
		return citronpeer.ZoneTotals{Zone: "z2", AgeMS: ageMS, Load: map[string]int64{"z2": tokens}}
	}
	s.Merge(sum(500, 1), start)
	is.Equal(tokens(start), int64(1))
	s.Merge(sum(900, 2), start) // older
	is.Equal(tokens(start), int64(1))
	s.Merge(sum(300, 3), start)
	is.Equal(tokens(start), int64(3))
	s.Merge(sum(-1, 4), start) // from the future
	is.Equal(tokens(start), int64(3))
	is.Equal(s.Current(start.Add(time.Second))[0].AgeMS, int64(1300))
	is.Equal(len(s.Current(start.Add(3*time.Second))), 0)
	s.Merge(citronpeer.ZoneTotals{Zone: "z1", Load: map[string]int64{"z2": 9}}, start) // a node does not accept totals of its own zone
	is.Equal(len(s.Current(start)), 1)
}
