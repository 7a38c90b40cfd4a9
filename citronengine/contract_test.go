package citronengine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
	"github.com/matryer/is"
)

// startEngine starts an engine and returns it with a client.
func startEngine(t *testing.T, s citronengine.Settings) (*citronengine.Engine, *citronengine.Client) {
	t.Helper()
	e := citronengine.New(s)
	mux := http.NewServeMux()
	e.Mount(mux)
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	return e, citronengine.NewClient(hs.Client(), hs.URL)
}

// layerRange returns the settings of an engine with the layers [from, to).
func layerRange(from, to int) citronengine.Settings {
	return citronengine.Settings{Name: "e", From: from, To: to}
}

// TestStepContract checks which steps an engine accepts from an entry. A step at the
// wrong position, or a late one of a replaced attempt, would be computed from the wrong
// KV cache and give wrong tokens. An engine that is leaving must finish the requests in
// its cache and accept no others. Each case is a series of steps of request r. All but
// the last must succeed; the last must return the given code.
func TestStepContract(t *testing.T) {
	step := func(attempt, pos, prefill int) citronengine.Step {
		return citronengine.Step{Request: "r", Attempt: attempt, Pos: pos, Prefill: prefill}
	}
	const ok = connect.Code(0)
	cases := []struct {
		name  string
		steps []citronengine.Step
		leave bool // set the engine leaving before the last step
		want  connect.Code
	}{
		{"positions in order", []citronengine.Step{step(1, 0, 0), step(1, 1, 0), step(1, 2, 0)}, false, ok},
		{"skipped position", []citronengine.Step{step(1, 0, 0), step(1, 2, 0)}, false, connect.CodeFailedPrecondition},
		{"repeated position", []citronengine.Step{step(1, 0, 0), step(1, 1, 0), step(1, 1, 0)}, false, connect.CodeFailedPrecondition},
		{"request not in the cache", []citronengine.Step{step(1, 3, 0)}, false, connect.CodeFailedPrecondition},
		{"no cache, with prefill", []citronengine.Step{step(2, 3, 3)}, false, ok},
		{"late step of a replaced attempt", []citronengine.Step{step(1, 0, 0), step(2, 1, 1), step(1, 1, 0)}, false, connect.CodeAborted},
		{"new request while leaving", []citronengine.Step{step(1, 0, 0)}, true, connect.CodeUnavailable},
		{"request taken over while leaving", []citronengine.Step{step(2, 3, 3)}, true, connect.CodeUnavailable},
		{"request in the cache while leaving", []citronengine.Step{step(1, 0, 0), step(1, 1, 0)}, true, ok},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, cl := startEngine(t, layerRange(0, 4))
			for i, s := range c.steps {
				last := i == len(c.steps)-1
				if last && c.leave {
					e.SetLeaving()
				}
				_, err := cl.Run(context.Background(), s)
				if !last || c.want == ok {
					is.NoErr(err)
					continue
				}
				is.Equal(citronwire.Code(err), c.want)
			}
		})
	}
}

// TestMoveKVCache checks that an engine which imports the KV cache of a request
// continues at the next position without recomputing. It also checks that an engine
// rejects the cache of another layer range, which would give wrong tokens, and that
// the cache of an unknown request cannot be moved.
func TestMoveKVCache(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, from := startEngine(t, layerRange(0, 4))
	to, toClient := startEngine(t, layerRange(0, 4))
	_, other := startEngine(t, layerRange(4, 8))
	_, err := from.Run(ctx, citronengine.Step{Request: "r", Attempt: 1, Pos: 0})
	is.NoErr(err)
	next, err := from.MoveCache(ctx, toClient, "r", 2)
	is.NoErr(err)
	is.Equal(next, 1)
	_, err = toClient.Run(ctx, citronengine.Step{Request: "r", Attempt: 2, Pos: 1})
	is.NoErr(err)
	is.Equal(to.Prefills.Load(), int64(0))
	_, err = from.MoveCache(ctx, other, "r", 2)
	is.Equal(citronwire.Code(err), connect.CodeInvalidArgument)
	_, err = from.MoveCache(ctx, toClient, "nobody", 2)
	is.Equal(citronwire.Code(err), connect.CodeNotFound)
}

