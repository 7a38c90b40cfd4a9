package citronnode

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbudget"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
)

var boundLimits = citronbudget.Limits{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}

// boundSeeds is the number of runs of TestRetryBudgetHoldsWhenNodesFail for each failure.
var boundSeeds = flag.Uint("budget.seeds", 2, "runs for each failure of the test of the retry budget")

const (
	boundStep    = 100 * time.Millisecond
	boundService = "s"
	// boundDemand is the number of requests that all callers together send in a step.
	boundDemand = 12
)

// budgetNode is the control loop and the retry budget of one node.
type budgetNode struct {
	*control
	budget *citronbudget.Budget
	// downUntil and pausedUntil are steps: until then the process is gone or stopped.
	downUntil, pausedUntil int
	// side is the side of a partition that the node is on. Nodes on different sides do not
	// hear each other.
	side int
}

// budgetFleet is a fleet of nodes that only count: callers' requests, retries, and what the
// nodes tell each other about these. Its steps are boundStep long.
type budgetFleet struct {
	*rand.Rand
	clock *citronclock.Manual
	nodes []*budgetNode
	step  int
	// gossipSteps is the mean number of steps between two messages that a node sends, loss the
	// share of the messages between nodes that are lost.
	gossipSteps int
	loss        float64
	// calm means that no node wants a retry.
	calm bool
	// requests and retries hold what callers and nodes sent in each step.
	requests, retries []int
}

func newBudgetFleet(seed uint64, nodes int) *budgetFleet {
	f := &budgetFleet{gossipSteps: 3, Rand: rand.New(rand.NewPCG(seed, 1)), clock: citronclock.NewManual(time.Unix(1_790_000_000, 0))}
	for i := range nodes {
		f.nodes = append(f.nodes, &budgetNode{})
		f.start(i)
	}
	return f
}

// start starts the process of node i.
func (f *budgetFleet) start(i int) {
	budget := citronbudget.New(boundLimits, f.clock.Now())
	n := New(Settings{Name: fmt.Sprintf("node-%02d", i), Zone: fmt.Sprintf("zone-%d", i%3), Peer: fmt.Sprint(i)}, Sources{}, f.clock, slog.New(slog.NewTextHandler(io.Discard, nil)), budget, &citronpool.ZoneLoads{}, nil)
	f.nodes[i].control, f.nodes[i].budget = newControl(n), budget
	registered := &registeredNodes{}
	if f.step > 0 {
		for j := range f.nodes {
			registered.names = append(registered.names, fmt.Sprintf("node-%02d", j))
		}
	}
	n.registered.Store(registered)
}

func (f *budgetFleet) serving(i int) bool {
	return f.step >= f.nodes[i].downUntil && f.step >= f.nodes[i].pausedUntil
}

// hears reports whether a message between two nodes arrives.
func (f *budgetFleet) hears(i, j int) bool {
	return f.serving(i) && f.serving(j) && f.nodes[i].side == f.nodes[j].side && f.Float64() >= f.loss
}

// tick runs one turn of a node's control loop.
func (n *budgetNode) tick(now time.Time) {
	n.members.Age(now)
	n.self.Heartbeat++
	n.self.Sent = map[string]citronpeer.Sent{}
	for service, u := range n.budget.Used(now) {
		n.self.Sent[service] = citronpeer.Sent(u)
	}
	n.collectMembers(&snapshot{})
}

// tell passes what one node knows on to another.
func (n *budgetNode) tell(other *budgetNode, now time.Time) {
	diff := citronpeer.Diff{Members: []citronpeer.Member{n.self}, AgesMS: []int64{0}}
	for _, e := range n.members.Alive(now) {
		diff.Members, diff.AgesMS = append(diff.Members, e.Member), append(diff.AgesMS, e.Age.Milliseconds())
	}
	other.mergeMembers(diff)
	other.mergeZoneTotals(n.zoneTotals.Current(now))
}

