package citronpool

import "time"

// MarkLeaving records that the engine itself said that it is leaving, and reports whether
// that is new. It holds for as long as the engine's process lives: a response without that
// statement may be older.
func (s *State) MarkLeaving() bool {
	if !s.saysLeaving.CompareAndSwap(false, true) {
		return false
	}
	s.noticed.add(s)
	return true
}

// TakeLeaving returns the IDs of the engines that said that they are leaving since the last
// call, for the list of engines, which keeps them. It drops states whose notices no longer
// bind this node.
func (v *View) TakeLeaving(now time.Time) []string {
	var ids []string
	v.noticed.states.Range(func(id, value any) bool {
		s := value.(*State)
		taken := s.saysLeaving.Load()
		if taken {
			ids = append(ids, id.(string))
		}
		if s.CoolingFor(now) > 0 {
			return true
		}
		v.noticed.states.CompareAndDelete(id, value)
		if s.CoolingFor(now) > 0 || s.saysLeaving.Load() != taken {
			v.noticed.add(s) // it changed between the check and the removal
		}
		return true
	})
	return ids
}
