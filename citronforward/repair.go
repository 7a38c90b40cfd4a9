package citronforward

// Repair of running streams.
//
// This node has no connection to the engines in the middle of a path. When one of
// them fails, the stream merely stalls. The first engine gives up only after
// seconds, when the caller has long left. So when a stream has stalled for several
// times its usual pause, this node probes all engines of its path. All streams
// through an engine that does not respond are moved immediately, without another
// probe.
//
// There are two ways to move a stream. A repath keeps the run and replaces the
// failed hop. The new engine has to process all tokens so far, which it receives
// from the hop before, so a repath is cheap within a zone and slow over the link
// between zones. A resume starts a new run after the last event. All its engines
// process the prompt again, so it suits a move to another zone's replica.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

const (
	// checkInterval is how often a running stream checks its path.
	checkInterval = 50 * time.Millisecond
	// stallCheckDelay is the pause between events after which a stalled stream checks
	// its path, then again every stalledCheckInterval.
	stallCheckDelay      = 70 * time.Millisecond
	stalledCheckInterval = 20 * time.Millisecond
	// nodePauseThreshold is the time between two checks above which this node
	// itself must have been paused.
	nodePauseThreshold = 6 * checkInterval
	// probeAfter is the pause between events after which the path is probed.
	probeAfter = 270 * time.Millisecond
	// firstEventProbeAfter replaces probeAfter before the first event, which is
	// sent only once the prompt has been processed.
	firstEventProbeAfter = 500 * time.Millisecond
	// probeInterval is the minimum time between two probes for one stream.
	probeInterval = 300 * time.Millisecond
	// repathTimeout limits the time for a repath order to the first engine.
	repathTimeout = 400 * time.Millisecond
	// A stream that waits for its first event when an engine fails may still meet
	// its target, so it moves to another zone immediately. A stream that has begun,
	// or has waited for longer than its target latency, is already late. It moves
	// at a random time between zoneSwitchDelay and zoneSwitchDelay +
	// zoneSwitchSpread after the failure was detected: all streams of a zone moving
	// at once would delay the healthy streams of other zones.
	zoneSwitchDelay  = 50 * time.Millisecond
	zoneSwitchSpread = 600 * time.Millisecond
	// deadTTL is how long a stream assumes that an engine is still dead after
	// another stream found it dead.
	deadTTL = 3 * time.Second
	// maxRepaths is the maximum number of repaths during one run of a stream.
	maxRepaths = 4
)

// Reasons for replacing a hop.
const (
	reasonDead    = "dead"
	reasonStalled = "stalled"
	reasonLeaving = "leaving"
	reasonAccused = "accused"
	// reasonUnreached: the connection to the first engine is broken, and the engine is not.
	reasonUnreached = "unreached"
)

// action is the result of a check of a running stream.
type action int

const (
	// keepRun continues the run.
	keepRun action = iota
	// replaceRun ends the run so that a new one may resume the stream.
	replaceRun
)

// watch monitors one run of a stream. It must be used by a single goroutine.
type watch struct {
	s     *streamJob
	ctx   context.Context
	timer *citronclock.Timer
	// probeResults and repathResults receive the results of a probe and a repath.
	// probing and repathing are true while one is in progress.
	probeResults  chan probeResult
	repathResults chan repathResult
	probing       bool
	repathing     bool
	// probedAt is when the path was last probed.
	probedAt time.Time
	// repaths is the number of repaths ordered in this run.
	repaths int
	// checkedAt is when the path was last checked.
	checkedAt time.Time
	// waitUntil is when the path is checked next, for a stream that cannot be moved
	// now or whose node was paused.
	waitUntil time.Time
	// badHop is the hop to be replaced, reason the reason for it.
	badHop citronpath.Hop
	reason string
	// accused holds the IDs of the engines on the path that were accused during the
	// current stall: those that another engine named as the cause of a refused request.
	accused map[string]bool
	// timerDue is when timer fires next. late reports that this check took place more
	// than maxCheckDelay after that.
	timerDue time.Time
	late     bool
	// switchZoneAt is when the stream moves to another zone.
	switchZoneAt time.Time
	// delay is how long the current move is held back, until delayedUntil, which is zero
	// if that is not decided yet (move.go).
	delay        time.Duration
	delayedUntil time.Time
	// leavingSince is when a leaving engine was first seen on the path.
	leavingSince time.Time
	// moveAt is when this stream moves away from a leaving engine.
	moveAt time.Time
}

