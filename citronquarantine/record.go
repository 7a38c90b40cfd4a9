package citronquarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// barAt is on how many engines a request has to have ended to be barred.
	barAt = 3
	// firstTerm is for how long a request is barred at first; each further crash
	// doubles it, up to longestTerm.
	firstTerm   = time.Minute
	longestTerm = 32 * time.Minute
	// memory is how long a record is kept after the request may run again, and
	// clearMemory if nothing counts against it: others hear of that meanwhile.
	memory      = 10 * time.Minute
	clearMemory = time.Minute
	// MostCrashes bounds a record.
	MostCrashes = 8
	// OldestCrash is the age of the oldest crash that is of use.
	OldestCrash = longestTerm + memory
)

// Crash is the end of an engine under a run that had just begun.
type Crash struct {
	// Engine identifies one start of an engine.
	Engine uint64
	At     time.Time
	// Refuted: the request has run well since.
	Refuted bool
}

// EngineKey identifies one start of an engine by its ID.
func EngineKey(id string) uint64 { return xxhash.Sum64String(id) }

// keyOf identifies the start of an engine that ended under a run. Some engines do
// not tell when they started: one that has ended before, and ran the request since,
// has started again.
func (r Record) keyOf(id string, began time.Time) uint64 {
	key := EngineKey(id)
	for start := 2; r.endedBefore(key, began) && start <= MostCrashes; start++ {
		key = EngineKey(id + "#" + strconv.Itoa(start))
	}
	return key
}

func (r Record) endedBefore(key uint64, t time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Engine == key && c.At.Before(t) })
}

// Record is the crash count of one request. It is immutable.
type Record struct{ crashes []Crash }

// WithCrash returns the record with a crash. Of two reports of the same crash the
// earlier counts, and a refutation stays.
func (r Record) WithCrash(c Crash) Record {
	all := slices.Clone(r.crashes)
	i := slices.IndexFunc(all, func(o Crash) bool { return o.Engine == c.Engine })
	if i < 0 {
		return Record{bounded(append(all, c))}
	}
	all[i].Refuted = all[i].Refuted || c.Refuted
	if c.At.Before(all[i].At) {
		all[i].At = c.At
	}
	return Record{all}
}

// bounded drops refuted crashes first, then the oldest.
func bounded(all []Crash) []Crash {
	if len(all) <= MostCrashes {
		return all
	}
	slices.SortFunc(all, func(a, b Crash) int {
		if a.Refuted != b.Refuted {
			if a.Refuted {
				return 1
			}
			return -1
		}
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Engine, b.Engine))
	})
	return all[:MostCrashes]
}

// WithAll returns the record with all crashes of another.
func (r Record) WithAll(o Record) Record {
	for _, c := range o.crashes {
		r = r.WithCrash(c)
	}
	return r
}

// WithRefuted returns the record of a request that has run well.
func (r Record) WithRefuted() Record {
	all := slices.Clone(r.crashes)
	for i := range all {
		all[i].Refuted = true
	}
	return Record{all}
}

// Crashes returns all crashes, by engine.
func (r Record) Crashes() []Crash {
	return slices.SortedFunc(slices.Values(r.crashes), func(a, b Crash) int { return cmp.Compare(a.Engine, b.Engine) })
}

// Standing is how many engines count as crashed by the request.
func (r Record) Standing() int {
	n := 0
	for _, c := range r.crashes {
		if !c.Refuted {
			n++
		}
	}
	return n
}

// weighty reports whether the record bars the request, or might after one more
// crash, or did: all nodes have to agree on it.
func (r Record) weighty() bool { return len(r.crashes) >= barAt-1 }

// last is the time of the newest crash that counts, of any if none does.
func (r Record) last() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.At.After(last) && (!c.Refuted || r.Standing() == 0) {
			last = c.At
		}
	}
	return last
}

// barredUntil is when the request may run again; zero if it may run now and ever
// might.
func (r Record) barredUntil() time.Time {
	n := r.Standing()
	if n < barAt {
		return time.Time{}
	}
	return r.last().Add(min(longestTerm, firstTerm<<(n-barAt)))
}

// forgotten is when the record has no more use.
func (r Record) forgotten() time.Time {
	if r.Standing() == 0 {
		return r.last().Add(clearMemory)
	}
	if until := r.barredUntil(); !until.IsZero() {
		return until.Add(memory)
	}
	return r.last().Add(memory)
}

// equal reports whether two records say the same, but for times.
func (r Record) equal(o Record) bool {
	return slices.EqualFunc(r.Crashes(), o.Crashes(), func(a, b Crash) bool {
		return a.Engine == b.Engine && a.Refuted == b.Refuted
	})
}
