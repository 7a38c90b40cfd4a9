package citronusage_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronusage"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Guards against a table that keeps an old report, returns one that is too old to be passed
// on, takes an impossible one, or answers with more than it was asked for or out of order.
// The oracle keeps all reports and looks for the newest.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := citronusage.NewTable(), start
		known := map[citronusage.ID]citronusage.Report{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * time.Millisecond)
			r := citronusage.Report{
				Engine:  citronusage.ID(rapid.IntRange(0, 9).Draw(t, "engine")),
				Figures: citronusage.Figures{Used: int64(rapid.IntRange(-1, 201).Draw(t, "used")), Total: int64(rapid.IntRange(0, 1).Draw(t, "total")) * 100},
				At:      now.Add(-time.Duration(rapid.IntRange(0, 3500).Draw(t, "age")) * time.Millisecond),
			}
			taken, err := table.Merge(r, citronusage.FromNode, now)
			old, ok := known[r.Engine]
			possible := r.Used >= 0 && r.Used <= 200 && r.Total == 100
			want := possible && now.Sub(r.At) <= citronusage.FreshFor && (!ok || r.At.Sub(old.At) >= 50*time.Millisecond)
			if taken != want || (err == nil) != possible {
				t.Fatalf("merge of %+v: %v, %v; want %v", r, taken, err, want)
			}
			if want {
				known[r.Engine] = r
			}
			limit := rapid.IntRange(1, 12).Draw(t, "limit")
			recent := table.Recent(limit, now)
			young, fresh := 0, 0
			for _, k := range known {
				if now.Sub(k.At) <= citronusage.GossipFor {
					young++
				}
				if now.Sub(k.At) <= citronusage.FreshFor {
					fresh++
				}
			}
			if len(recent) > min(limit, young) || table.Counts(now).Fresh != fresh {
				t.Fatalf("%d of %d recent reports, limit %d; %d fresh, want %d", len(recent), young, limit, table.Counts(now).Fresh, fresh)
			}
			for i, r := range recent {
				if now.Sub(r.At) > citronusage.GossipFor || i > 0 && i < limit-limit/4 && r.Share() > recent[i-1].Share() {
					t.Fatalf("recent reports %+v", recent)
				}
			}
		}
	})
}

// Guards against nodes that learn of full engines only: all reports must be passed on in
// turn, and the fullest with each message.
func TestRecentRotates(t *testing.T) {
	is := is.New(t)
	table, seen := citronusage.NewTable(), map[citronusage.ID]int{}
	const engines, limit = 100, 32
	for i := range engines {
		_, err := table.Merge(citronusage.Report{Engine: citronusage.ID(i), Figures: citronusage.Figures{Used: int64(i), Total: engines}, At: start}, citronusage.FromEngine, start)
		is.NoErr(err)
	}
	const messages = 10
	for i := range messages {
		recent := table.Recent(limit, start.Add(time.Duration(i)*101*time.Millisecond))
		is.Equal(len(recent), limit)
		for _, r := range recent {
			seen[r.Engine]++
		}
	}
	is.Equal(len(seen), engines)
	is.Equal(seen[engines-1], messages)
}

// Guards against an estimate that falls while load is added, is negative, or grows without
// bound because an engine or a zone's total is absurd.
func TestEstimateIsMonotoneAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.OneOf(rapid.Int64Range(0, 1_000_000), rapid.Int64Range(-5, 5), rapid.Just(int64(math.MaxInt32)))
		l := citronusage.Load{
			Report:      citronusage.Figures{Used: tokens.Draw(t, "used"), Total: tokens.Draw(t, "total"), Waiting: tokens.Draw(t, "waiting")},
			CacheTokens: 200_000, Capacity: rapid.SampledFrom([]float64{200_000, 50_000}).Draw(t, "capacity"), RequestTokens: 1000,
			ZoneThen: tokens.Draw(t, "zone"), OthersThen: tokens.Draw(t, "then"), OthersNow: tokens.Draw(t, "now"),
			OwnSince: tokens.Draw(t, "since"), Own: tokens.Draw(t, "own"),
		}
		base := citronusage.Estimate(l)
		own := max(0, float64(l.Own)) / l.Capacity
		if base < 0 || base > 5*l.CacheTokens/l.Capacity+own || math.IsNaN(base) || base < own/2 {
			t.Fatalf("estimate %v of %+v", base, l)
		}
		more := rapid.Int64Range(0, 10_000).Draw(t, "more")
		for name, field := range map[string]func(*citronusage.Load) *int64{
			"used": func(l *citronusage.Load) *int64 { return &l.Report.Used }, "waiting": func(l *citronusage.Load) *int64 { return &l.Report.Waiting },
			"others": func(l *citronusage.Load) *int64 { return &l.OthersNow }, "since": func(l *citronusage.Load) *int64 { return &l.OwnSince },
			"own": func(l *citronusage.Load) *int64 { return &l.Own },
		} {
			higher := l
			*field(&higher) += more
			if citronusage.Estimate(higher) < base {
				t.Fatalf("%d more of %s lower the estimate from %v to %v", more, name, base, citronusage.Estimate(higher))
			}
		}
	})
}

