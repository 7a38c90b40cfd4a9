package citronpool

// Engines because of which requests are refused.
//
// The load it answers: engines leave at the peak while the store is away, so that no
// node can read that they do. Each of them refuses what is new and answers questions as
// if it were well. Tried again after a fixed pause, by all nodes, each request meets one
// of them, and the refusals use up the repeats that all nodes share: the requests that
// follow are refused although other engines have room. So the pause doubles with each
// refusal until a request is let in. An engine that was only full is let in again after
// the first.

import "time"

const (
	// firstRefusal is the pause after one refusal: some requests of a full engine end
	// in it.
	firstRefusal = 150 * time.Millisecond
	// maxRefusal bounds the pause, as an engine may have room again.
	maxRefusal = 1200 * time.Millisecond
	// accusedFor is how long a refusal counts against an engine through which a stream
	// is silent: until its death is certain, or news of what it holds has come.
	accusedFor = 500 * time.Millisecond
)

// refusalPause is how long an engine is left alone after so many refusals before.
func refusalPause(before int64) time.Duration {
	pause := firstRefusal
	for range before {
		if pause >= maxRefusal {
			return maxRefusal
		}
		pause *= 2
	}
	return min(pause, maxRefusal)
}

// Accuse notes that an engine refused a request and named this one, which is dead,
// leaving, giving up layers or short of memory, and leaves it alone for a while. It
// reports whether that is news: requests that were on their way together are refused
// together.
func (s *State) Accuse(now time.Time) bool {
	at := since(now)
	s.accusedAt.Store(at)
	until := s.avoidUntil.Load()
	if until > at {
		return false
	}
	before := s.refusals.Load()
	if !s.avoidUntil.CompareAndSwap(until, at+int64(refusalPause(before))) {
		return false
	}
	s.refusals.Store(before + 1)
	return true
}

// Accused reports whether the engine was named in a refusal just now.
func (s *State) Accused(now time.Time) bool {
	at := s.accusedAt.Load()
	return at != 0 && since(now)-at < int64(accusedFor)
}

// Admitted notes that the engine runs a request that was sent to it at a moment, and
// reports whether that was after the last refusal. One that leaves ends what it ran
// before, and refuses what is new all the same.
func (s *State) Admitted(sent time.Time) bool {
	if since(sent) <= s.accusedAt.Load() {
		return false
	}
	s.refusals.Store(0)
	return true
}
