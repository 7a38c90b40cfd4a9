package citronbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronloan"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var limits = citronbudget.Limits{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}

// start is when the budgets of the tests start.
var start = time.Unix(1000, 0)

// hasShare is a time at which a process that began at start may have a share of the slack.
var hasShare = start.Add(11 * time.Second)

// newNode returns the budget of one of several nodes that have run for longer than a window.
func newNode(l citronbudget.Limits, nodes, index int) *citronbudget.Budget {
	b := citronbudget.New(l, start)
	b.UpdateFleet(nil, citronbudget.Share{Parts: nodes, Index: index}, hasShare)
	return b
}

// updateAgeSteps is the maximum age of what a node knows about the other nodes' usage, in the
// time steps of TestBudgetIsNeverExceeded.
const updateAgeSteps = 7

// Guards against nodes that together exceed the shared limit. Each node decides from
// what it knows of the others' usage, which is up to updateAgeSteps old here. All nodes
// want many more retries than they have requests, and they lend each other retries;
// some loans are lost on the way. In no window may all nodes together send more
// retries than the limit allows.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*citronbudget.Budget, rapid.IntRange(1, 9).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = newNode(limits, len(nodes), i)
		}
		at := hasShare
		updates := map[int]citronbudget.Usage{}
		type step struct {
			at      time.Time
			retries int
		}
		var taken []step
		age := 0
		for range 150 {
			at = at.Add(100 * time.Millisecond)
			got := 0
			for _, b := range nodes {
				b.CountRequest("s", at)
				// A node in need borrows; the answer may be lost.
				lender := rapid.IntRange(0, len(nodes)-1).Draw(t, "lender")
				if nodes[lender] != b {
					l := nodes[lender].Lend("s", rapid.IntRange(0, 20).Draw(t, "want"), at)
					if rapid.Bool().Draw(t, "heard") {
						b.AddLoan("s", l, at)
					}
				}
				for range rapid.IntRange(0, 40).Draw(t, "wanted") {
					if b.TakeRetry("s", at) {
						got++
					}
				}
			}
			taken = append(taken, step{at, got})
			age++
			if age >= updateAgeSteps || rapid.IntRange(0, 2).Draw(t, "news") == 0 {
				age = 0
				for i, b := range nodes {
					updates[i] = b.Used(at)["s"]
				}
			}
			for i, b := range nodes {
				var others citronbudget.Usage
				for j, u := range updates {
					if j != i {
						others.Requests += u.Requests
						others.Retries += u.Retries
					}
				}
				b.UpdateFleet(map[string]citronbudget.Usage{"s": others}, citronbudget.Share{Parts: len(nodes), Index: i}, at)
			}
			sum := 0
			for _, m := range taken {
				if at.Sub(m.at) < limits.Window {
					sum += m.retries
				}
			}
			requests := 0.0
			for range nodes {
				requests += min(100, at.Sub(hasShare).Seconds()*10)
			}
			if limit := limits.Ratio*requests + limits.Slack; float64(sum) > limit {
				t.Fatalf("%d retries in a window that allows %.0f (%d nodes)", sum, limit, len(nodes))
			}
		}
	})
}

// Guards against a budget that is divided once and for all. One of nine nodes needs
// retries all the time, the others none. With an equal part of the 200 retries of a
// window that node would get 22 of them.
func TestNodeInNeedGetsMoreThanAnEqualShare(t *testing.T) {
	is := is.New(t)
	nodes := make([]*citronbudget.Budget, 9)
	for i := range nodes {
		nodes[i] = newNode(limits, len(nodes), i)
	}
	b, got := nodes[0], 0
	for i := range 80 {
		now := hasShare.Add(time.Duration(i) * 100 * time.Millisecond)
		for range 4 {
			if !b.TakeRetry("s", now) {
				b.AddLoan("s", nodes[1+i%8].Lend("s", 2, now), now)
				continue
			}
			got++
		}
	}
	is.True(got > 44) // twice the equal share of a window
	is.True(got <= 200)
}

