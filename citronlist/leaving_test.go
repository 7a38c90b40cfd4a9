package citronlist

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"github.com/matryer/is"
)

// startedAt gives an engine a start time, and the ID and instance name that go with it.
func startedAt(startMS int64) func(*citronmodel.Engine) {
	return func(e *citronmodel.Engine) {
		if e.Instance == "" {
			e.Instance = e.ID
		}
		e.StartMS, e.ID = startMS, citronmodel.IncarnationID(e.Instance, startMS)
	}
}

// Guards against new work for an engine that said that it is leaving, because a later
// entry, the return of a removed entry or a restored store says that it is in service.
func TestStatementToLeaveOutlivesEntries(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 10, 2*time.Second)
	ctx := t.Context()
	is.True(l.usedIDs()["3"])
	is.True(l.RecordLeaving(ctx, "3", true))
	is.True(!l.RecordLeaving(ctx, "3", false)) // known already
	is.True(!l.usedIDs()["3"])
	l.ApplyChanges(ctx, []citronkv.Item{entryItem(3, 100, nil)}, citronkv.Revision{}, citronkv.RevisionOf(0, 100), true)
	is.True(!l.usedIDs()["3"]) // a later entry
	l.ApplyChanges(ctx, []citronkv.Item{{Key: key(3), Revision: citronkv.RevisionOf(0, 101), Deleted: true}}, citronkv.Revision{}, citronkv.RevisionOf(0, 101), true)
	clock.Advance(5 * time.Second)
	l.Tick(ctx, false)
	is.Equal(l.Len(), 9)
	l.ApplyChanges(ctx, []citronkv.Item{entryItem(3, 102, nil)}, citronkv.Revision{}, citronkv.RevisionOf(0, 102), true)
	is.True(!l.usedIDs()["3"]) // its entry was gone and came back
	l.ApplyFull(ctx, inEra(1, entryItem(2, 1, nil), entryItem(3, 2, nil)), citronkv.RevisionOf(1, 4), true)
	is.True(!l.usedIDs()["3"] && l.usedIDs()["2"]) // the store returned from an older copy
}

// Guards against a new incarnation that gets no work because the one before it said that
// it is leaving, and against a statement that overtakes the entry of its engine and is lost.
func TestStatementToLeaveConcernsOneIncarnation(t *testing.T) {
	is := is.New(t)
	l := listWithEngines(t, citronclock.NewManual(time.Unix(0, 0)), 4, 2*time.Second)
	ctx := t.Context()
	l.RecordLeaving(ctx, "8@500", false)
	for i, startMS := range []int64{500, 900} {
		revision := citronkv.RevisionOf(0, int64(50+i))
		l.ApplyChanges(ctx, []citronkv.Item{entryItem(8, int64(50+i), startedAt(startMS))}, citronkv.Revision{}, revision, true)
		is.Equal(l.usedIDs()[fmt.Sprintf("8@%d", startMS)], startMS == 900)
	}
}

// Guards against announcing to all nodes what the list tells them anyway, and what another
// node announces.
func TestOnlyUnlistedStatementsAreAnnounced(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(0, 0))
	l := listWithEngines(t, clock, 4, 2*time.Second)
	ctx := t.Context()
	put := func(i int, count int64, change func(*citronmodel.Engine)) {
		l.ApplyChanges(ctx, []citronkv.Item{entryItem(i, count, change)}, citronkv.Revision{}, citronkv.RevisionOf(0, count), true)
		l.Engines(nil)
	}
	for i := range 3 {
		put(i, int64(50+i), startedAt(500))
	}
	l.RecordLeaving(ctx, "0@500", true)
	l.RecordLeaving(ctx, "1@500", true)
	l.RecordLeaving(ctx, "2@500", false)
	l.RecordLeaving(ctx, "7@500", true) // not listed
	is.Equal(len(l.AnnouncedLeaving()), 0)
	put(1, 60, func(e *citronmodel.Engine) { startedAt(500)(e); e.Leaving = true })
	clock.Advance(announceDelay)
	is.Equal(l.AnnouncedLeaving(), []string{"0@500"})
	clock.Advance(leavingRetention + time.Second)
	l.Tick(ctx, false)
	is.Equal(len(l.leaving), 3) // the statements of listed engines stay
}
