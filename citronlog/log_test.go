package citronlog_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronlog"
	"github.com/matryer/is"
)

// blockedWriter blocks every write until release is closed, like a pipe whose
// reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestBlockedWriterDoesNotBlockLogging guards against requests that hang because they
// log a line after the log reader has stopped reading. Lines that do not fit into the
// queue must be dropped and counted instead. The lines are spread over 100 events, so
// that no event reaches its rate limit.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	w := blockedWriter{release: make(chan struct{})}
	h, wait := citronlog.New(ctx, w, citronclock.Real{}, slog.LevelInfo)
	log := slog.New(h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			citronevent.Log(ctx, log, citronevent.Event(1000+i%100), "request", "r")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocked for 20 s on a writer whose reader has stopped")
	}
	is.True(h.Dropped() > 0)
	close(w.release)
	cancel()
	wait()
}

// TestLongLinesAreBoundedTogether guards against a queue that holds many long lines, which callers
// cause by long request IDs, while the log reader does not read.
func TestLongLinesAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	w := blockedWriter{release: make(chan struct{})}
	h, wait := citronlog.New(ctx, w, citronclock.Real{}, slog.LevelInfo)
	const lines, length, most = 300, 60_000, 4 << 20
	for range lines {
		citronevent.Log(ctx, slog.New(h), citronevent.ForwardRefused, "request", strings.Repeat("x", length))
	}
	is.True((lines-h.Dropped())*length < most)
	close(w.release)
	cancel()
	wait()
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// TestRateLimitIsPerEvent logs one event 1000 times at once, as in a fault that fails
// every request. Its lines must be limited to the burst of 400, another event must still
// be written, and the number of dropped lines must be logged.
func TestRateLimitIsPerEvent(t *testing.T) {
	is := is.New(t)
	clock := citronclock.NewManual(time.Unix(1000, 0))
	ctx, cancel := context.WithCancel(context.Background())
	var out lockedBuffer
	h, wait := citronlog.New(ctx, &out, clock, slog.LevelInfo)
	log := slog.New(h)
	for range 1000 {
		citronevent.Log(ctx, log, citronevent.AttemptFailed, "request", "r")
	}
	clock.Advance(5 * time.Second)
	citronevent.Log(ctx, log, citronevent.TableApplied, "version", 7)
	cancel()
	wait()
	is.Equal(strings.Count(out.b.String(), "attempt.failed"), 400)
	is.Equal(strings.Count(out.b.String(), "table.applied"), 1)
	is.True(strings.Contains(out.b.String(), `"lines":600`))
}

func BenchmarkLine(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h, _ := citronlog.New(ctx, &lockedBuffer{}, citronclock.Real{}, slog.LevelInfo)
	log := slog.New(h)
	for i := range b.N {
		citronevent.Log(ctx, log, citronevent.Event(1000+i%1000), "request", "9c41d07be2a35f68", "engine", "i-1", "left", time.Second)
	}
}
