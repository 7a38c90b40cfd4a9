package citronlimit

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// gossipTTL is how long a change counts as recent, and maxRecent is the maximum number
	// of recent changes in one message. Exchanges between nodes transfer the rest.
	gossipTTL = 2 * time.Second
	maxRecent = 64
	// maxRecords is the maximum number of records in a message from another node.
	maxRecords = 8192
	// maxVersionStep is how far the version of a received record may be ahead of the
	// known one. Without this bound a faulty node could send the highest possible
	// version, and no later record could supersede that one.
	maxVersionStep = 1 << 20
	// maxFirstVersion is the same for the first record of an engine that a node receives. It
	// leaves room for later versions, so that a false one is superseded by the engine's next
	// response.
	maxFirstVersion = 1 << 40
)

// supersedes reports whether r replaces o. Two nodes that learn of a change at the same
// time create records with the same version. Of these, the stricter one takes precedence.
func (r Record) supersedes(o Record) bool {
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return r.stricter(o)
}

// Wire returns the record of an engine as it is sent to other nodes.
func (r Record) Wire(engine string) citronpeer.Limit {
	return citronpeer.Limit{Engine: engine, Limited: r.Limited, PerSecond: r.PerSecond, Version: r.Version}
}

// decode returns the record that another node sent, or an error if it is invalid.
func (reg *Registry) decode(l citronpeer.Limit) (Record, error) {
	r := Record{Limited: l.Limited, PerSecond: l.PerSecond, Version: l.Version}
	switch {
	case l.Engine == "":
		return r, errors.New("rate limit has an empty engine ID")
	case math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0) || l.PerSecond < 0:
		return r, errors.Newf("rate limit of %g requests per second is not a finite, non-negative number", l.PerSecond)
	}
	highest := int64(maxFirstVersion)
	if known := reg.Get(l.Engine).Version; known > 0 {
		highest = known + maxVersionStep
	}
	if l.Version < 0 || l.Version > highest {
		return r, errors.Newf("rate limit has version %d, want 0 to %d", l.Version, highest)
	}
	return r, nil
}

// Merge merges the limits that another node sent. It ignores engines that are not in this
// node's engine list, and rejects a message as a whole if any part of it is invalid.
func (reg *Registry) Merge(received []citronpeer.Limit) error {
	if len(received) == 0 {
		return nil
	}
	if len(received) > maxRecords {
		return errors.Newf("message has %d rate limits, at most %d are allowed", len(received), maxRecords)
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	newer := map[string]Record{}
	for _, l := range received {
		r, err := reg.decode(l)
		if err != nil {
			return err
		}
		if reg.isListed(l.Engine) && r.supersedes(reg.Get(l.Engine)) {
			newer[l.Engine] = r
		}
	}
	reg.set(newer)
	return nil
}

// Retain drops the records of engines that are not in the engine list. Merge uses the same
// function to ignore such engines.
func (reg *Registry) Retain(isListed func(engine string) bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.isListed = isListed
	if len(*reg.records.Load()) == 0 {
		return
	}
	next := maps.Clone(*reg.records.Load())
	maps.DeleteFunc(next, func(engine string, _ Record) bool { return !isListed(engine) })
	if len(next) < len(*reg.records.Load()) {
		reg.replace(next)
	}
}

// Recent returns at most maxRecent records that have changed recently and that other nodes
// may not have received yet.
func (reg *Registry) Recent() []citronpeer.Limit {
	if len(*reg.records.Load()) == 0 {
		return nil
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	now := reg.clock.Now()
	maps.DeleteFunc(reg.changedAt, func(_ string, at time.Time) bool { return now.Sub(at) > gossipTTL })
	var out []citronpeer.Limit
	for engine := range reg.changedAt {
		if r, ok := (*reg.records.Load())[engine]; ok && len(out) < maxRecent {
			out = append(out, r.Wire(engine))
		}
	}
	return out
}

// All returns all records, sorted by engine ID.
func (reg *Registry) All() []citronpeer.Limit {
	var out []citronpeer.Limit
	for engine, r := range *reg.records.Load() {
		out = append(out, r.Wire(engine))
	}
	slices.SortFunc(out, func(x, y citronpeer.Limit) int { return cmp.Compare(x.Engine, y.Engine) })
	return out
}

// Checksum returns a checksum of all records, and zero if there are none.
func (reg *Registry) Checksum() uint64 { return reg.checksum.Load() }

// checksum returns the sum of the hashes of all records, which does not depend on their
// order.
func checksum(records map[string]Record) uint64 {
	var sum uint64
	var text []byte
	for engine, r := range records {
		text = append(text[:0], engine...)
		text = binary.LittleEndian.AppendUint64(text, uint64(r.Version))
		text = binary.LittleEndian.AppendUint64(text, math.Float64bits(r.PerSecond))
		if r.Limited {
			text = append(text, 1)
		}
		sum += xxhash.Sum64(text)
	}
	return sum
}
