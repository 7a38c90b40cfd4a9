package citronbody_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a part of a body that is taken for the whole.
func TestBodyOverTheLimitIsAnError(t *testing.T) {
	is := is.New(t)
	body, err := citronbody.ReadAll(strings.NewReader("12345"), 5)
	is.NoErr(err)
	is.Equal(string(body), "12345")
	_, err = citronbody.ReadAll(strings.NewReader("123456"), 5)
	is.True(errors.Is(err, citronbody.ErrTooLarge))
}

// Guards against many large bodies that together exceed the memory, and against room that is not
// given back.
func TestBudgetBoundsAllBodies(t *testing.T) {
	is := is.New(t)
	b := citronbody.NewBudget(1 << 20)
	read := func(size int) (func(), error) {
		_, release, err := b.ReadAll(strings.NewReader(strings.Repeat("x", size)), 8<<20)
		return release, err
	}
	first, err := read(900 << 10)
	is.NoErr(err)
	second, err := read(900 << 10)
	is.True(errors.Is(err, citronbody.ErrNoRoom))
	second()
	small, err := read(10 << 10)
	is.NoErr(err)
	small()
	first()
	third, err := read(900 << 10)
	is.NoErr(err)
	third()
}

// Guards against a refusal whose body keeps the next attempt waiting.
func TestDrainGivesUp(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	go func() {
		for {
			if _, err := w.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	began := time.Now()
	citronbody.Drain(r)
	is.True(time.Since(began) < time.Second)
}
