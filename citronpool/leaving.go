package citronpool

// MarkLeaving records that the engine itself said that it is leaving, and reports whether
// that is new. It holds for as long as the engine's process lives: a response without that
// statement may be older.
func (s *State) MarkLeaving() bool { return s.saysLeaving.CompareAndSwap(false, true) }
