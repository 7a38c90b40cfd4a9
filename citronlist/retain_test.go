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

// newList returns an empty list of JSON entries.
func newList(clock citronclock.Clock, drain time.Duration) *List {
	return New(Settings{
		Prefix: "engines/", DrainWithin: drain, Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnEnded: func(citronmodel.Engine) {},
		Decode: func(_ string, text []byte) (citronmodel.Engine, error) {
			var e citronmodel.Engine
			return e, json.Unmarshal(text, &e)
		},
	})
}

// listWithEngines returns a list of n engines.
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
	is.New(t).True(l.ApplyFull(t.Context(), items, citronkv.RevisionOf(0, int64(n)), true))
	return l
}

// key returns the key of the entry of engine i.
func key(i int) string { return fmt.Sprintf("engines/%d", i) }

// removeEntries applies the removal of the first n entries.
func (l *List) removeEntries(ctx context.Context, n int) bool {
	items := make([]citronkv.Item, n)
	for i := range items {
		items[i] = citronkv.Item{Key: key(i), Revision: citronkv.RevisionOf(0, l.Revision().Count()+int64(i)+1), Deleted: true}
	}
	return l.ApplyChanges(ctx, items, l.Revision(), citronkv.RevisionOf(0, l.Revision().Count()+int64(n)), true)
}

// countInUse returns the number of engines that get new work.
func (l *List) countInUse() int {
	n := 0
	for _, e := range l.Engines(nil) {
		if !e.Leaving {
			n++
		}
	}
	return n
}

// Guards against sending work to engines that have left, and against dropping healthy ones
// whose entries expired in an outage of the store. An engine whose entry is missing stays
// in use
//   - not at all, if a single entry disappears;
//   - for three fifths of DrainWithin, if many disappear without proof of an outage;
//   - for as long as an outage lasts, but at most for ExpiryGrace, within which the
//     entries of live engines come back.
func TestMissingEnginesAreRetainedForLimitedTime(t *testing.T) {
	const always = time.Hour
	cases := []struct {
		name  string
		drain time.Duration
		// outage is how long the outage lasts after the entries disappeared.
		outage time.Duration
		gone   int
		// until is how long the engines stay in use.
		until time.Duration
	}{
		{"one is removed", 0, 0, 1, 0},
		{"many are removed", 0, 0, 6, 1200 * time.Millisecond},
		{"many are removed, with a longer drain time", 3 * time.Second, 0, 6, 1800 * time.Millisecond},
		{"one is removed in an outage", 0, always, 1, citronhealth.ExpiryGrace},
		{"all are removed in an outage", 0, always, 12, citronhealth.ExpiryGrace},
		{"one is removed, and the outage is disproved after 300 ms", 0, 300 * time.Millisecond, 1, 300 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := citronclock.NewManual(time.Unix(1000, 0))
			l := listWithEngines(t, clock, 12, c.drain)
			l.Tick(t.Context(), c.outage > 0)
			is.True(l.removeEntries(t.Context(), c.gone))
			const step = 50 * time.Millisecond
			for since := time.Duration(0); since < 3*time.Second; since += step {
				want := 12 - c.gone
				if since < c.until || since == c.until && c.until == citronhealth.ExpiryGrace {
					want = 12
				}
				if got := l.countInUse(); got != want {
					t.Fatalf("%v after the removal, %d engines are in use, want %d", since, got, want)
				}
				is.Equal(l.Retained(), want-12+c.gone)
				clock.Advance(step)
				l.Tick(t.Context(), since+step < c.outage)
			}
			is.Equal(l.Len(), 12-c.gone)
		})
	}
}
