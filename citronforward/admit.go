package citronforward

// Admission of streams.
//
// The load it answers: a surge, or the loss of engines at the peak, brings
// more streams than the engines can cache. An engine whose cache is full
// preempts its newest requests and reads them again, so that beyond this
// point every stream is late and less work is done in all. A stream that
// finds no path with room waits a moment for one, since streams end all the
// time; then it is refused with the time after which room is likely. Streams
// that have begun are let through: the caller has part of the answer.

import (
	"context"
	"math/rand/v2"
	"time"

	"citrondeck.dev/citrondeck/citronpath"
)

const (
	// fullest is the share of the fullest engine's cache up to which streams are let
	// in. Requests are counted with all tokens that they may come to, which is more
	// than they hold on average.
	fullest = 1.05
	// roomShare is the part of the target time for the first event that
	// may go into waiting; the rest is needed for reading the prompt.
	roomShare = 0.12
	// roomPoll is how often a waiting stream looks again.
	roomPoll = 20 * time.Millisecond
	// returnFirst and returnLast are between which parts of the time that a refused
	// caller has left it is told to come back. Callers wait for a third of it at most.
	// What fills the caches ends after some seconds, and a caller that comes back sooner
	// is likely to be refused again, for the last time.
	returnFirst = 0.15
	returnLast  = 0.32
)

// returnAfter is when a caller comes back that was refused with so much time left. drawn,
// from 0 to 1, is another for each: callers that were refused together must not return
// together.
func returnAfter(left time.Duration, drawn float64) time.Duration {
	part := returnFirst + (returnLast-returnFirst)*drawn
	return time.Duration(part * float64(max(0, left)))
}

// room returns a path with room for the stream. full says that there were
// paths but none with room.
func (s *streamJob) room(ctx context.Context) (p citronpath.Path, full, ok bool) {
	until := s.f.Clock.Now().Add(time.Duration(float64(s.route.Target) * roomShare))
	for {
		state := s.f.Current()
		p, ok = s.job.path(state, "")
		if !ok {
			return nil, false, false
		}
		used := p.Used(s.query(state, ""))
		if used <= fullest || s.begun || s.ResumeAfter != "" {
			return p, false, true
		}
		if s.f.Clock.Now().Add(roomPoll).After(until) || s.f.Clock.Sleep(ctx, roomPoll) != nil {
			s.used = used
			s.retryAfter = returnAfter(s.left(), rand.Float64())
			return nil, true, false
		}
	}
}
