package citronquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cockroachdb/errors"
)

// fingerprintSize is the length of a Fingerprint in bytes. It is long enough that two
// requests with the same fingerprint cannot be constructed, and short enough to gossip.
const fingerprintSize = 16

// Fingerprint is the fingerprint of a request. Two requests with the same customer, method,
// host, target and body have the same fingerprint, whichever node receives them and
// whatever their IDs are.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(customer, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{customer, method, host, target} {
		hashField(h, []byte(s))
	}
	hashField(h, body)
	var p Fingerprint
	copy(p[:], h.Sum(nil))
	return p
}

// hashField hashes the length of a field and then the field, so that different lists of
// fields never result in the same bytes to hash.
func hashField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:]) // hash.Hash.Write never returns an error
	h.Write(field)
}

// String returns p in hexadecimal.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// MarshalText implements encoding.TextMarshaler.
func (p Fingerprint) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != fingerprintSize {
		return errors.Newf("fingerprint has the wrong length: %d hexadecimal digits", len(text))
	}
	_, err := hex.Decode(p[:], text)
	return errors.Wrap(err, "decode fingerprint")
}
