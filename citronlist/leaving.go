package citronlist

// This file tracks the engines that said in their responses that they are leaving. Their
// entries may say so later, or never, for example while the store is down or after it was
// restored from an older copy. A statement holds for one incarnation and as long as it may
// live: another entry, or a response without the statement, proves nothing, as it may be
// older.

import (
	"context"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
)

const (
	// leavingRetention is how long a statement is remembered after its engine was last
	// listed. An engine that leaves ends long before that.
	leavingRetention = time.Hour
	// maxLeaving is the maximum number of statements that are remembered.
	maxLeaving = 8192
	// announceDelay is how long an entry may take to say that its engine is leaving before
	// the statement is sent to other nodes. The list usually reaches them within it.
	announceDelay = 300 * time.Millisecond
	// maxAnnounced is the maximum number of statements that a node announces.
	maxAnnounced = 256
)

// leavingStatement is an engine's statement that it is leaving.
type leavingStatement struct {
	// at is when this node learned of it. own is true if a response told this node, rather
	// than another node.
	at  time.Time
	own bool
	// lastListed is when the engine was last in the list.
	lastListed time.Time
}

// RecordLeaving records that the engine with the given ID said that it is leaving. own is
// true if a response told this node, and false if another node did. RecordLeaving reports
// whether this is new.
func (l *List) RecordLeaving(ctx context.Context, id string, own bool) bool {
	if _, known := l.leaving[id]; known || len(l.leaving) >= maxLeaving {
		return false
	}
	now := l.set.Clock.Now()
	l.leaving[id] = leavingStatement{at: now, own: own, lastListed: now}
	for key, e := range l.entries {
		if e.engine.ID == id {
			l.setEntry(key, e)
			l.version++
			citronevent.Log(ctx, l.set.Log, citronevent.EnginesChanged, "engine", id, "peer", e.engine.Addr, "leaving", true)
		}
	}
	return true
}

// AnnouncedLeaving returns the IDs of the engines that other nodes are to be told are
// leaving: those that told this node, and whose entries do not say so.
func (l *List) AnnouncedLeaving() []string {
	now := l.set.Clock.Now()
	var ids []string
	for id, s := range l.leaving {
		if s.own && now.Sub(s.at) >= announceDelay && l.listedInService(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(maxAnnounced, len(ids))]
}

// listedInService reports whether the list has an entry for the engine that does not say
// that it is leaving.
func (l *List) listedInService(id string) bool {
	at, ok := findEngine(l.index.engines, id)
	if !ok {
		return false
	}
	e, ok := l.entries[l.set.Prefix+l.index.engines[at].Instance]
	return ok && e.engine.ID == id && !e.leaving()
}

// forgetLeaving drops the statements of engines that have not been listed for
// leavingRetention.
func (l *List) forgetLeaving(now time.Time) {
	for id, s := range l.leaving {
		if _, listed := findEngine(l.index.engines, id); listed {
			s.lastListed = now
			l.leaving[id] = s
		} else if now.Sub(s.lastListed) > leavingRetention {
			delete(l.leaving, id)
		}
	}
}
