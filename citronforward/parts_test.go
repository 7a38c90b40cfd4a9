package citronforward_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpoison"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

func withParts(ids ...string) func(*citronupstream.Request) {
	return func(q *citronupstream.Request) {
		q.Model, q.PromptParts, q.Body = "m", ids, []byte(ids[len(ids)-1])
	}
}

// quarantinePart makes the part known to all nodes as one that crashes engines.
func (r *testForwarder) quarantinePart(t *testing.T, id string) {
	t.Helper()
	now := time.Now()
	record := citronpart.Record{Part: citronpoison.PartOf("m", id), State: citronpart.Quarantined, Generation: 1, Since: now, LastCrash: now, Crashes: 3}
	if _, err := r.Parts.Merge([]citronpart.Record{record}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a request with a part that crashes engines being sent to one, whatever its
// other parts are, and against refusing requests that share only those.
func TestRequestWithQuarantinedPartIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, fourEngines()...)
	r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
		return reply(200, "id: 1\ndata: x\n\n"), nil
	}
	r.quarantinePart(t, "bad")
	begin := time.Now()
	for i := range 3 {
		got := r.ask("stream", 5*time.Second, withParts(fmt.Sprint("subject", i), "bad", fmt.Sprint("own", i)))
		is.Equal(got.status, 503)
		is.True(got.retryAfter > 50*time.Second) // until the first trial
	}
	is.True(time.Since(begin) < 100*time.Millisecond)
	is.Equal(len(r.engines.received()), 0)
	r.ask("stream", time.Second, withParts("subject1", "own9"))
	r.ask("stream", time.Second, withParts("subject1", "bad")) // the last part is the request's own
	is.Equal(len(r.engines.received()), 2)
}

// Guards against sending a request on after its engine crashed, although a part of its prompt
// has been found meanwhile to crash engines.
func TestRequestIsNotResumedWithQuarantinedPart(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, fourEngines()...)
	r.crashEachEngine("")
	answer := r.engines.answer
	r.engines.answer = func(ctx context.Context, n int, c citronupstream.Call) (*citronupstream.Reply, error) {
		r.quarantinePart(t, "bad")
		return answer(ctx, n, c)
	}
	is.Equal(r.ask("stream", time.Second, withParts("subject", "bad", "own")).status, 502)
	is.Equal(len(r.engines.received()), 1)
}

// Guards against a trial that more than one node sends, or that is retried.
func TestTrialOfPartIsSentOnce(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, fourEngines()...)
	r.crashEachEngine("")
	now := time.Now()
	record := citronpart.Record{Part: citronpoison.PartOf("m", "bad"), State: citronpart.Quarantined, Generation: 1, Since: now.Add(-2 * time.Minute), LastCrash: now.Add(-2 * time.Minute), Crashes: 3}
	_, err := r.Parts.Merge([]citronpart.Record{record})
	is.NoErr(err)
	first := false
	r.ClaimTrial = func(_ context.Context, trial citronpart.Trial) bool {
		r.Parts.BeginTrial(trial)
		return first
	}
	ask := func(own string) int { return r.ask("stream", time.Second, withParts("bad", own)).status }
	is.Equal(ask("a"), 503) // another node was first
	is.Equal(len(r.engines.received()), 0)
	record.Trials, record.Generation, first = 0, 3, true
	_, err = r.Parts.Merge([]citronpart.Record{record})
	is.NoErr(err)
	is.Equal(ask("b"), 502)
	is.Equal(ask("c"), 503) // the next trial is due later
	is.Equal(len(r.engines.received()), 1)
}

// Guards against taking a response for whole that has neither a length nor chunks and ended
// because its engine crashed, and against taking it for proof that its parts are harmless.
func TestResponseThatEndsWithItsEngineIsNotWhole(t *testing.T) {
	for _, route := range []string{"stream", "unsafe"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, append(fourEngines(), plainEngine("p1", "a"))...)
			r.engines.answer = func(context.Context, int, citronupstream.Call) (*citronupstream.Reply, error) {
				rep := reply(200, "")
				rep.UntilClose = true
				rep.Body = io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n"))
				return rep, nil
			}
			got := r.ask(route, time.Second, withParts("subject", "own"))
			is.Equal(got.status, 200)
			is.True(!got.aborted) // the engine goes on, so the response is whole
			r.engines.report = func(string) (citronupstream.Report, error) { return citronupstream.Report{}, syscall.ECONNREFUSED }
			got = r.ask(route, time.Second, withParts("subject", "own"))
			is.True(got.aborted || got.status == 502)
			crashes := r.Parts.TakeUnsent()
			is.True(len(crashes) > 0)
			is.Equal(len(crashes[0].Proven), 0)
		})
	}
}

// Guards against blaming the parts of all streams that run through an engine which is cut off
// from the network: it refuses connections like one that has ended. Only the end of the engine
// that was to respond counts, when its response breaks off.
func TestEngineThatRefusesConnectionsBehindTheFirstBlamesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStall(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8))
		s.engines.report = func(addr string) (citronupstream.Report, error) {
			if addr == "m2:1" {
				return citronupstream.Report{}, syscall.ECONNREFUSED
			}
			return citronupstream.Report{}, nil
		}
		s.useList(10*time.Millisecond, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
		is.Equal(s.ask("stream", 5*time.Second, withParts("subject", "own")).body, events(1, 4))
		is.Equal(s.engines.repaths[0][1].Engine.ID, "m3")
		is.Equal(len(s.Parts.TakeUnsent()), 0)
		time.Sleep(time.Second)
	})
}
