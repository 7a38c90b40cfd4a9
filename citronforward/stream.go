package citronforward

// Streaming requests. Events are forwarded one by one as they arrive, and only
// complete events are forwarded. While a stream runs, its path is monitored. A hop
// whose engine fails or leaves is replaced before the caller gives up (repair.go).

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citrongate"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes limits the size of one event, and maxEventTime the time from its first
	// byte to its last.
	maxEventBytes = 1 << 20
	maxEventTime  = time.Second
)

// event is one complete event of a stream: its text as received and its ID, if it
// has one.
type event struct {
	text []byte
	id   string
	// hold is what the event takes of the budget of large responses.
	hold *citronbody.Hold
}

// errEventTooLarge and errEventTooLong mean that an event does not end.
var (
	errEventTooLarge = errors.New("event exceeds the limit of 1 MiB")
	errEventTooLong  = errors.New("event is not complete after 1 s")
)

// eventReader reads the events of a response body.
type eventReader struct {
	r      *bufio.Reader
	budget *citronbody.Budget
	// late closes the body if the current event does not end.
	late *time.Timer
}

func newEventReader(body io.ReadCloser, budget *citronbody.Budget) *eventReader {
	late := time.AfterFunc(maxEventTime, func() { _ = body.Close() })
	late.Stop()
	return &eventReader{bufio.NewReader(body), budget, late}
}

// next returns the next event, whose hold the caller releases. The time until it begins is not
// bounded.
func (e *eventReader) next() (event, error) {
	if _, err := e.r.Peek(1); err != nil {
		return event{}, err
	}
	e.late.Reset(maxEventTime)
	hold := e.budget.Hold()
	ev, err := readEvent(e.r, hold)
	if err != nil {
		hold.Release()
	}
	if !e.late.Stop() && err != nil {
		err = errEventTooLong
	}
	return ev, err
}

// readEvent reads an event up to the blank line that ends it. If the stream ends in
// the middle of an event, it returns io.ErrUnexpectedEOF. hold grows with the event.
func readEvent(r *bufio.Reader, hold *citronbody.Hold) (event, error) {
	ev := event{hold: hold}
	line := 0 // where the current line begins
	for {
		part, err := r.ReadSlice('\n')
		if full := hold.Grow(len(part)); full != nil {
			return event{}, full
		}
		ev.text = append(ev.text, part...)
		switch {
		case len(ev.text) > maxEventBytes:
			return event{}, errEventTooLarge
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(ev.text) > 0:
			return event{}, io.ErrUnexpectedEOF
		default:
			return event{}, err
		}
		trimmed := bytes.TrimRight(ev.text[line:], "\r\n")
		if len(trimmed) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		line = len(ev.text)
	}
}

// streamJob is a streaming request in progress.
type streamJob struct {
	*job
	// begun is true once the status and header of the response have been sent to
	// the caller.
	begun bool
	// lastEventID is the ID of the newest event that the caller has.
	lastEventID string
	// lastEventAt is when the newest event was forwarded, or when the request was
	// received if there was none. maxPause is the longest pause between events so
	// far.
	lastEventAt time.Time
	maxPause    time.Duration
	// moved reports that the stream had begun when its path changed and that no event
	// has arrived since.
	moved bool
	// maxPauseAfter is the ID of the event before the longest pause,
	// firstEventTook the time from the request to the first event, pathChanges
	// the number of times the path has changed.
	maxPauseAfter  string
	firstEventTook time.Duration
	pathChanges    int
	// events is the number of events forwarded to the caller.
	events int
	// budgetCharged is true if the retry budget has already been charged for the
	// next run.
	budgetCharged bool
	path          citronpath.Path
	// pathSince is when the current path came into use.
	pathSince time.Time
	// run is the progress of the newest run.
	run run
	// release removes the stream from the load of its path's engines and zones.
	release func()
}

