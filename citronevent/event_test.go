package citronevent_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"citrondeck.dev/citrondeck/citronevent"
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
