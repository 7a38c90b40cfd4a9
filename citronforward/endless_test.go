package citronforward_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// newEndlessBody returns a body that sends begin, and then part again and again, with a pause in
// between, until it is closed or ctx ends.
func newEndlessBody(ctx context.Context, begin, part string, pause time.Duration) io.ReadCloser {
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
	go func() {
		_, err := io.WriteString(w, begin)
		for text := []byte(part); err == nil; {
			_, err = w.Write(text)
			time.Sleep(pause)
		}
	}()
	return r
}

// Guards against a node that runs out of memory, or a caller that waits for good, because an engine
// sends bytes that are no answer and do not end. Another engine serves the caller.
func TestAnswerWithoutEndIsServedByAnotherEngine(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	for _, c := range []struct {
		name, route string
		status      int
		begin, part string
		pause       time.Duration
		want        string
	}{
		{"an event of one line", "stream", 200, events(1, 2) + "data: ", block, 0, events(1, 4)},
		{"an event of many lines", "stream", 200, events(1, 2), "data: " + block + "\n", 0, events(1, 4)},
		{"a slow event", "stream", 200, events(1, 2) + "data: ", "x", 20 * time.Millisecond, events(1, 4)},
		{"a failure", "stream", 500, "", block, 0, events(1, 4)},
		{"a slow failure", "stream", 500, "", "x", 20 * time.Millisecond, events(1, 4)},
		{"a refusal", "stream", 503, "", block, 0, events(1, 4)},
		{"a slow refusal", "stream", 503, "", "x", 20 * time.Millisecond, events(1, 4)},
		{"a plain answer", "safe", 200, "", block, 0, "whole"},
		{"a slow plain answer", "safe", 200, "", "x", 20 * time.Millisecond, "whole"},
		{"a plain refusal", "safe", 503, "", block, 0, "whole"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestForwarder(t, modelEngine("m1", "a", 0, 8), modelEngine("m2", "a", 0, 8), plainEngine("e1", "a"), plainEngine("e2", "a"))
			r.engines.answer = func(ctx context.Context, n int, call citronupstream.Call) (*citronupstream.Reply, error) {
				switch {
				case n == 0:
					rep := reply(c.status, "")
					rep.Body, rep.NotExecuted = newEndlessBody(ctx, c.begin, c.part, c.pause), c.status == 503
					return rep, nil
				case c.route == "safe":
					return reply(200, "whole"), nil
				case call.AfterEvent == "2":
					return reply(200, events(3, 4)), nil
				}
				return reply(200, events(1, 4)), nil
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			got := r.ask(c.route, 5*time.Second)
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			is.Equal(got.body, c.want)
			is.True(!got.aborted && !got.refused)
			calls := r.engines.received()
			is.Equal(len(calls), 2)
			is.True(calls[0].engine != calls[1].engine)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 64<<20 || took > 2*time.Second {
				t.Errorf("the request allocated %d MB and took %v", allocated>>20, took)
			}
		})
	}
}

// heldBytes counts what has been read of bodies that have not been closed.
type heldBytes struct {
	mu        sync.Mutex
	now, most int64
}

func (h *heldBytes) add(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now += n
	h.most = max(h.most, h.now)
}

func (h *heldBytes) peak() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.most
}

// heldBody is a body that counts in held.
type heldBody struct {
	stallingBody
	held *heldBytes
	read atomic.Int64
}

func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.stallingBody.Read(p)
	b.read.Add(int64(n))
	b.held.add(int64(n))
	return n, err
}

func (b *heldBody) Close() error {
	b.held.add(-b.read.Swap(0))
	return nil
}

// Guards against a node that runs out of memory because many streams at once hold an event that
// does not end. The streams fail; others go on.
func TestManyEventsWithoutEndFitTheMemory(t *testing.T) {
	is := is.New(t)
	var engines []citronmodel.Engine
	for i := range 50 {
		engines = append(engines, modelEngine(fmt.Sprint("m", i), "a", 0, 8))
	}
	r := newTestForwarder(t, engines...)
	begin := "data: " + strings.Repeat("x", 900<<10)
	var held heldBytes
	var runs atomic.Int64
	r.engines.answer = func(ctx context.Context, _ int, call citronupstream.Call) (*citronupstream.Reply, error) {
		if call.ID == "small" {
			return reply(200, events(1, 4)), nil
		}
		runs.Add(1)
		rep := reply(200, "")
		rep.Body = &heldBody{stallingBody: stallingBody{strings.NewReader(begin), ctx}, held: &held}
		return rep, nil
	}
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() { r.ask("stream", 3*time.Second) })
	}
	for end := time.Now().Add(2 * time.Second); runs.Load() < 100 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(r.ask("stream", 3*time.Second, func(q *citronupstream.Request) { q.ID = "small" }).body, events(1, 4))
	all.Wait()
	t.Logf("%d runs, %d MB held", runs.Load(), held.peak()>>20)
	is.True(runs.Load() >= 100)
	is.True(held.peak() < 64<<20)
}
