package citronpoison_test

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpoison"
)

const (
	simNodes     = 5
	simDetecting = 3
	simEngines   = 15
	simSlots     = 16
	simStep      = 10 * time.Millisecond
	simRate      = 45
	simTime      = 47 * time.Second
	// Requests that crash engines are sent from faultFrom to faultTo.
	faultFrom, faultTo = 5 * time.Second, 35 * time.Second
	// maxRunTime is the time after which the last requests, sent that long before the end,
	// are done.
	maxRunTime = 7 * time.Second
	// restartTime is how long a crashed engine is unavailable.
	restartTime = 3 * time.Second
	// reportDelay is the time in which a crash reaches the detecting nodes, and recordDelay
	// the time in which a record reaches all nodes.
	reportDelay, recordDelay = 60 * time.Millisecond, 300 * time.Millisecond
	// provenAfter is the time from the first event after which a run is successful.
	provenAfter = 500 * time.Millisecond
	// Of the requests that crash engines, at most maxLate may be sent later than contact
	// after the fifth crash.
	contact  = 3 * time.Second
	maxLate  = 3
	simSeeds = 30
	// maxRefused is the share of sound requests that may be refused.
	maxRefused = 0.001
	// minServed is the share of sound requests that must be served, while up to half of the
	// engines are away.
	minServed = 0.9
	// companionPart is the part of scenario.companion.
	companionPart citronpoison.Part = 500
)

// simRun is a request that runs on an engine.
type simRun struct {
	run                      citronpoison.Run
	node, engine, attempts   int
	crashing, begun, proven  bool
	firstEvent, crashes, end time.Time
}

// cause returns the part that crashes engines, or zero.
func (q *simRun) cause() citronpoison.Part {
	if !q.crashing {
		return 0
	}
	return q.run.Parts[len(q.run.Parts)-1]
}

// simulation is a fleet of nodes with ledgers of their own, between callers and engines.
type simulation struct {
	r       *rand.Rand
	clock   *citronclock.Manual
	ledgers []*citronpart.Ledger
	runs    []*simRun
	due     []delivery
	starts  [simEngines]uint64
	upAt    [simEngines]time.Time
	scenario
	begin time.Time
	// crashed counts the engines that crashed under each part, and fifth holds the time of
	// the fifth crash. late counts the requests with the part that were sent too late.
	crashed, late map[citronpoison.Part]int
	fifth         map[citronpoison.Part]time.Time
	// claimed holds the number of trials of each part.
	claimed map[citronpoison.Part]int
	// sent, served and refused count sound requests.
	sent, served, refused int
}

// delivery is a message that arrives at a time.
type delivery struct {
	at time.Time
	do func()
}

// scenario is what goes wrong in a simulation.
type scenario struct {
	name string
	// share is the share of requests with a part that crashes engines, out of parts
	// different ones.
	share float64
	parts int
	// companion is the share of sound requests with a part that all requests with a part
	// that crashes engines have.
	companion float64
	// from is when requests with such parts begin, faultFrom if zero.
	from time.Duration
	// early crashes engines before the first event.
	early bool
	// ownEnds is the mean time between engines that end by themselves. atOnce engines end
	// together in the middle of the simulation.
	ownEnds time.Duration
	atOnce  int
}

func newSimulation(seed uint64, s scenario) *simulation {
	m := &simulation{r: rand.New(rand.NewPCG(seed, 7)), clock: citronclock.NewManual(time.Unix(1_000_000, 0)), scenario: s, crashed: map[citronpoison.Part]int{}, late: map[citronpoison.Part]int{}, fifth: map[citronpoison.Part]time.Time{}, claimed: map[citronpoison.Part]int{}}
	m.begin = m.clock.Now()
	for i := range simNodes {
		l := citronpart.New(m.clock)
		l.OnCrash(func() { m.after(reportDelay, func() { m.report(i) }) })
		l.OnChange(func() { m.after(recordDelay, func() { m.gossip(i) }) })
		m.ledgers = append(m.ledgers, l)
	}
	return m
}

func (m *simulation) after(d time.Duration, do func()) {
	m.due = append(m.due, delivery{m.clock.Now().Add(d), do})
}

// report sends the crashes that a node has seen to the detecting nodes.
func (m *simulation) report(node int) {
	for _, c := range m.ledgers[node].TakeUnsent() {
		for _, l := range m.ledgers[:simDetecting] {
			if l.AddCrashes([]citronpoison.Crash{c}) != nil {
				panic("a valid crash was rejected")
			}
		}
	}
}

