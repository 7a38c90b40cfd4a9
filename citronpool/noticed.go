package citronpool

import (
	"sync"

	"citrondeck.dev/citrondeck/citronusage"
)

// noticedStates holds the states of engines whose notices bind this node, by ID: those that
// asked for a cool-down, and those that said they are leaving until TakeLeaving returns them.
// They outlive the list of engines, because an entry may go and come back, for example when
// the store is restored from an older copy, while the engine keeps running. All views share
// one instance.
type noticedStates struct{ states sync.Map }

func (r *noticedStates) add(s *State) {
	if r != nil {
		r.states.Store(s.id, s)
	}
}

// stateOf returns the state with notices of an engine that is new in the list, or a new one. A
// replaced engine's state does not apply to the process that uses the ID now.
func (v *View) stateOf(id string) *State {
	if s, ok := v.noticed.states.Load(id); ok && !s.(*State).Replaced() {
		return s.(*State)
	}
	return v.newState(id)
}

// newState returns the state of an engine about which nothing is known.
func (v *View) newState(id string) *State {
	v.noticed.states.Delete(id)
	return &State{id: id, failedStates: v.failedStates, noticed: v.noticed, usageID: citronusage.IDOf(id), board: v.board}
}
