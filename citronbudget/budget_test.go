package citronbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var limits = citronbudget.Limits{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}

// newsAge is how old news is in a small fleet.
const newsAge = mostNewsAge * 100 * time.Millisecond

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
			b.Learn(nil, newsAge, len(nodes), at)
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
				// One in need borrows; the answer may be lost.
				lender := rapid.IntRange(0, len(nodes)-1).Draw(t, "lender")
				if nodes[lender] != b {
					l := nodes[lender].Lend("s", rapid.IntRange(0, 20).Draw(t, "want"), at)
					if rapid.Bool().Draw(t, "heard") {
						b.Borrowed("s", l, at)
					}
				}
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
				b.Learn(map[string]citronbudget.Usage{"s": others}, newsAge, len(nodes), at)
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
	b.Learn(nil, newsAge, 9, at)
	b.Request("s", at)
	b.Learn(nil, newsAge, 9, at.Add(time.Second))
	got := 0
	for i := range 80 {
		now := at.Add(time.Second + time.Duration(i)*100*time.Millisecond)
		for b.Take("s", now) {
			got++
		}
		b.Learn(map[string]citronbudget.Usage{"s": {}}, newsAge, 9, now)
	}
	is.True(got > 44) // four times that
}

// Repeats that are older than a window no longer count.
func TestBudgetComesBack(t *testing.T) {
	is := is.New(t)
	b := citronbudget.New(limits)
	at := time.Unix(1000, 0)
	b.Learn(nil, newsAge, 1, at)
	for b.Take("s", at) {
	}
	at = at.Add(11 * time.Second)
	b.Learn(nil, newsAge, 1, at)
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
		b.Learn(nil, newsAge, nodes, at)
		b.Request("s", at)
		b.Learn(map[string]citronbudget.Usage{"s": used}, newsAge, nodes, at.Add(time.Second))
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

// Engines of one zone die at the peak of a fleet of three hundred nodes. Each of
// the zone's sixty nodes has ten requests that were refused and may run
// elsewhere, and was dealt one or two repeats, as was every node that needs none.
// Nearly all of those requests are sent again, and the limit holds.
func TestZoneInNeedBorrows(t *testing.T) {
	is := is.New(t)
	const nodes, inNeed, each, requests = 300, 60, 10, 5000.0
	big := citronbudget.Limits{Ratio: 0.2, Slack: 800, Window: 10 * time.Second}
	sent := func(lenders int) (n int) {
		at := time.Unix(1000, 0)
		all := make([]*citronbudget.Budget, nodes)
		for i := range all {
			all[i] = citronbudget.New(big)
			all[i].Learn(nil, newsAge, nodes, at)
			all[i].Request("s", at)
			all[i].Learn(map[string]citronbudget.Usage{"s": {Requests: requests}}, newsAge, nodes, at.Add(time.Second))
		}
		at = at.Add(time.Second)
		drawn := rand.New(rand.NewPCG(1, 2))
		for i := range inNeed * each {
			b := all[i/each]
			if !b.Take("s", at) {
				for range lenders {
					lender := all[inNeed+drawn.IntN(nodes-inNeed)]
					b.Borrowed("s", lender.Lend("s", 4, at), at)
				}
				if !b.Take("s", at) {
					continue
				}
			}
			n++
		}
		return n
	}
	alone, together := sent(0), sent(3)
	is.True(alone < inNeed*each/3)
	is.True(together > inNeed*each*9/10)
	is.True(float64(together) <= big.Ratio*requests+big.Slack)
}

// A loan ends with the interval for which it was dealt: used later, it would
// come on top of what has been dealt since.
func TestLoanEnds(t *testing.T) {
	is := is.New(t)
	a, b := citronbudget.New(limits), citronbudget.New(limits)
	at := time.Unix(1000, 0)
	a.Learn(nil, newsAge, 2, at)
	a.Request("s", at)
	at = at.Add(time.Second)
	a.Learn(nil, newsAge, 2, at)
	l := a.Lend("s", 5, at)
	is.Equal(l.Repeats, 5)
	for b.Take("s", at) {
	}
	b.Borrowed("s", l, at)
	is.True(b.Take("s", at))
	is.True(!b.Take("s", at.Add(time.Second)))
	is.Equal(a.Lend("s", 5, at.Add(time.Second)).Repeats, 0) // it was dealt nothing since
	b.Borrowed("s", citronbudget.Loan{Repeats: 1000, Until: at.Add(time.Hour)}, at)
	is.True(!b.Take("s", at.Add(time.Second))) // nobody has that to lend
}
