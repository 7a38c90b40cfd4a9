package citronpoison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// simultaneous is the time within which crashes count as one. Engines that share a
	// cause of their own, such as a power supply, end together.
	simultaneous = 100 * time.Millisecond
	// settleTime is the age from which a crash counts. Until then, runs that have begun
	// since may still show that a part is harmless. A part whose score is at least clearLead
	// above that of any other is found without it.
	settleTime = time.Second
	clearLead  = 2
	// minScore is the score from which a part that explains more crashes than any other is
	// found, and minTiedScore the score from which all parts are found that explain them
	// equally well.
	minScore     = 3
	minTiedScore = 4
	// minRequestCrashes is the number of crashes from which on a request is quarantined by
	// itself (citronquarantine).
	minRequestCrashes = 3
	// provenPenalty is deducted from the score of a part with which requests have run
	// successfully before.
	provenPenalty = 2
	// A part is common if more than commonShare of at least minRequests requests on crashed
	// engines have it. Engines that crash under a common part are faulty themselves, and
	// refusing the part would refuse most requests.
	commonShare = 0.5
	minRequests = 20
)

// Finding is a part that crashes engines.
type Finding struct {
	Part Part
	// Customer is the only customer under whose requests with the part engines have
	// crashed, or AllCustomers.
	Customer uint64
	// Crashes is the number of crashes that the part explains, and LastCrash the time of
	// the last one.
	Crashes   int
	LastCrash time.Time
	// Engines are the engines, by their starts, that have crashed under the part.
	Engines []uint64
	// Tied reports that another part explains the crashes equally well.
	Tied bool
	// Proven reports that requests have run with the part successfully before.
	Proven bool
}

// AllCustomers is the customer of a finding that concerns the requests of all customers.
const AllCustomers = 0

// Evidence is what the detection is based on.
type Evidence struct {
	// Crashes are sorted by time.
	Crashes []Crash
	// Succeeded holds the start of the last run that has shown a part to be harmless.
	Succeeded map[Part]time.Time
	// Known are the parts that have been found before.
	Known map[Part]bool
}

// Suspect is a part that might be found with more crashes.
type Suspect struct {
	Part      Part
	LastCrash time.Time
}

// Settled returns when the first crash that has not settled yet does so, or zero.
func (e Evidence) Settled(now time.Time) time.Time {
	for _, c := range e.Crashes {
		if settled := c.At.Add(settleTime); settled.After(now) {
			return settled
		}
	}
	return time.Time{}
}

// Detect returns the parts that crash engines and are not known yet, and the suspects.
func (e Evidence) Detect(now time.Time) (found []Finding, suspects []Suspect) {
	common := e.commonParts()
	open := slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.hasAny(e.Known) })
	for {
		ranked := e.rank(open, common)
		if request, ok := guiltyRequest(open, ranked); ok {
			open = slices.DeleteFunc(open, func(c Crash) bool { return c.has(request) })
			continue
		}
		best := leaders(ranked)
		if !isClear(ranked) {
			settled := slices.DeleteFunc(slices.Clone(open), func(c Crash) bool { return now.Sub(c.At) < settleTime })
			best = leaders(e.rank(settled, common))
			if len(best) == 0 || best[0].score < minScore || len(best) > 1 && best[0].score < minTiedScore {
				break
			}
		}
		blamed := map[Part]bool{}
		for _, c := range best {
			found = append(found, Finding{Part: c.part, Customer: c.customer(), Crashes: c.events, LastCrash: c.last, Engines: EnginesUnder(open, c.part), Tied: len(best) > 1, Proven: c.proven})
			blamed[c.part] = true
		}
		open = slices.DeleteFunc(open, func(c Crash) bool { return c.hasAny(blamed) })
	}
	for p, c := range e.candidates(open) {
		if c.events > 1 && !common[p] {
			suspects = append(suspects, Suspect{p, c.last})
		}
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.Part, b.Part) })
	return found, suspects
}

// guiltyRequest returns the request that explains most crashes, if it explains as many as any part.
// The parts of a request that crashes engines by itself are in no more crashes than it is, nor are
// those of the requests that it takes along.
func guiltyRequest(crashes []Crash, ranked []*candidate) (request uint64, ok bool) {
	most := minRequestCrashes
	for _, c := range ranked {
		most = max(most, c.events)
	}
	events := map[uint64]*candidate{}
	for _, crash := range crashes {
		for _, r := range crash.Runs {
			c := events[r.Request]
			if c == nil {
				c = &candidate{requests: map[uint64]bool{}, customers: map[uint64]bool{}}
				events[r.Request] = c
			}
			c.add(crash, r)
			if c.events > most || c.events == most && (!ok || r.Request < request) {
				request, most, ok = r.Request, c.events, true
			}
		}
	}
	return request, ok
}

