package citronnode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citrontable"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// loopHarness is a control loop without its sources. A test passes it their messages one at
// a time.
type loopHarness struct {
	*control
	revision int64
}

func newLoopHarness(t testingT) *loopHarness {
	t.Helper()
	set := Settings{Name: "n1", Zone: "z"}
	src := Sources{EnginePrefix: "engines/", DecodeEngine: func(key string, text []byte) (citronmodel.Engine, error) {
		var e citronmodel.Engine
		err := json.Unmarshal(text, &e)
		if err == nil && e.Addr == "" {
			err = errors.Newf("%s names no address", key)
		}
		e.ID = citronmodel.IncarnationID(e.Instance, e.StartMS)
		return e, err
	}}
	n := New(set, src, citronclock.Real{}, slog.New(slog.NewTextHandler(io.Discard, nil)), citronbudget.New(citronbudget.Limits{Ratio: 0.2, Slack: 10, Window: time.Second}, time.Now()), &citronpool.ZoneLoads{}, nil)
	c := newControl(n)
	c.table = citrontable.New(1, nil, []citrontable.Service{{Name: "m"}}, nil, citrontable.Limits{})
	return &loopHarness{control: c, revision: 10}
}

// testingT is the part of testing.T and rapid.T that newLoopHarness uses.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

func listEntry(e citronmodel.Engine) []byte {
	text, _ := json.Marshal(e) // encoding plain values does not fail
	return text
}

// deliver passes entries to the loop as if the store had written them.
func (r *loopHarness) deliver(entries map[string][]byte) {
	var items []citronkv.Item
	for key, text := range entries {
		r.revision++
		items = append(items, citronkv.Item{Key: "engines/" + key, Value: text, Revision: citronkv.RevisionOf(0, r.revision)})
	}
	if r.list.Revision().IsZero() {
		r.handleMessage(context.Background(), listSnapshot{items: items, revision: citronkv.RevisionOf(0, r.revision)})
	} else {
		r.handleMessage(context.Background(), listDelta{items: items, base: r.list.Revision(), revision: citronkv.RevisionOf(0, r.revision)})
	}
	r.publish()
}

// inUse returns the engines that new work may go to, by address.
func (r *loopHarness) inUse() map[string]citronmodel.Engine {
	out := map[string]citronmodel.Engine{}
	for _, e := range r.n.snap.Load().engines {
		if !e.Leaving {
			out[e.Addr] = e
		}
	}
	return out
}

func modelEngine(instance, addr string, born int64, to int) citronmodel.Engine {
	return citronmodel.Engine{Instance: instance, StartMS: born, Service: "m", Addr: addr, Zone: "z", Kind: "fast", Layers: citronmodel.Span{To: to}, Slots: 4}
}

// Guards against a restarted engine that is taken for its predecessor. An engine
// crashes and restarts under the same ID, and its new entry names a later start. Streams
// that ran on it wait for a process that does not know them. The node must conclude from
// the later start that they have ended. It must not attribute to the new process the
// layers or the failures of the previous one, and must ignore a late entry of that one.
func TestListEntryOfRestartedEngine(t *testing.T) {
	is := is.New(t)
	r := newLoopHarness(t)
	r.deliver(map[string][]byte{"i-1": listEntry(modelEngine("i-1", "a:1", 100, 8))})
	before, _ := r.view.ByID("i-1@100")
	before.RecordFailure(time.Now())
	r.deliver(map[string][]byte{"i-1": listEntry(modelEngine("i-1", "a:1", 200, 0))})
	is.True(before.Ended())
	is.True(!before.DeadSince().IsZero())
	after := r.inUse()["a:1"]
	is.Equal(after.ID, "i-1@200")
	is.True(after.Layers.Empty())
	seen, _ := r.view.ByID("i-1@200")
	is.True(seen.Usable(time.Now()))
	// The last entry of the earlier start arrives late.
	r.deliver(map[string][]byte{"i-1": listEntry(modelEngine("i-1", "a:1", 100, 8))})
	is.Equal(r.inUse()["a:1"].ID, "i-1@200")
}

// Guards against a restarted engine that is taken for its predecessor by a node that is
// cut off from the store. The list still names the layers of the previous process, and
// every request through them is refused. The engine's own report names the later start.
// The node must act on the report, and other nodes on the node's message, without waiting
// for the list.
func TestReportOfRestartedEngine(t *testing.T) {
	is := is.New(t)
	r, other := newLoopHarness(t), newLoopHarness(t)
	old := map[string][]byte{"i-1": listEntry(modelEngine("i-1", "a:1", 100, 8)), "i-2": listEntry(modelEngine("i-2", "b:1", 100, 8))}
	r.deliver(old)
	other.deliver(old)
	before, _ := r.view.ByID("i-1@100")
	before.MarkRestarted(200, time.Now())
	r.tick(context.Background())
	r.publish()
	is.Equal(r.inUse()["a:1"], modelEngine("i-1", "a:1", 100, 8).Restarted(200))
	is.Equal(r.self.Starts, map[string]int64{"i-1": 200})
	told := r.self
	told.Name, told.Heartbeat = "n2", 7
	otherView, _ := other.view.ByID("i-1@100")
	other.handleMessage(context.Background(), memberUpdate{diff: citronpeer.Diff{Members: []citronpeer.Member{told}}})
	other.publish()
	is.True(other.inUse()["a:1"].Layers.Empty())
	is.True(otherView.Ended())
	is.Equal(other.inUse()["b:1"].Layers.Len(), 8) // the other engine keeps its layers
	// Once the list has the later start too, the node stops reporting it.
	r.deliver(map[string][]byte{"i-1": listEntry(modelEngine("i-1", "a:1", 200, 3))})
	r.tick(context.Background())
	is.Equal(len(r.self.Starts), 0)
	is.Equal(r.inUse()["a:1"].Layers.Len(), 3)
}

