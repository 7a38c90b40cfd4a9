package citronpart

import (
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronpoison"
)

// State is what the nodes know of a part. It is one of Suspect, Quarantined and Released.
type State int

const (
	// Suspect means that engines have crashed under requests with the part, too few to
	// tell. Nodes tell each other when a request runs with it successfully.
	Suspect State = iota + 1
	// Quarantined means that the part crashes engines.
	Quarantined
	// Released means that a request has run with the part successfully.
	Released
)

const (
	// The first trial of a part is firstTrial after it was quarantined, and each further
	// one trialFactor times later than the one before. Trials of parts that may well be
	// harmless come earlier, and so do those by customers under whose requests no engine has
	// crashed.
	firstTrial       = time.Minute
	trialFactor      = 2
	firstEarlyTrial  = 2 * time.Second
	earlyTrialFactor = 8
	maxTrialDelay    = time.Hour
	// recordTTL is how long a record is valid after its last change, and quarantineTTL how
	// long a quarantine is, or after its last trial.
	recordTTL      = 10 * time.Minute
	quarantineTTL  = 2 * time.Hour
	maxGeneration  = 1 << 20
	maxTrials      = 1 << 10
	maxRecordAge   = 2 * quarantineTTL
	maxCrashReport = time.Minute
	maxEngines     = 64
)

// Record is what the nodes have agreed on about a part. It is immutable.
type Record struct {
	Part  citronpoison.Part
	State State
	// Generation increases with each change of State. Of two records of a part, the one of
	// the higher generation is valid.
	Generation int
	// Since is the time of the last change of State. LastCrash is the time of the last crash
	// that counted, and RanAt the start of the last run that showed the part to be harmless.
	Since, LastCrash, RanAt time.Time
	// Customer is the only customer under whose requests engines have crashed, or
	// citronpoison.AllCustomers. If requests have run with the part before (Proven), only that customer's
	// are refused, so that no customer can have the parts of others refused.
	Customer uint64
	Proven   bool
	// Crashes is the number of crashes that the part explains, and Engines are the engines, by
	// their starts, that crashed: at most maxEngines, sorted.
	Crashes int
	Engines []uint64
	// Tied reports that another part explains them equally well.
	Tied bool
	// Trials is the number of trials since the part was quarantined, and TriedAt is the time
	// of the last one.
	Trials  int
	TriedAt time.Time
}

// Merged returns the record that is valid of r and a record of another node. Times of the
// same change differ between nodes by the time that messages take; the earliest is kept.
func (r Record) Merged(o Record) Record {
	if o.Generation != r.Generation || o.State != r.State {
		// The number of crashes is kept, so that nodes with the other record are told.
		crashes, engines := max(r.Crashes, o.Crashes), union(r.Engines, o.Engines)
		if o.Generation > r.Generation || o.Generation == r.Generation && o.State > r.State {
			r = o
		}
		r.Crashes, r.Engines = crashes, engines
		return r
	}
	r.Since, r.LastCrash, r.RanAt = earlier(r.Since, o.Since), earlier(r.LastCrash, o.LastCrash), earlier(r.RanAt, o.RanAt)
	if o.Customer != r.Customer {
		r.Customer = citronpoison.AllCustomers
	}
	r.Engines = union(r.Engines, o.Engines)
	r.Crashes, r.Tied, r.Proven = max(r.Crashes, o.Crashes), r.Tied && o.Tied, r.Proven || o.Proven
	if o.Trials > r.Trials {
		r.Trials, r.TriedAt = o.Trials, o.TriedAt
	}
	return r
}

// union returns the engines in a or b: the last maxEngines of them, so that nodes which know of
// more keep the same ones.
func union(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[max(0, len(all)-maxEngines):]
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// same reports whether two records say the same, apart from times.
func (r Record) same(o Record) bool {
	return r.State == o.State && r.Generation == o.Generation && r.Customer == o.Customer && r.Crashes == o.Crashes && r.Tied == o.Tied && r.Proven == o.Proven && r.Trials == o.Trials && slices.Equal(r.Engines, o.Engines)
}

// withState returns the record after a change of its state.
func (r Record) withState(s State, now time.Time) Record {
	r.State, r.Since = s, now
	r.Generation++
	return r
}

// WithFinding returns the record of a part that has been found to crash engines.
func (r Record) WithFinding(f citronpoison.Finding, now time.Time) Record {
	r = r.withState(Quarantined, now)
	r.Customer, r.Proven, r.Crashes, r.LastCrash, r.Tied = f.Customer, f.Proven, f.Crashes, f.LastCrash, f.Tied
	r.Engines = union(r.Engines, f.Engines)
	r.Trials, r.TriedAt, r.RanAt = 0, time.Time{}, time.Time{}
	return r
}

// WithTrial returns the record after the n-th trial has begun.
func (r Record) WithTrial(n int, now time.Time) Record {
	if n > r.Trials {
		r.Trials, r.TriedAt = n, now
	}
	return r
}

// refuses reports whether requests of a customer with the part are refused.
func (r Record) refuses(customer uint64) bool {
	return r.State == Quarantined && (r.concerns(customer) || !r.Proven)
}

// concerns reports whether engines have crashed under requests of a customer with the part.
func (r Record) concerns(customer uint64) bool {
	return r.Customer == citronpoison.AllCustomers || r.Customer == customer
}

// isDoubtful reports whether the part may well be harmless.
func (r Record) isDoubtful() bool { return r.Tied || r.Proven }

// nextTrial returns the time of the next trial by a request of a customer.
func (r Record) nextTrial(customer uint64) time.Time {
	delay, factor := firstTrial, trialFactor
	if r.isDoubtful() || !r.concerns(customer) {
		delay, factor = firstEarlyTrial, earlyTrialFactor
	}
	from := r.Since
	for range r.Trials {
		delay = min(maxTrialDelay, delay*time.Duration(factor))
		from = r.TriedAt
	}
	return from.Add(delay)
}

// expired reports whether the record is no longer needed.
func (r Record) expired(now time.Time) bool {
	ttl := recordTTL
	if r.State == Quarantined {
		ttl = quarantineTTL
	}
	return now.Sub(r.Since) > ttl && now.Sub(r.TriedAt) > ttl
}
