package citronnode

import (
	"context"
	"log/slog"
	"strings"
	"testing"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citrontable"
	"github.com/matryer/is"
)

// Guards against an out-of-range priority that is not logged, or that is logged again
// whenever another node sends the same version.
func TestOutOfRangePriorityIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	c := &control{n: &Node{clock: citronclock.Real{}, log: slog.New(slog.NewTextHandler(&log, nil)), updates: make(chan struct{}, 1)}}
	table := citrontable.New(4, []citrontable.Route{{Name: "chat", Kind: citrontable.Streaming, Priority: -2}}, nil, nil, citrontable.Limits{})
	for range 3 {
		c.applyConfig(context.Background(), decodedConfig{table: table, source: sourceNode})
	}
	is.Equal(strings.Count(log.String(), "msg=priority.clamped"), 1)
	is.True(strings.Contains(log.String(), `version=4 route=chat customer="" priority=-2 used=0`))
}
