package citronpool

// This file handles engines that ask this node for a cool-down: a refusal may say how
// long the engine wants no request from this node. Unlike the pauses that this node
// chooses itself, a cool-down ends only by its time. A successful request does not
// shorten it, because that request may have been sent before the engine asked, and a
// later refusal can only lengthen it.

import "time"

// CoolDown records that the engine wants no request from this node for the given time. It
// reports whether that is longer than what was known.
func (s *State) CoolDown(now time.Time, wait time.Duration) bool {
	until := sinceEpoch(now.Add(wait))
	for {
		known := s.cooldownUntil.Load()
		if until <= known || wait <= 0 {
			return false
		}
		if s.cooldownUntil.CompareAndSwap(known, until) {
			return true
		}
	}
}

// CoolingFor returns how much longer the engine wants no request from this node.
func (s *State) CoolingFor(now time.Time) time.Duration {
	return max(0, time.Duration(s.cooldownUntil.Load()-sinceEpoch(now)))
}
