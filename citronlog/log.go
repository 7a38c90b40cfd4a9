// Package citronlog writes the log of a node: one JSON object a line, never
// blocking the caller and bounded in volume.
//
// A log line is written while a request waits. If whoever reads the log
// stops reading, a plain write to a full pipe would stop every request of
// the node; and a fault that fails each request would write a line for each.
// So lines go through a queue that a goroutine of its own empties, and each
// numbered event has a rate. What the queue or a rate drops is counted, and
// the count is logged as soon as lines pass again.
package citronlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
)

const (
	// queueLines bounds the memory of lines that wait: at 300 bytes a line
	// about 0.6 MB.
	queueLines = 2048
	// eventRate and eventBurst are the lines a second of one event: enough
	// for every failure of an ordinary fault at one node (a dead engine
	// moves some fifty streams), and 30 KB a second at most.
	eventRate  = 100
	eventBurst = 400
	// reportEvery is the least time between two reports of drops.
	reportEvery = time.Second
)

// Handler is a slog.Handler.
type Handler struct {
	inner slog.Handler
	core  *core
}

// core is what a handler and those derived from it share.
type core struct {
	clock   citronclock.Clock
	lines   chan []byte
	dropped atomic.Int64

	mu       sync.Mutex
	buckets  map[int64]*bucket
	reported time.Time
}

type bucket struct {
	tokens float64
	at     time.Time
}

// New returns a handler that writes to w until ctx ends. wait returns once
// the lines of the queue are written.
func New(ctx context.Context, w io.Writer, clock citronclock.Clock, level slog.Level) (h *Handler, wait func()) {
	c := &core{clock: clock, lines: make(chan []byte, queueLines), buckets: map[int64]*bucket{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.write(ctx, w)
	}()
	return &Handler{inner: slog.NewJSONHandler(c, &slog.HandlerOptions{Level: level}), core: c}, func() { <-done }
}

// write empties the queue. A line that cannot be written is counted as
// dropped: there is nowhere else to say so.
func (c *core) write(ctx context.Context, w io.Writer) {
	for {
		select {
		case line := <-c.lines:
			c.writeLine(w, line)
		case <-ctx.Done():
			for {
				select {
				case line := <-c.lines:
					c.writeLine(w, line)
				default:
					return
				}
			}
		}
	}
}

func (c *core) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		c.dropped.Add(1)
	}
}

// Write queues one line; it implements io.Writer for the JSON handler.
func (c *core) Write(line []byte) (int, error) {
	select {
	case c.lines <- append([]byte(nil), line...):
	default:
		c.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped and not yet reported.
func (h *Handler) Dropped() int64 { return h.core.dropped.Load() }

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.inner.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	var event int64
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "event" {
			event = a.Value.Int64()
			return false
		}
		return true
	})
	if !h.core.allow(event) {
		h.core.dropped.Add(1)
		return nil
	}
	if n := h.core.toReport(); n > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log.dropped", 0)
		note.Add("event", int(citronevent.LogDropped), "lines", n)
		if err := h.inner.Handle(ctx, note); err != nil {
			return err
		}
	}
	return h.inner.Handle(ctx, r)
}

// allow takes a token of the event's bucket.
func (c *core) allow(event int64) bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets[event]
	if b == nil {
		b = &bucket{tokens: eventBurst, at: now}
		c.buckets[event] = b
	}
	b.tokens = min(eventBurst, b.tokens+eventRate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// toReport returns the drops to be reported now, if any.
func (c *core) toReport() int64 {
	if c.dropped.Load() == 0 || len(c.lines) > queueLines/2 {
		return 0
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.reported) < reportEvery {
		return 0
	}
	c.reported = now
	return c.dropped.Swap(0)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{inner: h.inner.WithAttrs(attrs), core: h.core}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), core: h.core}
}