// Guards against requests and streams for an engine that has ended. It crashes, and
// another engine starts under another ID at the same address. The entry of the first one
// lasts for three more heartbeats, and the new engine refuses requests sent according to
// it. The address must belong to the engine with the later entry.
func TestAddressBelongsToLatestEntry(t *testing.T) {
	is := is.New(t)
	r := newLoopHarness(t)
	r.deliver(map[string][]byte{"i-1": listEntry(modelEngine("i-1", "a:1", 0, 8))})
	before, _ := r.view.ByID("i-1")
	r.deliver(map[string][]byte{"i-9": listEntry(modelEngine("i-9", "a:1", 0, 0))})
	is.True(before.Ended())
	is.Equal(len(r.inUse()), 1)
	is.Equal(r.inUse()["a:1"].ID, "i-9")
	// A full read of the list still has the earlier entry, with its own revision. That
	// entry must not take the address back.
	old := citronkv.Item{Key: "engines/i-1", Value: listEntry(modelEngine("i-1", "a:1", 0, 8)), Revision: citronkv.RevisionOf(0, 11)}
	now := citronkv.Item{Key: "engines/i-9", Value: listEntry(modelEngine("i-9", "a:1", 0, 0)), Revision: citronkv.RevisionOf(0, 12)}
	r.handleMessage(context.Background(), listSnapshot{items: []citronkv.Item{old, now}, revision: citronkv.RevisionOf(0, 30)})
	r.publish()
	is.Equal(r.inUse()["a:1"].ID, "i-9")
	is.Equal(len(r.inUse()), 1)
}

// Guards against a corrupt entry that affects other engines. The entry of an engine is
// overwritten, or a corrupt entry is written under a key that no engine has. The corrupt
// entry names no usable engine. An engine whose entry was overwritten is in use again
// once it writes its next entry. Whatever was written, nothing changes for the other
// engines.
func TestCorruptEntryDoesNotAffectOtherEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newLoopHarness(t)
		n := rapid.IntRange(1, 8).Draw(t, "engines")
		entries := map[string][]byte{}
		for i := range n {
			name := fmt.Sprintf("i-%d", i)
			entries[name] = listEntry(modelEngine(name, fmt.Sprintf("a%d:1", i), int64(rapid.IntRange(0, 2).Draw(t, "born")), i))
		}
		r.deliver(entries)
		before := r.inUse()
		target := rapid.IntRange(0, n).Draw(t, "hit") // n is a key that no engine has
		key := fmt.Sprintf("i-%d", target)
		text := entries["i-0"]
		corrupt := rapid.OneOf(
			rapid.SliceOf(rapid.Byte()),
			rapid.Map(rapid.IntRange(0, len(text)-1), func(cut int) []byte { return text[:cut] }),
			rapid.Map(rapid.SampledFrom([]string{"Addr", "Layers", "StartMS", "Service"}), func(field string) []byte {
				return []byte(fmt.Sprintf(`{"Instance":%q,"Addr":"a0:1","Service":"unknown",%q:{"x":[1]}}`, key, field))
			}),
		).Draw(t, "bad")
		r.deliver(map[string][]byte{key: corrupt})
		after := r.inUse()
		delete(after, fmt.Sprintf("a%d:1", target))
		delete(before, fmt.Sprintf("a%d:1", target))
		if fmt.Sprint(after) != fmt.Sprint(before) {
			t.Fatalf("engines in use changed from %v to %v", before, after)
		}
		if target < n {
			if _, ok := r.inUse()[fmt.Sprintf("a%d:1", target)]; ok {
				t.Fatalf("the corrupt entry %q still names an engine", corrupt)
			}
			r.deliver(map[string][]byte{key: entries[key]})
			if len(r.inUse()) != n {
				t.Fatalf("the engine's own entry does not bring back engine %s", key)
			}
		}
	})
}

// Guards against engines that stay in use although their entries were overwritten with
// corrupt ones. Half of the entries are overwritten at once. Engines whose entries are
// missing stay in use during an outage of the store, and for a while when many entries
// disappear at once; neither must apply here.
func TestManyCorruptEntriesAreNotAnOutage(t *testing.T) {
	is := is.New(t)
	r := newLoopHarness(t)
	entries, corrupt := map[string][]byte{}, map[string][]byte{}
	for i := range 12 {
		name := fmt.Sprintf("i-%d", i)
		entries[name] = listEntry(modelEngine(name, fmt.Sprintf("a%d:1", i), 0, 8))
		if i < 6 {
			corrupt[name] = []byte("{")
		}
	}
	r.deliver(entries)
	r.deliver(corrupt)
	r.tick(context.Background())
	r.publish()
	is.Equal(len(r.inUse()), 6)
	is.Equal(r.n.Status().Unreadable, 6) // reported in the metrics
}
