package citronstat_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronmemory"
	"citrondeck.dev/citrondeck/citronserve"
	"citrondeck.dev/citrondeck/citronstat"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Guards against a log line for each connection that a crowd opens.
func TestClosedConnsAreLoggedOnceASecond(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	clock := citronclock.NewManual(time.Unix(100, 0))
	closed := citronstat.ClosedConns(clock, slog.New(slog.NewTextHandler(&log, nil)), prometheus.NewRegistry())
	for range 3 {
		for range 50 {
			closed("callers", citronserve.ReasonConns)
		}
		clock.Advance(time.Second)
	}
	is.Equal(strings.Count(log.String(), "conns.closed"), 3)
	is.Equal(strings.Count(log.String(), "count=50"), 2)
}

// Guards against memory of clients whose use cannot be seen.
func TestMemoryMetrics(t *testing.T) {
	is := is.New(t)
	account := citronmemory.New(1<<20, citronclock.Real{})
	is.NoErr(account.Charge().TryGrow(1000))
	r := prometheus.NewRegistry()
	citronstat.RegisterMemory(account, r)
	is.NoErr(testutil.GatherAndCompare(r, strings.NewReader(`
# HELP citrondeck_client_memory_bytes Memory that is held for clients: connections, heads and bodies.
# TYPE citrondeck_client_memory_bytes gauge
citrondeck_client_memory_bytes 1000
`), "citrondeck_client_memory_bytes"))
}
