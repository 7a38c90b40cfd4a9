package citronforward

// Repair of running streams.
//
// An engine in the middle of a path does not speak to this node: when it
// dies, the stream just falls silent, and the first engine gives up only
// after seconds, when the caller has long left. So a stream that is silent
// for several times its usual pause has all engines of its path probed; all
// streams that run through one that does not answer are moved at once, without
// another probe.
//
// There are two ways to move a stream. A repath keeps the run and replaces
// the dead part: the new part has to read all tokens so far, which are
// handed to it by the part before, so it is cheap within a zone and slow
// across the pipe between zones. A resume starts a new run after the last
// event: all parts read the prompt again, so it fits another zone's copy.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

const (
	// checkEvery is how often a running stream looks at its path.
	checkEvery = 50 * time.Millisecond
	// quietAfter is the pause after which a stream that is silent looks at its path,
	// every lookAgain.
	quietAfter = 70 * time.Millisecond
	lookAgain  = 20 * time.Millisecond
	// ownPause between two looks means that this node stood still.
	ownPause = 6 * checkEvery
	// silentAfter is the longest pause between events before the path is probed.
	silentAfter = 270 * time.Millisecond
	// firstSilence is the same before the first event, which waits for the prompt to
	// be read.
	firstSilence = 500 * time.Millisecond
	// askAgain is the time between two questions about one stream.
	askAgain = 300 * time.Millisecond
	// repathTimeout bounds an order to move a request.
	repathTimeout = 400 * time.Millisecond
	// A stream that waits for its first event when a part dies may still be in time,
	// and goes to another zone at once. One that has begun is late already, and goes
	// between crossFirst and crossFirst + crossSpread after the death was found: all
	// streams of a zone together would hold up the sound streams of the others.
	crossFirst  = 50 * time.Millisecond
	crossSpread = 600 * time.Millisecond
	// deadMemory is how long a stream trusts that an engine found dead by
	// another stream is still dead.
	deadMemory = 3 * time.Second
	// maxRepaths bounds the moves of one stream.
	maxRepaths = 4
)

// Why a part is replaced.
const (
	reasonDead    = "dead"
	reasonStalled = "stalled"
	reasonLeaving = "leaving"
	reasonAccused = "accused"
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
	timer   *time.Timer
	reports chan reportResult
	moves   chan moveResult
	asking  bool
	moving  bool
	askedAt time.Time
	repaths int
	// checkedAt is when the path was last looked at.
	checkedAt time.Time
	// waitUntil keeps a stream that cannot be moved now from trying again
	// at every check.
	waitUntil time.Time
	// bad is the part to be replaced, and reason why.
	bad    citronpath.Hop
	reason string
	// accused is the question to an engine that was named in a refusal.
	accused *accusation
	// crossAt is when the stream goes to another zone.
	crossAt time.Time
	// leftAt is when a leaving engine was first seen on the path.
	leftAt time.Time
	// leaveAt is when this stream moves away from a leaving engine.
	leaveAt time.Time
}

type reportResult struct {
	report citronupstream.Report
	err    error
}

type moveResult struct {
	path citronpath.Path
	err  error
}

func newWatch(ctx context.Context, s *streamJob) *watch {
	w := &watch{s: s, ctx: ctx, timer: time.NewTimer(checkEvery), reports: make(chan reportResult, 1), moves: make(chan moveResult, 1)}
	context.AfterFunc(ctx, func() { w.timer.Stop() })
	return w
}

// tick is when a silent stream is to be checked.
func (w *watch) tick() <-chan time.Time { return w.timer.C }

// quiet is called when tick has fired.
func (w *watch) quiet() action {
	w.timer.Reset(lookAgain)
	return w.check()
}

