package citronlist

import (
	"encoding/json"
	"slices"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cockroachdb/errors"
)

// Snapshot is an immutable copy of the list, as sent to other nodes.
type Snapshot struct {
	// Revision is the revision of the list.
	Revision citronkv.Revision
	items    []citronkv.Item
	// removed holds all removals after the revision removedSince.
	removed      []citronkv.Item
	removedSince citronkv.Revision
}

// ChangesSince returns what a node with the list of the given revision lacks. It returns
// only the changes where possible: engines join and leave one at a time, and the full list
// is a hundred times as long as one change.
func (p Snapshot) ChangesSince(revision citronkv.Revision) (citronpeer.ListDocument, error) {
	doc := citronpeer.ListDocument{Revision: p.Revision}
	if !p.Revision.After(revision) {
		return doc, nil
	}
	items := p.items
	if !revision.IsZero() && !p.removedSince.After(revision) {
		doc.Base = revision
		items = nil
		items = append(itemsAfter(revision, p.items), itemsAfter(revision, p.removed)...)
		// An entry that expired and came back is in both lists, and its removal must be
		// applied first.
		slices.SortFunc(items, func(a, b citronkv.Item) int { return a.Revision.Compare(b.Revision) })
	}
	var err error
	doc.Body, err = json.Marshal(items)
	return doc, errors.Wrap(err, "encode the list")
}

// itemsAfter returns the items that are later than the given revision.
func itemsAfter(revision citronkv.Revision, items []citronkv.Item) []citronkv.Item {
	var later []citronkv.Item
	for i := range items {
		if items[i].Revision.After(revision) {
			later = append(later, items[i])
		}
	}
	return later
}

// Snapshot returns the current snapshot of the list.
func (l *List) Snapshot() Snapshot {
	if l.snapshot == nil {
		l.snapshot = &Snapshot{Revision: l.revision, items: l.snapshotItems(), removed: l.removed, removedSince: l.removedSince}
	}
	return *l.snapshot
}

// maxRemoved is the maximum number of removals that are remembered. A node that lags
// behind by more gets the full list.
const maxRemoved = 200

// rememberRemoval remembers a removal for nodes that have an older list.
func (l *List) rememberRemoval(it citronkv.Item) {
	l.removed = append(slices.Clip(l.removed), it) // earlier snapshots share the old array
	if len(l.removed) > maxRemoved {
		l.removedSince = l.removed[0].Revision
		l.removed = l.removed[1:]
	}
}
