// Package citronroster finds out what one node has to tell another of the
// members of their fleet.
//
// Every node knows every other, and what changes most is that they are alive
// and how much they do. Told whole a few times a second at every node, members
// take most of the processor time of a large fleet. So a member is told whole
// once, and from then on by a fingerprint of what seldom changes of it, with
// its beat:
//
//	A -- digest of A ----------------------> B
//	A <- digest of B, what B has newer, and
//	     what B wants of what A has newer -- B
//	A -- what B wants ---------------------> B
//
// What a member does (its gauges) is told within its zone. Of other zones a
// node knows the sums, which some node of the zone has added up, with their
// ages: they are few however many nodes there are.
//
// Nothing here does input or output: a Roster is a value, a Table and Sums are
// the state of one node, and each message is a function of those.
package citronroster

import (
	"encoding/json"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cespare/xxhash/v2"
)

// beatStep is by how many beats a member must be ahead to be worth telling.
// Hearsay is a second old as a rule, and half of that less serves nobody.
const beatStep = 5

// Of is the fingerprint of a member's details.
func Of(m citronpeer.Member) citronpeer.Print {
	text, err := json.Marshal(m.WithGauges(citronpeer.Gauges{}))
	if err != nil {
		panic(err) // members are plain values
	}
	return citronpeer.Print(xxhash.Sum64(text))
}

// Entry is a member and the fingerprint of its details.
type Entry struct {
	citronpeer.Member
	Print citronpeer.Print
	// Age is how long ago the member was heard of when the entry was made.
	Age time.Duration
}

// Roster is the members that a node of a zone knows at one moment. It is
// immutable.
type Roster struct {
	zone    string
	entries []Entry
	byPrint map[citronpeer.Print]int
}

// New returns a roster of these members, which it keeps.
func New(zone string, entries []Entry) Roster {
	r := Roster{zone: zone, entries: entries, byPrint: make(map[citronpeer.Print]int, len(entries))}
	for i, e := range entries {
		r.byPrint[e.Print] = i
	}
	return r
}

// Digest tells which members the roster has, and how new.
func (r Roster) Digest() citronpeer.Digest {
	d := citronpeer.Digest{Prints: make([]citronpeer.Print, len(r.entries)), Beats: make([]int64, len(r.entries))}
	for i, e := range r.entries {
		d.Prints[i], d.Beats[i] = e.Print, e.Beat
	}
	return d
}

// Diff is what a node that has told this digest lacks. near: it is of the same
// zone.
func (r Roster) Diff(d citronpeer.Digest, near bool) citronpeer.Diff {
	theirs := make(map[citronpeer.Print]int64, len(d.Prints))
	for i, p := range d.Prints {
		theirs[p] = d.Beat(i)
	}
	var out citronpeer.Diff
	for _, e := range r.entries {
		beat, known := theirs[e.Print]
		switch {
		case !known:
			out = e.addTo(out)
		case near && e.Zone == r.zone && e.Beat >= beat+beatStep:
			out.Gauges = append(out.Gauges, e.gauge())
		}
	}
	return out
}

// Wants is what this roster lacks of a node that has told this digest. near: it
// is of the same zone.
func (r Roster) Wants(d citronpeer.Digest, near bool) citronpeer.Wants {
	var out citronpeer.Wants
	for i, p := range d.Prints {
		at, known := r.byPrint[p]
		switch {
		case !known:
			out.Members = append(out.Members, p)
		case near && r.entries[at].Zone == r.zone && d.Beat(i) >= r.entries[at].Beat+beatStep:
			out.Gauges = append(out.Gauges, p)
		}
	}
	return out
}

// Wanted is what another node wants. What is gone from the roster since its
// digest is left out.
func (r Roster) Wanted(w citronpeer.Wants) citronpeer.Diff {
	var out citronpeer.Diff
	for _, p := range w.Members {
		if at, ok := r.byPrint[p]; ok {
			out = r.entries[at].addTo(out)
		}
	}
	for _, p := range w.Gauges {
		if at, ok := r.byPrint[p]; ok {
			out.Gauges = append(out.Gauges, r.entries[at].gauge())
		}
	}
	return out
}

// addTo adds the whole member to what another node is told.
func (e Entry) addTo(d citronpeer.Diff) citronpeer.Diff {
	d.Members = append(d.Members, e.Member)
	d.AgesMS = append(d.AgesMS, e.Age.Milliseconds())
	return d
}

func (e Entry) gauge() citronpeer.Gauge {
	return citronpeer.Gauge{Print: e.Print, Gauges: e.Gauges}
}
