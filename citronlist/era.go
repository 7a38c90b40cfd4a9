package citronlist

// What is believed when the store returns from an older copy. The list of the new
// era is taken whole, but what the copy still says of an engine is old where this
// node has seen later entries of it: an engine that is known to be leaving stays
// leaving, and one that is known to be gone is not used again, until it writes its
// entry anew. Engines that are missing in the copy have a moment to write theirs, as
// after an outage in which entries lapse.

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
	// mostPast bounds the older entries of an engine that are remembered, and
	// pastMemory for how long they are.
	mostPast   = 16
	pastMemory = time.Minute
)

// past is an entry that was overtaken by a later one, or by its removal.
type past struct {
	print uint64
	at    time.Time
}

// printOf identifies a write of an entry, in whatever era it is read.
func printOf(it citronkv.Item) uint64 {
	h := xxhash.New()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(it.Revision.Number()))) // a hash takes all bytes
	_, _ = h.Write(it.Value)
	return h.Sum64()
}

// overtake remembers that an entry was overtaken.
func (l *List) overtake(it citronkv.Item) {
	now := l.set.Clock.Now()
	all := slices.DeleteFunc(l.overtaken[it.Key], func(p past) bool { return now.Sub(p.at) > pastMemory })
	all = append(all, past{printOf(it), now})
	l.overtaken[it.Key] = all[max(0, len(all)-mostPast):]
}

// isOvertaken reports whether an entry was overtaken in an earlier era. What was
// written after the first list of this one is not of the copy.
func (l *List) isOvertaken(it citronkv.Item) bool {
	if it.Revision.Era() == 0 || it.Revision.After(l.eraBegan) {
		return false
	}
	wanted := printOf(it)
	return slices.ContainsFunc(l.overtaken[it.Key], func(p past) bool { return p.print == wanted })
}

// forgetOvertaken drops what is too old for any copy.
func (l *List) forgetOvertaken(now time.Time) {
	for key, all := range l.overtaken {
		if now.Sub(all[len(all)-1].at) > pastMemory {
			delete(l.overtaken, key)
		}
	}
}

// beginEra notes if a list of a later era is taken.
func (l *List) beginEra(ctx context.Context, items []citronkv.Item, revision citronkv.Revision) bool {
	if l.revision.IsZero() || revision.Era() == l.revision.Era() {
		return false
	}
	l.eraBegan = revision
	old := 0
	for _, it := range items {
		if l.isOvertaken(it) {
			old++
		}
	}
	l.returned = l.set.Clock.Now()
	// Removals of another era mean nothing in this one: whoever has an older
	// list gets it whole.
	l.removed, l.removedSince = nil, revision
	citronevent.Log(ctx, l.set.Log, citronevent.StoreReturned, "revision", revision.String(), "was", l.revision.String(), "entries", len(items), "engines", len(l.entries), "overtaken", old)
	return true
}