// Guards against a node that can never retry again once it has used its allowance: a
// window later it has a new one.
func TestBudgetRecovers(t *testing.T) {
	is := is.New(t)
	b, at := newNode(limits, 1, 0), hasShare
	for b.TakeRetry("s", at) {
	}
	at = at.Add(11 * time.Second)
	is.True(b.TakeRetry("s", at))
}

// Guards against a remaining budget that a large fleet cannot use because each node's
// share of it is too small. A crash at the peak has used half of the budget of eighty
// nodes, and each node still has two requests that an engine refused. Of the other
// half, each node is allocated about 1.5 retries per interval. Together the nodes
// must send at least 40 retries.
func TestManyNodesUseRemainingBudget(t *testing.T) {
	is := is.New(t)
	const nodes, requests = 80, 2000.0
	limit := limits.Ratio*requests + limits.Slack
	used := citronbudget.Usage{Requests: requests, Retries: limit / 2}
	got := 0
	for i := range nodes {
		b := newNode(limits, nodes, i)
		b.CountRequest("s", hasShare)
		b.UpdateFleet(map[string]citronbudget.Usage{"s": used}, citronbudget.Share{Parts: nodes, Index: i}, hasShare)
		for range 2 {
			if b.TakeRetry("s", hasShare) {
				got++
			}
		}
	}
	t.Logf("%d of the %.0f remaining retries taken by %d nodes", got, limit/2, nodes)
	is.True(got >= 40)
	is.True(float64(got) <= limit/2)
}

// Guards against refusing requests in one zone while the nodes of the other zones
// have retries left. The engines of one zone fail at the peak in a fleet of three
// hundred nodes. Each of the zone's sixty nodes has ten refused requests that may run
// elsewhere, but an allowance of only two or three retries. The nodes that need no
// retries have the same allowance. Without loans, less than a third of the refused
// requests are retried; with loans, more than nine tenths are.
func TestZoneInNeedBorrows(t *testing.T) {
	is := is.New(t)
	const nodes, inNeed, refusedEach, requests = 300, 60, 10, 5000.0
	big := citronbudget.Limits{Ratio: 0.2, Slack: 800, Window: 10 * time.Second}
	sent := func(seed uint64, lenders int) (n int) {
		random := rand.New(rand.NewPCG(seed, 2))
		at := hasShare
		all := make([]*citronbudget.Budget, nodes)
		for i := range all {
			all[i] = newNode(big, nodes, i)
			all[i].CountRequest("s", at)
			all[i].UpdateFleet(map[string]citronbudget.Usage{"s": {Requests: requests}}, citronbudget.Share{Parts: nodes, Index: i}, at)
		}
		for i := range inNeed * refusedEach {
			b := all[i/refusedEach]
			if !b.TakeRetry("s", at) {
				for range lenders {
					lender := all[inNeed+random.IntN(nodes-inNeed)]
					b.AddLoan("s", lender.Lend("s", citronloan.RetriesPerLender(1, lenders), at), at)
				}
				if !b.TakeRetry("s", at) {
					continue
				}
			}
			n++
		}
		return n
	}
	for seed := range uint64(20) {
		withoutLoans, withLoans := sent(seed, 0), sent(seed, 3)
		t.Logf("seed %d: %d of %d sent without loans, %d with them", seed, withoutLoans, inNeed*refusedEach, withLoans)
		is.True(withoutLoans < inNeed*refusedEach/3)
		is.True(withLoans > inNeed*refusedEach*9/10)
		is.True(float64(withLoans) <= big.Ratio*requests+big.Slack)
	}
}