// advance plays one step. Callers spread over the nodes that serve; each node wants more
// retries than there are, and borrows.
func (f *budgetFleet) advance() {
	now := f.clock.Now()
	requests, retries := 0, 0
	var serving []int
	for i, n := range f.nodes {
		if f.step == n.downUntil && f.step > 0 {
			f.start(i)
		}
		if f.serving(i) {
			serving = append(serving, i)
			n.tick(now)
		}
	}
	for _, i := range serving {
		if j := f.IntN(len(f.nodes)); f.IntN(f.gossipSteps) == 0 && j != i && f.hears(i, j) {
			f.nodes[i].tell(f.nodes[j], now)
			f.nodes[j].tell(f.nodes[i], now)
		}
	}
	for range boundDemand {
		requests++
		if len(serving) > 0 {
			f.nodes[serving[f.IntN(len(serving))]].budget.CountRequest(boundService, now)
		}
	}
	for _, i := range serving {
		for range 12 {
			if f.calm {
				break
			}
			if f.nodes[i].budget.TakeRetry(boundService, now) {
				retries++
				continue
			}
			lender := f.IntN(len(f.nodes))
			if lender == i || !f.hears(i, lender) {
				continue
			}
			if l := f.nodes[lender].budget.Lend(boundService, 1+f.IntN(4), now); f.Float64() >= f.loss {
				f.nodes[i].budget.AddLoan(boundService, l, now)
			}
		}
	}
	f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
	f.step++
	f.clock.Advance(boundStep)
}

// worstWindow returns the highest use of a window of the budget that ends after a step, as a
// share of its limit.
// The limit is that of the window with the most requests among this one, the one half a
// window before it and the one before it.
func (f *budgetFleet) worstWindow(after int) float64 {
	steps := int(boundLimits.Window / boundStep)
	count := func(counts []int, from int) (n int) {
		for i := max(0, from); i < min(len(counts), from+steps); i++ {
			n += counts[i]
		}
		return n
	}
	worst := 0.0
	for from := max(0, after-steps); from < len(f.retries); from++ {
		requests := max(count(f.requests, from), count(f.requests, from-steps/2), count(f.requests, from-steps))
		worst = max(worst, float64(count(f.retries, from))/(boundLimits.Ratio*float64(requests)+boundLimits.Slack))
	}
	return worst
}

// calmSteps is how long the fleet runs before anything fails: the nodes know each other, and
// have used the budget since they started.
const calmSteps = 220

