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

// TestCatalogueMatchesDocs checks that docs/EVENTS.md contains the output of
// `citrondeck events`.
func TestCatalogueMatchesDocs(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(citronevent.WriteCatalogue(&b))
	doc, err := os.ReadFile("../docs/EVENTS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(doc), b.String())) // on failure, replace the table with the output of `citrondeck events`
}

// TestErrorsAreLoggedWithoutStack checks that an error is logged as its message. The
// error library attaches a stack trace to each error, which would make the message hard
// to find in the log.
func TestErrorsAreLoggedWithoutStack(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	l := slog.New(slog.NewTextHandler(&b, nil))
	citronevent.Log(context.Background(), l, citronevent.ConfigRejected, "err", errors.New("no zone"))
	is.True(strings.Contains(b.String(), `event=201 err="no zone"`))
}