// probeResult is the result of probing the first engine of a path.
type probeResult struct {
	report citronupstream.Report
	err    error
}

// repathResult is the result of a repath to path.
type repathResult struct {
	path citronpath.Path
	err  error
}

// newWatch returns a watch for a run of s that ends with ctx.
func newWatch(ctx context.Context, s *streamJob) *watch {
	w := &watch{s: s, ctx: ctx, timer: citronclock.NewTimer(checkInterval), timerDue: s.f.Clock.Now().Add(checkInterval), accused: map[string]bool{}, probeResults: make(chan probeResult, 1), repathResults: make(chan repathResult, 1)}
	context.AfterFunc(ctx, func() { w.timer.Stop() })
	return w
}

// tick returns the channel that fires when a stalled stream is to be checked.
func (w *watch) tick() <-chan struct{} { return w.timer.C }

// onTick checks the path after tick has fired.
func (w *watch) onTick() action {
	w.late = w.s.f.Clock.Now().Sub(w.timerDue) > maxCheckDelay
	w.setTimer(w.s.f.stalledInterval())
	return w.check()
}

// setTimer makes the timer fire after d.
func (w *watch) setTimer(d time.Duration) {
	w.timer.Reset(d)
	w.timerDue = w.s.f.Clock.Now().Add(d)
}

// onEvent restarts the timer after an event was forwarded. It checks the path if
// the last check is long enough ago.
func (w *watch) onEvent() action {
	w.setTimer(stallCheckDelay)
	w.delay, w.delayedUntil = 0, time.Time{}
	if w.s.lastEventAt.Sub(w.checkedAt) < checkInterval {
		return keepRun
	}
	return w.check()
}

// check handles finished probes and repaths, checks the path and reports whether the
// run has to be replaced.
func (w *watch) check() action {
	select {
	case r := <-w.probeResults:
		w.probing = false
		if a := w.handleReport(r); a != keepRun {
			return a
		}
	case m := <-w.repathResults:
		w.repathing = false
		return w.handleRepath(m)
	default:
	}
	if w.repathing {
		return keepRun
	}
	now := w.s.f.Clock.Now()
	nodePaused := !w.checkedAt.IsZero() && now.Sub(w.checkedAt) > nodePauseThreshold
	w.checkedAt = now
	if nodePaused {
		// This node was paused, so the pause says nothing about the engines.
		w.waitUntil = now.Add(probeAfter)
	}
	if now.Before(w.waitUntil) || now.Before(w.delayedUntil) {
		return keepRun
	}
	since := w.s.lastEventAt
	if w.s.pathSince.After(since) {
		since = w.s.pathSince
	}
	pause := now.Sub(since)
	if bad := w.accusedHops(now, since); len(bad) > 0 {
		return w.replace(reasonAccused, bad...)
	}
	if pause > checkInterval*3 {
		if bad := w.deadHop(since); bad >= 0 {
			return w.replace(reasonDead, bad)
		}
	}
	if bad := w.leavingHop(now); bad >= 0 {
		return w.replace(reasonLeaving, bad)
	}
	if pause > w.probeDelay() && !w.probing && now.Sub(w.probedAt) > probeInterval && w.s.f.mayCheck() {
		w.probePath(now)
	}
	return keepRun
}

// probeDelay returns the pause between events after which the path is probed.
func (w *watch) probeDelay() time.Duration {
	if !w.s.begun {
		return firstEventProbeAfter
	}
	return probeAfter
}

// deadHop returns the index of the first hop whose engine was found dead after since,
// the time at which the stream last made progress, or at most checkInterval before it.
// It returns -1 if there is none.
func (w *watch) deadHop(since time.Time) int {
	view := w.s.f.Current().View
	for i, h := range w.s.path {
		e, ok := view.ByID(h.Engine.ID)
		if !ok {
			e = h.Engine
		}
		if d := e.DeadSince(); !d.IsZero() && d.After(since.Add(-checkInterval)) {
			return i
		}
	}
	return -1
}