// gossip sends the recent records of a node to all others.
func (m *simulation) gossip(node int) {
	for i, l := range m.ledgers {
		if i != node {
			if _, err := l.Merge(m.ledgers[node].Recent()); err != nil {
				panic(err)
			}
		}
	}
}

func (m *simulation) elapsed() time.Duration { return m.clock.Now().Sub(m.begin) }

// between returns a random duration.
func (m *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.r.Int64N(int64(high-low)))
}

// request returns a new request at a random node: a first part that a third of all requests
// have, a second one by Zipf, and for a crashing one a part that is the cause.
func (m *simulation) request() *simRun {
	zipf := rand.NewZipf(m.r, 1.3, 1, 39)
	q := &simRun{node: m.r.IntN(simNodes)}
	q.run = citronpoison.Run{Request: m.r.Uint64(), Customer: uint64(1 + m.r.IntN(4)), Parts: []citronpoison.Part{citronpoison.Part(1 + m.r.IntN(3)), citronpoison.Part(100 + zipf.Uint64())}}
	if m.r.Float64() < m.companion {
		q.run.Parts = append(q.run.Parts, companionPart)
	}
	if t := m.elapsed(); t > cmp.Or(m.from, faultFrom) && t < faultTo && m.r.Float64() < m.share {
		q.crashing = true
		if m.companion > 0 {
			q.run.Parts = append(q.run.Parts, companionPart)
		}
		q.run.Parts = append(q.run.Parts, citronpoison.Part(1000+m.r.IntN(m.parts)))
	}
	return q
}

// send sends a request to a random engine, unless its node refuses it.
func (m *simulation) send(q *simRun) {
	if q.attempts == 0 && !q.crashing {
		m.sent++
	}
	switch v := m.ledgers[q.node].Admit(q.run.Customer, q.run.Parts).(type) {
	case citronpart.Refused:
		m.countRefused(q)
		return
	case citronpart.Trial:
		if m.claimed[v.Part] >= v.N || q.attempts > 0 {
			m.ledgers[q.node].BeginTrial(v)
			m.countRefused(q)
			return
		}
		m.claimed[v.Part] = v.N
		m.ledgers[q.node].BeginTrial(v)
	}
	e := m.r.IntN(simEngines)
	for range 4 * simEngines {
		if m.clock.Now().After(m.upAt[e]) && m.load(e) < simSlots {
			break
		}
		e = m.r.IntN(simEngines)
	}
	if m.clock.Now().Before(m.upAt[e]) || m.load(e) >= simSlots {
		return
	}
	if fifth, ok := m.fifth[q.cause()]; ok && m.clock.Now().After(fifth.Add(contact)) {
		m.late[q.cause()]++
	}
	now := m.clock.Now()
	q.engine, q.begun, q.proven = e, false, false
	q.firstEvent = now.Add(m.between(200*time.Millisecond, 400*time.Millisecond))
	q.crashes = q.firstEvent.Add(m.between(60*time.Millisecond, 120*time.Millisecond))
	if m.early {
		q.crashes = q.firstEvent.Add(-20 * time.Millisecond)
	}
	q.end = q.firstEvent.Add(m.between(time.Second, 5*time.Second))
	m.runs = append(m.runs, q)
}

func (m *simulation) countRefused(q *simRun) {
	if !q.crashing {
		m.refused++
	}
}

func (m *simulation) load(engine int) int {
	n := 0
	for _, q := range m.runs {
		if q.engine == engine {
			n++
		}
	}
	return n
}

// crash ends an engine. Runs that have not yet been successful are reported, and each
// request is sent on once.
func (m *simulation) crash(engine int) {
	m.starts[engine]++
	m.upAt[engine] = m.clock.Now().Add(restartTime)
	id := uint64(engine)<<32 + m.starts[engine]
	var ended, others []*simRun
	for _, q := range m.runs {
		if q.engine == engine {
			ended = append(ended, q)
		} else {
			others = append(others, q)
		}
	}
	m.runs = others
	for _, q := range ended {
		if !q.proven {
			m.ledgers[q.node].RecordCrash(id, q.run)
		}
		if q.attempts++; q.attempts < 2 {
			m.send(q)
		}
	}
}

