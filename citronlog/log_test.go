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

// stuck is a reader that has stopped reading: writes to it never return.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Whoever reads the log stops reading. Requests must go on: lines beyond
// the queue are dropped and counted, and no call waits.
func TestReaderThatDoesNotReadBlocksNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	w := stuck{release: make(chan struct{})}
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
		t.Fatal("logging waits for the reader")
	}
	is.True(h.Dropped() > 0)
	close(w.release)
	cancel()
	wait()
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// A fault that fails every request: the event's lines are bounded, other
// events are written as ever, and what was dropped is told.
func TestOneEventCannotDrownTheOthers(t *testing.T) {
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