// run is the progress of one run, that is, of one attempt to run a stream over a
// path.
type run struct {
	// sent is when the request was sent to the first engine.
	sent time.Time
	// firstEvent and lastEvent are when the first and the newest event of the run
	// were forwarded. They are zero before the first event.
	firstEvent, lastEvent time.Time
	// relayed is set once the request has been passed on to another node.
	relayed *atomic.Bool
	// forecast is the forecast of the first event when the request was sent.
	forecast firstEventForecast
}

// WithEvent returns the run updated for an event that was forwarded at the given
// time.
func (r run) WithEvent(at time.Time) run {
	if r.firstEvent.IsZero() {
		r.firstEvent = at
	}
	r.lastEvent = at
	return r
}

// eventSpan returns the time between the run's first and newest event.
func (r run) eventSpan() time.Duration { return r.lastEvent.Sub(r.firstEvent) }

// runOutcome is how one run of a stream ended.
type runOutcome int

const (
	// runFinished means that the caller has the complete stream.
	runFinished runOutcome = iota
	// callerLeft means that the caller has disconnected, the deadline has passed or the
	// node exits.
	callerLeft
	// runRefused means that the engines did not run the request.
	runRefused
	// runHeld means that the request was not sent, because an engine does not admit it.
	runHeld
	// runBroken means that the run ended early. The stream may be resumed on
	// another path.
	runBroken
	// noPath means that no path was available.
	noPath
	// engineFailed means that the engine's failure response has been forwarded
	// to the caller.
	engineFailed
)

// serveStream serves a streaming request. It runs the request until the stream is
// complete or no further run is allowed.
func (j *job) serveStream(ctx context.Context) {
	s := &streamJob{job: j, lastEventID: j.ResumeAfter, lastEventAt: j.Received}
	defer s.tryWaiting()
	defer s.unbind()
	defer s.observeEnd()
	var reason string
	for {
		var v runOutcome
		v, reason = s.attempt(ctx)
		if v == runFinished || v == engineFailed {
			s.recordFinished(ctx)
			return
		}
		if !s.shouldRetry(ctx, v) {
			break
		}
	}
	if s.begun {
		citronevent.Log(ctx, j.f.Log, citronevent.StreamBroken, "request", j.ID, "route", j.route.Name, "customer", j.customer, "nodeZone", j.f.Zone, "reason", reason, "print", j.fingerprint(), "lastEvent", s.lastEventID, "runs", j.runs, "limit", j.reachedLimit, "left", j.timeLeft())
		j.out.Abort()
		return
	}
	j.giveUp(ctx, reason)
}

// attempt chooses a path and runs the stream over it once. It returns the outcome
// and, for an unfinished run, the reason.
func (s *streamJob) attempt(ctx context.Context) (runOutcome, string) {
	if s.service.Model == nil {
		return noPath, "service runs no model"
	}
	p, reason := s.permittedPath(ctx)
	if quarantined, ok := s.quarantined(); ok {
		reason = quarantined
	}
	if reason != "" {
		return noPath, reason
	}
	s.trialPending = false
	s.bind(p)
	s.observeBegin()
	s.run = run{sent: s.f.Clock.Now(), relayed: &atomic.Bool{}, forecast: s.forecastFirstEvent()}
	switch v := s.send(ctx); v {
	case callerLeft:
		s.observeNoFirstEvent()
		return v, endReason(ctx)
	case runRefused:
		return v, "engines are full"
	case runHeld:
		return v, reasonCooling
	default:
		return v, "stream broke off"
	}
}

// endReason returns why the request has ended with its context.
func endReason(ctx context.Context) string {
	if hasStopped(ctx) {
		return reasonStopping
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return "the caller left"
	}
	return "out of time"
}

