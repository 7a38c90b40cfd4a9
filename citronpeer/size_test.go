package citronpeer

import (
	"encoding/json"
	"testing"

	"citrondeck.dev/citrondeck/citronhealth"
	"github.com/matryer/is"
)

// Guards against updates that grow. Updates about every node go to every other node, so
// their cost grows with the square of the fleet. Most nodes do not query the store;
// their updates must hold no bytes for its status. For a node that is answered and
// served, the status must take fewer than 64 bytes. The sizes are those in JSON; on the
// wire, updates are CBOR with the same field names.
func TestOnlyQueryingNodesSendStoreStatus(t *testing.T) {
	is := is.New(t)
	size := func(s citronhealth.Status) int {
		text, err := json.Marshal(Member{Name: "n", Store: s})
		is.NoErr(err)
		return len(text)
	}
	empty := size(citronhealth.Status{})
	without, err := json.Marshal(struct {
		Member
		Store int `json:"store,omitempty"` // hides the status
	}{Member: Member{Name: "n"}})
	is.NoErr(err)
	is.Equal(empty, len(without))
	is.True(size(citronhealth.Status{Answered: true, Served: true})-empty < 64)
}
