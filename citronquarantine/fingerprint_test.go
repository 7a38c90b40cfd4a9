package citronquarantine_test

import (
	"testing"

	"citrondeck.dev/citrondeck/citronquarantine"
	"github.com/matryer/is"
)

// Guards against quarantining a harmless request together with one that crashes engines:
// requests that differ in any field must have different fingerprints, also if the fields
// joined together are the same text.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	is := is.New(t)
	of := citronquarantine.FingerprintOf
	p := of("council", "POST", "h", "/a/b", []byte("text"))
	is.Equal(p, of("council", "POST", "h", "/a/b", []byte("text")))
	for _, other := range []citronquarantine.Fingerprint{
		of("shire", "POST", "h", "/a/b", []byte("text")),
		of("council", "PUT", "h", "/a/b", []byte("text")),
		of("council", "POST", "i", "/a/b", []byte("text")),
		of("council", "POST", "h", "/a/bt", []byte("ext")),
		of("council", "POST", "h", "/a/b", nil),
	} {
		is.True(p != other)
	}
}

// Guards against fingerprints that change on the way to another node, and against texts
// that are taken for a fingerprint although they are none.
func TestFingerprintTextRoundTrip(t *testing.T) {
	is := is.New(t)
	p := citronquarantine.FingerprintOf("council", "POST", "h", "/a", nil)
	text, err := p.MarshalText()
	is.NoErr(err)
	var decoded citronquarantine.Fingerprint
	is.NoErr(decoded.UnmarshalText(text))
	is.Equal(decoded, p)
	for _, invalid := range []string{"", "00", string(text) + "00", "x" + string(text[1:])} {
		is.True(decoded.UnmarshalText([]byte(invalid)) != nil)
	}
}
