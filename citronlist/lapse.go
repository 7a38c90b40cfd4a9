package citronlist

// Which engines stay in use although their entries are missing. An entry that
// goes means that its engine leaves, unless an outage of the store kept the
// engine from renewing it (citronhealth).

import (
	"context"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronhealth"
)

const (
	// lapseFewest and lapsePart say how many entries that go within
	// LapseGrace are too many for a coincidence.
	lapseFewest = 4
	lapsePart   = 6
	// usualDrain stands for settings without DrainWithin.
	usualDrain = 2 * time.Second
	// doubtShare is the part of DrainWithin for which engines whose entries
	// went at once stay in use without a proof of an outage. Half of a fleet
	// may indeed leave at once; the rest of the time is for the news to reach
	// all nodes, and for requests on their way.
	doubtShare = 0.6
)

// lapseCause says why engines whose entries are missing stay in use.
type lapseCause string

const (
	lapseNot    lapseCause = ""
	lapseOutage lapseCause = "the store was away"
	lapseMany   lapseCause = "many entries went at once"
	lapseCopy   lapseCause = "the store returned from an older copy"
)

// Tick does what is due by time. Away: the store was away for all nodes within
// the last seconds.
func (l *List) Tick(ctx context.Context, away bool) {
	l.away = away
	now := l.set.Clock.Now()
	l.forgetOvertaken(now)
	for key := range l.index.lapsed {
		if e := l.entries[key]; now.Sub(e.lapsed) > citronhealth.LapseGrace {
			l.discard(key)
			if l.byAddr[e.engine.Addr] == key {
				delete(l.byAddr, e.engine.Addr)
			}
			l.changed()
			citronevent.Log(ctx, l.set.Log, citronevent.EnginesChanged, "engine", e.engine.ID, "peer", e.engine.Addr, "gone", true, "lapsed", now.Sub(e.lapsed))
		}
	}
	l.reviewLapsed(ctx)
}

// whyKept returns why engines whose entries are missing stay in use, if they do.
func (l *List) whyKept(now time.Time) lapseCause {
	l.vanished = slices.DeleteFunc(l.vanished, func(t time.Time) bool { return now.Sub(t) > citronhealth.LapseGrace })
	switch {
	case l.away:
		return lapseOutage
	case !l.returned.IsZero() && now.Sub(l.returned) < citronhealth.LapseGrace:
		return lapseCopy
	case len(l.vanished) >= max(lapseFewest, len(l.entries)/lapsePart):
		return lapseMany
	}
	return lapseNot
}

// keeps reports whether an engine whose entry is missing stays in use.
func (l *List) keeps(e entry, now time.Time) bool {
	switch l.cause {
	case lapseOutage:
		return true
	case lapseCopy:
		return e.uncopied
	case lapseMany:
		return now.Sub(e.lapsed) < time.Duration(doubtShare*float64(l.set.DrainWithin))
	}
	return false
}

// reviewLapsed decides anew which engines stay in use although their entries are
// missing, and logs what changed and on what that rests: an engine that stays by
// mistake gets work that it no longer takes.
func (l *List) reviewLapsed(ctx context.Context) {
	now := l.set.Clock.Now()
	l.cause = l.whyKept(now)
	turned := []string{}
	l.kept = 0
	for key := range l.index.lapsed {
		e := l.entries[key]
		if e.spoiled {
			continue
		}
		if keep := l.keeps(e, now); keep != e.kept {
			e.kept = keep
			l.store(key, e)
			l.changed()
			turned = append(turned, e.engine.ID)
		}
		if e.kept {
			l.kept++
		}
	}
	if len(turned) > 0 {
		citronevent.Log(ctx, l.set.Log, citronevent.EntriesKept, "kept", l.kept, "changed", len(turned), "engines", names(turned), "reason", string(l.cause), "vanished", len(l.vanished))
	}
}
