package citronquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cockroachdb/errors"
)

// printBytes is the length of a Print: too long for two requests to be made that
// share one, and short enough to be told to other nodes.
const printBytes = 16

// Print is a fingerprint of a request. Two requests of a customer for the same
// thing have the same, whichever node they come to and under whichever id.
type Print [printBytes]byte

// PrintOf returns the fingerprint of a request.
func PrintOf(customer, method, host, target string, body []byte) Print {
	h := sha256.New()
	for _, s := range []string{customer, method, host, target} {
		addPart(h, []byte(s))
	}
	addPart(h, body)
	var p Print
	copy(p[:], h.Sum(nil))
	return p
}

// addPart hashes a part and its length, so that no two lists of parts hash the
// same bytes.
func addPart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:]) // a hash takes all bytes without an error
	h.Write(part)
}

// String returns p in hexadecimal.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// MarshalText implements encoding.TextMarshaler.
func (p Print) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Print) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != printBytes {
		return errors.Newf("fingerprint of %d digits", len(text))
	}
	_, err := hex.Decode(p[:], text)
	return errors.Wrap(err, "fingerprint")
}
