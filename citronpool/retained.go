package citronpool

import "sync"

// retainedStates holds the states of engines whose own statements bind this node, by ID:
// cool-downs, and that they are leaving, until TakeLeaving returns it. They outlive the list of engines, because an entry may go and come back, for
// example when the store is restored from an older copy, while the engine keeps running.
// All views share one instance.
type retainedStates struct{ states sync.Map }

func (r *retainedStates) add(s *State) {
	if r != nil {
		r.states.Store(s.id, s)
	}
}

// stateOf returns the retained state of an engine that is new in the list, or a new one. A
// replaced engine's state does not apply to the process that uses the ID now.
func (v *View) stateOf(id string) *State {
	if s, ok := v.retained.states.Load(id); ok && !s.(*State).Replaced() {
		return s.(*State)
	}
	return v.newState(id)
}

// newState returns the state of an engine about which nothing is known.
func (v *View) newState(id string) *State {
	v.retained.states.Delete(id)
	return &State{id: id, failedStates: v.failedStates, retained: v.retained}
}
