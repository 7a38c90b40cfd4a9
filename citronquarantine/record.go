package citronquarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// quarantineThreshold is the number of engines that have to crash under a request
	// before it is quarantined.
	quarantineThreshold = 3
	// initialQuarantine is the first quarantine of a request. Each further crash
	// doubles it, up to maxQuarantine.
	initialQuarantine = time.Minute
	maxQuarantine     = 32 * time.Minute
	// retention is how long a record is kept after the quarantine ends, or after the
	// last crash if the request is not quarantined. A record whose crashes are all refuted
	// is kept for as long as if none were: other nodes may not know it yet, and their
	// records would quarantine the request again.
	retention = 10 * time.Minute
	// MaxCrashes is the maximum number of crashes in a record.
	MaxCrashes = 8
	// MaxCrashAge is the maximum age of a crash in a record that Ledger.Merge accepts. Each
	// crash keeps a record for at most maxQuarantine + retention, so that is also the most
	// by which each crash can be older than the next.
	MaxCrashAge = MaxCrashes * (maxQuarantine + retention)
)

// Crash is the end of an engine under a run of a request that had not yet run successfully.
type Crash struct {
	// Engine identifies one start of an engine.
	Engine uint64
	At     time.Time
	// Refuted is set if the request has run successfully since, or the crash has another
	// cause.
	Refuted bool
}

// EngineKey returns the key of one start of an engine, given its ID.
func EngineKey(id string) uint64 { return xxhash.Sum64String(id) }

// startKey returns the key of the engine start that ended under a run. Some engines
// do not report when they started. Such an engine has restarted if it ended before
// the run began.
func (r Record) startKey(id string, began time.Time) uint64 {
	key := EngineKey(id)
	for start := 2; r.endedBefore(key, began) && start <= MaxCrashes; start++ {
		key = EngineKey(id + "#" + strconv.Itoa(start))
	}
	return key
}

func (r Record) endedBefore(key uint64, t time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Engine == key && c.At.Before(t) })
}

// Record holds the crashes of one request. It is immutable.
type Record struct{ crashes []Crash }

// WithCrash returns the record with a crash added. Of two reports of the same crash,
// the earlier time is kept, and the crash is refuted if either report is.
func (r Record) WithCrash(c Crash) Record {
	all := slices.Clone(r.crashes)
	i := slices.IndexFunc(all, func(o Crash) bool { return o.Engine == c.Engine })
	if i < 0 {
		return Record{truncate(append(all, c))}
	}
	all[i].Refuted = all[i].Refuted || c.Refuted
	if c.At.Before(all[i].At) {
		all[i].At = c.At
	}
	return Record{all}
}

// truncate reduces crashes to MaxCrashes. It drops refuted crashes first, then the
// oldest ones.
func truncate(all []Crash) []Crash {
	if len(all) <= MaxCrashes {
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
	return all[:MaxCrashes]
}

// Merged returns the record with all crashes of another record added.
func (r Record) Merged(o Record) Record {
	for _, c := range o.crashes {
		r = r.WithCrash(c)
	}
	return r
}

// WithRefuted returns the record with all crashes refuted, as after a successful run.
func (r Record) WithRefuted() Record {
	all := slices.Clone(r.crashes)
	for i := range all {
		all[i].Refuted = true
	}
	return Record{all}
}

// withExplained returns the record with the crashes of the given engine starts refuted.
func (r Record) withExplained(engines map[uint64]bool) Record {
	if len(engines) == 0 {
		return r
	}
	all := slices.Clone(r.crashes)
	for i, c := range all {
		all[i].Refuted = c.Refuted || engines[c.Engine]
	}
	return Record{all}
}

// Crashes returns all crashes, refuted ones included, sorted by engine key.
func (r Record) Crashes() []Crash {
	return slices.SortedFunc(slices.Values(r.crashes), func(a, b Crash) int { return cmp.Compare(a.Engine, b.Engine) })
}

// ActiveCrashes returns the number of crashes that are not refuted.
func (r Record) ActiveCrashes() int {
	n := 0
	for _, c := range r.crashes {
		if !c.Refuted {
			n++
		}
	}
	return n
}

// significant reports whether the record has enough crashes that one more could quarantine
// the request. Refuted crashes count too, so a record stays significant when the request
// is cleared. All nodes have to agree on significant records.
func (r Record) significant() bool { return len(r.crashes) >= quarantineThreshold-1 }

// lastCrash returns the time of the newest crash that is not refuted. If all crashes
// are refuted, it returns the time of the newest one.
func (r Record) lastCrash() time.Time {
	var lastCrash time.Time
	for _, c := range r.crashes {
		if c.At.After(lastCrash) && (!c.Refuted || r.ActiveCrashes() == 0) {
			lastCrash = c.At
		}
	}
	return lastCrash
}

// quarantinedUntil returns the time at which the quarantine ends. It is zero if the
// request has too few crashes for a quarantine.
func (r Record) quarantinedUntil() time.Time {
	return r.quarantineEnd(r.ActiveCrashes())
}

// quarantineEnd returns the time at which the quarantine of a request with the given
// number of crashes ends, or zero if they are too few.
func (r Record) quarantineEnd(crashes int) time.Time {
	if crashes < quarantineThreshold {
		return time.Time{}
	}
	return r.lastCrash().Add(min(maxQuarantine, initialQuarantine<<(crashes-quarantineThreshold)))
}

// expiresAt returns the time at which the record is no longer needed.
func (r Record) expiresAt() time.Time {
	crashes := r.ActiveCrashes()
	if crashes == 0 {
		crashes = len(r.crashes)
	}
	if until := r.quarantineEnd(crashes); !until.IsZero() {
		return until.Add(retention)
	}
	return r.lastCrash().Add(retention)
}

// equal reports whether two records have the same crashes. It ignores the times of the
// crashes.
func (r Record) equal(o Record) bool {
	return slices.EqualFunc(r.Crashes(), o.Crashes(), func(a, b Crash) bool {
		return a.Engine == b.Engine && a.Refuted == b.Refuted
	})
}
