package citronforward

// Repair of running streams.
//
// An engine in the middle of a path does not speak to this node: when it
// dies, the stream just falls silent, and the first engine gives up only
// after seconds, when the caller has long left. So a stream that is silent
// for several times its usual pause asks the first engine what it waits
// for. The answer names the dead engine; all streams that run through it
// are then moved at once, without asking again.
//
// An engine that is leaving serves on for a short while. Streams that run
// through it are moved before it exits, spread over time so that their
// prompts are not all read again at the same moment.

import (
	"context"
	"math/rand/v2"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpath"
	"github.com/cockroachdb/errors"
)

const (
	// checkEvery is how often a running stream looks at its path.
	checkEvery = 50 * time.Millisecond
	// silentAfter is the pause after which the first engine is asked.
	// Events are about 100 ms apart under load, so this is a few of them;
	// the caller leaves after 2 s.
	silentAfter = 350 * time.Millisecond
	// firstSilence is the same before the first event, which waits for
	// the prompt to be read: up to 300 ms under load.
	firstSilence = 600 * time.Millisecond
	// askAgain is the time between two questions about one stream.
	askAgain = 250 * time.Millisecond
	// reportTimeout is when an engine that does not tell its state counts
	// as dead: it answers within a few milliseconds.
	reportTimeout = 250 * time.Millisecond
	// repathTimeout is the same for an order to move a request.
	repathTimeout = 400 * time.Millisecond
	// deadMemory is how long a stream trusts that an engine found dead by
	// another stream is still dead.
	deadMemory = 3 * time.Second
	// maxRepaths bounds the moves of one stream.
	maxRepaths = 4
	// leaveSpread is the time over which streams move away from an engine
	// that is leaving; it serves on for two seconds or more.
	leaveSpread = 900 * time.Millisecond
)

// action is what a check of a running stream calls for.
type action int

const (
	goOn action = iota
	replaceRun
)

// watch looks after one run of a stream. It is used by one goroutine.
type watch struct {
	s       *streamJob
	ctx     context.Context
	ticker  *time.Ticker
	reports chan reportResult
	moves   chan moveResult
	asking  bool
	moving  bool
	askedAt time.Time
	repaths int
	// leaveAt is when this stream moves away from a leaving engine.
	leaveAt time.Time
}

type reportResult struct {
	report Report
	err    error
}

type moveResult struct {
	path citronpath.Path
	err  error
}

func newWatch(s *streamJob, ctx context.Context) *watch {
	w := &watch{s: s, ctx: ctx, ticker: time.NewTicker(checkEvery), reports: make(chan reportResult, 1), moves: make(chan moveResult, 1)}
	context.AfterFunc(ctx, w.ticker.Stop)
	return w
}

func (w *watch) tick() <-chan time.Time { return w.ticker.C }

// check looks at the path and says whether the run has to be replaced.
func (w *watch) check() action {
	select {
	case r := <-w.reports:
		w.asking = false
		if a := w.heard(r); a != goOn {
			return a
		}
	case m := <-w.moves:
		w.moving = false
		return w.moved(m)
	default:
	}
	if w.moving {
		return goOn
	}
	now := w.s.f.Clock.Now()
	since := w.s.lastAt
	if w.s.pathSince.After(since) {
		since = w.s.pathSince
	}
	silence := now.Sub(since)
	if silence > checkEvery*3 {
		if bad := w.deadPart(since); bad >= 0 {
			return w.replace(bad, "dead")
		}
	}
	if bad := w.leavingPart(now); bad >= 0 {
		return w.replace(bad, "leaving")
	}
	limit := silentAfter
	if !w.s.begun {
		limit = firstSilence
	}
	if silence > limit && !w.asking && now.Sub(w.askedAt) > askAgain {
		w.ask(now)
	}
	return goOn
}

// deadPart returns the first hop that was found dead since the stream last
// moved on, or -1.
func (w *watch) deadPart(since time.Time) int {
	view := w.s.f.Current().View
	for i, h := range w.s.path {
		e, ok := view.ByID(h.Engine.ID)
		if !ok {
			e = h.Engine
		}
		if d := e.DeadSince(); !d.IsZero() && d.After(since.Add(-checkEvery)) {
			return i
		}
	}
	return -1
}

