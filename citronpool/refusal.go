package citronpool

// This file handles engines that other engines name as the cause of a refused
// request.
//
// At peak load, engines may leave while the store is unavailable, so that no
// node can read that they are leaving. Such an engine refuses new requests but
// answers health checks as usual. If all nodes tried it again after a fixed
// pause, requests would keep being sent to it and the refusals would use up the
// retry budget that all nodes share. Later requests would then be refused
// although other engines have free capacity. Therefore the pause doubles with
// each refusal until the engine admits a request. An engine that was only full
// admits requests again after the first pause.

import "time"

const (
	// initialRefusalPause is the pause after one refusal. Some requests of a
	// full engine finish within it.
	initialRefusalPause = 150 * time.Millisecond
	// maxRefusalPause limits the pause, as the engine may have free capacity
	// again.
	maxRefusalPause = 1200 * time.Millisecond
	// accusationTTL is how long an engine counts as accused after a refusal.
	// Streams that stall meanwhile probe it. After this time its death is
	// certain, or an update of its layers has arrived.
	accusationTTL = 500 * time.Millisecond
)

// refusalPause returns how long an engine is avoided after the given number of
// earlier refusals.
func refusalPause(before int64) time.Duration {
	pause := initialRefusalPause
	for range before {
		if pause >= maxRefusalPause {
			return maxRefusalPause
		}
		pause *= 2
	}
	return min(pause, maxRefusalPause)
}

// Accuse records that this engine is accused: another engine named it as the
// cause of a refused request because it is dead, leaving, giving up layers or
// short of memory. Accuse avoids the engine for a pause and reports whether the
// pause is new. It isn't if the engine is avoided already: requests that were in
// flight together are refused together and count once.
func (s *State) Accuse(now time.Time) bool {
	at := sinceEpoch(now)
	s.accusedAt.Store(at)
	until := s.avoidUntil.Load()
	if isAfter(until, at) {
		return false
	}
	before := s.refusalPauses.Load()
	if !s.avoidUntil.CompareAndSwap(until, at+int64(refusalPause(before))) {
		return false
	}
	s.refusalPauses.Store(before + 1)
	return true
}

// Accused reports whether the engine was accused within the last accusationTTL.
func (s *State) Accused(now time.Time) bool {
	at := s.accusedAt.Load()
	return at != 0 && sinceEpoch(now)-at < int64(accusationTTL)
}

// RecordAdmission records that the engine runs a request sent at the given time. It
// reports whether the request was sent after the last refusal. Older requests
// prove nothing: a leaving engine finishes them and still refuses new ones.
func (s *State) RecordAdmission(sent time.Time) bool {
	if accused := s.accusedAt.Load(); accused != 0 && sinceEpoch(sent) <= accused {
		return false
	}
	s.refusalPauses.Store(0)
	return true
}
