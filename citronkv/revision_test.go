package citronkv_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"testing"

	"citrondeck.dev/citrondeck/citronkv"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawRevision draws a revision with any era and any count.
func drawRevision(t *rapid.T, name string) citronkv.Revision {
	return citronkv.RevisionOf(rapid.Int64Range(0, citronkv.MaxEra).Draw(t, name+" era"), rapid.Int64Range(0, citronkv.MaxCount).Draw(t, name+" count"))
}

// TestRevisionEncodingRoundTrip checks that the encodings as JSON, CBOR and text decode
// to the same revision and that packed revisions keep their order. Otherwise nodes would
// disagree about which of two writes is newer.
func TestRevisionEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b := drawRevision(t, "a"), drawRevision(t, "b")
		is.Equal(a.Compare(b), cmp.Compare(a.Packed(), b.Packed()))
		for _, codec := range []struct {
			marshal   func(any) ([]byte, error)
			unmarshal func([]byte, any) error
		}{{json.Marshal, json.Unmarshal}, {cbor.Marshal, cbor.Unmarshal}} {
			for _, r := range []citronkv.Revision{a, citronkv.AnyRevision, citronkv.Absent} {
				data, err := codec.marshal(r)
				is.NoErr(err)
				var back citronkv.Revision
				is.NoErr(codec.unmarshal(data, &back))
				is.Equal(back, r)
			}
		}
		var back citronkv.Revision
		is.NoErr(back.UnmarshalText([]byte(a.String())))
		is.Equal(back, a)
	})
}

// TestRevisionRejectsInvalidInput checks that input which encodes no revision is an
// error and leaves the revision unchanged.
func TestRevisionRejectsInvalidInput(t *testing.T) {
	is := is.New(t)
	var r citronkv.Revision
	is.True(json.Unmarshal([]byte("-2"), &r) != nil)
	is.True(json.Unmarshal([]byte(`"1"`), &r) != nil)
	is.True(r.UnmarshalText([]byte("1.x")) != nil)
	is.True(r.IsZero())
}

func ExampleRevision_String() {
	fmt.Println(citronkv.RevisionOf(0, 41), citronkv.RevisionOf(3, 7))
	// Output: 41 3.7
}