// leavingPart returns the first hop whose engine is leaving, once this
// stream's turn to move has come, or -1.
func (w *watch) leavingPart(now time.Time) int {
	view := w.s.f.Current().View
	for i, h := range w.s.path {
		e, ok := view.ByID(h.Engine.ID)
		if ok && !e.Leaving {
			continue
		}
		if w.leaveAt.IsZero() {
			w.leaveAt = now.Add(time.Duration(rand.Int64N(int64(leaveSpread))))
		}
		if now.After(w.leaveAt) {
			return i
		}
		return -1
	}
	return -1
}

// ask asks the first engine what the stream waits for.
func (w *watch) ask(now time.Time) {
	w.asking = true
	w.askedAt = now
	first := w.s.path[0].Engine.Addr
	go func() {
		ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
		defer cancel()
		r, err := w.s.f.reports.ask(ctx, w.s.f.Upstream, first)
		w.reports <- reportResult{r, err}
	}()
}

// heard takes the first engine's answer.
func (w *watch) heard(r reportResult) action {
	now := w.s.f.Clock.Now()
	if r.err != nil {
		if w.ctx.Err() != nil {
			return goOn
		}
		w.s.path[0].Engine.Dead(now)
		return w.replace(0, "no report: "+r.err.Error())
	}
	addr, ok := r.report.Stalled[w.s.ID]
	if !ok {
		return goOn
	}
	for i, h := range w.s.path {
		if h.Engine.Addr == addr {
			h.Engine.Dead(now)
			return w.replace(i, "stalled")
		}
	}
	return goOn
}

// replace takes a hop out of the path: by a new path behind the same first
// engine if that one is well, else by a new run.
func (w *watch) replace(bad int, reason string) action {
	s := w.s
	engine := s.path[bad].Engine
	s.avoid[engine.ID] = true
	s.avoidDead()
	citronevent.Log(w.ctx, s.f.Log, citronevent.PartReplaced, "request", s.ID, "engine", engine.ID, "peer", engine.Addr, "hop", bad, "reason", reason, "lastEvent", s.last, "silent", s.f.Clock.Now().Sub(s.lastAt))
	if bad == 0 {
		return w.resume(reason)
	}
	return w.reroute(reason)
}

// reroute orders the first engine to take another path.
func (w *watch) reroute(reason string) action {
	s := w.s
	if w.repaths >= maxRepaths {
		return w.resume(reason)
	}
	p, ok := s.job.path(s.f.Current(), s.path[0].Engine.ID)
	if !ok {
		return w.resume(reason)
	}
	w.repaths++
	w.moving = true
	w.leaveAt = time.Time{}
	go func() {
		ctx, cancel := context.WithTimeout(w.ctx, repathTimeout)
		defer cancel()
		err := s.f.Upstream.Repath(ctx, p[0].Engine.Addr, s.ID, p)
		w.moves <- moveResult{p, err}
	}()
	return goOn
}

// resume ends the run unless that would only lose it: a path that still
// works, with nothing to go to, is better than none.
func (w *watch) resume(reason string) action {
	if !w.s.route.Idempotent() && w.s.begun {
		return goOn
	}
	if reason == "leaving" {
		if _, ok := w.s.job.path(w.s.f.Current(), ""); !ok || w.s.runs+1 >= w.s.route.MaxAttempts+1 {
			w.leaveAt = w.s.f.Clock.Now().Add(leaveSpread)
			return goOn
		}
	}
	return replaceRun
}

// moved takes the answer to an order to move the request.
func (w *watch) moved(m moveResult) action {
	s := w.s
	if m.err == nil {
		s.f.Metrics.Repairs.WithLabelValues("repath").Inc()
		s.bind(m.path)
		return goOn
	}
	citronevent.Log(w.ctx, s.f.Log, citronevent.RepathFailed, "request", s.ID, "peer", m.path[0].Engine.Addr, "err", m.err)
	var part *PartError
	if errors.As(m.err, &part) {
		for i, h := range m.path {
			if h.Engine.Addr == part.Addr && i > 0 {
				s.avoid[h.Engine.ID] = true
				h.Engine.Busy(s.f.Clock.Now(), busyPause)
				return w.reroute("part refused")
			}
		}
	}
	return w.resume("repath failed")
}

// avoidDead keeps the request away from all engines that are known dead.
func (s *streamJob) avoidDead() {
	now := s.f.Clock.Now()
	for _, e := range s.f.Current().View.ByService[s.service.Name] {
		if d := e.DeadSince(); !d.IsZero() && now.Sub(d) < deadMemory {
			s.avoid[e.ID] = true
		}
	}
}
