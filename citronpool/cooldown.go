package citronpool

// This file handles engines that ask this node for a cool-down: a refusal may say how
// long the engine wants no request from this node. Unlike the pauses that this node
// chooses itself, a cool-down ends only by its time. A successful request does not
// shorten it, because that request may have been sent before the engine asked, and a
// later refusal can only lengthen it.

import "time"

// cooldown is the cool-down of an engine, in nanoseconds since epoch. It is immutable.
type cooldown struct{ since, until int64 }

// CoolDown records that the engine wants no request from this node for the given time. It
// reports whether that is longer than what was known.
func (s *State) CoolDown(now time.Time, wait time.Duration) bool {
	at := sinceEpoch(now)
	next := &cooldown{since: at, until: at + int64(wait)}
	for {
		known := s.cooldown.Load()
		if wait <= 0 || known != nil && next.until <= known.until {
			return false
		}
		if known != nil && known.until > at {
			next.since = known.since // one cool-down that has become longer
		}
		if s.cooldown.CompareAndSwap(known, next) {
			s.noticed.add(s)
			return true
		}
	}
}

// CoolingFor returns how much longer the engine wants no request from this node.
func (s *State) CoolingFor(now time.Time) time.Duration {
	c := s.cooldown.Load()
	if c == nil {
		return 0
	}
	return max(0, time.Duration(c.until-sinceEpoch(now)))
}

// CooldownBetween reports whether a cool-down began after the first time and not after the
// second.
func (s *State) CooldownBetween(after, until time.Time) bool {
	c := s.cooldown.Load()
	return c != nil && sinceEpoch(after) < c.since && c.since <= sinceEpoch(until)
}
