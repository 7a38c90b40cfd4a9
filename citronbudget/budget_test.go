package citronbudget_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var limits = citronbudget.Limits{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}

// mostNewsAge is how old news may get, in steps of 100 ms: gossip reaches all
// nodes within two rounds.
const mostNewsAge = 7

// Engines die again and again and all nodes want to send everything once
// more. News of what the others used comes late. In no window may all nodes
// together repeat more than the shared limit.
func TestBudgetIsNeverPassed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*citronbudget.Budget, rapid.IntRange(1, 9).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = citronbudget.New(limits)
		}
		at := time.Unix(1000, 0)
		news := map[int]citronbudget.Usage{}
		for _, b := range nodes {
			b.Learn(nil, len(nodes), at)
		}
		type moment struct {
			at      time.Time
			repeats int
		}
		var taken []moment
		age := 0
		for range 150 {
			at = at.Add(100 * time.Millisecond)
			got := 0
			for _, b := range nodes {
				b.Request("s", at)
				for range rapid.IntRange(0, 40).Draw(t, "wanted") {
					if b.Take("s", at) {
						got++
					}
				}
			}
			taken = append(taken, moment{at, got})
			age++
			if age >= mostNewsAge || rapid.IntRange(0, 2).Draw(t, "news") == 0 {
				age = 0
				for i, b := range nodes {
					news[i] = b.Used(at)["s"]
				}
			}
			for i, b := range nodes {
				var others citronbudget.Usage
				for j, u := range news {
					if j != i {
						others.Requests += u.Requests
						others.Repeats += u.Repeats
					}
				}
				b.Learn(map[string]citronbudget.Usage{"s": others}, len(nodes), at)
			}
			sum := 0
			for _, m := range taken {
				if at.Sub(m.at) < limits.Window {
					sum += m.repeats
				}
			}
			requests := 0.0
			for range nodes {
				requests += min(100, at.Sub(time.Unix(1000, 0)).Seconds()*10)
			}
			if limit := limits.Ratio*requests + limits.Slack; float64(sum) > limit {
				t.Fatalf("%d repeats in a window that allows %.0f (%d nodes)", sum, limit, len(nodes))
			}
		}
	})
}

// One zone's engine dies and dies again: its nodes need repeats all the time,
// the others none. Equal parts for the whole window would give a node of nine
// 11 of the 98 that are dealt.
func TestNodeInNeedGetsMoreThanAnEqualPart(t *testing.T) {
	is := is.New(t)
	b := citronbudget.New(limits)
	at := time.Unix(1000, 0)
	b.Learn(nil, 9, at)
	b.Request("s", at)
	b.Learn(nil, 9, at.Add(time.Second))
	got := 0
	for i := range 80 {
		now := at.Add(time.Second + time.Duration(i)*100*time.Millisecond)
		for b.Take("s", now) {
			got++
		}
		b.Learn(map[string]citronbudget.Usage{"s": {}}, 9, now)
	}
	is.True(got > 44) // four times that
}

// Repeats that are older than a window no longer count.
func TestBudgetComesBack(t *testing.T) {
	is := is.New(t)
	b := citronbudget.New(limits)
	at := time.Unix(1000, 0)
	b.Learn(nil, 1, at)
	for b.Take("s", at) {
	}
	at = at.Add(11 * time.Second)
	b.Learn(nil, 1, at)
	is.True(b.Take("s", at))
}

// Eighty nodes, and a crash at the peak in which half of the budget has been
// used. Each node then has a request or two that an engine refused. Half of the
// budget is left, less than one repeat a node and interval; dealt as fractions
// that no node can use, or held back for good, all of them would be refused.
func TestManyNodesUseWhatIsLeft(t *testing.T) {
	is := is.New(t)
	const nodes, requests = 80, 2000.0
	limit := limits.Ratio*requests + limits.Slack
	used := citronbudget.Usage{Requests: requests, Repeats: limit / 2}
	at := time.Unix(1000, 0)
	got := 0
	for range nodes {
		b := citronbudget.New(limits)
		b.Learn(nil, nodes, at)
		b.Request("s", at)
		b.Learn(map[string]citronbudget.Usage{"s": used}, nodes, at.Add(time.Second))
		for range 2 {
			if b.Take("s", at.Add(time.Second)) {
				got++
			}
		}
	}
	t.Logf("%d of %.0f left taken by %d nodes", got, limit/2, nodes)
	is.True(got >= 40)
	is.True(float64(got) <= limit/2)
}
