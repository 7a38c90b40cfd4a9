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
	// gossipTTL is how long a change is news to other nodes, and maxRecent how many
	// changes are told as news at once. The rest is told in exchanges.
	gossipTTL = 2 * time.Second
	maxRecent = 64
	// maxRecords bounds what another node may tell at once.
	maxRecords = 8192
	// maxVersionStep bounds how far the version of another node may be ahead: a
	// record of a later version is never overtaken.
	maxVersionStep = 1 << 20
)

// supersedes reports whether r takes the place of o. Two nodes that learn something at
// the same time make records of one version; the stricter counts.
func (r Record) supersedes(o Record) bool {
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return r.stricter(o)
}

// Wire returns the form in which other nodes get the record of an engine.
func (r Record) Wire(engine string) citronpeer.Limit {
	return citronpeer.Limit{Engine: engine, Limited: r.Limited, PerSecond: r.PerSecond, Version: r.Version}
}

func (b *Book) decode(l citronpeer.Limit) (Record, error) {
	r := Record{Limited: l.Limited, PerSecond: l.PerSecond, Version: l.Version}
	switch {
	case l.Engine == "":
		return r, errors.New("limit of no engine")
	case math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0) || l.PerSecond < 0:
		return r, errors.Newf("limit of %g a second", l.PerSecond)
	case l.Version < 0 || l.Version > b.Of(l.Engine).Version+maxVersionStep:
		return r, errors.Newf("limit of version %d", l.Version)
	}
	return r, nil
}

// Learn takes what another node told, of engines that this node has in its list. An
// invalid message is not taken at all.
func (b *Book) Learn(told []citronpeer.Limit) error {
	if len(told) == 0 {
		return nil
	}
	if len(told) > maxRecords {
		return errors.Newf("%d limits at once", len(told))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	newer := map[string]Record{}
	for _, l := range told {
		r, err := b.decode(l)
		if err != nil {
			return err
		}
		if b.listed(l.Engine) && r.supersedes(b.Of(l.Engine)) {
			newer[l.Engine] = r
		}
	}
	b.set(newer)
	return nil
}

// Retain forgets engines that are not in the list of engines.
func (b *Book) Retain(listed func(engine string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = listed
	if len(*b.records.Load()) == 0 {
		return
	}
	next := maps.Clone(*b.records.Load())
	maps.DeleteFunc(next, func(engine string, _ Record) bool { return !listed(engine) })
	if len(next) < len(*b.records.Load()) {
		b.replace(next)
	}
}

// Recent returns what other nodes may not have heard yet.
func (b *Book) Recent() []citronpeer.Limit {
	if len(*b.records.Load()) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	maps.DeleteFunc(b.changedAt, func(_ string, at time.Time) bool { return now.Sub(at) > gossipTTL })
	var out []citronpeer.Limit
	for engine := range b.changedAt {
		if r, ok := (*b.records.Load())[engine]; ok && len(out) < maxRecent {
			out = append(out, r.Wire(engine))
		}
	}
	return out
}

// All returns everything that is known, by engine.
func (b *Book) All() []citronpeer.Limit {
	var out []citronpeer.Limit
	for engine, r := range *b.records.Load() {
		out = append(out, r.Wire(engine))
	}
	slices.SortFunc(out, func(x, y citronpeer.Limit) int { return cmp.Compare(x.Engine, y.Engine) })
	return out
}

// Sum is a checksum of all that is known; zero if that is nothing.
func (b *Book) Sum() uint64 { return b.sum.Load() }

// sumOf adds up a hash of each record, so that their order does not matter.
func sumOf(records map[string]Record) uint64 {
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