// progress is called when an event has been passed on.
func (w *watch) progress() action {
	w.timer.Reset(quietAfter)
	if w.s.lastAt.Sub(w.checkedAt) < checkEvery {
		return goOn
	}
	return w.check()
}

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
	stalled := !w.checkedAt.IsZero() && now.Sub(w.checkedAt) > ownPause
	w.checkedAt = now
	if stalled {
		// This node stood still; the silence was its own.
		w.waitUntil = now.Add(silentAfter)
	}
	if now.Before(w.waitUntil) {
		return goOn
	}
	since := w.s.lastAt
	if w.s.pathSince.After(since) {
		since = w.s.pathSince
	}
	silence := now.Sub(since)
	if bad := w.accusedPart(now, silence); bad >= 0 {
		return w.replace(bad, reasonAccused)
	}
	if silence > checkEvery*3 {
		if bad := w.deadPart(since); bad >= 0 {
			return w.replace(bad, reasonDead)
		}
	}
	if bad := w.leavingPart(now); bad >= 0 {
		return w.replace(bad, reasonLeaving)
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

// ask probes all engines of the path. The first also
// tells which of its requests wait for another engine.
func (w *watch) ask(now time.Time) {
	w.asking = true
	w.askedAt = now
	path := w.s.path
	go func() {
		var wait sync.WaitGroup
		for _, h := range path[1:] {
			wait.Go(func() { _ = w.s.f.probe(w.ctx, h.Engine, citronprobe.Fresh) }) // noted with the engine
		}
		r, err := w.s.f.probes.Ask(w.ctx, w.s.f.Upstream, path[0].Engine.Addr, citronprobe.Fresh)
		wait.Wait()
		w.reports <- reportResult{r, err}
	}()
}

// probe probes whether an engine is alive and notes if it gives none.
func (f *Forwarder) probe(ctx context.Context, e *citronpool.Engine, maxAge time.Duration) error {
	return f.probes.Probe(ctx, f.Upstream, f.Clock, e, maxAge)
}

// heard takes the first engine's answer.
func (w *watch) heard(r reportResult) action {
	now := w.s.f.Clock.Now()
	first := w.s.path[0].Engine
	if r.err != nil {
		if w.ctx.Err() != nil {
			return goOn
		}
		citronprobe.Dead(first, r.err, now)
		return w.replace(0, reasonDead)
	}
	citronprobe.Heard(first, r.report, now)
	if first.Ended() {
		return w.replace(0, reasonDead)
	}
	addr, ok := r.report.Stalled[w.s.ID]
	if !ok {
		return goOn
	}
	for i, h := range w.s.path {
		if h.Engine.Addr == addr {
			// It was asked too (ask). If it answered it is not dead:
			// it loads other layers, say, or has lost its path to the
			// engine before it. To call it dead would have all streams
			// moved and its layers given to others, each of which then
			// loads in turn, until the zone has lost most of its engines.
			if h.Engine.Usable(now) {
				h.Engine.Failed(now)
			}
			return w.replace(i, reasonStalled)
		}
	}
	return goOn
}

// replace takes a hop out of the path: by a new path behind the same first
// engine if the zone has one, else by a new run in another zone.
func (w *watch) replace(bad int, reason string) action {
	s := w.s
	s.avoid[s.path[bad].Engine.ID] = true
	s.avoidDead()
	w.bad, w.reason = s.path[bad], reason
	if s.path[bad].Engine.Ended() {
		s.noteCrash(w.ctx, s.path[bad].Engine, s.run.sent)
	}
	if bad == 0 {
		return w.resume()
	}
	return w.reroute()
}

// reroute replaces the path behind the first engine, or the whole run where
// that is cheaper.
func (w *watch) reroute() action {
	s := w.s
	state := s.f.Current()
	if s.suspect() && !s.sound {
		return replaceRun // a new part would begin to run it
	}
	q := s.query(state, s.path[0].Engine.ID)
	q.Keep = s.path
	p, ok := citronpath.Choose(state.View.ByService[s.service.Name], q)
	if !ok || w.repaths >= maxRepaths {
		return w.resume()
	}
	if !p.OneZone() {
		if w.mayWait() {
			return goOn
		}
		if s.canResume() && s.takeBudget() {
			return w.rerun()
		}
	}
	w.log("repath")
	w.repaths++
	w.moving = true
	w.leaveAt, w.crossAt = time.Time{}, time.Time{}
	added := s.added(p)
	go func() {
		ctx, cancel := context.WithTimeout(w.ctx, repathTimeout)
		defer cancel()
		w.moves <- moveResult{p, s.repath(ctx, p, added)}
	}()
	return goOn
}

// repath moves the running request to another path. The engines that are added to it
// get a request.
func (s *streamJob) repath(ctx context.Context, p citronpath.Path, added []*citronpool.Engine) error {
	for _, e := range added {
		if !s.f.mayAdd(ctx, e) {
			return &citronupstream.PartError{Addr: e.Addr}
		}
	}
	return s.f.Upstream.Repath(ctx, p[0].Engine.Addr, s.ID, p)
}

// mayWait reports whether a stream should wait for its zone to be whole
// again before it goes to another zone.
func (w *watch) mayWait() bool {
	now := w.s.f.Clock.Now()
	if w.reason == reasonLeaving {
		return w.mayWaitToLeave(now)
	}
	if w.crossAt.IsZero() {
		w.crossAt = now
		if late := now.Sub(w.s.Received) > w.s.route.Target; w.s.begun || late {
			w.crossAt = now.Add(crossFirst + rand.N(crossSpread))
		}
	}
	return now.Before(w.crossAt)
}

// resume ends the run, so that another may go on after the last event. A
// path whose engine is only leaving still works: it is better than none.
func (w *watch) resume() action {
	s := w.s
	_, ok := s.job.path(s.f.Current(), "")
	if ok && s.canResume() && s.takeBudget() {
		return w.rerun()
	}
	now := s.f.Clock.Now()
	if w.reason == reasonLeaving {
		w.leaveAt = now.Add(leaveAgain)
		return goOn
	}
	w.waitUntil = now.Add(4 * checkEvery)
	return goOn
}

// rerun has the stream go on in a new run that the budget has been charged
// for.
func (w *watch) rerun() action {
	w.log("resume")
	w.s.paid = true
	return replaceRun
}

func (w *watch) log(way string) {
	s := w.s
	citronevent.Log(w.ctx, s.f.Log, citronevent.PartReplaced, "request", s.ID, "engine", w.bad.Engine.ID, "peer", w.bad.Engine.Addr, "from", w.bad.Span.From, "to", w.bad.Span.To, "reason", w.reason, "way", way, "lastEvent", s.last, "list", s.list.String(), "silent", s.f.Clock.Now().Sub(s.lastAt), "runs", s.runs+1)
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
	var part *citronupstream.PartError
	if errors.As(m.err, &part) {
		for i, h := range m.path {
			if h.Engine.Addr == part.Addr && i > 0 {
				s.avoid[h.Engine.ID] = true
				h.Engine.Busy(s.f.Clock.Now(), busyPause)
				return w.reroute()
			}
		}
	}
	return w.resume()
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
