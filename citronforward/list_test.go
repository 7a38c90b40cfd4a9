package citronforward_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against a retry that uses an outdated engine list. While a request runs on e1,
// where it fails, a new list marks e2 as leaving. Without the new list, the retry would
// go to e2, which is in this node's zone. It must go to e3, and the log must name the
// list that each engine was selected from.
func TestRetryUsesTheActiveList(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, plainEngine("e1", "a"), plainEngine("e2", "a"), plainEngine("e3", "b"))
	var log bytes.Buffer
	r.Log = slog.New(slog.NewTextHandler(&log, nil))
	before := *r.Current()
	before.ListRevision = citronkv.RevisionOf(0, 41)
	leaving := plainEngine("e2", "a")
	leaving.Leaving = true
	after := before
	after.ListRevision = citronkv.RevisionOf(0, 42)
	after.View = citronpool.Build([]citronmodel.Engine{plainEngine("e1", "a"), leaving, plainEngine("e3", "b")}, before.View)
	var active atomic.Pointer[citronforward.State]
	active.Store(&before)
	r.Current = active.Load
	r.engines.answer = func(_ context.Context, n int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if n == 0 {
			active.Store(&after)
			return reply(500, "broken"), nil
		}
		return reply(200, "done"), nil
	}
	is.Equal(r.ask("safe", time.Second).status, http.StatusOK)
	calls := r.engines.received()
	is.Equal(len(calls), 2)
	is.Equal(calls[0].engine, "e1")
	is.Equal(calls[1].engine, "e3") // e2 is in the same zone as e1, but is leaving
	lines := strings.Split(log.String(), "\n")
	is.True(strings.Contains(lines[0], "msg=attempt.failed") && strings.Contains(lines[0], "list=41"))
	is.True(strings.Contains(lines[1], "msg=answer.sampled") && strings.Contains(lines[1], "list=42"))
}
