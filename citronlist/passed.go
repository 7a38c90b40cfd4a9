package citronlist

import (
	"encoding/json"
	"slices"

	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cockroachdb/errors"
)

// Passed is the list as it is passed on to other nodes. It is immutable.
type Passed struct {
	// Revision is that of the list.
	Revision citronkv.Revision
	items    []citronkv.Item
	// removed are removals, all of those after the revision since.
	removed []citronkv.Item
	since   citronkv.Revision
}

// After is what a node that has the list of another revision lacks. Engines
// come and go one at a time, and the whole list is a hundred times as long
// as one change.
func (p Passed) After(revision citronkv.Revision) (citronpeer.ListDocument, error) {
	doc := citronpeer.ListDocument{Revision: p.Revision}
	if !p.Revision.After(revision) {
		return doc, nil
	}
	items := p.items
	if !revision.IsZero() && !p.since.After(revision) {
		doc.Base = revision
		items = nil
		items = append(laterThan(revision, p.items), laterThan(revision, p.removed)...)
		// An entry that lapsed and came back stands in both.
		slices.SortFunc(items, func(a, b citronkv.Item) int { return a.Revision.Compare(b.Revision) })
	}
	var err error
	doc.Body, err = json.Marshal(items)
	return doc, errors.Wrap(err, "encode the list")
}

func laterThan(revision citronkv.Revision, items []citronkv.Item) []citronkv.Item {
	var later []citronkv.Item
	for i := range items {
		if items[i].Revision.After(revision) {
			later = append(later, items[i])
		}
	}
	return later
}

// Passed returns the list as it is passed on.
func (l *List) Passed() Passed {
	if l.passed == nil {
		l.passed = &Passed{Revision: l.revision, items: l.passedItems(), removed: l.removed, since: l.removedSince}
	}
	return *l.passed
}

// mostRemoved bounds the removals that are remembered; a node that has not
// heard of so many gets the whole list.
const mostRemoved = 200

// note remembers a removal for nodes that have an older list.
func (l *List) note(it citronkv.Item) {
	l.removed = append(slices.Clip(l.removed), it) // snapshots share the old one
	if len(l.removed) > mostRemoved {
		l.removedSince = l.removed[0].Revision
		l.removed = l.removed[1:]
	}
}