// step advances the simulation by simStep.
func (m *simulation) step() {
	m.clock.Advance(simStep)
	now := m.clock.Now()
	due := m.due
	m.due = nil
	for _, d := range due {
		if d.at.After(now) {
			m.due = append(m.due, d)
		} else {
			d.do()
		}
	}
	for _, l := range m.ledgers[:simDetecting] {
		l.Detect()
	}
	crashes := map[int]citronpoison.Part{}
	m.runs = sliceFilter(m.runs, func(q *simRun) bool {
		switch {
		case q.crashing && now.After(q.crashes):
			crashes[q.engine] = q.cause()
		case now.After(q.end):
			if !q.crashing {
				m.served++
			}
			return false
		case !q.proven && !q.crashing && now.After(q.firstEvent.Add(provenAfter)):
			q.proven = true
			m.ledgers[q.node].RecordSuccess(q.run.Parts, q.firstEvent)
		}
		return true
	})
	for e := range simEngines {
		cause, ok := crashes[e]
		if !ok {
			continue
		}
		if m.crashed[cause]++; m.crashed[cause] == 5 {
			m.fifth[cause] = now
		}
		m.crash(e)
	}
	m.endByThemselves()
	for range simRate {
		if m.elapsed() < simTime-maxRunTime && m.r.Int64N(int64(time.Second)) < int64(simStep) {
			m.send(m.request())
		}
	}
}

func (m *simulation) endByThemselves() {
	if m.ownEnds > 0 && m.r.Int64N(int64(m.ownEnds)) < int64(simStep) {
		m.crash(m.r.IntN(simEngines))
	}
	if m.elapsed() == simTime/2 {
		for _, e := range m.r.Perm(simEngines)[:m.atOnce] {
			m.crash(e)
		}
	}
}

func sliceFilter[T any](in []T, keep func(T) bool) []T {
	var out []T
	for _, x := range in {
		if keep(x) {
			out = append(out, x)
		}
	}
	return out
}

// Guards against requests with a part that crashes engines being sent again and again, and
// against refusing sound requests that share their other parts, callers or engines. The number
// of late requests holds for every seed, the share of sound requests in the mean.
func TestPartsThatCrashEnginesAreFound(t *testing.T) {
	for _, s := range []scenario{
		{name: "3 percent", share: 0.03, parts: 1},
		{name: "10 percent", share: 0.1, parts: 1},
		{name: "before the first event", share: 0.03, parts: 1, early: true},
		{name: "rare", share: 0.005, parts: 1},
		{name: "two parts", share: 0.05, parts: 2},
		{name: "always with the same sound part", share: 0.03, parts: 1, companion: 0.01},
		{name: "always with the same frequent sound part", share: 0.03, parts: 1, companion: 0.2},
		{name: "from the start", share: 0.05, parts: 1, from: 1},
		{name: "engines end by themselves too", share: 0.03, parts: 1, ownEnds: 3 * time.Second},
		{name: "only engines that end by themselves", parts: 1, ownEnds: 3 * time.Second, atOnce: 8},
		{name: "half of the engines end at once", parts: 1, atOnce: 8},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var crashed, late, worst, trials, sent, served, refused int
			for seed := range uint64(simSeeds) {
				m := newSimulation(seed, s)
				for m.elapsed() < simTime {
					m.step()
				}
				for part := range m.crashed {
					crashed, late, worst, trials = crashed+m.crashed[part], late+m.late[part], max(worst, m.late[part]), trials+m.claimed[part]
					if m.late[part] > maxLate {
						t.Errorf("seed %d: %d requests with a part that crashes engines were sent later than %v after the fifth crash, want at most %d", seed, m.late[part], contact, maxLate)
					}
				}
				sent, served, refused = sent+m.sent, served+m.served, refused+m.refused
			}
			share := float64(served) / float64(sent)
			t.Logf("%.1f engines crashed under requests, %.1f late (most %d), %.1f trials, %.1f sound requests refused, %.3f served", float64(crashed)/simSeeds, float64(late)/simSeeds, worst, float64(trials)/simSeeds, float64(refused)/simSeeds, share)
			if float64(refused) > maxRefused*float64(sent) {
				t.Errorf("%d of %d sound requests were refused, want at most %v of them", refused, sent, maxRefused)
			}
			if share < minServed {
				t.Errorf("%.3f of the sound requests were served, want at least %v", share, minServed)
			}
		})
	}
}