// permittedPath returns a path with free capacity for which the stream has taken all
// permits it needs, or the reason why there is none.
func (s *streamJob) permittedPath(ctx context.Context) (citronpath.Path, string) {
	for {
		p, full, ok := s.awaitCapacity(ctx)
		if ok && s.takePermits(ctx, citrongate.Engines(nil, p)...) {
			return p, ""
		}
		switch {
		case ok && ctx.Err() == nil:
		case !ok && (s.beginPermitWait() || !full && s.waitForCooldown(ctx)):
		case ok:
			return nil, endReason(ctx)
		case full:
			return nil, s.heldReason(s.admission.reason)
		default:
			return nil, s.heldReason(reasonNoPath)
		}
	}
}

// shouldRetry reports whether there is another run after one that did not finish the
// stream.
func (s *streamJob) shouldRetry(ctx context.Context, v runOutcome) bool {
	s.reachedLimit = ""
	switch v {
	case callerLeft:
		s.runs++ // the engines may have started to run the request
		return false
	case runHeld:
		return true
	case noPath:
		return !s.isQuarantined() && s.waitForCapacity(ctx)
	case runRefused:
		s.refused++
		s.retryAfter = retryBusy
		if !s.engineLeft() {
			_ = s.heldReason("") // only for retryAfter: attempt has given the reason
			return s.waitForCapacity(ctx)
		}
		if s.mayTryNextEngine() {
			return true
		}
		return s.waitForCapacity(ctx)
	}
	ended := s.firstEngineEnded()
	resume := s.mayResume()
	if ended {
		s.runsOnEndedEngines++
	} else {
		s.runs++
	}
	if resume {
		s.f.Metrics.Repairs.WithLabelValues("resume").Inc()
	}
	return resume
}

// capacityRetryInterval is how long a stream that has begun waits before it tries the
// engines again. Some of their running requests end in that time.
const capacityRetryInterval = 150 * time.Millisecond

// waitForCapacity waits until a stream that has begun may be tried again. It returns
// false if the stream has not begun or ctx has ended. Ending the stream would lose
// the events that the caller already has and a response that has been started. A
// caller that no longer wants to wait disconnects.
func (s *streamJob) waitForCapacity(ctx context.Context) bool {
	if !s.begun {
		return false
	}
	s.refused, s.permits, s.cooldown = 0, permits{}, cooldownWait{}
	clear(s.avoid)
	for s.f.Clock.Sleep(ctx, capacityRetryInterval) == nil {
		if s.engineLeft() && s.takeBudget() {
			return true
		}
	}
	return false
}

// recordFinished records the metrics and log lines of a stream that was completed or
// answered with the engine's failure response.
func (s *streamJob) recordFinished(ctx context.Context) {
	s.f.Metrics.LongestPause.Observe(s.maxPause.Seconds())
	if s.firstEventTook > s.route.TargetLatency || s.maxPause > s.route.MaxEventGap {
		citronevent.Log(ctx, s.f.Log, citronevent.StreamLate, "request", s.ID, "route", s.route.Name, "customer", s.customer, "nodeZone", s.f.Zone, "first", s.firstEventTook, "pause", s.maxPause, "afterEvent", s.maxPauseAfter, "moves", s.pathChanges, "runs", s.runs+1, "engine", s.path[0].Engine.ID, "zone", s.path[0].Engine.Zone)
	}
	s.logSample("first", s.firstEventTook, "pause", s.maxPause, "moves", s.pathChanges, "runs", s.runs+1, "engine", s.path[0].Engine.ID)
}

// canResume reports whether another run may continue the stream after the last
// event. Runs whose first engine's process has ended do not count against the
// route's limit. An engine that is leaving or does not respond counts as running: it
// may be healthy for others and still run the request.
func (s *streamJob) canResume() bool {
	if !s.within(attemptsUsed, s.route.Idempotent()) {
		return false
	}
	runs := s.runs + 1
	if s.firstEngineEnded() {
		runs--
	}
	return s.within(crashesUsed, !s.isSuspect()) && s.within(attemptsUsed, runs < max(1, s.route.MaxAttempts))
}

