package citronpart

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Merge merges records that another node sent or that were saved. It returns those of the
// parts that are quarantined or released on this node as a result.
func (l *Ledger) Merge(received []Record) ([]Record, error) {
	if len(received) > MaxRecords {
		return nil, errors.Newf("message has %d records of prompt parts, at most %d are allowed", len(received), MaxRecords)
	}
	now := l.clock.Now()
	for _, r := range received {
		if err := r.validate(now); err != nil {
			return nil, err
		}
	}
	var moved []Record
	changed := false
	l.mu.Lock()
	for _, r := range received {
		known, ok := l.records[r.Part]
		next := r
		if ok {
			next = known.Merged(r)
		}
		if ok && next.same(known.Record) {
			continue
		}
		l.set(next, false)
		changed = true
		l.detectAt = now
		if stored := l.records[r.Part].Record; (stored.State == Quarantined) != (known.State == Quarantined) {
			moved = append(moved, stored)
		}
	}
	l.mu.Unlock()
	if changed {
		l.onChange()
	}
	return moved, nil
}

// validate returns an error if no healthy node has such a record.
func (r Record) validate(now time.Time) error {
	switch age := now.Sub(r.Since); {
	case r.State < Suspect || r.State > Released:
		return errors.Newf("record of a prompt part has state %d", r.State)
	case r.Generation < 1 || r.Generation > maxGeneration || r.Trials < 0 || r.Trials > maxTrials || r.Crashes < 0:
		return errors.Newf("record of a prompt part has generation %d, %d trials and %d crashes", r.Generation, r.Trials, r.Crashes)
	case len(r.Engines) > maxEngines:
		return errors.Newf("record of a prompt part has %d engines, want at most %d", len(r.Engines), maxEngines)
	case age < 0 || age > maxRecordAge:
		return errors.Newf("record of a prompt part has age %v, want 0 to %v", age, maxRecordAge)
	}
	return nil
}

// Recent returns the records that have changed recently and that other nodes may not have
// received yet.
func (l *Ledger) Recent() []Record {
	now := l.clock.Now()
	out := l.selectRecords(func(e entry) bool { return now.Sub(e.changedAt) < gossipTTL })
	return out[:min(len(out), maxRecent)]
}

// All returns the records that all nodes have to agree on: those of parts that are or were
// quarantined, unless they have expired.
func (l *Ledger) All() []Record {
	now := l.clock.Now()
	return l.selectRecords(func(e entry) bool { return e.Crashes > 0 && !e.expired(now) })
}

// Unsaved returns the records that this node has changed and not saved yet.
func (l *Ledger) Unsaved() []Record {
	return l.selectRecords(func(e entry) bool { return e.unsaved })
}

// MarkSaved marks a record as saved, unless it has changed since.
func (l *Ledger) MarkSaved(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.records[r.Part]; ok && e.same(r) {
		e.unsaved = false
		l.records[r.Part] = e
	}
}

// InvalidateSaved marks the quarantined parts as not saved, because the storage may have
// lost them.
func (l *Ledger) InvalidateSaved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, e := range l.records {
		e.unsaved = e.unsaved || e.State == Quarantined
		l.records[p] = e
	}
}

// Quarantined returns the number of quarantined parts.
func (l *Ledger) Quarantined() int {
	return len(l.selectRecords(func(e entry) bool { return e.State == Quarantined }))
}

// selectRecords returns the matching records: quarantined ones first, then those that
// changed last.
func (l *Ledger) selectRecords(match func(entry) bool) []Record {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var selected []entry
	for _, e := range l.records {
		if match(e) {
			selected = append(selected, e)
		}
	}
	slices.SortFunc(selected, func(a, b entry) int {
		return cmp.Or(compareBool(b.State == Quarantined, a.State == Quarantined), b.changedAt.Compare(a.changedAt), cmp.Compare(a.Part, b.Part))
	})
	var out []Record
	for _, e := range selected {
		out = append(out, e.Record)
	}
	return out
}

// Checksum returns a checksum of the records that All returns, and zero if there are none.
func (l *Ledger) Checksum() uint64 {
	var sum uint64
	var text []byte
	for _, r := range l.All() {
		text = text[:0]
		for _, n := range []uint64{uint64(r.Part), uint64(r.State), uint64(r.Generation), r.Customer, uint64(r.Crashes), uint64(r.Trials), uint64(len(r.Engines))} {
			text = binary.LittleEndian.AppendUint64(text, n)
		}
		for _, engine := range r.Engines {
			text = binary.LittleEndian.AppendUint64(text, engine)
		}
		sum += xxhash.Sum64(text)
	}
	return sum
}