// boundFaults are the failures during which the bound must hold.
var boundFaults = []struct {
	name string
	// after is the step after which windows are checked.
	after int
	play  func(*budgetFleet)
}{
	{"all nodes start", 0, func(*budgetFleet) {}},
	{"calm", calmSteps, func(*budgetFleet) {}},
	{"rolling restart", calmSteps, func(f *budgetFleet) {
		if i := f.step - calmSteps; i >= 0 && i%10 == 0 && i/10 < len(f.nodes) {
			f.nodes[i/10].downUntil = f.step + 15
		}
	}},
	{"most nodes killed twice", calmSteps, func(f *budgetFleet) {
		if f.step == calmSteps || f.step == calmSteps+50 {
			for _, i := range f.Perm(len(f.nodes))[:len(f.nodes)*6/10] {
				f.nodes[i].downUntil = f.step + 10 + f.IntN(10)
			}
		}
	}},
	{"most nodes killed soon after retries began", calmSteps, func(f *budgetFleet) {
		begin := calmSteps - 40
		f.calm = f.step < begin
		if f.step == calmSteps || f.step == calmSteps+50 {
			for _, i := range f.Perm(len(f.nodes))[:len(f.nodes)*6/10] {
				f.nodes[i].downUntil = f.step + 5 + f.IntN(5)
			}
		}
	}},
	{"all nodes killed", calmSteps, func(f *budgetFleet) {
		if f.step == calmSteps {
			for _, n := range f.nodes {
				n.downUntil = f.step + 5 + f.IntN(10)
			}
		}
	}},
	{"nodes cut off alone", calmSteps, func(f *budgetFleet) {
		if f.step == calmSteps {
			for side, i := range f.Perm(len(f.nodes))[:4] {
				f.nodes[i].side = side + 1
			}
		}
		f.heal(calmSteps + 120)
	}},
	{"zones cut from each other", calmSteps, func(f *budgetFleet) {
		if f.step == calmSteps {
			for i, n := range f.nodes {
				n.side = i % 3
			}
		}
		f.heal(calmSteps + 150)
	}},
	{"nodes restarted behind a cut", calmSteps, func(f *budgetFleet) {
		if f.step == calmSteps {
			for _, i := range f.Perm(len(f.nodes))[:len(f.nodes)/2] {
				f.nodes[i].side, f.nodes[i].downUntil = 1, f.step+10
			}
		}
		f.heal(calmSteps + 140)
	}},
	{"paused nodes and lost messages", calmSteps, func(f *budgetFleet) {
		f.loss = 0.3
		if f.step >= calmSteps && f.step%20 == 0 {
			f.nodes[f.IntN(len(f.nodes))].pausedUntil = f.step + 5 + f.IntN(40)
		}
	}},
	{"kills, cuts and pauses", calmSteps, func(f *budgetFleet) {
		f.loss = 0.1
		if f.step < calmSteps || f.step%25 != 0 {
			return
		}
		for _, n := range f.nodes {
			n.side = 0
			if f.IntN(4) == 0 {
				n.side = f.IntN(3)
			}
			switch f.IntN(5) {
			case 0:
				n.downUntil = f.step + 5 + f.IntN(15)
			case 1:
				n.pausedUntil = f.step + f.IntN(30)
			}
		}
	}},
}

// heal ends a partition at a step.
func (f *budgetFleet) heal(step int) {
	if f.step == step {
		for _, n := range f.nodes {
			n.side = 0
		}
	}
}

// Guards against nodes that together exceed the shared retry budget when nodes end, restart,
// pause or do not hear each other: in no window may they send more retries than the limit
// allows, whatever each of them knows.
func TestRetryBudgetHoldsWhenNodesFail(t *testing.T) {
	for _, c := range boundFaults {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			worst := 0.0
			for seed := range uint64(*boundSeeds) {
				f := newBudgetFleet(seed, []int{8, 20}[seed%2])
				for range calmSteps + 220 {
					c.play(f)
					f.advance()
				}
				worst = max(worst, f.worstWindow(c.after))
			}
			t.Logf("worst window: %.3f of the limit", worst)
			is.True(worst <= 1)
		})
	}
}

// noticedAfter is the number of steps after which a node has noticed that it no longer hears
// another one.
const noticedAfter = 45

// Guards against permit issuers on the two sides of a partition that each issue permits at the
// whole rate that an upstream accepts from all nodes together.
func TestPermitIssuersOfBothSidesShareTheRate(t *testing.T) {
	is := is.New(t)
	f := newBudgetFleet(1, 9)
	f.gossipSteps = 1 // the nodes of this test do not probe each other
	for range calmSteps {
		f.advance()
	}
	is.Equal(f.nodes[0].n.issuedRate(10), 10.0)
	for i, n := range f.nodes {
		n.side = i % 3 / 2 // six nodes and three
	}
	for step := range 1400 {
		f.advance()
		if step < noticedAfter {
			continue
		}
		large, small := f.nodes[0].n.issuedRate(10), f.nodes[2].n.issuedRate(10)
		if large+small > 10 || large <= 6 {
			t.Fatalf("step %d: %.2f and %.2f", step, large, small)
		}
	}
	is.Equal(f.nodes[0].n.issuedRate(10), 10.0) // the smaller side issues none any more
	is.Equal(f.nodes[2].n.issuedRate(10), 0.0)
}
