package citronpart

import (
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronpoison"
)

// Verdict says whether a request may be sent to an engine. It is one of Admitted, Trial and
// Refused.
type Verdict interface{ verdict() }

// Admitted admits a request.
type Admitted struct{}

// Trial admits a request if no other node has begun trial N of the part. The first node to
// claim the trial begins it with BeginTrial.
type Trial struct {
	Part       citronpoison.Part
	Generation int
	N          int
	// Refused applies if another node has begun the trial.
	Refused Refused
}

// Refused rejects a request because of a part of its prompt.
type Refused struct {
	Part citronpoison.Part
	// RetryAfter is the time until the next trial of the part.
	RetryAfter time.Duration
	Crashes    int
}

func (Admitted) verdict() {}
func (Trial) verdict()    {}
func (Refused) verdict()  {}

// Check returns the verdict on a request with a part that is quarantined for its customer, and
// false if it has none.
func (l *Ledger) Check(customer uint64, parts []citronpoison.Part) (Refused, bool) {
	if l.Empty() {
		return Refused{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.refusing(customer, parts)
	if len(refused) == 0 {
		return Refused{}, false
	}
	return l.verdict(customer, refused), true
}

// Admit decides whether a request may be sent. Unlike Check, it may admit the request as a
// trial.
func (l *Ledger) Admit(customer uint64, parts []citronpoison.Part) Verdict {
	if l.Empty() {
		return Admitted{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.refusing(customer, parts)
	if len(refused) == 0 {
		return Admitted{}
	}
	v, now := l.verdict(customer, refused), l.clock.Now()
	e := refused[0]
	if len(refused) > 1 || now.Before(e.nextTrial(customer)) || now.Sub(e.offeredAt) < claimInterval {
		return v
	}
	e.offeredAt = now
	l.records[e.Part] = e
	return Trial{Part: e.Part, Generation: e.Generation, N: e.Trials + 1, Refused: v}
}

// refusing returns the records because of which a request is refused. The caller must hold
// l.mu.
func (l *Ledger) refusing(customer uint64, parts []citronpoison.Part) []entry {
	var out []entry
	for _, p := range parts {
		if e, ok := l.records[p]; ok && e.refuses(customer) && !e.expired(l.clock.Now()) {
			out = append(out, e)
		}
	}
	return out
}

// verdict returns the verdict for the part whose next trial is the last to come.
func (l *Ledger) verdict(customer uint64, refused []entry) Refused {
	last := slices.MaxFunc(refused, func(a, b entry) int { return a.nextTrial(customer).Compare(b.nextTrial(customer)) })
	return Refused{Part: last.Part, RetryAfter: max(minRetryAfter, last.nextTrial(customer).Sub(l.clock.Now())), Crashes: last.Crashes}
}

// BeginTrial records that a trial has begun, at this node or at another.
func (l *Ledger) BeginTrial(t Trial) {
	l.mu.Lock()
	e, ok := l.records[t.Part]
	changed := ok && e.Generation == t.Generation && e.Trials < t.N
	if changed {
		l.set(e.WithTrial(t.N, l.clock.Now()), true)
	}
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
}
