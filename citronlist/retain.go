package citronlist

// This file decides which engines stay in use although their entries are missing from
// the store. A missing entry means that the engine is leaving, unless an outage of the
// store kept the engine from renewing its entry (see package citronhealth).

import (
	"context"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronhealth"
)

const (
	// massRemovalMin and massRemovalDivisor define a mass removal: if at least
	// massRemovalMin entries and at least 1/massRemovalDivisor of the list, rounded down,
	// disappear within ExpiryGrace, that is too many for a coincidence.
	massRemovalMin     = 4
	massRemovalDivisor = 6
	// defaultDrain applies if the settings give no DrainWithin.
	defaultDrain = 2 * time.Second
	// unprovenRetainShare is the fraction of DrainWithin for which engines stay in use
	// after a mass removal without proof of an outage, but at most for ExpiryGrace. Half
	// of a fleet may really leave at once; the rest of DrainWithin is for the update to
	// reach all nodes and for requests in flight.
	unprovenRetainShare = 0.6
)

// retainReason says why engines whose entries are missing stay in use. The value is
// logged.
type retainReason string

const (
	retainNone        retainReason = ""
	retainOutage      retainReason = "the store was away"
	retainMassRemoval retainReason = "many entries went at once"
	retainRestore     retainReason = "the store returned from an older copy"
)

// Tick performs the work that is due at the current time: it deletes engines whose
// entries have been missing for longer than ExpiryGrace and reviews the others. outage
// reports whether the store is unreachable for all nodes, or was within the last
// ExpiryGrace.
func (l *List) Tick(ctx context.Context, outage bool) {
	l.outage = outage
	now := l.set.Clock.Now()
	l.forgetSuperseded(now)
	l.forgetLeaving(now)
	for key := range l.index.missing {
		if e := l.entries[key]; now.Sub(e.missingSince) > citronhealth.ExpiryGrace {
			l.deleteEntry(key)
			if l.byAddr[e.engine.Addr] == key {
				delete(l.byAddr, e.engine.Addr)
			}
			l.invalidate()
			citronevent.Log(ctx, l.set.Log, citronevent.EnginesChanged, "engine", e.engine.ID, "peer", e.engine.Addr, "gone", true, "lapsed", now.Sub(e.missingSince))
		}
	}
	l.reviewMissing(ctx)
}

// currentRetainReason returns why engines whose entries are missing stay in use, or
// retainNone if they do not.
func (l *List) currentRetainReason(now time.Time) retainReason {
	l.removalTimes = slices.DeleteFunc(l.removalTimes, func(t time.Time) bool { return now.Sub(t) > citronhealth.ExpiryGrace })
	switch {
	case l.outage:
		return retainOutage
	case !l.restoredAt.IsZero() && now.Sub(l.restoredAt) < citronhealth.ExpiryGrace:
		return retainRestore
	case len(l.removalTimes) >= max(massRemovalMin, len(l.entries)/massRemovalDivisor):
		return retainMassRemoval
	}
	return retainNone
}

// shouldRetain reports whether an engine whose entry is missing stays in use.
func (l *List) shouldRetain(e entry, now time.Time) bool {
	switch l.reason {
	case retainOutage:
		return true
	case retainRestore:
		return e.missingInRestore
	case retainMassRemoval:
		return now.Sub(e.missingSince) < time.Duration(unprovenRetainShare*float64(l.set.DrainWithin))
	}
	return false
}

// reviewMissing decides again which engines stay in use although their entries are
// missing. If that changes, it logs how many changed, the first of them and the reason,
// because an engine that is retained by mistake is sent work that it no longer accepts.
func (l *List) reviewMissing(ctx context.Context) {
	now := l.set.Clock.Now()
	l.reason = l.currentRetainReason(now)
	changedIDs := []string{}
	l.retained = 0
	for key := range l.index.missing {
		e := l.entries[key]
		if e.overwritten {
			continue
		}
		if retain := l.shouldRetain(e, now); retain != e.retained {
			e.retained = retain
			l.setEntry(key, e)
			l.invalidate()
			changedIDs = append(changedIDs, e.engine.ID)
		}
		if e.retained {
			l.retained++
		}
	}
	if len(changedIDs) > 0 {
		citronevent.Log(ctx, l.set.Log, citronevent.EntriesRetained, "kept", l.retained, "changed", len(changedIDs), "engines", firstIDs(changedIDs), "reason", string(l.reason), "vanished", len(l.removalTimes))
	}
}