// Guards against a loan that is used after it has ended: the lender may have used the same
// retries again by the time a window later. For the same reason a loan that claims to last
// longer than nodes lend is ignored, and what is lent counts as used until the loan's end has
// left the window.
func TestLoanExpires(t *testing.T) {
	is := is.New(t)
	a, b := newNode(limits, 2, 0), newNode(limits, 2, 1)
	at := hasShare
	l := a.Lend("s", 5, at)
	is.Equal(l.Retries, 5)
	for b.TakeRetry("s", at) {
	}
	b.AddLoan("s", l, at)
	is.True(b.TakeRetry("s", at))
	is.True(!b.TakeRetry("s", at.Add(time.Second)))
	b.AddLoan("s", citronbudget.Loan{Retries: 1000, Until: at.Add(time.Hour)}, at)
	is.True(!b.TakeRetry("s", at.Add(time.Second))) // no node lends for that long
	for a.TakeRetry("s", at) {
	}
	used := a.Used(at)["s"].Retries
	later := at.Add(limits.Window + 200*time.Millisecond) // what was used has left the window, the loan has not
	for a.TakeRetry("s", later) {
	}
	is.Equal(a.Used(later)["s"].Retries, used)
}

// Guards against retries that are denied for good, because what other nodes sent for a service
// still counts after they have stopped sending or have gone.
func TestUsageOfOthersEnds(t *testing.T) {
	is := is.New(t)
	b, share := newNode(limits, 2, 0), citronbudget.Share{Parts: 2}
	b.CountRequest("s", hasShare)
	b.UpdateFleet(map[string]citronbudget.Usage{"s": {Requests: 100, Retries: 10_000}}, share, hasShare)
	is.True(!b.TakeRetry("s", hasShare))
	at := hasShare.Add(time.Hour)
	b.UpdateFleet(nil, share, at)
	is.True(b.TakeRetry("s", at))
}

// Guards against retries beyond the budget by a node that learns from other nodes that they have
// used up the budget of a service which it has not seen yet.
func TestNewServiceGetsNoMoreThanIsLeft(t *testing.T) {
	is := is.New(t)
	b := newNode(citronbudget.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, 9, 0)
	b.UpdateFleet(map[string]citronbudget.Usage{"known": {}, "new": {Retries: 100}}, citronbudget.Share{Parts: 9}, hasShare)
	is.True(!b.TakeRetry("new", hasShare))
	is.True(!b.MayBorrow("new", hasShare))
	is.True(b.TakeRetry("known", hasShare))
}

// Guards against a process that starts with a part of the slack that an earlier process of its
// node has just used. It may retry a fraction of its requests, and borrow.
func TestStartingProcessHasNoShareOfTheSlack(t *testing.T) {
	is := is.New(t)
	b, at := citronbudget.New(limits, start), start.Add(9*time.Second)
	b.UpdateFleet(nil, citronbudget.Share{Parts: 1}, at)
	is.True(!b.TakeRetry("s", at))
	for range 5 {
		b.CountRequest("s", at)
	}
	is.True(b.TakeRetry("s", at))
	is.True(!b.TakeRetry("s", at))
	lender := citronbudget.New(limits, start.Add(-time.Minute))
	lender.UpdateFleet(nil, citronbudget.Share{Parts: 2, Index: 1}, at)
	b.AddLoan("s", lender.Lend("s", 1, at), at)
	is.True(b.TakeRetry("s", at))
	is.True(b.TakeRetry("s", hasShare))
}

// Guards against parts that add up to more than the slack, or to less by more than it takes to
// make them whole.
func TestSharesAddUpToTheSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		parts := rapid.IntRange(1, 1300).Draw(t, "parts")
		slack := float64(rapid.IntRange(0, 1100).Draw(t, "slack"))
		total := 0
		for i := range parts {
			b := newNode(citronbudget.Limits{Slack: slack, Window: 10 * time.Second}, parts, i)
			for b.TakeRetry("s", hasShare) {
				total++
			}
		}
		is.True(float64(total) <= slack)
		is.True(float64(total) >= 0.95*slack-1)
	})
}