// firstEngineEnded reports whether the first engine's process has certainly ended,
// because another process has taken its place. A missing entry is no proof, as some
// engines continue to serve without one. A refused connection is no proof either, as
// an engine that is cut off from the network resets its connections and refuses new
// ones.
func (s *streamJob) firstEngineEnded() bool { return s.path[0].Engine.Replaced() }

// mayResume reports whether the stream may be resumed and charges the retry budget,
// unless the budget has been charged already. If the route's limit is reached, it
// first probes the first engine to find out whether its process has ended.
func (s *streamJob) mayResume() bool {
	if s.budgetCharged {
		s.budgetCharged = false
		return true
	}
	if !s.isSuspect() && !s.canResume() {
		_ = s.f.probe(context.Background(), s.path[0].Engine, 0) // a shared report may be from before the process ended
	}
	return s.canResume() && s.takeBudget()
}

// bind makes p the path of the stream and adds the stream to the load of the path's
// engines and zones.
func (s *streamJob) bind(p citronpath.Path) {
	s.unbind()
	if s.path != nil {
		s.pathChanges++
		s.moved = s.begun
	}
	previous := s.path
	s.path = p
	s.pathSince = s.f.Clock.Now()
	for _, h := range p {
		if !previous.Has(h.Engine.ID) {
			h.Engine.RecordBegun(s.Tokens(), s.pathSince)
		}
	}
	s.reserve(p)
}

// reserve adds the stream to the load of a path's engines and zones until unbind.
func (s *streamJob) reserve(p citronpath.Path) {
	ends := make([]func(), 0, 2*len(p)+1)
	s.f.links.add(p, 1)
	ends = append(ends, func() { s.f.links.add(p, -1) })
	zones := map[string]bool{}
	for _, h := range p {
		ends = append(ends, h.Engine.Begin(s.Tokens()))
		if zone := h.Engine.Zone; !zones[zone] {
			zones[zone] = true
			s.f.Loads.Add(zone, s.Tokens())
			ends = append(ends, func() { s.f.Loads.Add(zone, -s.Tokens()) })
		}
	}
	s.release = func() {
		for _, end := range ends {
			end()
		}
	}
}

// unbind removes the stream from the load of its path's engines and zones.
func (s *streamJob) unbind() {
	if s.release != nil {
		s.release()
		s.release = nil
	}
}

// send sends the request over its path and forwards events until the run ends.
func (s *streamJob) send(ctx context.Context) (outcome runOutcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	var seen time.Time // when the end of the run was seen
	defer func() {
		if outcome == callerLeft && errors.Is(ctx.Err(), context.Canceled) && !hasStopped(ctx) {
			s.noteDeparture(seen, ended)
		}
	}()
	w := newWatch(ctx, s)
	replies := make(chan sendResult, 1)
	call := citronupstream.Call{Request: s.Request, Engine: s.path[0].Engine, EnginePath: s.path, Customer: s.customer, TimeLeft: s.timeLeft(), AfterEvent: s.lastEventID, NoRetry: !s.route.Idempotent(), Urgency: s.urgency(), OnRelay: relayedSetter(s.run)}
	go func() {
		defer close(ended)
		reply, err := s.f.Gate().Send(ctx, call)
		replies <- sendResult{reply, err}
	}()
	for {
		select {
		case r := <-replies:
			if r.err != nil {
				seen = s.f.Clock.Now()
				return s.sendFailed(ctx, r.err)
			}
			defer r.reply.Body.Close()
			outcome := s.receive(ctx, r.reply, w)
			seen = s.f.Clock.Now()
			return outcome
		case <-ctx.Done():
			seen = s.f.Clock.Now()
			return callerLeft
		case <-w.tick():
			if w.onTick() == replaceRun {
				return runBroken
			}
		}
	}
}