// probePath probes all engines of the path. The first engine also reports which of
// its requests wait for another engine.
func (w *watch) probePath(now time.Time) {
	w.probing = true
	w.probedAt = now
	path := w.s.path
	go func() {
		var wait sync.WaitGroup
		for _, h := range path[1:] {
			wait.Go(func() { _ = w.s.f.probe(w.ctx, h.Engine, citronprobe.MaxReportAge) }) // Probe records the result in the engine's state
		}
		go w.s.f.accuseUnanswered(w.ctx, path)
		r, err := w.s.f.prober().Report(w.ctx, w.s.f.Upstream, path[0].Engine.Addr, citronprobe.MaxReportAge)
		wait.Wait()
		w.probeResults <- probeResult{r, err}
	}()
}

// probe checks whether an engine is alive and records the result. It may use a
// shared report that is no older than maxAge.
func (f *Forwarder) probe(ctx context.Context, e *citronpool.Engine, maxAge time.Duration) error {
	return f.prober().Probe(ctx, f.Upstream, f.Clock, e, maxAge)
}

// handleReport handles the report of the path's first engine.
func (w *watch) handleReport(r probeResult) action {
	now := w.s.f.Clock.Now()
	first := w.s.path[0].Engine
	if r.err != nil {
		if w.ctx.Err() != nil {
			return keepRun
		}
		citronprobe.RecordDead(first, r.err, now)
		return w.replace(reasonDead, 0)
	}
	citronprobe.RecordReport(first, r.report, now)
	if first.Ended() {
		return w.replace(reasonDead, 0)
	}
	if r.report.Relayed && !w.s.run.relayed.Load() {
		return w.reconnect()
	}
	addr, ok := r.report.Stalled[w.s.ID]
	if !ok {
		return keepRun
	}
	for i, h := range w.s.path {
		if h.Engine.Addr == addr {
			// probePath probed this engine too. If it responded, it is not
			// dead: it may be loading other layers or be cut off from the
			// engine before it. Marking it dead would move all its streams
			// and assign its layers to other engines. Those would have to
			// load them in turn, until most engines of the zone are lost.
			if h.Engine.Healthy(now) && h.Engine.ThrottledFor(now) == 0 {
				h.Engine.RecordFailure(now)
			}
			return w.replace(reasonStalled, i)
		}
	}
	return keepRun
}

// replace removes one or more hops from the path, given in ascending order, and all hops
// whose engines are known to be dead. It uses a new path behind the same first engine if
// the zone has one, and otherwise a new run in another zone.
func (w *watch) replace(reason string, bad ...int) action {
	s := w.s
	for _, i := range bad {
		s.avoid[s.path[i].Engine.ID] = true
	}
	s.avoidDeadEngines()
	w.badHop, w.reason = s.path[bad[0]], reason
	for _, i := range bad {
		if s.path[i].Engine.Ended() {
			s.noteCrash(w.ctx, s.path[i].Engine, s.run.sent, s.run.firstEvent)
		}
	}
	if bad[0] == 0 {
		return w.resume()
	}
	return w.reroute()
}

// reconnect replaces a run whose connection is broken although its first engine is alive.
// The next run may use the same engine, through another node.
func (w *watch) reconnect() action {
	w.badHop, w.reason = w.s.path[0], reasonUnreached
	return w.resume()
}

// reroute replaces the path behind the first engine, or the whole run if the new path
// would cross zones and the stream may be resumed.
func (w *watch) reroute() action {
	s := w.s
	current := s.f.Current()
	if s.isSuspect() && !s.ranSuccessfully {
		return replaceRun // a repath would start the suspect request on another engine
	}
	q := s.query(current, s.path[0].Engine.ID)
	q.CurrentPath = s.path
	q.MoveCost = w.moveCost(q)
	p, ok := citronpath.Choose(current.View.ByService[s.service.Name], q)
	if !ok || w.repaths >= maxRepaths {
		return w.resume()
	}
	if !p.OneZone() {
		if w.mayWaitForZone() {
			return keepRun
		}
		if s.canResume() && s.takeBudget() {
			return w.startNewRun()
		}
	}
	if p.OneZone() && w.isDelayed(q, p) { // otherwise mayWaitForZone has held it back already
		return keepRun
	}
	w.logReplacement("repath")
	w.repaths++
	w.repathing = true
	w.moveAt, w.switchZoneAt = time.Time{}, time.Time{}
	added := s.addedEngines(p)
	go func() {
		ctx, cancel := context.WithTimeout(w.ctx, repathTimeout)
		defer cancel()
		w.repathResults <- repathResult{p, s.repath(ctx, p, added)}
	}()
	return keepRun
}

