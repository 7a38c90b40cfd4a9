package citronmemory_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronmemory"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a body that is changed, cut or charged wrongly because of how it arrives.
func TestBodyIsReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("abcde"), rapid.IntRange(0, 40_000).Draw(t, "length"))
		var in io.Reader = bytes.NewReader(want)
		switch rapid.IntRange(0, 3).Draw(t, "pieces") {
		case 1:
			in = iotest.HalfReader(in)
		case 2:
			in = iotest.DataErrReader(in)
		case 3:
			in = iotest.OneByteReader(in)
		}
		length := int64(len(want))
		if rapid.Bool().Draw(t, "unannounced") {
			length = -1
		}
		account := citronmemory.New(limit, citronclock.NewManual(time.Unix(0, 0)))
		charge := account.Arriving(func() {})
		got, err := charge.ReadAll(context.Background(), in, length, int64(len(want)))
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%d bytes and error %v, want %d bytes", len(got), err, len(want))
		}
		if used := account.Status().Used; used < int64(len(want)) || used != int64(cap(got)) {
			t.Fatalf("%d bytes are charged for a body of %d in a buffer of %d", used, len(want), cap(got))
		}
	})
}

// Guards against a length that is announced and takes memory before anything has arrived.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	is := is.New(t)
	account, _ := newAccount()
	in, out := io.Pipe()
	go func() { _, _ = account.Arriving(func() {}).ReadAll(context.Background(), in, 512<<10, limit) }()
	_, err := out.Write(make([]byte, 100))
	is.NoErr(err)
	is.True(account.Status().Used <= 16<<10)
	is.NoErr(out.Close())
}

// Guards against a body over the limit that is passed on as far as the limit.
func TestBodyOverTheLimitFails(t *testing.T) {
	is := is.New(t)
	for _, most := range []int{0, 5, 16 << 10, 100_000} {
		for _, excess := range []int{1, 100_000} {
			account, _ := newAccount()
			_, err := account.Charge().ReadAll(context.Background(), strings.NewReader(strings.Repeat("x", most+excess)), -1, int64(most))
			is.True(errors.Is(err, citronbody.ErrTooLarge))
		}
	}
}
