package citronlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"github.com/matryer/is"
)

// newList returns an empty list.
func newList(clock citronclock.Clock, drain time.Duration) *List {
	return New(Settings{
		Prefix: "engines/", DrainWithin: drain, Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Ended: func(citronmodel.Engine) {},
		Decode: func(_ string, text []byte) (citronmodel.Engine, error) {
			var e citronmodel.Engine
			return e, json.Unmarshal(text, &e)
		},
	})
}

// listOf returns a list with so many engines.
func listWithEngines(t *testing.T, clock citronclock.Clock, n int, drain time.Duration) *List {
	t.Helper()
	l := newList(clock, drain)
	items := make([]citronkv.Item, n)
	for i := range items {
		text, err := json.Marshal(citronmodel.Engine{ID: fmt.Sprint(i), Addr: fmt.Sprintf("a%d:1", i)})
		if err != nil {
			t.Fatal(err)
		}
		items[i] = citronkv.Item{Key: key(i), Value: text, Revision: citronkv.RevisionOf(0, int64(i+1))}
	}
	is.New(t).True(l.TakeWhole(t.Context(), items, citronkv.RevisionOf(0, int64(n)), true))
	return l
}

func key(i int) string { return fmt.Sprintf("engines/%d", i) }

// remove takes the first n entries.
func (l *List) removeEntries(ctx context.Context, n int) bool {
	items := make([]citronkv.Item, n)
	for i := range items {
		items[i] = citronkv.Item{Key: key(i), Revision: citronkv.RevisionOf(0, l.Revision().Number()+int64(i)+1), Deleted: true}
	}
	return l.TakeChanges(ctx, items, l.Revision(), citronkv.RevisionOf(0, l.Revision().Number()+int64(n)), true)
}

func (l *List) countInUse() int {
	n := 0
	for _, e := range l.Engines(nil) {
		if !e.Leaving {
			n++
		}
	}
	return n
}

// Engines whose entries go stay in use only as long as that is right: not at all
// if one goes alone, three fifths of the promised time if many go without a
// proof of an outage, and while the store is known to have been away, but not
// longer than entries take to come back.
func TestMissingEnginesAreRetainedForLimitedTime(t *testing.T) {
	const always = time.Hour
	cases := []struct {
		name  string
		drain time.Duration
		// away is how long after they went the store counts as away.
		away time.Duration
		gone int
		// until is how long they stay in use.
		until time.Duration
	}{
		{"one goes", 0, 0, 1, 0},
		{"many go", 0, 0, 6, 1200 * time.Millisecond},
		{"many go where engines that leave serve on for longer", 3 * time.Second, 0, 6, 1800 * time.Millisecond},
		{"one goes in an outage", 0, always, 1, citronhealth.LapseGrace},
		{"all go in an outage", 0, always, 12, citronhealth.LapseGrace},
		{"one goes, and another node was served", 0, 300 * time.Millisecond, 1, 300 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := citronclock.NewManual(time.Unix(1000, 0))
			l := listWithEngines(t, clock, 12, c.drain)
			l.Tick(t.Context(), c.away > 0)
			is.True(l.removeEntries(t.Context(), c.gone))
			const step = 50 * time.Millisecond
			for since := time.Duration(0); since < 3*time.Second; since += step {
				want := 12 - c.gone
				if since < c.until || since == c.until && c.until == citronhealth.LapseGrace {
					want = 12
				}
				if got := l.countInUse(); got != want {
					t.Fatalf("%v after they went, %d engines are in use", since, got)
				}
				is.Equal(l.Kept(), want-12+c.gone)
				clock.Advance(step)
				l.Tick(t.Context(), since+step < c.away)
			}
			is.Equal(l.Len(), 12-c.gone)
		})
	}
}
