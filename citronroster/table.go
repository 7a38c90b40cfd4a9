package citronroster

import (
	"iter"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
)

const (
	// suspectAfter is when a member that was not heard of is asked itself. News
	// of it is hearsay, and old when it comes: a later limit had callers sent to
	// nodes that were long gone.
	suspectAfter = 1500 * time.Millisecond
	// farSuspectAfter is the same for a member of another zone: callers of this one
	// are hardly ever sent there, and hearsay from there is older.
	farSuspectAfter = 3 * time.Second
	// FreshFor is how long after it was heard of callers may be sent to a member.
	FreshFor = suspectAfter + askTime
	// askTime is how long after that one that does not answer is lost.
	askTime = 500 * time.Millisecond
	// askLate is the same for one that nobody had time to ask: a node that is
	// cut from a whole zone has more to ask than it can.
	askLate = 700 * time.Millisecond
	// oldestHearsay bounds how old a beat is taken for that another node tells of: a
	// sound member that is short of processor time beats late.
	oldestHearsay = suspectAfter / 2
	// mostAhead is by how many beats a member may be ahead of what was told
	// of it: whatever is further ahead is not its beat, and would hide what
	// it does from then on.
	mostAhead = 1000
	// gapWeight is the weight of one piece of news in the usual time.
	gapWeight = 0.01
	// forgetAfter is when a lost member is no longer known at all.
	forgetAfter = 20 * time.Second
	// mostAsked is how many members are asked in one aging.
	mostAsked = 8
	// stoodStill is the time between two agings from which on this node has
	// not been running, and its silence about others tells nothing.
	stoodStill = 500 * time.Millisecond
)

// Known is a member, and when it was heard of.
type Known struct {
	Entry
	Heard time.Time
	// seen is the latest beat that was told of it. Within a zone its gauges
	// may be older.
	seen int64
	// Alive: it is not lost. Stale: it was not heard of lately all the same, and what
	// it told last may be over.
	Alive, Stale bool
	// asked: it was asked itself since it was heard of.
	asked bool
}

// Table is what one node knows of the others, as time goes on. It is not safe
// for use by several goroutines.
//
// A member is believed lost only if it does not answer when asked itself. In a
// large fleet the news of a sound member is late now and then; taken for lost,
// it is missing from what callers are told, and from the sums that repeats are
// dealt and paths are chosen by.
type Table struct {
	// self is the node whose table it is, by name, and zone its zone.
	self, zone string
	members    map[string]*Known
	byPrint    map[citronpeer.Print]*Known
	aged       time.Time
	// near is the usual time between two pieces of news of a member of this
	// zone.
	near gap
}

// gap is a running mean of times.
type gap time.Duration

// with returns g with one more time taken in.
func (g gap) with(d time.Duration) gap {
	return g + gap(gapWeight*float64(d-time.Duration(g)))
}

// NearGap is the usual time between two pieces of news of a member of this zone.
// What is known of such a member is twice as old at most, as a rule.
func (t *Table) NearGap() time.Duration { return time.Duration(t.near) }

// NewTable returns the empty table of the node of this name.
func NewTable(self, zone string) *Table {
	return &Table{self: self, zone: zone, members: map[string]*Known{}, byPrint: map[citronpeer.Print]*Known{}}
}

// Take takes what is told of a member as a whole by a node that heard of it at a
// moment. It reports whether that was news, and whether with it the member has
// come, is back, or serves callers otherwise than before.
//
// Were a member that is new here taken for heard of just now, nodes that start one
// after the other would keep a dead one for each other.
func (t *Table) Take(m citronpeer.Member, heard, now time.Time) (news, changed bool) {
	if m.Name == "" || m.Name == t.self {
		return false, false
	}
	old, ok := t.members[m.Name]
	// A process restarted after its clock was set back looks older than the
	// one before it, which is known to be gone by now.
	restarted := ok && !old.Alive && m.Started != old.Started
	if ok && !restarted && !m.Newer(old.Member) {
		return false, false
	}
	if ok {
		delete(t.byPrint, old.Print)
	}
	if ok && old.Alive {
		heard = now // it has gone on since it was heard of here
	}
	k := &Known{Entry: Entry{Member: m, Print: Of(m)}, seen: m.Beat, Heard: heard, Alive: true}
	t.members[m.Name] = k
	t.byPrint[k.Print] = k
	return true, !ok || !old.Alive || old.Leaving != m.Leaving || old.Ready != m.Ready
}

