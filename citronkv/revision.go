package citronkv

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Revision orders the writes of the store. It consists of an era and a count. The
// era is the number of times the store has been restored from an older copy; it is
// the high part of a revision. The count is the store's own number of writes, which
// a restore sets back. The era of a store that was never restored is zero. Compare
// and After compare revisions; the zero Revision sorts before all writes.
type Revision struct{ era, count int64 }

// Special expected revisions: AnyRevision for Put and Delete, Absent for Put.
var (
	// AnyRevision applies the operation regardless of the current revision.
	AnyRevision = Revision{count: -1}
	// Absent makes Put write only if the key does not exist.
	Absent = Revision{}
)

// countBits is the number of low bits that hold the count of a packed revision.
// They last for over eighty years at 400 writes a second.
const countBits = 40

// MaxEra and MaxCount are the highest era and the highest count of a revision.
const (
	MaxEra   = 1<<(63-countBits) - 1
	MaxCount = 1<<countBits - 1
)

// next returns the revision of the following write.
func (r Revision) next() Revision { return Revision{r.era, r.count + 1} }

// RevisionOf returns the revision with the given era and count.
func RevisionOf(era, count int64) Revision { return Revision{era, count} }

// Era returns the number of restores of the store before the write.
func (r Revision) Era() int64 { return r.era }

// Count returns the store's own count of writes.
func (r Revision) Count() int64 { return r.count }

// IsZero reports whether r is the zero Revision, which belongs to no write.
func (r Revision) IsZero() bool { return r == Revision{} }

// isExact reports whether r names one write, and is neither AnyRevision nor Absent.
func (r Revision) isExact() bool { return r != AnyRevision && r != Absent }

// Compare orders revisions by era, then by count. It returns -1, 0 or +1 like
// cmp.Compare.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.era, o.era), cmp.Compare(r.count, o.count))
}

// After reports whether r is later than o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// String returns the form of the revision in logs: the count, preceded by the era
// and a dot unless the era is zero.
func (r Revision) String() string {
	count := strconv.FormatInt(r.count, 10)
	if r.era == 0 {
		return count
	}
	return strconv.FormatInt(r.era, 10) + "." + count
}

// UnmarshalText parses the output of String.
func (r *Revision) UnmarshalText(text []byte) error {
	era, count, ok := strings.Cut(string(text), ".")
	if !ok {
		era, count = "0", era
	}
	read := Revision{}
	var err error
	if read.era, err = strconv.ParseInt(era, 10, 64); err == nil {
		read.count, err = strconv.ParseInt(count, 10, 64)
	}
	if err != nil {
		return errors.Wrapf(err, "parse revision %q (want COUNT or ERA.COUNT)", text)
	}
	*r = read
	return nil
}

// Packed returns the revision as one integer in the same order: the era in the high
// bits and the count in the low countBits bits. AnyRevision packs to -1.
func (r Revision) Packed() int64 {
	if r == AnyRevision {
		return r.count
	}
	return r.era<<countBits | r.count
}

// MarshalJSON encodes the packed revision.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.Packed()) }

// UnmarshalJSON decodes a packed revision.
func (r *Revision) UnmarshalJSON(text []byte) error {
	var packed int64
	if err := json.Unmarshal(text, &packed); err != nil {
		return errors.Wrap(err, "revision")
	}
	return r.unpack(packed)
}

// MarshalCBOR encodes the packed revision.
func (r Revision) MarshalCBOR() ([]byte, error) { return cbor.Marshal(r.Packed()) }

// UnmarshalCBOR decodes a packed revision.
func (r *Revision) UnmarshalCBOR(data []byte) error {
	var packed int64
	if err := cbor.Unmarshal(data, &packed); err != nil {
		return errors.Wrap(err, "revision")
	}
	return r.unpack(packed)
}

// unpack sets r to the revision that Packed encodes as packed.
func (r *Revision) unpack(packed int64) error {
	switch {
	case packed == AnyRevision.count:
		*r = AnyRevision
	case packed < 0:
		return errors.Newf("packed revision %d is negative", packed)
	default:
		*r = Revision{era: packed >> countBits, count: packed & MaxCount}
	}
	return nil
}