// repath moves the running request to path p. To the engines in added this is a new
// request, so it first takes a permit for each of them that has a rate limit.
func (s *streamJob) repath(ctx context.Context, p citronpath.Path, added []*citronpool.Engine) error {
	for _, e := range added {
		if s.f.Gate().Check(ctx, s.ID, e) != nil || !s.f.takeMovePermit(ctx, e) {
			return &citronupstream.HopError{Addr: e.Addr}
		}
	}
	return s.f.Upstream.Repath(ctx, p[0].Engine.Addr, s.ID, p)
}

// mayWaitForZone reports whether the stream may wait until its zone has a complete
// replica again, instead of moving to another zone now.
func (w *watch) mayWaitForZone() bool {
	now := w.s.f.Clock.Now()
	if w.reason == reasonLeaving {
		return w.mayStayOnLeaving(now)
	}
	if w.switchZoneAt.IsZero() {
		w.switchZoneAt = now
		if late := now.Sub(w.s.Received) > w.s.route.TargetLatency; w.s.begun || late {
			w.switchZoneAt = now.Add(zoneSwitchDelay + rand.N(zoneSwitchSpread))
		}
	}
	return now.Before(w.switchZoneAt)
}

// resume ends the run if a new run may continue after the last event. Otherwise it
// keeps the run and postpones the next check. A path with an engine that is only
// leaving still works, so it is kept.
func (w *watch) resume() action {
	s := w.s
	_, ok := s.job.path(s.f.Current(), "")
	if ok && s.canResume() && s.takeBudget() {
		return w.startNewRun()
	}
	now := s.f.Clock.Now()
	if w.reason == reasonLeaving {
		w.moveAt = now.Add(leaveCheckInterval)
		return keepRun
	}
	w.waitUntil = now.Add(4 * checkInterval)
	return keepRun
}

// startNewRun ends the run so that the stream continues in a new one. The retry
// budget has already been charged for it.
func (w *watch) startNewRun() action {
	w.logReplacement("resume")
	w.s.budgetCharged = true
	return replaceRun
}

// logReplacement logs the replacement of the bad hop by a repath or a resume.
func (w *watch) logReplacement(way string) {
	s := w.s
	citronevent.Log(w.ctx, s.f.Log, citronevent.HopReplaced, "request", s.ID, "engine", w.badHop.Engine.ID, "peer", w.badHop.Engine.Addr, "from", w.badHop.Span.From, "to", w.badHop.Span.To, "reason", w.reason, "way", way, "lastEvent", s.lastEventID, "list", s.list.String(), "silent", s.f.Clock.Now().Sub(s.lastEventAt), "runs", s.runs+1, "engines", w.replacedEngines(), "delay", w.delay)
}

// handleRepath handles the result of a repath.
func (w *watch) handleRepath(m repathResult) action {
	s := w.s
	if m.err == nil {
		s.f.Metrics.Repairs.WithLabelValues("repath").Inc()
		s.bind(m.path)
		return keepRun
	}
	citronevent.Log(w.ctx, s.f.Log, citronevent.RepathFailed, "request", s.ID, "peer", m.path[0].Engine.Addr, "err", m.err)
	var hopErr *citronupstream.HopError
	if errors.As(m.err, &hopErr) {
		for i, h := range m.path {
			if h.Engine.Addr == hopErr.Addr && i > 0 {
				s.avoid[h.Engine.ID] = true
				h.Engine.Avoid(s.f.Clock.Now(), busyPause)
				return w.reroute()
			}
		}
	}
	return w.resume()
}

// avoidDeadEngines excludes all engines of the service that were recently found dead
// from the paths of this request.
func (s *streamJob) avoidDeadEngines() {
	now := s.f.Clock.Now()
	for _, e := range s.f.Current().View.ByService[s.service.Name] {
		if d := e.DeadSince(); !d.IsZero() && now.Sub(d) < deadTTL {
			s.avoid[e.ID] = true
		}
	}
}
