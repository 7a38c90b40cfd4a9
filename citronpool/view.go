package citronpool

import (
	"maps"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
)

// View is the list of engines at one moment. It shares with the one before it what has
// not changed: engines of a large fleet come and go all the time.
type View struct {
	// ByService holds the engines of each service.
	ByService map[string][]*Engine
	byAddr    map[string]*Engine
	byID      map[string]*Engine
	troubles  *troubles
}

// Build makes a view of engines in the order of their ids; an engine that prev knows
// keeps its State.
func Build(engines []citronmodel.Engine, prev *View) *View {
	if prev == nil {
		prev = &View{troubles: &troubles{}}
	}
	v := &View{ByService: map[string][]*Engine{}, troubles: prev.troubles}
	for _, e := range engines {
		v.ByService[e.Service] = append(v.ByService[e.Service], prev.successor(e))
	}
	for name, service := range v.ByService {
		if same(service, prev.ByService[name]) {
			v.ByService[name] = prev.ByService[name]
			continue
		}
		countCopies(service)
	}
	v.index(engines, prev)
	return v
}

// successor is the engine of the next view.
func (v *View) successor(e citronmodel.Engine) *Engine {
	old := v.byID[e.ID]
	if old == nil {
		return &Engine{Engine: e, State: newState(e.ID, v.troubles)}
	}
	if old.Engine == e {
		return old
	}
	p := &Engine{Engine: e, State: old.State, Copies: old.Copies}
	switch {
	case old.Layers == e.Layers:
	case !old.Replaced():
		p.Placed()
		p.refusals.Store(0)
	default: // its entry is of its next start, which does not tell when it was
		p.State = newState(e.ID, v.troubles)
	}
	return p
}

func same(a, b []*Engine) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// index finds engines by id and address. Of two at one address the last counts, as in the
// list.
func (v *View) index(engines []citronmodel.Engine, prev *View) {
	if v.patchIndex(engines, prev) {
		return
	}
	v.byID = make(map[string]*Engine, len(engines))
	v.byAddr = make(map[string]*Engine, len(engines))
	at := map[string]int{}
	for _, e := range engines {
		p := v.ByService[e.Service][at[e.Service]]
		at[e.Service]++
		v.byID[e.ID], v.byAddr[e.Addr] = p, p
	}
}

// patchIndex takes over the index of a view that has the same engines at the same
// addresses, and reports whether it does.
func (v *View) patchIndex(engines []citronmodel.Engine, prev *View) bool {
	if len(engines) != len(prev.byID) {
		return false
	}
	var changed []*Engine
	for name, service := range v.ByService {
		if before := prev.ByService[name]; len(before) > 0 && &before[0] == &service[0] {
			continue
		}
		for _, p := range service {
			old := prev.byID[p.ID]
			if old == nil || old.Addr != p.Addr {
				return false
			}
			if old != p {
				changed = append(changed, p)
			}
		}
	}
	v.byID, v.byAddr = prev.byID, prev.byAddr
	if len(changed) == 0 {
		return true
	}
	v.byID, v.byAddr = maps.Clone(prev.byID), maps.Clone(prev.byAddr)
	for _, p := range changed {
		if v.byAddr[p.Addr].ID == p.ID {
			v.byAddr[p.Addr] = p
		}
		v.byID[p.ID] = p
	}
	return true
}

// countCopies sets how often the layers of each engine are held in its zone. An engine of
// an earlier view is not changed but replaced.
func countCopies(engines []*Engine) {
	held := map[string][]int{}
	for _, e := range engines {
		if e.Leaving || e.Layers.Empty() || e.Layers.From < 0 {
			continue
		}
		layers := held[e.Zone]
		for len(layers) < e.Layers.To {
			layers = append(layers, 0)
		}
		for l := e.Layers.From; l < e.Layers.To; l++ {
			layers[l]++
		}
		held[e.Zone] = layers
	}
	for i, e := range engines {
		if copies := copiesOf(e, held[e.Zone]); copies != e.Copies {
			next := *e
			next.Copies = copies
			engines[i] = &next
		}
	}
}

// copiesOf is how many engines hold an engine's layers, on average.
func copiesOf(e *Engine, held []int) float64 {
	sum, n := 0, e.Layers.Len()
	for l := max(0, e.Layers.From); l < min(e.Layers.To, len(held)); l++ {
		sum += held[l]
	}
	if n <= 0 {
		return 1
	}
	return max(1, float64(sum)/float64(n))
}

// troubles holds the states of engines that were found dead or have started anew, by id.
// It outlives the views.
type troubles struct{ states sync.Map }

func (t *troubles) note(s *State) {
	if t != nil {
		t.states.Store(s.id, s)
	}
}

// all calls f for the engines of a view that are in trouble, and forgets those that are
// not, or have gone.
func (t *troubles) all(v *View, f func(*Engine)) {
	t.states.Range(func(key, value any) bool {
		s := value.(*State)
		e := v.byID[key.(string)]
		if e != nil && e.State == s && s.inTrouble() {
			f(e)
			return true
		}
		t.states.CompareAndDelete(key, value)
		if s.inTrouble() && e != nil && e.State == s {
			t.note(s) // it was found dead in between
		}
		return true
	})
}

func (s *State) inTrouble() bool { return s.deadSince.Load() != 0 || s.laterStart.Load() != 0 }

// Dead returns the ids of engines that were found dead after a moment.
func (v *View) Dead(after time.Time) []string {
	var out []string
	v.troubles.all(v, func(e *Engine) {
		if e.DeadSince().After(after) {
			out = append(out, e.ID)
		}
	})
	return out
}

// StartedAnew returns the engines that are known to have started anew.
func (v *View) StartedAnew() []*Engine {
	var out []*Engine
	v.troubles.all(v, func(e *Engine) {
		if e.LaterStart() > 0 {
			out = append(out, e)
		}
	})
	return out
}

// Has reports whether an engine with an id is in the view.
func (v *View) Has(id string) bool { return v.byID[id] != nil }

// ByAddr returns the engine at an address.
func (v *View) ByAddr(addr string) (*Engine, bool) {
	e, ok := v.byAddr[addr]
	return e, ok
}

// ByID returns the engine with an id.
func (v *View) ByID(id string) (*Engine, bool) {
	e, ok := v.byID[id]
	return e, ok
}
