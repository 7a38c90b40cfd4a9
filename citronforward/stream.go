package citronforward

// Streams: events are passed on one by one as they arrive, each of them
// whole. While a stream runs, its path is watched, and a part that dies or
// leaves is replaced before the caller gives up (repair.go).

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// event is one whole event of a stream.
type event struct {
	text []byte
	id   string
}

// readEvent reads up to the blank line that ends an event. An event that
// the end of the stream cuts off is an error, never an event.
func readEvent(r *bufio.Reader) (event, error) {
	var ev event
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && len(ev.text)+len(line) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		ev.text = append(ev.text, line...)
		if len(ev.text) > maxEventBytes {
			return event{}, errors.New("event is over the limit")
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// streamJob is a stream on its way.
type streamJob struct {
	*job
	// begun: the caller has the head of the answer.
	begun bool
	// last is the id of the newest event that the caller has.
	last string
	// lastAt is when it was passed on, longest the longest pause so far.
	lastAt  time.Time
	longest time.Duration
	// longestAt is the event before that pause, firstTook the time to the
	// first event, moves how often the path changed.
	longestAt string
	firstTook time.Duration
	moves     int
	// paid: the budget has been charged for the next run.
	paid bool
	path citronpath.Path
	// pathSince is when the path was chosen or last changed.
	pathSince time.Time
	// run is the newest run over a path.
	run     run
	release func()
}

// run is what one run of a stream has come to.
type run struct {
	sent time.Time
	// firstEvent and lastEvent are when its events were passed on; zero before
	// the first.
	firstEvent, lastEvent time.Time
}

// WithEvent returns the run after an event was passed on.
func (r run) WithEvent(at time.Time) run {
	if r.firstEvent.IsZero() {
		r.firstEvent = at
	}
	r.lastEvent = at
	return r
}

// lasted is the time between the run's first and its last event.
func (r run) lasted() time.Duration { return r.lastEvent.Sub(r.firstEvent) }

// verdict is how one run of a stream ended.
type verdict int

const (
	// finished: the caller has the whole stream.
	finished verdict = iota
	// callerLeft: there is nobody to answer, or no time left.
	callerLeft
	// refusedRun: the engines did not run it.
	refusedRun
	// brokenRun: it broke off; it may be resumed elsewhere.
	brokenRun
	// noPath: there was nothing to run it on.
	noPath
	// engineAnswer: the engine's own failure has been passed on.
	engineAnswer
)

// stream serves a streaming request.
func (j *job) stream(ctx context.Context) {
	s := &streamJob{job: j, last: j.ResumeAfter, lastAt: j.Received}
	defer s.unbind()
	var reason string
	for {
		var v verdict
		v, reason = s.attempt(ctx)
		if v == finished || v == engineAnswer {
			s.ended(ctx)
			return
		}
		if !s.goesOn(ctx, v) {
			break
		}
	}
	if s.begun {
		citronevent.Log(ctx, j.f.Log, citronevent.StreamBroken, "request", j.ID, "reason", reason, "print", j.fingerprint(), "lastEvent", s.last, "runs", j.runs, "limit", j.limit, "left", j.left())
		j.out.Abort()
		return
	}
	j.giveUp(ctx, reason)
}

// attempt chooses a path and runs the stream over it once.
func (s *streamJob) attempt(ctx context.Context) (verdict, string) {
	if s.service.Model == nil {
		return noPath, "service runs no model"
	}
	p, reason := s.permittedPath(ctx)
	switch {
	case reason != "":
		return noPath, reason
	case s.barred():
		return noPath, reasonBarred
	}
	s.bind(p)
	s.run = run{sent: s.f.Clock.Now()}
	switch v := s.send(ctx); v {
	case callerLeft:
		if errors.Is(ctx.Err(), context.Canceled) {
			return v, "the caller left"
		}
		return v, "out of time"
	case refusedRun:
		return v, "engines are full"
	default:
		return v, "stream broke off"
	}
}

// permittedPath returns a path with room for the stream whose engines may be sent it,
// or why there is none.
func (s *streamJob) permittedPath(ctx context.Context) (citronpath.Path, string) {
	for {
		p, full, ok := s.room(ctx)
		if ok && s.permitted(ctx, engines(p)...) {
			return p, ""
		}
		switch {
		case ok && ctx.Err() == nil:
		case !ok && s.waitsForPermit():
		case ok:
			return nil, "the caller left"
		case s.limitsUsedUp():
			return nil, reasonLimited
		case full:
			return nil, "engines' cache is full"
		default:
			return nil, "no path runs all layers"
		}
	}
}

// goesOn decides, after an attempt that did not finish the stream, whether
// there is another.
func (s *streamJob) goesOn(ctx context.Context, v verdict) bool {
	s.limit = ""
	switch v {
	case callerLeft:
		s.runs++ // the engines may have begun
		return false
	case noPath:
		return !s.barred() && s.waitBegun(ctx)
	case refusedRun:
		s.refused++
		s.retryAfter = retryBusy
		if s.mayMove() {
			return true
		}
		return s.waitBegun(ctx)
	}
	ended := s.firstEnded()
	resume := s.mayResume()
	if ended {
		s.lostRuns++
	} else {
		s.runs++
	}
	if resume {
		s.f.Metrics.Repairs.WithLabelValues("resume").Inc()
	}
	return resume
}

// againPause is how long a stream that has begun waits before it asks the
// engines once more: some of their requests end in it.
const againPause = 150 * time.Millisecond

// waitBegun waits for engines to take a stream that its caller has a part
// of. To end it would lose what the caller has, and an answer that was
// promised; a caller that no longer wants to wait leaves by itself.
func (s *streamJob) waitBegun(ctx context.Context) bool {
	if !s.begun {
		return false
	}
	s.refused, s.permits = 0, permits{}
	clear(s.avoid)
	for s.f.Clock.Sleep(ctx, againPause) == nil {
		if s.takeBudget() {
			return true
		}
	}
	return false
}

// ended records a stream that the caller has whole.
func (s *streamJob) ended(ctx context.Context) {
	s.f.Metrics.Pause.Observe(s.longest.Seconds())
	if s.firstTook > s.route.Target || s.longest > s.route.MaxGap {
		citronevent.Log(ctx, s.f.Log, citronevent.StreamLate, "request", s.ID, "first", s.firstTook, "pause", s.longest, "afterEvent", s.longestAt, "moves", s.moves, "runs", s.runs+1, "engine", s.path[0].Engine.ID, "zone", s.path[0].Engine.Zone)
	}
	s.answered("first", s.firstTook, "pause", s.longest, "moves", s.moves, "runs", s.runs+1, "engine", s.path[0].Engine.ID)
}

// canResume reports whether another run may go on after the last event.
// Runs whose first engine has ended do not count against the route's limit.
// One that is leaving, or does not answer, has not: it may be well for
// others and still run the request.
func (s *streamJob) canResume() bool {
	if !s.within(attemptsUsed, s.route.Idempotent()) {
		return false
	}
	runs := s.runs + 1
	if s.firstEnded() {
		runs--
	}
	return s.within(crashesUsed, !s.suspect()) && s.within(attemptsUsed, runs < max(1, s.route.MaxAttempts))
}

// firstEnded reports whether it is certain that the first engine's process has ended:
// something else is in its place. That its entry is gone proves nothing, as some engines
// serve on after that; nor does a refused connection, as one that is cut off resets what
// it has and refuses what comes.
func (s *streamJob) firstEnded() bool { return s.path[0].Engine.Replaced() }

// mayResume is canResume with the budget, unless it is paid already. If the
// limit is reached, the first engine is asked whether it has ended.
func (s *streamJob) mayResume() bool {
	if s.paid {
		s.paid = false
		return true
	}
	if !s.suspect() && !s.canResume() {
		_ = s.f.probe(context.Background(), s.path[0].Engine, 0) // an older report may be from before the end
	}
	return s.canResume() && s.takeBudget()
}

func (s *streamJob) bind(p citronpath.Path) {
	s.unbind()
	if s.path != nil {
		s.moves++
	}
	s.path = p
	s.pathSince = s.f.Clock.Now()
	ends := make([]func(), 0, 2*len(p))
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

func (s *streamJob) unbind() {
	if s.release != nil {
		s.release()
		s.release = nil
	}
}

// send sends the stream over its path and passes events on until it ends.
func (s *streamJob) send(ctx context.Context) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWatch(ctx, s)
	replies := make(chan sent, 1)
	call := citronupstream.Call{Request: s.Request, Engine: s.path[0].Engine, Hops: s.path, Customer: s.customer, Left: s.left(), After: s.last, Once: !s.route.Idempotent(), Urgent: s.begun}
	go func() {
		reply, err := s.f.send(ctx, call)
		replies <- sent{reply, err}
	}()
	for {
		select {
		case r := <-replies:
			if r.err != nil {
				return s.sendFailed(ctx, r.err)
			}
			defer r.reply.Body.Close()
			return s.receive(ctx, r.reply, w)
		case <-ctx.Done():
			return callerLeft
		case <-w.tick():
			if w.quiet() == replaceRun {
				return brokenRun
			}
		}
	}
}

type sent struct {
	reply *citronupstream.Reply
	err   error
}

// logRun is logAttempt with how far the run got: from when it was sent, and
// between its events.
func (s *streamJob) logRun(first *citronpool.Engine, res result) {
	s.logAttempt(first, res, "sent", s.f.Clock.Now().Sub(s.run.sent), "lasted", s.run.lasted())
}

func (s *streamJob) sendFailed(ctx context.Context, err error) verdict {
	if ctx.Err() != nil {
		return callerLeft
	}
	first := s.path[0].Engine
	res := s.judge(first, err)
	s.f.Metrics.Attempts.WithLabelValues(res.outcome.String()).Inc()
	s.logRun(first, res)
	s.avoid[first.ID] = true
	if res.outcome == notRun {
		return refusedRun
	}
	s.noteCrash(ctx, first, s.run.sent)
	return brokenRun
}

// receive reads the engine's answer and passes it on.
func (s *streamJob) receive(ctx context.Context, reply *citronupstream.Reply, w *watch) verdict {
	first := s.path[0].Engine
	if reply.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxAnswerBytes)) // so that the connection can be kept
		s.refusedBy(first, reply)
		s.f.Metrics.Attempts.WithLabelValues(notRun.String()).Inc()
		s.logAttempt(first, result{outcome: notRun, status: reply.Status, err: errors.Newf("refused, at fault %s", reply.Fault)})
		return refusedRun
	}
	if reply.Status != http.StatusOK {
		return s.engineFailure(ctx, reply)
	}
	if !reply.Signed || reply.Header.Get("Content-Encoding") != "" {
		s.logRun(first, result{outcome: unknown, status: reply.Status, err: errors.New("answer is not the engine's own")})
		s.avoid[first.ID] = true
		return brokenRun
	}
	events := make(chan eventOrErr)
	go readEvents(ctx, reply.Body, events)
	for {
		select {
		case e := <-events:
			if e.err != nil {
				return s.streamEnded(ctx, e.err)
			}
			if v, done := s.pass(reply, e.event); done {
				return v
			}
			if w.progress() == replaceRun {
				return brokenRun
			}
		case <-ctx.Done():
			return callerLeft
		case <-w.tick():
			if w.quiet() == replaceRun {
				return brokenRun
			}
		}
	}
}

