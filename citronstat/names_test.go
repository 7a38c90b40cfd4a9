package citronstat_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"testing"

	"citrondeck.dev/citrondeck/citronstat"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// Guards against a log line for every response with an unknown header, and against a log and a
// set that grow with invented names.
func TestUnknownHeadersAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	report := citronstat.UnknownHeaders(context.Background(), slog.New(slog.NewTextHandler(&log, nil)), prometheus.NewRegistry())
	report("a")
	report("a")
	is.Equal(bytes.Count(log.Bytes(), []byte("header.unknown")), 1)
	for i := range 200 {
		report(fmt.Sprint(i))
	}
	is.Equal(bytes.Count(log.Bytes(), []byte("header.unknown")), 64)
}

// Guards against a log line for every response of a faulty engine.
func TestInvalidHeadsAreLoggedOncePerEngine(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	report := citronstat.InvalidHeads(context.Background(), slog.New(slog.NewTextHandler(&log, nil)), prometheus.NewRegistry())
	for i := range 200 {
		report(fmt.Sprint(i%2), errors.New("status 000"))
	}
	is.Equal(bytes.Count(log.Bytes(), []byte("head.invalid")), 2)
}
