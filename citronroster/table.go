package citronroster

import (
	"iter"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
)

const (
	// probeAfter is the time since a member was last heard of after which this
	// node probes it. Updates about a member are second-hand reports and old when
	// they arrive: with a longer limit, callers were sent to nodes that had
	// stopped long before.
	probeAfter = 1500 * time.Millisecond
	// remoteProbeAfter is the same for a member of another zone. Callers of this
	// zone are hardly ever sent there, and second-hand reports from there are
	// older.
	remoteProbeAfter = 3 * time.Second
	// FreshFor is how long callers may be sent to a member after it was last
	// heard of.
	FreshFor = probeAfter + probeTimeout
	// probeTimeout is the time that a probed member has to answer: it is considered
	// lost when it has not been heard of for probeAfter (or remoteProbeAfter) plus
	// probeTimeout.
	probeTimeout = 500 * time.Millisecond
	// unprobedTimeout takes the place of probeTimeout for a member that was not
	// probed: a node that is cut off from a whole zone has more members to probe
	// than it can probe in time.
	unprobedTimeout = 700 * time.Millisecond
	// maxReportAge is the upper limit of the age that heardAt estimates for a
	// heartbeat in a second-hand report. The heartbeats of a healthy member that
	// is short of processor time are further apart than MinHeartbeatInterval, so
	// that the estimate would be too high.
	maxReportAge = probeAfter / 2
	// maxHeartbeatLead is how far a heartbeat counter may be ahead of the last
	// known one. A counter further ahead cannot be the member's own, and would
	// hide the member's later gauges.
	maxHeartbeatLead = 1000
	// forgetAfter is the time since a member was last heard of after which it is
	// removed from the table.
	forgetAfter = 20 * time.Second
	// maxProbesPerAging is the number of members probed in one call of Age.
	maxProbesPerAging = 8
	// stallThreshold is the time between two calls of Age above which this node
	// counts as stalled. A stalled node hears of no member, whether or not the
	// members are healthy.
	stallThreshold = 500 * time.Millisecond
)

// TrackedMember is a member in a table, and when it was last heard of.
type TrackedMember struct {
	Entry
	LastHeard time.Time
	// latestHeartbeat is the latest known heartbeat counter. For a member of this
	// zone, Heartbeat may be lower: it belongs to the gauges (see RecordDigest).
	latestHeartbeat int64
	// Alive reports that the member is not lost. Stale reports that it has not
	// been heard of for longer than FreshFor, so that its last known state may
	// be out of date. A member can be both.
	Alive, Stale bool
	// probed reports whether it was probed since it was last heard of.
	probed bool
}

// Table is what one node knows about the other nodes over time. It is not safe
// for concurrent use.
//
// A member is considered lost only if it does not answer a probe, or if it has
// not been heard of for even longer (unprobedTimeout) because there were too
// many members to probe. In a large fleet, updates about a healthy member are
// late now and then. If a late update were enough to consider the member lost,
// it would be missing from what callers are told and from the totals used to
// allocate retries and to choose paths.
type Table struct {
	// self is the name of the node that owns the table, and zone is its zone.
	self, zone    string
	members       map[string]*TrackedMember
	byFingerprint map[citronpeer.Fingerprint]*TrackedMember
	// agedAt is when Age was last called.
	agedAt time.Time
	// ended holds the processes of this zone's members that have ended lately.
	ended []endedProcess
}

// NewTable returns the empty table of the node self in zone.
func NewTable(self, zone string) *Table {
	return &Table{self: self, zone: zone, members: map[string]*TrackedMember{}, byFingerprint: map[citronpeer.Fingerprint]*TrackedMember{}}
}

// RecordMember records a full member, received from a node that last heard of it
// at the time heard. It reports whether the state was new, and whether the member
// thereby joined, came back, or changed its Ready, Leaving or Partitioned state.
//
// A member that is new to this node, or was lost, counts as last heard of at the
// time heard, not now. Otherwise nodes that start one after the other would keep
// a dead member alive for each other. So does a state that is older than the latest
// known heartbeat: it shows nothing about the member's life since then.
func (t *Table) RecordMember(m citronpeer.Member, heard, now time.Time) (isNew, changed bool) {
	if m.Name == "" || m.Name == t.self {
		return false, false
	}
	old, ok := t.members[m.Name]
	// A process that restarted after its clock was set back looks older than
	// the previous process, which is known to be gone by now.
	restarted := ok && !old.Alive && m.Started != old.Started
	if ok && !restarted && !m.Newer(old.Member) {
		return false, false
	}
	if ok {
		delete(t.byFingerprint, old.Fingerprint)
		if m.Started != old.Started {
			t.recordEnded(old)
		}
	}
	latest := m.Heartbeat
	switch {
	case ok && old.Alive && m.Started == old.Started && m.Heartbeat <= old.latestHeartbeat:
		heard, latest = old.LastHeard, old.latestHeartbeat
	case ok && old.Alive:
		heard = now // The member has lived on, or restarted, since the state that this node knew.
	}
	k := &TrackedMember{Entry: Entry{Member: m, Fingerprint: Fingerprint(m)}, latestHeartbeat: latest, LastHeard: heard, Alive: true}
	t.members[m.Name] = k
	t.byFingerprint[k.Fingerprint] = k
	return true, !ok || !old.Alive || old.Leaving != m.Leaving || old.Ready != m.Ready || old.Partitioned != m.Partitioned
}

