// Package citronlog provides a slog.Handler that never blocks the caller and
// bounds the volume of the log. It writes one JSON object per line.
//
// Log lines are written while a request waits. If the log reader stops reading,
// a direct write to a full pipe would block every request of the node, and a
// fault that fails every request would log a line for each of them. Lines
// therefore pass through a bounded queue that a separate goroutine writes out,
// and each numbered event has a rate limit. Dropped lines are counted. As soon as
// a report of the count is due (see takeDropped), it is logged before the next
// line that is not dropped.
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
	// queueLines is the capacity of the queue: about 0.6 MB at 300 bytes a
	// line.
	queueLines = 2048
	// maxQueueBytes bounds the lines in the queue together. Most lines are short, but some hold
	// texts that callers have sent.
	maxQueueBytes = 2 << 20
	// eventRate is the sustained number of lines per second of one event, and
	// eventBurst the size of its token bucket. An ordinary fault stays within
	// them (when an engine dies, a node moves about 50 streams), and the lines of
	// one event take at most 30 KB per second on average.
	eventRate  = 100
	eventBurst = 400
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = time.Second
)

// Handler is a slog.Handler that drops lines instead of blocking.
type Handler struct {
	inner slog.Handler
	core  *core
}

// core is the state that a handler shares with the handlers derived from it by
// WithAttrs and WithGroup. It is the writer of their JSON lines.
type core struct {
	clock   citronclock.Clock
	lines   chan []byte
	dropped atomic.Int64
	// queued is the number of bytes in lines.
	queued atomic.Int64

	mu       sync.Mutex
	buckets  map[int64]*bucket
	reported time.Time // when dropped lines were last reported
}

// bucket is the token bucket of one event.
type bucket struct {
	tokens float64
	at     time.Time
}

// New returns a handler that writes records of at least the given level to w
// until ctx ends. wait blocks until ctx has ended and the queued lines are
// written.
func New(ctx context.Context, w io.Writer, clock citronclock.Clock, level slog.Level) (h *Handler, wait func()) {
	c := &core{clock: clock, lines: make(chan []byte, queueLines), buckets: map[int64]*bucket{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.drain(ctx, w)
	}()
	return &Handler{inner: slog.NewJSONHandler(c, &slog.HandlerOptions{Level: level}), core: c}, func() { <-done }
}

// drain writes queued lines to w until ctx ends, and then the lines still in the
// queue.
func (c *core) drain(ctx context.Context, w io.Writer) {
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

// writeLine writes one line. A failed write counts as a dropped line, as there is
// nowhere else to report it.
func (c *core) writeLine(w io.Writer, line []byte) {
	c.queued.Add(int64(-len(line)))
	if _, err := w.Write(line); err != nil {
		c.dropped.Add(1)
	}
}

// Write queues one line, or drops it if the queue is full. It implements
// io.Writer for the JSON handler.
func (c *core) Write(line []byte) (int, error) {
	size := int64(len(line))
	if c.queued.Add(size) > maxQueueBytes {
		c.queued.Add(-size)
		c.dropped.Add(1)
		return len(line), nil
	}
	select {
	case c.lines <- append([]byte(nil), line...):
	default:
		c.queued.Add(-size)
		c.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped and not yet reported.
func (h *Handler) Dropped() int64 { return h.core.dropped.Load() }

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.inner.Enabled(ctx, l) }

// Handle implements slog.Handler. It drops the record if its event exceeds its
// rate, and reports earlier drops when a report is due.
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
	if n := h.core.takeDropped(); n > 0 {
		report := slog.NewRecord(r.Time, slog.LevelWarn, "log.dropped", 0)
		report.Add("event", int(citronevent.LogDropped), "lines", n)
		if err := h.inner.Handle(ctx, report); err != nil {
			return err
		}
	}
	return h.inner.Handle(ctx, r)
}

// allow takes a token from the event's bucket and reports whether there was one.
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

// takeDropped returns the number of dropped lines and resets it if a report is
// due, and 0 otherwise. No report is due while more than half of the queue is
// used or within reportInterval of the last report.
func (c *core) takeDropped() int64 {
	if c.dropped.Load() == 0 || len(c.lines) > queueLines/2 {
		return 0
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.reported) < reportInterval {
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
