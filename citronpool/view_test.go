package citronpool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// dump returns everything a view exposes about its engines as text.
func dump(v *citronpool.View, addrs, ids []string) string {
	out := ""
	for _, name := range []string{"a", "b"} {
		for _, e := range v.ByService[name] {
			out += fmt.Sprintf("%+v replicas %.2f\n", e.Engine, e.Replicas)
			if found, ok := v.ByID(e.ID); !ok || found != e {
				out += "not found by its ID\n"
			}
		}
	}
	for _, addr := range addrs {
		if e, ok := v.ByAddr(addr); ok {
			out += addr + ": " + e.ID + "\n"
		}
	}
	for _, id := range ids {
		_, ok := v.ByID(id)
		out += fmt.Sprintln(id, ok, v.Has(id))
	}
	return out
}

// TestSharedViewEqualsRebuiltView checks that a view that shares parts with the previous
// one equals a view built from scratch, leaves the previous one unchanged, and keeps the
// counters of its engines. Otherwise requests are routed by outdated entries, or an engine
// looks idle when the list changes.
func TestSharedViewEqualsRebuiltView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addrs := []string{"x:1", "x:2", "x:3", "x:4"}
		var ids []string
		for i := range 8 {
			ids = append(ids, fmt.Sprintf("i%d", i))
		}
		current := map[string]citronmodel.Engine{}
		var v *citronpool.View
		inflight := map[string]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			from := rapid.IntRange(0, 6).Draw(t, "from")
			if rapid.IntRange(0, 4).Draw(t, "what") == 0 {
				delete(current, id)
				delete(inflight, id)
			} else {
				current[id] = citronmodel.Engine{
					ID: id, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Addr: rapid.SampledFrom(addrs).Draw(t, "addr"),
					Zone: rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"), Leaving: rapid.Bool().Draw(t, "leaving"),
					Layers: citronmodel.Span{From: from, To: from + rapid.IntRange(0, 4).Draw(t, "layers")},
				}
			}
			var engines []citronmodel.Engine
			for _, e := range current {
				engines = append(engines, e)
			}
			slices.SortFunc(engines, func(a, b citronmodel.Engine) int { return int(a.ID[1]) - int(b.ID[1]) })
			before := ""
			if v != nil {
				before = dump(v, addrs, ids)
			}
			next := citronpool.Build(engines, v)
			if v != nil && dump(v, addrs, ids) != before {
				t.Fatal("Build changed the previous view, which readers may still use")
			}
			if got, want := dump(next, addrs, ids), dump(citronpool.Build(engines, nil), addrs, ids); got != want {
				t.Fatalf("shared view\n%s\nrebuilt view\n%s", got, want)
			}
			v = next
			for id, n := range inflight {
				if e, ok := v.ByID(id); ok && e.Inflight() != n {
					t.Fatalf("engine %s: want %d requests in flight, got %d", id, n, e.Inflight())
				}
			}
			if e, ok := v.ByID(id); ok {
				e.Begin(1)
				inflight[id] = e.Inflight()
			}
		}
	})
}

// TestViewReportsDeadAndRestartedEngines guards against dead or restarted engines that the
// view doesn't report, or still reports after they have recovered or left the list.
func TestViewReportsDeadAndRestartedEngines(t *testing.T) {
	is := is.New(t)
	engines := []citronmodel.Engine{{ID: "i1", Addr: "x:1"}, {ID: "i2", Addr: "x:2"}, {ID: "i3", Addr: "x:3"}}
	v := citronpool.Build(engines, nil)
	now := time.Now()
	one, _ := v.ByID("i1")
	two, _ := v.ByID("i2")
	one.MarkDead(now)
	two.MarkRestarted(7, now)
	dead := v.DeadAfter(now.Add(-time.Second))
	slices.Sort(dead)
	is.Equal(dead, []string{"i1", "i2"})
	is.Equal(len(v.Restarted()), 1)
	is.Equal(len(v.DeadAfter(now.Add(time.Second))), 0)
	one.RecordResponse(now, now.Add(time.Millisecond))
	is.Equal(v.DeadAfter(now.Add(-time.Second)), []string{"i2"})
	one.MarkDead(now) // dead again, after DeadAfter had removed the recovered engine from the failed states
	is.Equal(len(v.DeadAfter(now.Add(-time.Second))), 2)
	v = citronpool.Build(engines[:1], v)
	is.Equal(v.DeadAfter(now.Add(-time.Second)), []string{"i1"})
	is.Equal(len(v.Restarted()), 0)
}