// has reports whether the crash has a run of the request.
func (c Crash) has(request uint64) bool {
	return slices.ContainsFunc(c.Runs, func(r Run) bool { return r.Request == request })
}

// EnginesUnder returns the engines of the crashes that a part could have caused.
func EnginesUnder(crashes []Crash, p Part) []uint64 {
	var out []uint64
	for _, c := range crashes {
		if c.hasAny(map[Part]bool{p: true}) {
			out = append(out, c.Engine)
		}
	}
	return out
}

// hasAny reports whether any run of the crash has one of the parts.
func (c Crash) hasAny(parts map[Part]bool) bool {
	return slices.ContainsFunc(c.Runs, func(r Run) bool {
		return slices.ContainsFunc(r.Parts, func(p Part) bool { return parts[p] })
	})
}

// candidate is a part that may have caused crashes.
type candidate struct {
	part Part
	// events is the number of crashes that the part could have caused, where simultaneous
	// ones count as one.
	events              int
	eventAt, last       time.Time
	requests, customers map[uint64]bool
	proven              bool
	score               int
}

// customer returns the only customer of the candidate's requests, or AllCustomers.
func (c *candidate) customer() uint64 {
	if len(c.customers) > 1 {
		return AllCustomers
	}
	for only := range c.customers {
		return only
	}
	return AllCustomers
}

// candidates returns the parts that could have caused any of the crashes, which are sorted
// by time.
func (e Evidence) candidates(crashes []Crash) map[Part]*candidate {
	out := map[Part]*candidate{}
	for _, crash := range crashes {
		for _, r := range crash.Runs {
			for _, p := range r.Parts {
				if succeeded, ok := e.Succeeded[p]; ok && succeeded.After(crash.At) {
					continue
				}
				c := out[p]
				if c == nil {
					_, succeeded := e.Succeeded[p]
					c = &candidate{part: p, requests: map[uint64]bool{}, customers: map[uint64]bool{}, proven: succeeded}
					out[p] = c
				}
				c.add(crash, r)
			}
		}
	}
	return out
}

// add counts a run of the crash for the candidate.
func (c *candidate) add(crash Crash, r Run) {
	if c.events == 0 || crash.At.Sub(c.eventAt) > simultaneous {
		c.events++
		c.eventAt = crash.At
	}
	c.last = crash.At
	c.requests[r.Request], c.customers[r.Customer] = true, true
	c.proven = c.proven || slices.Contains(crash.Proven, c.part)
}

// withScore returns the candidate with its score. A request that is moved from a crashed
// engine to one that crashes too is counted once there: its part is then no likelier to be
// the cause than any other.
func (c *candidate) withScore() *candidate {
	c.score = min(c.events, 2*len(c.requests)-1)
	if c.proven {
		c.score -= provenPenalty
	}
	return c
}

// rank returns the candidates, the one with the highest score first.
func (e Evidence) rank(crashes []Crash, common map[Part]bool) []*candidate {
	var out []*candidate
	for p, c := range e.candidates(crashes) {
		if !common[p] {
			out = append(out, c.withScore())
		}
	}
	slices.SortFunc(out, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.part, b.part))
	})
	return out
}

// leaders returns the candidates that share the highest score.
func leaders(ranked []*candidate) []*candidate {
	for i, c := range ranked {
		if c.score < ranked[0].score {
			return ranked[:i]
		}
	}
	return ranked
}

// isClear reports whether the first candidate leads by so much that crashes that have not
// settled count too.
func isClear(ranked []*candidate) bool {
	return len(ranked) > 0 && ranked[0].score >= minScore && (len(ranked) == 1 || ranked[0].score-ranked[1].score >= clearLead)
}

// commonParts returns the common parts.
func (e Evidence) commonParts() map[Part]bool {
	requests := map[uint64]bool{}
	with := map[Part]map[uint64]bool{}
	for _, c := range e.Crashes {
		for _, r := range c.Runs {
			requests[r.Request] = true
			for _, p := range r.Parts {
				if with[p] == nil {
					with[p] = map[uint64]bool{}
				}
				with[p][r.Request] = true
			}
		}
	}
	out := map[Part]bool{}
	if len(requests) < minRequests {
		return out
	}
	for p := range maps.Keys(with) {
		out[p] = float64(len(with[p])) > commonShare*float64(len(requests))
	}
	return out
}
