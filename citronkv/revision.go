package citronkv

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Revision orders the writes of the store. It is the pair of an era, which rises
// each time the store returns from an older copy of itself, and the store's own
// count of writes, which goes back with that. A store that never does has one
// era, zero. Revisions are compared by Compare and After; the zero Revision comes
// before all others.
type Revision struct{ era, number int64 }

// Expectations for Put and Delete.
var (
	// AnyRevision writes whatever the key holds.
	AnyRevision = Revision{number: -1}
	// Absent writes only if the key does not exist.
	Absent = Revision{}
)

// numberBits are the bits that hold the count where a revision is written as one
// number: at 400 writes a second for eighty years.
const numberBits = 40

// LastEra and LastNumber are the highest era and count of a revision.
const (
	LastEra    = 1<<(63-numberBits) - 1
	LastNumber = 1<<numberBits - 1
)

// next is the revision of the write that follows.
func (r Revision) next() Revision { return Revision{r.era, r.number + 1} }

// RevisionOf returns the revision of a count in an era.
func RevisionOf(era, number int64) Revision { return Revision{era, number} }

// Era is the era of the revision.
func (r Revision) Era() int64 { return r.era }

// Number is the store's own count of the revision.
func (r Revision) Number() int64 { return r.number }

// IsZero reports whether r is the revision of nothing.
func (r Revision) IsZero() bool { return r == Revision{} }

// isOne reports whether r is the revision of a write, and no other expectation.
func (r Revision) isOne() bool { return r != AnyRevision && r != Absent }

// Compare orders revisions: by era, then by count.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.era, o.era), cmp.Compare(r.number, o.number))
}

// After reports whether r is later than o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// String is the revision as logs show it: the count, after the era if there was
// more than one.
func (r Revision) String() string {
	number := strconv.FormatInt(r.number, 10)
	if r.era == 0 {
		return number
	}
	return strconv.FormatInt(r.era, 10) + "." + number
}

// UnmarshalText reads what String writes.
func (r *Revision) UnmarshalText(text []byte) error {
	era, number, ok := strings.Cut(string(text), ".")
	if !ok {
		era, number = "0", era
	}
	read := Revision{}
	var err error
	if read.era, err = strconv.ParseInt(era, 10, 64); err == nil {
		read.number, err = strconv.ParseInt(number, 10, 64)
	}
	if err != nil {
		return errors.Wrapf(err, "revision %q", text)
	}
	*r = read
	return nil
}

// Packed is the revision as one number that rises with it; that of AnyRevision is
// negative.
func (r Revision) Packed() int64 {
	if r == AnyRevision {
		return r.number
	}
	return r.era<<numberBits | r.number
}

// MarshalJSON writes the revision as Packed.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.Packed()) }

// UnmarshalJSON reads what MarshalJSON writes.
func (r *Revision) UnmarshalJSON(text []byte) error {
	var packed int64
	if err := json.Unmarshal(text, &packed); err != nil {
		return errors.Wrap(err, "revision")
	}
	return r.unpack(packed)
}

// MarshalCBOR writes the revision as Packed.
func (r Revision) MarshalCBOR() ([]byte, error) { return cbor.Marshal(r.Packed()) }

// UnmarshalCBOR reads what MarshalCBOR writes.
func (r *Revision) UnmarshalCBOR(data []byte) error {
	var packed int64
	if err := cbor.Unmarshal(data, &packed); err != nil {
		return errors.Wrap(err, "revision")
	}
	return r.unpack(packed)
}

func (r *Revision) unpack(packed int64) error {
	switch {
	case packed == AnyRevision.number:
		*r = AnyRevision
	case packed < 0:
		return errors.Newf("revision is %d", packed)
	default:
		*r = Revision{era: packed >> numberBits, number: packed & LastNumber}
	}
	return nil
}
