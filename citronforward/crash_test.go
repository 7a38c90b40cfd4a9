package citronforward_test

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// crashing has the engines end as soon as a request has begun to run there:
// its answer breaks off after some text, and the address refuses connections.
func (r *rig) crashing(text string) {
	ended := map[string]bool{}
	r.engines.answer = func(_ context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
		r.engines.mu.Lock()
		ended[c.Engine.Addr] = true
		r.engines.mu.Unlock()
		rep := reply(200, "")
		rep.Body = breaking{strings.NewReader(text), io.ErrUnexpectedEOF}
		return rep, nil
	}
	r.engines.report = func(addr string) (citronupstream.Report, error) {
		r.engines.mu.Lock()
		defer r.engines.mu.Unlock()
		if ended[addr] {
			return citronupstream.Report{}, syscall.ECONNREFUSED
		}
		return citronupstream.Report{}, nil
	}
}

func fourEngines() []citronmodel.Engine {
	return []citronmodel.Engine{engine("m1", "a", 0, 8), engine("m2", "a", 0, 8), engine("m3", "a", 0, 8), engine("m4", "a", 0, 8)}
}

// Guards against a request that crashes each engine that begins to run it, and is
// sent on beyond its route's attempts because runs on ended engines count for
// nothing.
func TestRunThatItsEngineDidNotOutliveIsAnAttempt(t *testing.T) {
	is := is.New(t)
	r := newRig(t, fourEngines()...)
	r.crashing("")
	got := r.ask("stream", time.Second)
	is.Equal(len(r.engines.seen()), 2) // the route allows two attempts
	is.Equal(got.status, 502)          // it may have run: nothing is promised
}
