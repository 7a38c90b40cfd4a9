package citronquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// maxRecords is the maximum number of records in the ledger. Records with the
	// fewest crashes are dropped first, and of those the oldest.
	maxRecords = 1024
	// MaxGossipRecords is the maximum number of records in one message between nodes.
	MaxGossipRecords = 64
	// gossipTTL is how long a change counts as recent, and maxRecentRecords is the
	// maximum number of recent changes in one message. Eight engines that end at once
	// leave hundreds of records with one crash each. Sending all of them repeatedly
	// would saturate the links of a large fleet.
	gossipTTL        = 2 * time.Second
	maxRecentRecords = 8
	// summaryTTL is how long a cached summary is used. For that long, it may contain
	// records that have expired.
	summaryTTL = 10 * time.Second
	// trialRetry is the retry delay of a request while a trial run with the same
	// fingerprint is in progress.
	trialRetry = time.Second
	// releaseSpread is the time over which the nodes release a quarantined request
	// one after another. The first node to admit it learns whether it still crashes
	// engines and tells the others.
	releaseSpread = 30 * time.Second
)

// Entry is the record of one request with its fingerprint.
type Entry struct {
	Fingerprint Fingerprint
	Record
}

// Ledger holds the records of requests that crash engines, as learned from the node's
// own runs and from other nodes.
type Ledger struct {
	node  string
	clock citronclock.Clock
	size  atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// explained are the engines, by their starts, whose crashes have another cause.
	explained map[uint64]bool
	// onChange is called when there is an update for other nodes.
	onChange func()
	// summary is the cached summary for other nodes. It is nil after a change.
	summary *summary
}

// summary holds the results of All and Checksum.
type summary struct {
	at       time.Time
	all      []Entry
	checksum uint64
}

// entry is a record with the local state of this node.
type entry struct {
	Record
	// changedAt is when the record last changed on this node.
	changedAt time.Time
	onTrial   bool
	// observed is set if this node itself observed a crash of the request. This node
	// then has to save the record in durable storage once the request is quarantined.
	// saved is the record as last saved.
	observed bool
	saved    Record
}

// New returns an empty ledger for the node with the given name.
func New(node string, clock citronclock.Clock) *Ledger {
	return &Ledger{node: node, clock: clock, entries: map[Fingerprint]*entry{}, onChange: func() {}}
}

// OnChange sets the function that is called when there is an update for other nodes.
// It must be called before the ledger is used.
func (l *Ledger) OnChange(f func()) { l.onChange = f }

// Empty reports whether the ledger has no records.
func (l *Ledger) Empty() bool { return l.size.Load() == 0 }

// Admit decides whether a request may run.
func (l *Ledger) Admit(p Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(p)
	if e == nil || e.ActiveCrashes() < quarantineThreshold-1 {
		return Admitted{}
	}
	if left := l.releaseAt(p, e.Record).Sub(l.clock.Now()); left > 0 {
		return Quarantined{RetryAfter: left, Crashes: e.ActiveCrashes()}
	}
	if e.onTrial {
		return Quarantined{RetryAfter: trialRetry, Crashes: e.ActiveCrashes()}
	}
	e.onTrial = true
	return TrialRun{End: func() { l.endTrial(p) }}
}

// QuarantinedFor reports whether a request that was admitted has been quarantined since,
// and for how long.
func (l *Ledger) QuarantinedFor(p Fingerprint) (time.Duration, bool) {
	if l.Empty() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(p)
	if e == nil {
		return 0, false
	}
	left := l.releaseAt(p, e.Record).Sub(l.clock.Now())
	return left, left > 0
}

// IsSuspect reports whether the request has so many crashes that it is quarantined or
// that one more crash would quarantine it.
func (l *Ledger) IsSuspect(p Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(p)
	return e != nil && e.ActiveCrashes() >= quarantineThreshold-1
}

// releaseAt returns the time at which this node admits the request again. It is zero
// if the request is not quarantined. The delay within releaseSpread is a hash of the
// node name and the fingerprint.
func (l *Ledger) releaseAt(p Fingerprint, r Record) time.Time {
	until := r.quarantinedUntil()
	if until.IsZero() {
		return until
	}
	hash := xxhash.Sum64String(l.node + p.String())
	return until.Add(time.Duration(hash % uint64(releaseSpread)))
}

