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

func start(t *testing.T, s citronengine.Settings) (*citronengine.Engine, *citronengine.Client) {
	t.Helper()
	e := citronengine.New(s)
	mux := http.NewServeMux()
	e.Mount(mux)
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	return e, citronengine.NewClient(hs.Client(), hs.URL)
}

func holds(from, to int) citronengine.Settings {
	return citronengine.Settings{Name: "e", From: from, To: to}
}

// The contract between an entry and an engine: each case is a series of
// steps of request r; all but the last succeed and the last ends as said.
func TestStepContract(t *testing.T) {
	step := func(attempt, pos, prefill int) citronengine.Step {
		return citronengine.Step{Request: "r", Attempt: attempt, Pos: pos, Prefill: prefill}
	}
	const ok = connect.Code(0)
	cases := []struct {
		name  string
		steps []citronengine.Step
		leave bool // before the last step
		want  connect.Code
	}{
		{"positions in order", []citronengine.Step{step(1, 0, 0), step(1, 1, 0), step(1, 2, 0)}, false, ok},
		{"a position skipped", []citronengine.Step{step(1, 0, 0), step(1, 2, 0)}, false, connect.CodeFailedPrecondition},
		{"a position repeated", []citronengine.Step{step(1, 0, 0), step(1, 1, 0), step(1, 1, 0)}, false, connect.CodeFailedPrecondition},
		{"no cache of the request", []citronengine.Step{step(1, 3, 0)}, false, connect.CodeFailedPrecondition},
		{"no cache, but recomputed", []citronengine.Step{step(2, 3, 3)}, false, ok},
		{"a late step of a replaced attempt", []citronengine.Step{step(1, 0, 0), step(2, 1, 1), step(1, 1, 0)}, false, connect.CodeAborted},
		{"new work while leaving", []citronengine.Step{step(1, 0, 0)}, true, connect.CodeUnavailable},
		{"takeover while leaving", []citronengine.Step{step(2, 3, 3)}, true, connect.CodeUnavailable},
		{"held work while leaving", []citronengine.Step{step(1, 0, 0), step(1, 1, 0)}, true, ok},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, cl := start(t, holds(0, 4))
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

// A request moves to another engine with its KV cache: the new engine goes
// on at the next position without recomputing, and refuses a cache of
// other layers, which would make wrong tokens.
func TestMoveKVCache(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, from := start(t, holds(0, 4))
	to, toClient := start(t, holds(0, 4))
	_, other := start(t, holds(4, 8))
	_, err := from.Run(ctx, citronengine.Step{Request: "r", Attempt: 1, Pos: 0})
	is.NoErr(err)
	next, err := from.Move(ctx, toClient, "r", 2)
	is.NoErr(err)
	is.Equal(next, 1)
	_, err = toClient.Run(ctx, citronengine.Step{Request: "r", Attempt: 2, Pos: 1})
	is.NoErr(err)
	is.Equal(to.Prefills.Load(), int64(0))
	_, err = from.Move(ctx, other, "r", 2)
	is.Equal(citronwire.Code(err), connect.CodeInvalidArgument)
	_, err = from.Move(ctx, toClient, "nobody", 2)
	is.Equal(citronwire.Code(err), connect.CodeNotFound)
}

// Orders under fencing numbers: an engine that checks refuses an old one
// and stays as it was; one that does not check takes it.
func TestOrdersAndFencing(t *testing.T) {
	cases := []struct {
		mode    citronengine.FenceMode
		refused bool
	}{{citronengine.FenceRefuse, true}, {citronengine.FenceIgnore, false}}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			e, cl := start(t, citronengine.Settings{Name: "e", To: 4, Fence: c.mode})
			is.NoErr(cl.Order(ctx, 7, citronengine.ActionLoad, "adapter-1"))
			err := cl.Order(ctx, 6, citronengine.ActionLeave, "")
			is.Equal(err != nil, c.refused)
			st, err := cl.Status(ctx)
			is.NoErr(err)
			is.Equal(st.Leaving, !c.refused)
			is.Equal(e.OldOrders.Load(), int64(1))
			is.True(cl.Order(ctx, 8, "dance", "") != nil) // unknown action
		})
	}
}

// An engine short of capacity runs the waiting step of highest priority
// first, whenever it arrived.
func TestPriorityGoesFirst(t *testing.T) {
	is := is.New(t)
	// One token each quarter of a second: what the engine answers in turn also reaches
	// callers in turn, on a busy machine too.
	e, cl := start(t, citronengine.Settings{Name: "e", To: 4, Capacity: 4})
	ctx := context.Background()
	// The first step takes what credit there is and more, so that the
	// next two wait together.
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
	go run("cutting floor", 9)
	for waiting() < 2 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(<-order, "cutting floor")
	is.Equal(<-order, "planner")
	is.Equal(e.Steps.Load(), int64(3))
}

// Cache events name the prefixes that enter and leave limited memory; the
// numbers show the gap where one was lost.
func TestCacheEventsHaveGaps(t *testing.T) {
	is := is.New(t)
	_, cl := start(t, citronengine.Settings{Name: "e", To: 4, PrefixSlots: 2})
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
	is.Equal(last, int64(60+58)) // 60 entered, 58 were pushed out
	is.Equal(len(events), 60+58-2)
}
