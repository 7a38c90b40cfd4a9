package citronlist

// This file handles a store that is restored from an older copy. The era is the number
// of times this has happened; it is the high part of a revision, so that a list of a
// later era counts as newer although its lower part is smaller.
//
// The first list of a new era is applied as a full list. Where this node has seen later
// entries of an engine than the restored copy holds, the restored entry is outdated: an
// engine that is known to be leaving stays leaving, and an engine that is known to be
// gone is not used, until it writes its entry again. This holds only while the restored
// entry is among those remembered (see maxSuperseded). Engines that are missing in the
// restored copy get ExpiryGrace to write their entries again, as after an outage in which
// entries expire.

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxSuperseded is the maximum number of superseded entries remembered per engine;
	// supersededMaxAge is how long they are remembered.
	maxSuperseded    = 64
	supersededMaxAge = time.Minute
)

// supersededEntry identifies a version of an entry that was replaced by a later version
// or removed.
type supersededEntry struct {
	fingerprint uint64
	at          time.Time
}

// fingerprintOf identifies one write of an entry. The result does not depend on the era
// in which the entry is read.
func fingerprintOf(it citronkv.Item) uint64 {
	h := xxhash.New()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(it.Revision.Count()))) // writing to a hash never fails
	_, _ = h.Write(it.Value)
	return h.Sum64()
}

// rememberSuperseded remembers that an entry was replaced or removed.
func (l *List) rememberSuperseded(it citronkv.Item) {
	now := l.set.Clock.Now()
	all := slices.DeleteFunc(l.superseded[it.Key], func(p supersededEntry) bool { return now.Sub(p.at) > supersededMaxAge })
	all = append(all, supersededEntry{fingerprintOf(it), now})
	l.superseded[it.Key] = all[max(0, len(all)-maxSuperseded):]
}

// isSuperseded reports whether an entry was replaced or removed in an earlier era. An
// entry that was written after the first list of the current era does not come from the
// restored copy and is never superseded.
func (l *List) isSuperseded(it citronkv.Item) bool {
	if it.Revision.Era() == 0 || it.Revision.After(l.eraStart) {
		return false
	}
	fingerprint := fingerprintOf(it)
	return slices.ContainsFunc(l.superseded[it.Key], func(p supersededEntry) bool { return p.fingerprint == fingerprint })
}

// forgetSuperseded drops the superseded entries of each key whose latest one is older than
// supersededMaxAge. rememberSuperseded drops the old ones of a key when it adds one.
func (l *List) forgetSuperseded(now time.Time) {
	for key, all := range l.superseded {
		if now.Sub(all[len(all)-1].at) > supersededMaxAge {
			delete(l.superseded, key)
		}
	}
}

// beginEra checks whether a list belongs to a new era and, if so, records the restore of
// the store. It reports whether the list is the first of an era.
func (l *List) beginEra(ctx context.Context, items []citronkv.Item, revision citronkv.Revision) bool {
	if l.revision.IsZero() || revision.Era() == l.revision.Era() {
		return false
	}
	l.eraStart = revision
	old := 0
	for _, it := range items {
		if l.isSuperseded(it) {
			old++
		}
	}
	l.restoredAt = l.set.Clock.Now()
	// Removals of an earlier era are meaningless in this one. Nodes that have a list of
	// an earlier era get the full list.
	l.removed, l.removedSince = nil, revision
	citronevent.Log(ctx, l.set.Log, citronevent.StoreRestored, "revision", revision.String(), "was", l.revision.String(), "entries", len(items), "engines", len(l.entries), "overtaken", old)
	return true
}