// TestOrderFencing checks what happens to an order with a stale fencing number, which
// comes from a sender that another one has replaced. An engine with FenceRefuse must
// reject it and not begin to leave; one with FenceIgnore must carry it out. Both must
// reject an unknown action.
func TestOrderFencing(t *testing.T) {
	cases := []struct {
		mode     citronengine.FenceMode
		rejected bool
	}{{citronengine.FenceRefuse, true}, {citronengine.FenceIgnore, false}}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			e, cl := startEngine(t, citronengine.Settings{Name: "e", To: 4, Fence: c.mode})
			is.NoErr(cl.Order(ctx, 7, citronengine.ActionLoad, "adapter-1"))
			err := cl.Order(ctx, 6, citronengine.ActionLeave, "")
			is.Equal(err != nil, c.rejected)
			st, err := cl.Status(ctx)
			is.NoErr(err)
			is.Equal(st.Leaving, !c.rejected)
			is.Equal(e.StaleOrders.Load(), int64(1))
			is.True(cl.Order(ctx, 8, "dance", "") != nil) // unknown action
		})
	}
}

// TestHigherPriorityRunsFirst checks that an engine without free capacity runs queued
// steps by priority, regardless of their order of arrival.
func TestHigherPriorityRunsFirst(t *testing.T) {
	is := is.New(t)
	// At one token per 250 ms, the responses are far enough apart to reach the callers
	// in the order in which the engine sends them, even on a busy machine.
	e, cl := startEngine(t, citronengine.Settings{Name: "e", To: 4, Capacity: 4})
	ctx := context.Background()
	// The first step overdraws the engine's credit of tokens for about a second, so
	// that the next two steps are queued at the same time.
	_, err := cl.Run(ctx, citronengine.Step{Request: "big", Attempt: 1, Pos: 3, Prefill: 3})
	is.NoErr(err)
	order := make(chan string, 2)
	run := func(name string, priority int) {
		if _, err := cl.Run(ctx, citronengine.Step{Request: name, Attempt: 1, Priority: priority}); err == nil {
			order <- name
		}
	}
	waiting := func() int {
		st, err := cl.Status(ctx)
		is.NoErr(err)
		return st.Waiting
	}
	go run("planner", 0)
	for waiting() < 1 {
		time.Sleep(time.Millisecond)
	}
	go run("a prompt", 9)
	for waiting() < 2 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(<-order, "a prompt")
	is.Equal(<-order, "planner")
	is.Equal(e.Steps.Load(), int64(3))
}

// TestCacheEventsHaveGaps checks that the fake engine numbers one event for each prefix
// that is added to its cache or evicted, and that an event that it loses on purpose
// leaves a gap in the sequence numbers. Readers detect the loss by that gap.
func TestCacheEventsHaveGaps(t *testing.T) {
	is := is.New(t)
	_, cl := startEngine(t, citronengine.Settings{Name: "e", To: 4, PrefixSlots: 2})
	ctx := context.Background()
	for i := range 60 {
		prompt := make([]byte, 64)
		for j := range prompt {
			prompt[j] = byte('a' + i%26)
		}
		prompt[0] = byte('A' + i/26)
		_, err := cl.Run(ctx, citronengine.Step{Request: string(prompt), Attempt: 1, Prompt: string(prompt)})
		is.NoErr(err)
	}
	events, err := cl.Events(ctx, 0)
	is.NoErr(err)
	last := events[len(events)-1].Seq
	is.Equal(last, int64(60+58))   // 60 added, 58 evicted
	is.Equal(len(events), 60+58-2) // every 50th event is lost
}
