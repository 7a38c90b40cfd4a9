package citronlist

import (
	"encoding/json"
	"testing"

	"citrondeck.dev/citrondeck/citronkv"
	"github.com/matryer/is"
)

// Guards against a node that keeps engines which are gone, or drops engines which came
// back. It names the revision of its list and gets the later changes in their order, so
// that an entry which expired and came back ends as present. If not all later removals
// are still known, it gets the full list.
func TestSnapshotSendsOnlyChanges(t *testing.T) {
	put := func(key string, revision int64) citronkv.Item {
		return citronkv.Item{Key: key, Revision: citronkv.RevisionOf(0, revision)}
	}
	gone := func(key string, revision int64) citronkv.Item {
		return citronkv.Item{Key: key, Revision: citronkv.RevisionOf(0, revision), Deleted: true}
	}
	list := Snapshot{
		Revision: citronkv.RevisionOf(0, 20), items: []citronkv.Item{put("a", 3), put("b", 18), put("c", 12)},
		removed: []citronkv.Item{gone("x", 11), gone("b", 16)}, removedSince: citronkv.RevisionOf(0, 10),
	}
	cases := []struct {
		name  string
		asked int64
		base  int64
		want  []citronkv.Item
	}{
		{"same revision", 20, 0, nil},
		{"newer revision", 25, 0, nil},
		{"only changes", 15, 15, []citronkv.Item{gone("b", 16), put("b", 18)}},
		{"from the oldest known removal", 10, 10, []citronkv.Item{gone("x", 11), put("c", 12), gone("b", 16), put("b", 18)}},
		{"older than the oldest known removal", 9, 0, list.items},
		{"no list yet", 0, 0, list.items},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			doc, err := list.ChangesSince(citronkv.RevisionOf(0, c.asked))
			is.NoErr(err)
			is.Equal(doc.Revision, citronkv.RevisionOf(0, 20))
			is.Equal(doc.Base, citronkv.RevisionOf(0, c.base))
			var got []citronkv.Item
			if doc.Body != nil {
				is.NoErr(json.Unmarshal(doc.Body, &got))
			}
			is.Equal(got, c.want)
		})
	}
}
