package citronlist

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citrontable"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against results that miss a change because they are patched instead of rebuilt.
// After any sequence of changes, the engines returned must equal those rebuilt from
// scratch, the index must name the entries that are missing or whose engine restarted,
// and other nodes must be sent exactly the entries that are present. If nothing has
// changed, Engines must return the same slice again.
func TestPatchedEnginesEqualRebuiltEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := citronclock.NewManual(time.Unix(1000, 0))
		services := []map[string]citrontable.Service{nil, {"a": {}}, {"a": {}, "b": {}}}
		l := New(Settings{
			Prefix: "e/", Clock: clock, Log: slog.New(slog.DiscardHandler), OnEnded: func(citronmodel.Engine) {},
			Decode: func(key string, text []byte) (citronmodel.Engine, error) {
				if text[0] == '!' {
					return citronmodel.Engine{}, errors.New("entry of another writer")
				}
				id, v := key[2:], int(text[1]-'0')
				return citronmodel.Engine{ID: fmt.Sprintf("%s@%d", id, v/4), Instance: id, StartMS: int64(v / 4), Service: string(text[0]), Addr: fmt.Sprint(v % 3), Slots: v}, nil
			},
		})
		ctx := context.Background()
		revision, used := int64(0), services[0]
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("e/i%02d", rapid.IntRange(0, 30).Draw(t, "i")) })
		value := rapid.SampledFrom([]string{"a0", "a1", "a4", "b2", "b5", "c1", "!"})
		var prev []citronmodel.Engine
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			base := l.Revision()
			revision++
			next := citronkv.RevisionOf(0, revision)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				var items []citronkv.Item
				for i := range rapid.IntRange(0, 30).Draw(t, "n") {
					items = append(items, citronkv.Item{Key: fmt.Sprintf("e/i%02d", i), Value: []byte(value.Draw(t, "v")), Revision: next})
				}
				l.ApplyFull(ctx, items, next, true)
			case 1:
				l.ApplyChanges(ctx, []citronkv.Item{{Key: key.Draw(t, "k"), Deleted: true, Revision: next}}, base, next, true)
			case 2:
				l.RecordRestart(ctx, key.Draw(t, "k")[2:], 9)
			case 3:
				clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				l.Tick(ctx, rapid.Bool().Draw(t, "away"))
			case 4:
				used = rapid.SampledFrom(services).Draw(t, "services")
			default:
				l.ApplyChanges(ctx, []citronkv.Item{{Key: key.Draw(t, "k"), Value: []byte(value.Draw(t, "v")), Revision: next}}, base, next, true)
			}
			got := l.Engines(used)
			fresh := *l
			fresh.index = newIndex()
			want := fresh.Engines(used)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("patched:\n%v\nrebuilt:\n%v", got, want)
			}
			for key, e := range l.entries {
				if l.index.missing[key] == e.missingSince.IsZero() || l.index.restarted[key] != (e.engine.StartMS > e.listedStartMS) {
					t.Fatalf("entry %s is wrongly indexed: missing %t, restarted %t", key, l.index.missing[key], l.index.restarted[key])
				}
			}
			if got, want := sharedItemsOf(l), presentItemsOf(l); got != want {
				t.Fatalf("sent to other nodes:\n%s\npresent in the list:\n%s", got, want)
			}
			prev = got
		}
		if again := l.Engines(used); len(again) > 0 && &again[0] != &prev[0] {
			t.Fatal("Engines returned a new slice although nothing has changed")
		}
	})
}

// sharedItemsOf formats the entries that are sent to other nodes.
func sharedItemsOf(l *List) string {
	var out []string
	for _, it := range l.Snapshot().items {
		out = append(out, fmt.Sprint(it))
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// presentItemsOf formats the entries that are present in the list.
func presentItemsOf(l *List) string {
	var out []string
	for _, e := range l.entries {
		if e.missingSince.IsZero() {
			out = append(out, fmt.Sprint(e.item))
		}
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// Guards against patching that modifies a slice which callers of Engines still use.
func TestPatchLeavesReturnedSliceUnchanged(t *testing.T) {
	is := is.New(t)
	l := New(Settings{
		Prefix: "e/", Clock: citronclock.Real{}, Log: slog.New(slog.DiscardHandler), OnEnded: func(citronmodel.Engine) {},
		Decode: func(key string, text []byte) (citronmodel.Engine, error) {
			return citronmodel.Engine{ID: key, Addr: key, Slots: len(text)}, nil
		},
	})
	var items []citronkv.Item
	for i := range 20 {
		items = append(items, citronkv.Item{Key: fmt.Sprintf("e/%02d", i), Value: []byte("x"), Revision: citronkv.RevisionOf(0, 1)})
	}
	ctx := context.Background()
	l.ApplyFull(ctx, items, citronkv.RevisionOf(0, 1), true)
	before := l.Engines(nil)
	two := citronkv.RevisionOf(0, 2)
	l.ApplyChanges(ctx, []citronkv.Item{{Key: "e/07", Value: []byte("xyz"), Revision: two}}, citronkv.RevisionOf(0, 1), two, true)
	is.Equal(l.Engines(nil)[7].Slots, 3)
	is.Equal(before[7].Slots, 1)
}