// RecordGauges records new gauges of a member whose details are known. It returns
// the member, and whether the member thereby came back. It returns nil if the
// member is unknown, or if the gauges are not new or their heartbeat counter is
// too far ahead (maxHeartbeatLead).
func (t *Table) RecordGauges(g citronpeer.GaugeUpdate, now time.Time) (member *TrackedMember, back bool) {
	k := t.byFingerprint[g.Fingerprint]
	if k == nil || g.Heartbeat <= k.Heartbeat || g.Heartbeat > k.latestHeartbeat+maxHeartbeatLead {
		return nil, false
	}
	k.Gauges = g.Gauges
	return k, t.noteHeartbeat(k, g.Heartbeat, now)
}

// RecordDigest records from another node's digest which members are alive, and
// returns the members that thereby came back. Heartbeat of a member of this zone
// stays unchanged: it belongs to the gauges, which a digest does not carry.
func (t *Table) RecordDigest(d citronpeer.Digest, now time.Time) (back []*TrackedMember) {
	for i, p := range d.Fingerprints {
		k := t.byFingerprint[p]
		heartbeat := d.Heartbeat(i)
		if k == nil || heartbeat > k.latestHeartbeat+maxHeartbeatLead {
			continue
		}
		if k.Zone != t.zone {
			k.Heartbeat = max(k.Heartbeat, heartbeat)
		}
		if t.noteHeartbeat(k, heartbeat, now) {
			back = append(back, k)
		}
	}
	return back
}

// heardAt estimates the earliest time at which the member reached a heartbeat
// counter, from the last known counter and the minimum heartbeat interval. If
// now were used instead, heartbeats of a dead member that travel from node to
// node would keep it alive for another second.
func (k *TrackedMember) heardAt(heartbeat int64, now time.Time) time.Time {
	at := k.LastHeard.Add(time.Duration(heartbeat-k.latestHeartbeat) * citronpeer.MinHeartbeatInterval)
	if oldest := now.Add(-maxReportAge); at.Before(oldest) {
		return oldest
	}
	if at.After(now) {
		return now
	}
	return at
}

// noteHeartbeat records that a member reached a heartbeat counter, and reports
// whether the member was lost before.
func (t *Table) noteHeartbeat(k *TrackedMember, heartbeat int64, now time.Time) bool {
	if heartbeat <= k.latestHeartbeat {
		return false
	}
	wasLost := !k.Alive
	k.LastHeard = k.heardAt(heartbeat, now)
	k.latestHeartbeat, k.Alive, k.Stale, k.probed = heartbeat, true, false, false
	return wasLost
}

// Age returns the members to probe and the members that have just become lost.
// It removes members that have not been heard of for longer than forgetAfter.
func (t *Table) Age(now time.Time) (probe, lost []*TrackedMember) {
	sinceLast := now.Sub(t.agedAt)
	if !t.agedAt.IsZero() && sinceLast > stallThreshold {
		t.discountStall(sinceLast)
	}
	t.agedAt = now
	for name, k := range t.members {
		age, limit := now.Sub(k.LastHeard), t.probeAfter(k)
		k.Stale = k.Stale || age > FreshFor
		switch {
		case age > forgetAfter:
			delete(t.members, name)
			delete(t.byFingerprint, k.Fingerprint)
		case k.Alive && (k.probed && age > limit+probeTimeout || age > limit+unprobedTimeout):
			k.Alive = false
			lost = append(lost, k)
		case k.Alive && age > limit && !k.probed && len(probe) < maxProbesPerAging:
			k.probed = true
			probe = append(probe, k)
		}
	}
	return probe, lost
}

// probeAfter returns how long after a member was last heard of it is probed.
func (t *Table) probeAfter(k *TrackedMember) time.Duration {
	if k.Zone == t.zone {
		return probeAfter
	}
	return remoteProbeAfter
}

// discountStall excludes a time in which this node stalled from the ages of the
// members that are not lost.
func (t *Table) discountStall(d time.Duration) {
	for _, k := range t.members {
		if k.Alive {
			k.LastHeard = k.LastHeard.Add(d)
		}
	}
}

// All iterates over the known members, including lost ones, in no particular
// order.
func (t *Table) All() iter.Seq[*TrackedMember] {
	return func(yield func(*TrackedMember) bool) {
		for _, k := range t.members {
			if !yield(k) {
				return
			}
		}
	}
}

// Alive returns the members that are not lost, in no particular order.
func (t *Table) Alive(now time.Time) []Entry {
	out := make([]Entry, 0, len(t.members)+1)
	for _, k := range t.members {
		if k.Alive {
			e := k.Entry
			e.Age = max(0, now.Sub(k.LastHeard))
			out = append(out, e)
		}
	}
	return out
}
