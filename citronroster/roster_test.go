package citronroster_test

import (
	"fmt"
	"testing"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronroster"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// member is a node of a zone, of the beat that its details changed at last.
func member(name, zone string, details, beat int64) citronpeer.Member {
	return citronpeer.Member{
		Name: name, Zone: zone, Peer: name + ":1", Started: 1, Ready: details%2 == 0, Store: statusOf(details),
		Gauges: citronpeer.Gauges{Beat: beat, Load: map[string]int64{zone: beat}},
	}
}

func roster(zone string, members ...citronpeer.Member) citronroster.Roster {
	entries := make([]citronroster.Entry, len(members))
	for i, m := range members {
		entries[i] = citronroster.Entry{Member: m, Print: citronroster.Of(m)}
	}
	return citronroster.New(zone, entries)
}

// Gauges change from moment to moment and leave a member's fingerprint as it is;
// anything else changes it.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	a := member("a", "z1", 0, 5)
	is.Equal(citronroster.Of(a), citronroster.Of(a.WithGauges(citronpeer.Gauges{Beat: 99})))
	b := a
	b.Leaving = true
	is.True(citronroster.Of(a) != citronroster.Of(b))
}

// Two nodes of a fleet of three hundred that know the same tell each other of no
// member whole, and of no gauges.
func TestWhatBothKnowIsNotTold(t *testing.T) {
	is := is.New(t)
	var all []citronpeer.Member
	for i := range 300 {
		all = append(all, member(fmt.Sprint(i), fmt.Sprintf("z%d", i%5), 0, int64(1000+i)))
	}
	a, b := roster("z1", all...), roster("z1", all...)
	is.Equal(b.Diff(a.Digest(), true), citronpeer.Diff{})
	is.True(b.Wants(a.Digest(), true).Empty())
}

// A member of another zone that is further on is told by its beat alone; one of
// this zone by its gauges too.
func TestGaugesStayInTheirZone(t *testing.T) {
	is := is.New(t)
	old := roster("z1", member("near", "z1", 0, 10), member("far", "z2", 0, 10))
	late := roster("z1", member("near", "z1", 0, 20), member("far", "z2", 0, 20))
	diff := late.Diff(old.Digest(), true)
	is.Equal(len(diff.Members), 0)
	is.Equal(len(diff.Gauges), 1)
	is.Equal(diff.Gauges[0].Load, map[string]int64{"z1": 20})
	is.Equal(late.Diff(old.Digest(), false), citronpeer.Diff{})
	is.Equal(old.Wants(late.Digest(), true).Gauges, []citronpeer.Print{citronroster.Of(member("near", "z1", 0, 1))})
}

// A digest with fewer beats than fingerprints, or with fingerprints that nobody
// has, is answered like any other, and what is wanted of it is not there.
func TestSpoiledDigest(t *testing.T) {
	is := is.New(t)
	r := roster("z1", member("a", "z1", 0, 10))
	d := citronpeer.Digest{Prints: []citronpeer.Print{citronroster.Of(member("a", "z1", 0, 1)), 77}}
	is.Equal(len(r.Diff(d, true).Gauges), 1) // the beat that is missing counts as none
	is.Equal(r.Wants(d, true), citronpeer.Wants{Members: []citronpeer.Print{77}})
	is.Equal(r.Wanted(citronpeer.Wants{Members: []citronpeer.Print{77}, Gauges: []citronpeer.Print{78}}), citronpeer.Diff{})
}

// Whatever two nodes know of a fleet, after one exchange both know the newest
// details that either knew of each member.
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
				tb.Take(m, now, now)
				if old, ok := newest[m.Name]; !ok || m.Newer(old) {
					newest[m.Name] = m
				}
			}
		}
		a, b := tables[0], tables[1]
		near := rapid.Bool().Draw(t, "near")
		ra, rb := citronroster.New("z0", a.Alive(now)), citronroster.New("z1", b.Alive(now))
		take := func(tb *citronroster.Table, d citronpeer.Diff) {
			for _, m := range d.Members {
				tb.Take(m, now, now)
			}
			for _, g := range d.Gauges {
				tb.TakeGauge(g, now)
			}
		}
		take(a, rb.Diff(ra.Digest(), near))
		take(b, ra.Wanted(rb.Wants(ra.Digest(), near)))
		for _, tb := range tables {
			known := map[string]citronpeer.Member{}
			for _, e := range tb.Alive(now) {
				known[e.Name] = e.Member
			}
			for name, m := range newest {
				if citronroster.Of(known[name]) != citronroster.Of(m) {
					t.Fatalf("of %s it knows %v, not %v", name, known[name], m)
				}
			}
		}
	})
}
