// Package citronprobe probes whether engines are alive. Many streams ask about
// the same engines at once: when one in the middle of a zone's path dies, all
// streams of the zone fall silent together, so an answer serves all of them.
package citronprobe

import (
	"context"
	"sync"
	"syscall"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

const (
	// Fresh is how long an engine's report serves all streams that ask for
	// it.
	Fresh = 500 * time.Millisecond
	// timeout is when an engine that does not tell its state counts as
	// dead: it answers within a few milliseconds.
	timeout = 250 * time.Millisecond
	// ownStall is how much longer than its time limit a question may take:
	// if more, this node itself stood still, and that an engine did not
	// answer in the meantime says nothing about the engine.
	ownStall = 100 * time.Millisecond
)

// Prober shares engines' reports between streams. Its zero value is ready.
type Prober struct {
	mu     sync.Mutex
	byAddr map[string]*shared
}

type shared struct {
	done   chan struct{}
	at     time.Time
	report citronupstream.Report
	err    error
}

// Ask returns the engine's report, which may be as old as maxAge if another
// stream has asked for it.
func (p *Prober) Ask(ctx context.Context, up citronupstream.Engines, addr string, maxAge time.Duration) (citronupstream.Report, error) {
	p.mu.Lock()
	if p.byAddr == nil {
		p.byAddr = map[string]*shared{}
	}
	q := p.byAddr[addr]
	if q == nil || time.Since(q.at) > maxAge {
		q = &shared{done: make(chan struct{}), at: time.Now()}
		p.byAddr[addr] = q
		go q.ask(ctx, up, addr)
	}
	p.mu.Unlock()
	select {
	case <-q.done:
		return q.report, q.err
	case <-ctx.Done():
		return citronupstream.Report{}, ctx.Err()
	}
}

// ask outlives the stream that asked first.
func (q *shared) ask(ctx context.Context, up citronupstream.Engines, addr string) {
	defer close(q.done)
	ask, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	q.report, q.err = up.Report(ask, addr)
	if time.Since(q.at) > timeout+ownStall {
		q.report, q.err = citronupstream.Report{}, nil
	}
}

// Probe probes whether an engine is alive, and notes what it says or that it
// gives none. The error says why it gave none.
func (p *Prober) Probe(ctx context.Context, up citronupstream.Engines, clock citronclock.Clock, e *citronpool.Engine, maxAge time.Duration) error {
	r, err := p.Ask(ctx, up, e.Addr, maxAge)
	switch {
	case err == nil:
		Heard(e, r, clock.Now())
	case ctx.Err() == nil:
		Dead(e, err, clock.Now())
	}
	return err
}

// Heard notes what an engine's report says of it. An engine may have started
// anew at the same address: the report is then of another incarnation, which
// holds nothing and runs none of the requests that the one before it ran. The
// report may also be of an earlier one and says nothing then.
func Heard(e *citronpool.Engine, r citronupstream.Report, now time.Time) {
	told := r.Born != 0 && e.Born != 0
	switch {
	case told && r.Born > e.Born:
		e.StartedAnew(r.Born, now)
		return
	case told && r.Born < e.Born:
		return
	case !e.Layers.Empty() && r.Holds != nil && r.Holds.Empty() && r.Accepted == 0:
		// The list says that it holds layers, so it had accepted an order for
		// them: one that never accepted any has started anew and does not tell
		// when. Requests through it are refused until its old entry lapses,
		// three heartbeats later.
		e.Replace(now)
		return
	}
	e.Slow(r.Slowdown, now)
	switch {
	case r.Holds == nil || e.Layers.Empty():
	case r.Holds.Covers(e.Layers):
		e.Placed()
	default:
		e.Misplaced(now)
	}
}

// Dead notes an engine that did not answer, and whether its process
// has certainly ended.
func Dead(e *citronpool.Engine, err error, now time.Time) {
	e.Dead(now)
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.End()
	}
}