// Guards against wrong arithmetic of the estimate, with figures worked out by hand.
func TestEstimate(t *testing.T) {
	base := citronusage.Load{Report: citronusage.Figures{Used: 50, Total: 100}, CacheTokens: 1000, Capacity: 1000, RequestTokens: 100, ZoneThen: 4000, OthersThen: 3000, OthersNow: 3000}
	for _, c := range []struct {
		name   string
		change func(*citronusage.Load)
		want   float64
	}{
		{"the reported share", func(*citronusage.Load) {}, 0.5},
		{"others add a fifth to the zone", func(l *citronusage.Load) { l.OthersNow += 800 }, 0.6},
		{"the zone is empty: at least half is kept", func(l *citronusage.Load) { l.OthersNow = 0; l.ZoneThen = 3000 }, 0.25},
		{"the zone grows tenfold: twice at most", func(l *citronusage.Load) { l.OthersNow = 40_000 }, 1},
		{"slots are scarcer than cache", func(l *citronusage.Load) { l.Capacity = 500 }, 1},
		{"own requests begun since", func(l *citronusage.Load) { l.OwnSince, l.Own = 200, 300 }, 0.7},
		{"own requests that have ended again", func(l *citronusage.Load) { l.OwnSince = 200 }, 0.5},
		{"two waiting requests", func(l *citronusage.Load) { l.Report.Waiting = 2 }, 0.7},
		{"an engine that reports nothing of this node's requests", func(l *citronusage.Load) { l.Report.Used, l.Own = 0, 900 }, 0.45},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := base
			c.change(&l)
			is.New(t).True(math.Abs(citronusage.Estimate(l)-c.want) < 1e-9)
		})
	}
}

// Guards against engines that nobody observes, or all engines that move to other observers,
// when a node is killed, frozen or partitioned, and against observers in other zones.
func TestObserverFailures(t *testing.T) {
	is := is.New(t)
	members := []citronusage.Member{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}, {Name: "c", Zone: "z"}, {Name: "weak", Zone: "z", Weak: true}, {Name: "other", Zone: "y"}}
	observers := func(members []citronusage.Member) (out [200]string) {
		candidates := citronusage.Candidates("z", members)
		for i := range out {
			name, ok := citronusage.Observer(fmt.Sprint("engine", i), candidates)
			is.True(ok)
			out[i] = name
		}
		return out
	}
	before := observers(members)
	count := map[string]int{}
	for _, name := range before {
		count[name]++
	}
	is.True(count["a"] > 40 && count["b"] > 40 && count["c"] > 40) // and none of the others
	is.Equal(len(count), 3)
	unfit := append([]citronusage.Member{{Name: "a", Zone: "z", Unfit: true}}, members[1:]...)
	for name, left := range map[string][]citronusage.Member{"killed": members[1:], "frozen or partitioned": unfit} {
		for i, now := range observers(left) {
			if before[i] != "a" && now != before[i] || now == "a" {
				t.Fatalf("%s: engine %d moved from %s to %s", name, i, before[i], now)
			}
		}
	}
	is.Equal(observers(members[3:])[0], "weak")
	_, ok := citronusage.Observer("e", citronusage.Candidates("z", members[4:]))
	is.True(!ok)
}