// relayedSetter returns the function that marks a run as relayed.
func relayedSetter(r run) func() { return func() { r.relayed.Store(true) } }

// sendResult is the result of sending a request to an engine.
type sendResult struct {
	reply *citronupstream.Reply
	err   error
}

// logRun logs a failed run with the time since it was sent and the time between its
// first and newest event.
func (s *streamJob) logRun(first *citronpool.Engine, res result) {
	s.logAttempt(first, res, "sent", s.f.Clock.Now().Sub(s.run.sent), "lasted", s.run.eventSpan())
}

// sendFailed handles an error of sending the request to the first engine.
func (s *streamJob) sendFailed(ctx context.Context, err error) runOutcome {
	if ctx.Err() != nil {
		return callerLeft
	}
	first := s.path[0].Engine
	res := s.classifyError(first, err)
	if res.outcome == held {
		return runHeld
	}
	s.f.Metrics.Attempts.WithLabelValues(res.outcome.String()).Inc()
	s.logRun(first, res)
	s.avoid[first.ID] = true
	if res.outcome == notRun {
		return runRefused
	}
	s.notePartCrash(ctx, first, s.run.sent, s.run.firstEvent)
	return runBroken
}

// receive reads the engine's response and forwards it to the caller.
func (s *streamJob) receive(ctx context.Context, reply *citronupstream.Reply, w *watch) runOutcome {
	first := s.path[0].Engine
	if reply.NotExecuted {
		citronbody.Drain(reply.Body)
		s.unbind() // the refused request does not count as running at the accused engine
		s.noteRefusal(first, reply)
		s.f.Metrics.Attempts.WithLabelValues(notRun.String()).Inc()
		s.logAttempt(first, result{outcome: notRun, status: reply.Status, err: errors.Newf("engine did not run the request, accused engine: %q", reply.AccusedAddr)})
		return runRefused
	}
	if reply.Status != http.StatusOK {
		return s.handleEngineFailure(ctx, reply)
	}
	if !reply.FromEngine || reply.Header.Get("Content-Encoding") != "" {
		s.logRun(first, result{outcome: unknown, status: reply.Status, err: errors.New("response lacks the engine's signature or has a content encoding")})
		s.avoid[first.ID] = true
		return runBroken
	}
	events := make(chan eventOrErr)
	go readEvents(ctx, newEventReader(reply.Body, s.f.bodies()), events)
	for {
		select {
		case e := <-events:
			if e.err != nil {
				return s.streamEnded(ctx, reply, e.err)
			}
			v, done := s.forwardEvent(reply, e.event)
			e.hold.Release()
			if done {
				return v
			}
			if w.onEvent() == replaceRun {
				return runBroken
			}
		case <-ctx.Done():
			return callerLeft
		case <-w.tick():
			if w.onTick() == replaceRun {
				return runBroken
			}
		}
	}
}

// eventOrErr is an event or the error that ended the stream.
type eventOrErr struct {
	event
	err error
}

// readEvents sends the events of a response body to out, followed by the error that
// ended the body.
func readEvents(ctx context.Context, r *eventReader, out chan<- eventOrErr) {
	for {
		ev, err := r.next()
		select {
		case out <- eventOrErr{ev, err}:
		case <-ctx.Done():
			ev.hold.Release()
			return
		}
		if err != nil {
			return
		}
	}
}

