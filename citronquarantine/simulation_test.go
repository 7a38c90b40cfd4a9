package citronquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronquarantine"
)

const (
	// The simulated fleet: the number of engines that run first hops, the requests per
	// second, the length of a simulation step and the simulated time.
	simEngines = 6
	simRate    = 100
	simStep    = 20 * time.Millisecond
	simTime    = 3 * time.Minute
	// A run sends its first event firstEvent after it starts. It counts as just started
	// until minSuccessfulRun after that, and ends after runTime.
	firstEvent       = 300 * time.Millisecond
	minSuccessfulRun = 500 * time.Millisecond
	runTime          = 5 * time.Second
	// restartTime is how long a crashed engine is unavailable.
	restartTime = 3 * time.Second
	// maxRetryDelay is the maximum delay before a caller retries a failed request.
	maxRetryDelay = time.Second
	// maxQuarantinedShare is the maximum share of harmless requests that may be
	// quarantined.
	maxQuarantinedShare = 0.001
)

// simulatedRequest is a request in progress. If engine is negative, the request waits for
// its caller to retry it, and since is the time of the retry. Otherwise since is the start
// of the run.
type simulatedRequest struct {
	fingerprint citronquarantine.Fingerprint
	crashing    bool
	engine      int
	since       time.Time
	attempts    int
}

type simulation struct {
	rand   *rand.Rand
	clock  *citronclock.Manual
	ledger *citronquarantine.Ledger
	// crashCounts counts the crashes of each engine. The count is part of the engine's ID.
	// availableAt is when the engine is available again after a crash.
	crashCounts [simEngines]int
	availableAt [simEngines]time.Time
	requests    []*simulatedRequest
	sent        int
	// quarantined holds the harmless requests that were quarantined.
	quarantined map[citronquarantine.Fingerprint]bool
	// ended counts the engines that crashing requests have ended.
	ended int
}

func newSimulation(seed uint64) *simulation {
	clock := citronclock.NewManual(time.Unix(1_000_000, 0))
	return &simulation{rand: rand.New(rand.NewPCG(seed, 1)), clock: clock, ledger: citronquarantine.New("n", clock), quarantined: map[citronquarantine.Fingerprint]bool{}}
}

// send runs a request on a random available engine, unless the request is quarantined. A
// request with at most two crashes is run even if it should wait for a trial run to end.
func (m *simulation) send(r *simulatedRequest) {
	if v, ok := m.ledger.Admit(r.fingerprint).(citronquarantine.Quarantined); ok && v.Crashes > 2 {
		if !r.crashing {
			m.quarantined[r.fingerprint] = true
		}
		return
	}
	for range 4 * simEngines {
		e := m.rand.IntN(simEngines)
		if m.clock.Now().After(m.availableAt[e]) {
			r.engine, r.since = e, m.clock.Now()
			m.requests = append(m.requests, r)
			return
		}
	}
}

// crash ends an engine and all its runs. Runs that had just started count as crashed.
// A request is retried at once after its first attempt, unless it is a suspect.
// Otherwise the caller of a harmless request retries it later, up to four attempts in
// total.
func (m *simulation) crash(engine int) {
	now := m.clock.Now()
	m.crashCounts[engine]++
	m.availableAt[engine] = now.Add(restartTime)
	var ended, others []*simulatedRequest
	for _, r := range m.requests {
		if r.engine == engine {
			ended = append(ended, r)
		} else {
			others = append(others, r)
		}
	}
	m.requests = others
	for _, r := range ended {
		if now.Sub(r.since) < firstEvent+minSuccessfulRun {
			m.ledger.RecordCrash(r.fingerprint, fmt.Sprintf("%d@%d", engine, m.crashCounts[engine]), r.since)
		}
		r.attempts++
		switch {
		case r.attempts < 2 && !m.ledger.IsSuspect(r.fingerprint):
			m.send(r)
		case r.attempts < 4 && !r.crashing:
			r.engine, r.since = -1, now.Add(time.Duration(m.rand.Int64N(int64(maxRetryDelay))))
			m.requests = append(m.requests, r)
		}
	}
}

// step advances the simulation by simStep: runs continue, and crashing requests
// crash their engines.
func (m *simulation) step() {
	m.clock.Advance(simStep)
	now := m.clock.Now()
	runs := m.requests
	m.requests = nil
	var retries []*simulatedRequest
	var crashes []int
	for _, r := range runs {
		age := now.Sub(r.since)
		switch {
		case r.engine < 0 && age > 0:
			retries = append(retries, r)
			continue
		case r.crashing && age > firstEvent/2:
			crashes = append(crashes, r.engine)
		case r.engine >= 0 && age > firstEvent+minSuccessfulRun:
			m.ledger.RecordSuccess(r.fingerprint)
		}
		if r.engine < 0 || age < runTime {
			m.requests = append(m.requests, r)
		}
	}
	for _, r := range retries {
		m.send(r)
	}
	for _, e := range crashes {
		m.ended++
		m.crash(e)
	}
	for range simRate * int(simStep/time.Millisecond) / 1000 {
		m.sent++
		m.send(&simulatedRequest{fingerprint: request(m.sent)})
	}
}

// run runs the simulation for simTime. It calls fault at random times, on average
// once in every meanInterval.
func (m *simulation) run(meanInterval time.Duration, fault func(m *simulation)) {
	for range simTime / simStep {
		if m.rand.Int64N(int64(meanInterval)) < int64(simStep) {
			fault(m)
		}
		m.step()
	}
}

// Guards against quarantining harmless requests because they were running on engines that
// crashed. At most one in a thousand may be quarantined when half of all engines crash at
// once every ten seconds on average, when one engine crashes every three seconds on
// average, and while a request that crashes engines is sent every two seconds on average.
func TestFewHarmlessRequestsAreQuarantined(t *testing.T) {
	cases := []struct {
		name         string
		meanInterval time.Duration
		fault        func(m *simulation)
	}{
		{"half of the engines crash", 10 * time.Second, func(m *simulation) {
			for _, e := range m.rand.Perm(simEngines)[:simEngines/2] {
				m.crash(e)
			}
		}},
		{"an engine crashes every three seconds", 3 * time.Second, func(m *simulation) { m.crash(m.rand.IntN(simEngines)) }},
		{"a request crashes engines", 2 * time.Second, func(m *simulation) {
			m.send(&simulatedRequest{fingerprint: request(-1 - m.sent/6000), crashing: true}) // a new one each minute
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent, quarantined, ended := 0, 0, 0
			for seed := range uint64(3) {
				m := newSimulation(seed)
				m.run(c.meanInterval, c.fault)
				sent, quarantined, ended = sent+m.sent, quarantined+len(m.quarantined), ended+m.ended
			}
			t.Logf("%d of %d harmless requests quarantined; %d engines ended under crashing requests", quarantined, sent, ended)
			if share := float64(quarantined) / float64(sent); share > maxQuarantinedShare {
				t.Errorf("a share of %.4f of harmless requests was quarantined, want at most %.4f", share, maxQuarantinedShare)
			}
		})
	}
}
