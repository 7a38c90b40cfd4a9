// Package citronprobe checks whether engines are alive. When an engine in the
// middle of a zone's path fails, all streams of the zone stall at the same time
// and probe the same engines, so the result of one probe is shared by all of them.
package citronprobe

import (
	"context"
	"sync"
	"syscall"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronlag"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

const (
	// MaxReportAge is the usual maximum age of a report that a stream takes over from
	// another stream's probe.
	MaxReportAge = 500 * time.Millisecond
	// probeTimeout is the time after which an engine that does not respond to a
	// probe counts as dead. A healthy engine responds within a few milliseconds.
	probeTimeout = 250 * time.Millisecond
	// maxOverrun is how much longer than probeTimeout a probe may take. If it
	// takes longer, this node itself was paused, and the lack of a response says
	// nothing about the engine.
	maxOverrun = 100 * time.Millisecond
)

// Prober shares the reports of engines between streams. Its zero value is ready to
// use.
type Prober struct {
	// Lag measures the scheduling delay of this node. It may be nil.
	Lag *citronlag.Monitor

	mu     sync.Mutex
	byAddr map[string]*sharedProbe
}

// sharedProbe is one probe of an engine, whose result several streams may use.
// report, err and doneAt are set before done is closed.
type sharedProbe struct {
	done   chan struct{}
	at     time.Time
	doneAt time.Time
	report citronupstream.Report
	err    error
}

// Report returns the report of the engine at addr. It uses the result of the previous
// probe if that probe started at most maxAge ago. The report and the error are both
// empty if there was no answer and this node ran late or was paused during the probe.
func (p *Prober) Report(ctx context.Context, up citronupstream.Engines, addr string, maxAge time.Duration) (citronupstream.Report, error) {
	p.mu.Lock()
	if p.byAddr == nil {
		p.byAddr = map[string]*sharedProbe{}
	}
	q := p.byAddr[addr]
	if q == nil || time.Since(q.at) > maxAge {
		q = &sharedProbe{done: make(chan struct{}), at: time.Now()}
		p.byAddr[addr] = q
		go q.run(ctx, up, addr, p.Lag)
	}
	p.mu.Unlock()
	select {
	case <-q.done:
		return q.report, q.err
	case <-ctx.Done():
		return citronupstream.Report{}, ctx.Err()
	}
}

// run sends the probe. It does not end with the stream that started it, because
// other streams wait for its result.
func (q *sharedProbe) run(ctx context.Context, up citronupstream.Engines, addr string, lag *citronlag.Monitor) {
	defer close(q.done)
	probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	q.report, q.err = up.Report(probeCtx, addr)
	q.doneAt = time.Now()
	if q.doneAt.Sub(q.at) > probeTimeout+maxOverrun || errors.Is(q.err, context.DeadlineExceeded) && lag.LateSince(q.at) {
		q.report, q.err = citronupstream.Report{}, nil
	}
}

// Outcome is the state of an engine's newest probe.
type Outcome struct {
	// StartedAt and DoneAt are when the probe was sent and when it ended. DoneAt is zero
	// while the probe is unanswered.
	StartedAt, DoneAt time.Time
	// Err says why the engine did not answer, nil if it did.
	Err error
}

// Last returns the outcome of the newest probe of the engine at addr, and false if there
// was none.
func (p *Prober) Last(addr string) (Outcome, bool) {
	p.mu.Lock()
	q := p.byAddr[addr]
	p.mu.Unlock()
	if q == nil {
		return Outcome{}, false
	}
	select {
	case <-q.done:
		return Outcome{StartedAt: q.at, DoneAt: q.doneAt, Err: q.err}, true
	default:
		return Outcome{StartedAt: q.at}, true
	}
}

// Probe checks whether an engine is alive and records its report or, if there is
// none, that the engine is dead. The error says why there is no report. If ctx has
// ended, a failed probe is not recorded.
func (p *Prober) Probe(ctx context.Context, up citronupstream.Engines, clock citronclock.Clock, e *citronpool.Engine, maxAge time.Duration) error {
	r, err := p.Report(ctx, up, e.Addr, maxAge)
	switch {
	case err == nil:
		RecordReport(e, r, clock.Now())
	case ctx.Err() == nil:
		RecordDead(e, err, clock.Now())
	}
	return err
}

// RecordReport records the report of an engine. An engine may have restarted at the same
// address. The report is then that of a later incarnation, which has lost the layers and
// the requests of the earlier one. A report of an earlier incarnation is ignored.
func RecordReport(e *citronpool.Engine, r citronupstream.Report, now time.Time) {
	if r.Leaving && (r.StartMS == e.StartMS || r.StartMS == 0 || e.StartMS == 0) {
		e.MarkLeaving()
	}
	startsKnown := r.StartMS != 0 && e.StartMS != 0
	switch {
	case startsKnown && r.StartMS > e.StartMS:
		e.MarkRestarted(r.StartMS, now)
		return
	case startsKnown && r.StartMS < e.StartMS:
		return
	case !e.Layers.Empty() && r.Layers != nil && r.Layers.Empty() && r.AcceptedOrders == 0:
		// According to the list the engine holds layers, so it must have accepted
		// an order to load them. An engine that has never accepted an order has
		// restarted without reporting its start time. Requests through it are
		// refused until its old entry expires after three heartbeats.
		e.MarkReplaced(now)
		return
	}
	if r.Usage != nil && !e.Layers.Empty() && (r.Layers == nil || r.Layers.Covers(e.Layers)) {
		e.RecordUsage(*r.Usage, now)
	}
	if r.Slowdown > 0 { // zero if nothing is known of it
		e.RecordSlowdown(r.Slowdown, now)
	}
	switch {
	case r.Layers == nil || e.Layers.Empty():
	case r.Layers.Covers(e.Layers):
		e.ClearMisplaced()
	default:
		e.MarkMisplaced(now)
	}
}

// RecordDead records that an engine did not respond to a probe or could not be reached.
// If the connection was refused, it also records that the engine's process has ended. If
// this node has no way to the engine, nothing is known about it, and it is only avoided for
// a moment.
func RecordDead(e *citronpool.Engine, err error, now time.Time) {
	if errors.Is(err, citronupstream.ErrUnreachable) {
		e.AvoidBriefly(now)
		return
	}
	e.MarkDead(now)
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.MarkEnded()
	}
}
