package citronpeer

import (
	"encoding/json"
	"testing"

	"citrondeck.dev/citrondeck/citronhealth"
	"github.com/matryer/is"
)

// News of every node goes to every other, so what it holds is paid for by the
// square of the fleet. A node that leaves the asking to others, as all but a few
// do, adds nothing for the store; one that asks adds less than 64 bytes.
func TestStoreStatusIsPaidByThoseWhoAsk(t *testing.T) {
	is := is.New(t)
	size := func(s citronhealth.Status) int {
		text, err := json.Marshal(Member{Name: "n", Store: s})
		is.NoErr(err)
		return len(text)
	}
	quiet := size(citronhealth.Status{})
	none, err := json.Marshal(struct {
		Member
		Store int `json:"store,omitempty"` // hides the status
	}{Member: Member{Name: "n"}})
	is.NoErr(err)
	is.Equal(quiet, len(none))
	is.True(size(citronhealth.Status{Answered: true, Served: true})-quiet < 64)
}