// forwardEvent sends an event to the caller. It skips an event that the caller
// already has, as a resumed run may start earlier than requested. The second result
// is true if the run has ended.
func (s *streamJob) forwardEvent(reply *citronupstream.Reply, ev event) (runOutcome, bool) {
	if ev.id != "" && s.lastEventID != "" && !isAfter(ev.id, s.lastEventID) {
		return 0, false
	}
	now := s.f.Clock.Now()
	s.path[0].Engine.RecordAlive()
	if s.run.firstEvent.IsZero() {
		s.markAdmitted()
		s.observeFirstEvent(now)
	}
	if !s.begun {
		s.begun = true
		s.firstEventTook = now.Sub(s.Received)
		s.f.Metrics.TimeToFirstEvent.Observe(s.firstEventTook.Seconds())
		s.out.Begin(reply.Status, reply.Header)
	} else if pause := now.Sub(s.lastEventAt); pause > s.maxPause {
		s.maxPause, s.maxPauseAfter = pause, s.lastEventID
	}
	s.countMove(now)
	if err := s.out.Event(ev.text); err != nil {
		return callerLeft, true
	}
	if ev.id != "" {
		s.lastEventID = ev.id
	}
	s.events++
	s.lastEventAt = now
	s.run = s.run.WithEvent(now)
	if s.run.eventSpan() >= minSuccessfulRun {
		s.markSuccessful(s.run.firstEvent)
	}
	return 0, false
}

// countMove counts whether the stream kept its allowed pause, at the first event after a
// move.
func (s *streamJob) countMove(now time.Time) {
	if !s.moved {
		return
	}
	s.moved = false
	pause := "kept"
	if now.Sub(s.lastEventAt) > s.route.MaxEventGap {
		pause = "missed"
	}
	s.f.Metrics.MovePauses.WithLabelValues(pause).Inc()
}

// markAdmitted records that the engines of the path have admitted the stream.
func (s *streamJob) markAdmitted() {
	for _, h := range s.path {
		h.Engine.RecordAdmission(s.run.sent)
	}
}

// isAfter reports whether event ID a follows b. IDs that are not numbers are taken
// to follow each other unless they are equal.
func isAfter(a, b string) bool {
	x, errA := strconv.ParseInt(a, 10, 64)
	y, errB := strconv.ParseInt(b, 10, 64)
	if errA != nil || errB != nil {
		return a != b
	}
	return x > y
}

// streamEnded handles the end of a response body. io.EOF is a regular end, unless the body
// ends with the connection and its engine has ended too.
func (s *streamJob) streamEnded(ctx context.Context, reply *citronupstream.Reply, err error) runOutcome {
	if errors.Is(err, io.EOF) && reply.UntilClose && s.f.hasEnded(ctx, s.path[0].Engine, 0) {
		err = errEndedWithEngine
	}
	if errors.Is(err, io.EOF) {
		if !s.begun {
			return runBroken // an empty stream is not a valid response
		}
		s.observeOutput()
		s.path[0].Engine.RecordResponse(s.pathSince, s.f.Clock.Now())
		if !reply.UntilClose {
			s.markSuccessful(s.run.firstEvent)
		}
		return runFinished
	}
	if ctx.Err() != nil {
		return callerLeft
	}
	first := s.path[0].Engine
	s.logRun(first, result{outcome: unknown, err: errors.Wrap(err, "read stream")})
	s.avoid[first.ID] = true
	s.notePartCrash(ctx, first, s.run.sent, s.run.firstEvent)
	return runBroken
}

// handleEngineFailure handles a response that is not a stream: the engine ran the
// request and failed. The response is forwarded unless the request may be retried or
// the caller already has part of a stream.
func (s *streamJob) handleEngineFailure(ctx context.Context, reply *citronupstream.Reply) runOutcome {
	var body []byte
	var err error
	retry := s.begun || reply.Status >= 500 && s.route.Idempotent() && s.runs+1 < s.route.MaxAttempts
	if retry {
		citronbody.Drain(reply.Body)
	} else {
		defer s.releaseBodies()
		body, err = s.readAnswer(reply.Body)
	}
	if ctx.Err() != nil && (retry || err != nil) {
		return callerLeft
	}
	first := s.path[0].Engine
	s.logRun(first, result{outcome: failed, status: reply.Status, err: err})
	s.avoid[first.ID] = true
	if retry || err != nil {
		return runBroken
	}
	s.out.Answer(reply.Status, reply.Header, body)
	return engineFailed
}