func (l *Ledger) endTrial(p Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[p]; e != nil {
		e.onTrial = false
	}
}

// RecordCrash records that an engine ended under a run of the request before the request
// had run successfully. engine is the engine's ID, and began is when the run began. It
// returns the request's record, and whether the record has changed.
func (l *Ledger) RecordCrash(p Fingerprint, engine string, began time.Time) (r Record, updated bool) {
	l.mu.Lock()
	e := l.find(p)
	var known Record
	if e != nil {
		known = e.Record
	}
	crash := Record{}.WithCrash(Crash{Engine: known.startKey(engine, began), At: l.clock.Now()})
	updated = e == nil || !e.Merged(crash).equal(e.Record)
	if updated {
		e = l.put(p, crash)
		e.observed = true
	}
	r = e.Record
	l.mu.Unlock()
	if updated && r.significant() {
		l.onChange() // a single crash waits for the next regular message
	}
	return r, updated
}

// RecordSuccess records that the request has run successfully.
func (l *Ledger) RecordSuccess(p Fingerprint) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	e := l.find(p)
	updated := e != nil && e.ActiveCrashes() > 0
	if updated {
		l.set(e, e.WithRefuted())
	}
	urgent := updated && e.significant()
	l.mu.Unlock()
	if urgent {
		l.onChange()
	}
}

// Unsaved returns the records that this node has to save in durable storage, at most
// MaxGossipRecords. These are the records that differ from what this node last saved, if
// it observed a crash of the request, and the request has enough crashes for a quarantine
// or its record has been saved before.
func (l *Ledger) Unsaved() []Entry {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.selectEntries(func(e *entry) bool {
		wasSaved := len(e.saved.crashes) > 0
		return e.observed && (wasSaved || e.ActiveCrashes() >= quarantineThreshold) && !e.saved.equal(e.Record)
	})
}

// InvalidateSaved marks all records as not saved, because the storage may have lost
// them.
func (l *Ledger) InvalidateSaved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		e.saved = Record{}
	}
}

// MarkSaved marks a record as saved.
func (l *Ledger) MarkSaved(x Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[x.Fingerprint]; e != nil {
		e.saved = x.Record
	}
}

// Merge merges the records that another node sent, and returns the entries of the
// requests that are quarantined on this node as a result. If a record that all nodes have
// to agree on has changed, there is an update for other nodes (OnChange).
func (l *Ledger) Merge(received []Entry) ([]Entry, error) {
	if err := l.validate(received); err != nil {
		return nil, err
	}
	l.mu.Lock()
	var quarantined []Entry
	updated := false
	for _, in := range received {
		before := 0
		if e := l.find(in.Fingerprint); e != nil {
			before = e.ActiveCrashes()
			if e.Merged(in.Record).equal(e.Record) {
				continue
			}
		}
		after := l.put(in.Fingerprint, in.Record).Record
		updated = updated || after.significant()
		if before < quarantineThreshold && after.ActiveCrashes() >= quarantineThreshold {
			quarantined = append(quarantined, Entry{in.Fingerprint, after})
		}
	}
	l.mu.Unlock()
	if updated {
		l.onChange()
	}
	return quarantined, nil
}

// validate rejects a message as a whole if any part of it is invalid.
func (l *Ledger) validate(received []Entry) error {
	if len(received) > MaxGossipRecords {
		return errors.Newf("message has %d records, at most %d are allowed", len(received), MaxGossipRecords)
	}
	now := l.clock.Now()
	for _, in := range received {
		if n := len(in.crashes); n == 0 || n > MaxCrashes {
			return errors.Newf("record has %d crashes, must have 1 to %d", n, MaxCrashes)
		}
		for _, c := range in.crashes {
			if age := now.Sub(c.At); age < 0 || age > MaxCrashAge {
				return errors.Newf("crash has age %v, must be between 0 and %v", age, MaxCrashAge)
			}
		}
	}
	return nil
}

// Recent returns the records that have changed recently and that other nodes may not
// have received yet.
func (l *Ledger) Recent() []Entry {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	recent := l.selectEntries(func(e *entry) bool { return now.Sub(e.changedAt) < gossipTTL })
	return recent[:min(len(recent), maxRecentRecords)]
}

// All returns the records that this node sends to a node whose checksum differs: those
// with at least quarantineThreshold-1 crashes, refuted ones included, but at most
// MaxGossipRecords.
func (l *Ledger) All() []Entry { return l.summarize().all }