// TakeGauge takes news of a member that is known whole. It returns the member,
// and whether it is back with it; nil if that was no news.
func (t *Table) TakeGauge(g citronpeer.Gauge, now time.Time) (of *Known, back bool) {
	k := t.byPrint[g.Print]
	if k == nil || g.Beat <= k.Beat || g.Beat > k.seen+mostAhead {
		return nil, false
	}
	k.Gauges = g.Gauges
	return k, t.hear(k, g.Beat, now)
}

// TakeDigest takes from another node's digest that members live, and returns
// those that are back with it. The beat of a member of this zone stays that of
// its gauges, which do not come with a digest.
func (t *Table) TakeDigest(d citronpeer.Digest, now time.Time) (back []*Known) {
	for i, p := range d.Prints {
		k := t.byPrint[p]
		beat := d.Beat(i)
		if k == nil || beat > k.seen+mostAhead {
			continue
		}
		if k.Zone != t.zone {
			k.Beat = max(k.Beat, beat)
		}
		if t.hear(k, beat, now) {
			back = append(back, k)
		}
	}
	return back
}

// heardAt is when a member was at a beat, at the earliest: the later by its beats
// than the last one known. Taken for now, beats of a dead member that travel from node
// to node would keep it for another second.
func (k *Known) heardAt(beat int64, now time.Time) time.Time {
	at := k.Heard.Add(time.Duration(beat-k.seen) * citronpeer.BeatEvery)
	if oldest := now.Add(-oldestHearsay); at.Before(oldest) {
		return oldest
	}
	if at.After(now) {
		return now
	}
	return at
}

// hear notes that a member was at this beat, and reports whether it was lost
// before.
func (t *Table) hear(k *Known, beat int64, now time.Time) bool {
	if beat <= k.seen {
		return false
	}
	lost := !k.Alive
	if !lost && k.Zone == t.zone {
		t.near = t.near.with(now.Sub(k.Heard))
	}
	k.Heard = k.heardAt(beat, now)
	k.seen, k.Alive, k.Stale, k.asked = beat, true, false, false
	return lost
}

// Age returns which members to ask whether they live, and which are lost from
// now on, and forgets those that have been lost for long.
func (t *Table) Age(now time.Time) (ask, lost []*Known) {
	still := now.Sub(t.aged)
	if !t.aged.IsZero() && still > stoodStill {
		t.later(still)
	}
	t.aged = now
	for name, k := range t.members {
		age, suspect := now.Sub(k.Heard), t.suspectAfter(k)
		k.Stale = k.Stale || age > FreshFor
		switch {
		case age > forgetAfter:
			delete(t.members, name)
			delete(t.byPrint, k.Print)
		case k.Alive && (k.asked && age > suspect+askTime || age > suspect+askLate):
			k.Alive = false
			lost = append(lost, k)
		case k.Alive && age > suspect && !k.asked && len(ask) < mostAsked:
			k.asked = true
			ask = append(ask, k)
		}
	}
	return ask, lost
}

// suspectAfter is when a member is asked itself.
func (t *Table) suspectAfter(k *Known) time.Duration {
	if k.Zone == t.zone {
		return suspectAfter
	}
	return farSuspectAfter
}

// later counts a time in which this node did not run as no time.
func (t *Table) later(d time.Duration) {
	for _, k := range t.members {
		if k.Alive {
			k.Heard = k.Heard.Add(d)
		}
	}
}

// All are the members that are known, also those lost.
func (t *Table) All() iter.Seq[*Known] {
	return func(yield func(*Known) bool) {
		for _, k := range t.members {
			if !yield(k) {
				return
			}
		}
	}
}

// Alive are the members that are not lost, in no order.
func (t *Table) Alive(now time.Time) []Entry {
	out := make([]Entry, 0, len(t.members)+1)
	for _, k := range t.members {
		if k.Alive {
			e := k.Entry
			e.Age = max(0, now.Sub(k.Heard))
			out = append(out, e)
		}
	}
	return out
}
