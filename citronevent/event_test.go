package citronevent_test

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"strings"
	"testing"

	"citrondeck.dev/citrondeck/citronevent"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// docs/EVENTS.md is the output of `citrondeck events`; this keeps them equal.
func TestCatalogueMatchesDocs(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(citronevent.WriteCatalogue(&b))
	doc, err := os.ReadFile("../docs/EVENTS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(doc), b.String())) // regenerate: citrondeck events
}

// An error in a log line is its message, on one line; the stack trace that
// the error library attaches would bury it.
func TestErrorsAreLoggedWithoutStack(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	l := slog.New(slog.NewTextHandler(&b, nil))
	citronevent.Log(context.Background(), l, citronevent.ConfigRejected, "err", errors.New("no zone"))
	is.True(strings.Contains(b.String(), `event=201 err="no zone"`))
}
