// Package citronroster determines what a node has to tell another node about the
// members of their fleet.
//
// Every node knows every other node. What changes most often about a member is
// its heartbeat counter and its load. Sending full members a few times a second
// would take most of the processor time of a large fleet. A node
// therefore sends a full member once, and from then on a fingerprint of its
// rarely changing details together with its heartbeat counter:
//
//	A -- digest of A ----------------------> B
//	A <- digest of B, what B has newer, and
//	     items of A that B is missing ------ B
//	A -- the items B is missing -----------> B
//
// Updates of a member's load and usage (its gauges) are sent within its zone
// only. About other zones a node knows the zone totals, computed by some node of
// that zone, with their ages. There are few of these, however many nodes the
// fleet has.
//
// The package does no input or output. A Roster is a value, a Table and ZoneTotals
// hold the state of one node, and each message is a function of these.
package citronroster

import (
	"encoding/json"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cespare/xxhash/v2"
)

// minHeartbeatLead is how far a member's heartbeat counter must be ahead for its
// gauges to be sent again. Second-hand reports are usually a second old; sending
// gauges that are newer by less than half a second is of no use.
const minHeartbeatLead = 5

// Fingerprint returns the fingerprint of a member's details.
func Fingerprint(m citronpeer.Member) citronpeer.Fingerprint {
	text, err := json.Marshal(m.WithGauges(citronpeer.Gauges{}))
	if err != nil {
		panic(err) // A member holds only types that JSON can encode.
	}
	return citronpeer.Fingerprint(xxhash.Sum64(text))
}

// Entry is a member and the fingerprint of its details.
type Entry struct {
	citronpeer.Member
	Fingerprint citronpeer.Fingerprint
	// Age is how long ago the member was last heard of when the entry was made.
	Age time.Duration
}

// Roster is an immutable snapshot of the members that a node of a zone knows.
type Roster struct {
	zone    string
	entries []Entry
	// indexByFingerprint holds indexes into entries.
	indexByFingerprint map[citronpeer.Fingerprint]int
}

// New returns a roster of entries. It takes ownership of entries.
func New(zone string, entries []Entry) Roster {
	r := Roster{zone: zone, entries: entries, indexByFingerprint: make(map[citronpeer.Fingerprint]int, len(entries))}
	for i, e := range entries {
		r.indexByFingerprint[e.Fingerprint] = i
	}
	return r
}

// Digest returns the fingerprints and heartbeat counters of all members.
func (r Roster) Digest() citronpeer.Digest {
	d := citronpeer.Digest{Fingerprints: make([]citronpeer.Fingerprint, len(r.entries)), Heartbeats: make([]int64, len(r.entries))}
	for i, e := range r.entries {
		d.Fingerprints[i], d.Heartbeats[i] = e.Fingerprint, e.Heartbeat
	}
	return d
}

// Diff returns what the sender of digest d is missing. sameZone reports whether
// the sender is in the roster's zone.
func (r Roster) Diff(d citronpeer.Digest, sameZone bool) citronpeer.Diff {
	theirs := make(map[citronpeer.Fingerprint]int64, len(d.Fingerprints))
	for i, p := range d.Fingerprints {
		theirs[p] = d.Heartbeat(i)
	}
	var out citronpeer.Diff
	for _, e := range r.entries {
		heartbeat, known := theirs[e.Fingerprint]
		switch {
		case !known:
			out = e.appendTo(out)
		case sameZone && e.Zone == r.zone && e.Heartbeat >= heartbeat+minHeartbeatLead:
			out.Gauges = append(out.Gauges, e.gauge())
		}
	}
	return out
}

// Missing returns the items of digest d that this roster is missing. sameZone
// reports whether the sender of d is in the roster's zone.
func (r Roster) Missing(d citronpeer.Digest, sameZone bool) citronpeer.MissingItems {
	var out citronpeer.MissingItems
	for i, p := range d.Fingerprints {
		index, known := r.indexByFingerprint[p]
		switch {
		case !known:
			out.Members = append(out.Members, p)
		case sameZone && r.entries[index].Zone == r.zone && d.Heartbeat(i) >= r.entries[index].Heartbeat+minHeartbeatLead:
			out.Gauges = append(out.Gauges, p)
		}
	}
	return out
}

// Requested returns the items that another node requests. It leaves out items that
// are no longer in the roster.
func (r Roster) Requested(w citronpeer.MissingItems) citronpeer.Diff {
	var out citronpeer.Diff
	for _, p := range w.Members {
		if index, ok := r.indexByFingerprint[p]; ok {
			out = r.entries[index].appendTo(out)
		}
	}
	for _, p := range w.Gauges {
		if index, ok := r.indexByFingerprint[p]; ok {
			out.Gauges = append(out.Gauges, r.entries[index].gauge())
		}
	}
	return out
}

// appendTo appends the full member and its age to a diff.
func (e Entry) appendTo(d citronpeer.Diff) citronpeer.Diff {
	d.Members = append(d.Members, e.Member)
	d.AgesMS = append(d.AgesMS, e.Age.Milliseconds())
	return d
}

func (e Entry) gauge() citronpeer.GaugeUpdate {
	return citronpeer.GaugeUpdate{Fingerprint: e.Fingerprint, Gauges: e.Gauges}
}
