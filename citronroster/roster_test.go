package citronroster_test

import (
	"fmt"
	"testing"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronroster"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// member returns a node of zone with the given heartbeat counter. Members with
// different values of details differ in their details.
func member(name, zone string, details, heartbeat int64) citronpeer.Member {
	return citronpeer.Member{
		Name: name, Zone: zone, Peer: name + ":1", Started: 1, Ready: details%2 == 0, Store: statusOf(details),
		Gauges: citronpeer.Gauges{Heartbeat: heartbeat, Load: map[string]int64{zone: heartbeat}},
	}
}

func roster(zone string, members ...citronpeer.Member) citronroster.Roster {
	entries := make([]citronroster.Entry, len(members))
	for i, m := range members {
		entries[i] = citronroster.Entry{Member: m, Fingerprint: citronroster.Fingerprint(m)}
	}
	return citronroster.New(zone, entries)
}

// Guards against sending full members whenever their load changes, and against not
// sending them when their details change. Gauges change all the time and do not
// affect a member's fingerprint. Other changes do, such as that of Leaving.
func TestFingerprintIgnoresGauges(t *testing.T) {
	is := is.New(t)
	a := member("a", "z1", 0, 5)
	is.Equal(citronroster.Fingerprint(a), citronroster.Fingerprint(a.WithGauges(citronpeer.Gauges{Heartbeat: 99})))
	b := a
	b.Leaving = true
	is.True(citronroster.Fingerprint(a) != citronroster.Fingerprint(b))
}

// Guards against traffic about what the other node already knows. Two nodes of a
// fleet of three hundred that have the same knowledge of it send each other no full
// member and no gauges.
func TestKnownStateIsNotSent(t *testing.T) {
	is := is.New(t)
	var all []citronpeer.Member
	for i := range 300 {
		all = append(all, member(fmt.Sprint(i), fmt.Sprintf("z%d", i%5), 0, int64(1000+i)))
	}
	a, b := roster("z1", all...), roster("z1", all...)
	is.Equal(b.Diff(a.Digest(), true), citronpeer.Diff{})
	is.True(b.Missing(a.Digest(), true).Empty())
}

// Guards against gauges that are sent between zones, where traffic is expensive.
// Two nodes of one zone exchange newer gauges of that zone's members only: of a member
// of another zone, the digest carries the heartbeat counter, and nothing else is sent.
// Nodes of different zones exchange no gauges.
func TestGaugesStayInTheirZone(t *testing.T) {
	is := is.New(t)
	older := roster("z1", member("near", "z1", 0, 10), member("far", "z2", 0, 10))
	newer := roster("z1", member("near", "z1", 0, 20), member("far", "z2", 0, 20))
	diff := newer.Diff(older.Digest(), true)
	is.Equal(len(diff.Members), 0)
	is.Equal(len(diff.Gauges), 1)
	is.Equal(diff.Gauges[0].Load, map[string]int64{"z1": 20})
	is.Equal(newer.Diff(older.Digest(), false), citronpeer.Diff{})
	is.Equal(older.Missing(newer.Digest(), true).Gauges, []citronpeer.Fingerprint{citronroster.Fingerprint(member("near", "z1", 0, 1))})
}

// Guards against a node that crashes on a faulty message of another node. A digest
// with fewer heartbeat counters than fingerprints, or with unknown fingerprints, is
// answered like any other. Requested items that the roster does not have are left out
// of the answer.
func TestMalformedDigest(t *testing.T) {
	is := is.New(t)
	r := roster("z1", member("a", "z1", 0, 10))
	d := citronpeer.Digest{Fingerprints: []citronpeer.Fingerprint{citronroster.Fingerprint(member("a", "z1", 0, 1)), 77}}
	is.Equal(len(r.Diff(d, true).Gauges), 1) // a missing heartbeat counter counts as zero
	is.Equal(r.Missing(d, true), citronpeer.MissingItems{Members: []citronpeer.Fingerprint{77}})
	is.Equal(r.Requested(citronpeer.MissingItems{Members: []citronpeer.Fingerprint{77}, Gauges: []citronpeer.Fingerprint{78}}), citronpeer.Diff{})
}

// Guards against members about which two nodes disagree after an exchange. Whatever
// two nodes know about a fleet, after one exchange both know the newest details that
// either knew about each member.
func TestExchangeSpreadsNewestDetails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		zone := func(i int) string { return fmt.Sprintf("z%d", i%2) }
		tables := []*citronroster.Table{citronroster.NewTable("x", "z0"), citronroster.NewTable("y", zone(rapid.IntRange(0, 1).Draw(t, "zone")))}
		newest := map[string]citronpeer.Member{}
		for i := range rapid.IntRange(0, 8).Draw(t, "members") {
			for _, tb := range tables {
				if !rapid.Bool().Draw(t, "known") {
					continue
				}
				details := rapid.Int64Range(0, 3).Draw(t, "details")
				m := member(fmt.Sprint(i), zone(i), details, 100*details+rapid.Int64Range(0, 99).Draw(t, "beat"))
				tb.RecordMember(m, now, now)
				if old, ok := newest[m.Name]; !ok || m.Newer(old) {
					newest[m.Name] = m
				}
			}
		}
		a, b := tables[0], tables[1]
		sameZone := rapid.Bool().Draw(t, "near")
		rosterA, rosterB := citronroster.New("z0", a.Alive(now)), citronroster.New("z1", b.Alive(now))
		take := func(tb *citronroster.Table, d citronpeer.Diff) {
			for _, m := range d.Members {
				tb.RecordMember(m, now, now)
			}
			for _, g := range d.Gauges {
				tb.RecordGauges(g, now)
			}
		}
		take(a, rosterB.Diff(rosterA.Digest(), sameZone))
		take(b, rosterA.Requested(rosterB.Missing(rosterA.Digest(), sameZone)))
		for _, tb := range tables {
			known := map[string]citronpeer.Member{}
			for _, e := range tb.Alive(now) {
				known[e.Name] = e.Member
			}
			for name, m := range newest {
				if citronroster.Fingerprint(known[name]) != citronroster.Fingerprint(m) {
					t.Fatalf("member %s: known details are %v, want %v", name, known[name], m)
				}
			}
		}
	})
}
