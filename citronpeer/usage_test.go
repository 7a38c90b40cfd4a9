package citronpeer

import (
	"testing"

	"citrondeck.dev/citrondeck/citronusage"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// Guards against messages that grow with the zone, and against nodes of an earlier version
// that cannot read them: 32 of the reports of 256 engines take at most 20 bytes each, and a
// message without the field can be read as one with it and the other way round.
func TestUsageReportSize(t *testing.T) {
	is := is.New(t)
	m := exchangeMessage{From: Member{Name: "n"}}
	before, err := cbor.Marshal(m)
	is.NoErr(err)
	for i := range MaxUsageReports {
		m.Usage = append(m.Usage, UsageReport{Engine: uint64(citronusage.IDOf(string(rune(i)))), Age10MS: int64(4 * i), Permille: int64(1000 - 20*i), Running: int64(150 - i), Waiting: int64(i % 4)})
	}
	after, err := cbor.Marshal(m)
	is.NoErr(err)
	t.Logf("%d reports take %d bytes", MaxUsageReports, len(after)-len(before))
	is.True(len(after)-len(before) <= 20*MaxUsageReports)

	var earlier struct {
		From Member `json:"from"`
	}
	is.NoErr(cbor.Unmarshal(after, &earlier))
	is.Equal(earlier.From.Name, "n")
	var later exchangeMessage
	is.NoErr(cbor.Unmarshal(before, &later))
	is.Equal(len(later.Usage), 0)
	is.NoErr(cbor.Unmarshal(after, &later))
	is.Equal(later.Usage, m.Usage)
}