// Checksum returns a checksum of the records that All returns, and zero if there are none.
// Nodes with the same records have the same checksum, whenever they learned them.
func (l *Ledger) Checksum() uint64 { return l.summarize().checksum }

func (l *Ledger) summarize() summary {
	if l.Empty() {
		return summary{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.summary == nil || now.Sub(l.summary.at) > summaryTTL {
		l.dropExpired()
		all := l.selectEntries(func(e *entry) bool { return e.significant() })
		l.summary = &summary{at: now, all: all, checksum: checksum(all)}
	}
	return *l.summary
}

// selectEntries returns at most MaxGossipRecords matching entries, sorted by
// decreasing number of crashes, then by decreasing time of the last crash. The caller
// must hold l.mu.
func (l *Ledger) selectEntries(match func(*entry) bool) []Entry {
	var out []Entry
	for p, e := range l.entries {
		if match(e) {
			out = append(out, Entry{p, e.Record})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.ActiveCrashes(), a.ActiveCrashes()), b.lastCrash().Compare(a.lastCrash()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return out[:min(len(out), MaxGossipRecords)]
}

// checksum returns a checksum of entries. It ignores times, which differ between nodes.
func checksum(entries []Entry) uint64 {
	var sum uint64
	for _, e := range entries {
		h := xxhash.New()
		_, _ = h.Write(e.Fingerprint[:]) // never returns an error
		for _, c := range e.Crashes() {
			word := c.Engine << 1
			if c.Refuted {
				word++
			}
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, word))
		}
		sum ^= h.Sum64()
	}
	return sum
}

// Count returns the number of records and how many of them quarantine their request.
func (l *Ledger) Count() (known, quarantined int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for p, e := range l.entries {
		if l.releaseAt(p, e.Record).After(now) {
			quarantined++
		}
	}
	return len(l.entries), quarantined
}

// find returns the entry of a request, or nil if there is none. It drops the entry if
// it has expired, unless a trial run is in progress. The caller must hold l.mu.
func (l *Ledger) find(p Fingerprint) *entry {
	e := l.entries[p]
	if e == nil || e.onTrial || l.clock.Now().Before(e.expiresAt()) {
		return e
	}
	l.drop(p)
	return nil
}

// put merges a record into the ledger. The caller must hold l.mu.
func (l *Ledger) put(p Fingerprint, r Record) *entry {
	e := l.find(p)
	if e == nil {
		l.evictIfFull()
		e = &entry{}
		l.entries[p] = e
		l.size.Store(int64(len(l.entries)))
	}
	l.set(e, e.Merged(r).withExplained(l.explained))
	return e
}

// Explain refutes the crashes of engines, given by their starts, that have another cause: a part
// of the prompt of another request. It also applies to crashes that are recorded later. Each
// call replaces the engines of the call before.
func (l *Ledger) Explain(engines []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.explained = map[uint64]bool{}
	for _, engine := range engines {
		l.explained[engine] = true
	}
	for _, e := range l.entries {
		if r := e.withExplained(l.explained); !r.equal(e.Record) {
			l.set(e, r)
		}
	}
}

// set changes a record. The caller must hold l.mu.
func (l *Ledger) set(e *entry, r Record) {
	e.Record, e.changedAt = r, l.clock.Now()
	l.summary = nil
}

// evictIfFull drops expired records if the ledger is full. If it is still full, it
// drops the record with the fewest crashes, and of several the one whose last crash is
// the oldest. The caller must hold l.mu.
func (l *Ledger) evictIfFull() {
	if len(l.entries) < maxRecords {
		return
	}
	l.dropExpired()
	if len(l.entries) < maxRecords {
		return
	}
	var victim Fingerprint
	var fewest *entry
	for p, e := range l.entries {
		if fewest == nil || cmp.Or(cmp.Compare(e.ActiveCrashes(), fewest.ActiveCrashes()), e.lastCrash().Compare(fewest.lastCrash())) < 0 {
			victim, fewest = p, e
		}
	}
	l.drop(victim)
}

func (l *Ledger) dropExpired() {
	for p := range l.entries {
		l.find(p)
	}
}

func (l *Ledger) drop(p Fingerprint) {
	delete(l.entries, p)
	l.size.Store(int64(len(l.entries)))
	l.summary = nil
}
