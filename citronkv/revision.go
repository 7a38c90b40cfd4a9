package citronkv

import "strconv"

// Revision orders the writes of the store, the later the higher. It is the pair of
// an era, which rises each time the store returns from an older copy of itself, and
// the store's own count of writes, which goes back with that. A store that never
// does has one era, zero, and its revisions are its counts.
type Revision = int64

// numberBits are the bits of a revision that hold the count: at 400 writes a second
// for eighty years.
const numberBits = 40

// LastEra is the highest era that a revision can hold.
const LastEra = 1<<(63-numberBits) - 1

// RevisionOf returns the revision of a count in an era.
func RevisionOf(era, number int64) Revision { return era<<numberBits | number }

// Era is the era of a revision.
func Era(r Revision) int64 { return r >> numberBits }

// Number is the store's own count of a revision.
func Number(r Revision) int64 { return r & (1<<numberBits - 1) }

// RevisionText is a revision as logs show it: the count, after the era if there
// was more than one.
func RevisionText(r Revision) string {
	number := strconv.FormatInt(Number(r), 10)
	if Era(r) == 0 {
		return number
	}
	return strconv.FormatInt(Era(r), 10) + "." + number
}