type eventOrErr struct {
	event
	err error
}

func readEvents(ctx context.Context, body io.Reader, out chan<- eventOrErr) {
	r := bufio.NewReader(body)
	for {
		ev, err := readEvent(r)
		select {
		case out <- eventOrErr{ev, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// pass sends one event on. An event that the caller has already is left
// out: a run that was resumed may start earlier than it was asked to.
func (s *streamJob) pass(reply *citronupstream.Reply, ev event) (verdict, bool) {
	if ev.id != "" && s.last != "" && !after(ev.id, s.last) {
		return 0, false
	}
	now := s.f.Clock.Now()
	s.path[0].Engine.Lives()
	if s.run.firstEvent.IsZero() {
		s.admittedAlong()
	}
	if !s.begun {
		s.begun = true
		s.firstTook = now.Sub(s.Received)
		s.f.Metrics.FirstEvent.Observe(s.firstTook.Seconds())
		s.out.Begin(reply.Status, reply.Header)
	} else if pause := now.Sub(s.lastAt); pause > s.longest {
		s.longest, s.longestAt = pause, s.last
	}
	if err := s.out.Event(ev.text); err != nil {
		return callerLeft, true
	}
	if ev.id != "" {
		s.last = ev.id
	}
	s.lastAt = now
	s.run = s.run.WithEvent(now)
	if s.run.lasted() >= provenRun {
		s.proven()
	}
	return 0, false
}

// admittedAlong notes that the engines of the path run the stream.
func (s *streamJob) admittedAlong() {
	for _, h := range s.path {
		h.Engine.Admitted(s.run.sent)
	}
}

// after reports whether event id a comes after b.
func after(a, b string) bool {
	x, errA := strconv.ParseInt(a, 10, 64)
	y, errB := strconv.ParseInt(b, 10, 64)
	if errA != nil || errB != nil {
		return a != b
	}
	return x > y
}

func (s *streamJob) streamEnded(ctx context.Context, err error) verdict {
	if errors.Is(err, io.EOF) {
		if !s.begun {
			return brokenRun // an empty stream is no answer
		}
		s.path[0].Engine.Answered(s.pathSince, s.f.Clock.Now())
		s.proven()
		return finished
	}
	if ctx.Err() != nil {
		return callerLeft
	}
	first := s.path[0].Engine
	s.logRun(first, result{outcome: unknown, err: errors.Wrap(err, "read stream")})
	s.avoid[first.ID] = true
	s.noteCrash(ctx, first, s.run.sent)
	return brokenRun
}

// engineFailure handles an answer that is no stream: the engine ran the
// request and failed.
func (s *streamJob) engineFailure(ctx context.Context, reply *citronupstream.Reply) verdict {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil && ctx.Err() != nil {
		return callerLeft
	}
	first := s.path[0].Engine
	s.logRun(first, result{outcome: failed, status: reply.Status, err: err})
	s.avoid[first.ID] = true
	if err != nil || s.begun || reply.Status >= 500 && s.route.Idempotent() && s.runs+1 < s.route.MaxAttempts {
		return brokenRun
	}
	s.out.Answer(reply.Status, reply.Header, body)
	return engineAnswer
}
