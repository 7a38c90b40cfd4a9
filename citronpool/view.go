package citronpool

import (
	"maps"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronusage"
)

// View is an immutable snapshot of the list of engines. It shares unchanged parts
// with the previous view because engines of a large fleet come and go all the time.
type View struct {
	// ByService holds the engines of each service, ordered by ID.
	ByService    map[string][]*Engine
	byAddr       map[string]*Engine
	byID         map[string]*Engine
	failedStates *failedStates
	noticed      *noticedStates
	board        *usageBoard
	// byUsageID holds the IDs of the engines by their IDs in usage reports.
	byUsageID map[citronusage.ID]string
}

// Build returns a view of the given engines, which are sorted by ID. An engine that is
// in prev keeps its State. The previous view prev may be nil.
func Build(engines []citronmodel.Engine, prev *View) *View {
	if prev == nil {
		prev = &View{failedStates: &failedStates{}, noticed: &noticedStates{}, board: newUsageBoard()}
	}
	v := &View{ByService: map[string][]*Engine{}, failedStates: prev.failedStates, noticed: prev.noticed, board: prev.board}
	for _, e := range engines {
		v.ByService[e.Service] = append(v.ByService[e.Service], prev.nextEngine(e))
	}
	for name, service := range v.ByService {
		if sameEngines(service, prev.ByService[name]) {
			v.ByService[name] = prev.ByService[name]
			continue
		}
		countReplicas(service)
	}
	v.index(engines, prev)
	return v
}

// nextEngine returns the engine for the next view. It reuses the Engine if its entry is
// unchanged, otherwise its State. A replaced engine whose layers change gets a new State.
// An engine that is new in the list gets its State with notices, if there is one.
func (v *View) nextEngine(e citronmodel.Engine) *Engine {
	old := v.byID[e.ID]
	if old == nil {
		return &Engine{Engine: e, State: v.stateOf(e.ID)}
	}
	if old.Engine == e {
		return old
	}
	p := &Engine{Engine: e, State: old.State, Replicas: old.Replicas}
	switch {
	case old.Layers == e.Layers:
	case !old.Replaced():
		p.ClearMisplaced()
		p.usage.Store(nil) // it describes the cache that other layers left free
		p.refusalPauses.Store(0)
	default: // the entry belongs to the next incarnation, which doesn't report its start time
		p.State = v.newState(e.ID)
	}
	return p
}

// sameEngines reports whether both slices hold the same pointers in the same order.
func sameEngines(a, b []*Engine) bool {
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

// index builds the lookup by ID and by address. If two engines have the same address,
// the last one wins, as in the list.
func (v *View) index(engines []citronmodel.Engine, prev *View) {
	if v.patchIndex(engines, prev) {
		return
	}
	v.byID = make(map[string]*Engine, len(engines))
	v.byAddr = make(map[string]*Engine, len(engines))
	v.byUsageID = make(map[citronusage.ID]string, len(engines))
	next := map[string]int{}
	for _, e := range engines {
		p := v.ByService[e.Service][next[e.Service]]
		next[e.Service]++
		v.byID[e.ID], v.byAddr[e.Addr], v.byUsageID[p.usageID] = p, p, e.ID
	}
}

// patchIndex reuses the index of prev if both views have the same engines at the same
// addresses. It reports whether it could.
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
	v.byID, v.byAddr, v.byUsageID = prev.byID, prev.byAddr, prev.byUsageID
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

// countReplicas sets Replicas of each engine. It copies an Engine before it changes it,
// as earlier views may share it.
func countReplicas(engines []*Engine) {
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
		if replicas := averageReplicas(e, held[e.Zone]); replicas != e.Replicas {
			next := *e
			next.Replicas = replicas
			engines[i] = &next
		}
	}
}

// averageReplicas returns the average number of engines that hold each of the engine's
// layers, at least 1. The slice held is indexed by layer.
func averageReplicas(e *Engine, held []int) float64 {
	sum, n := 0, e.Layers.Len()
	for l := max(0, e.Layers.From); l < min(e.Layers.To, len(held)); l++ {
		sum += held[l]
	}
	if n <= 0 {
		return 1
	}
	return max(1, float64(sum)/float64(n))
}

// failedStates holds the states of engines that were found dead or have restarted, by
// ID. All views share one instance.
type failedStates struct{ states sync.Map }

func (f *failedStates) add(s *State) {
	if f != nil {
		f.states.Store(s.id, s)
	}
}

// forEach calls visit for each engine of the view that is dead or restarted. It removes
// the states of engines that have recovered or are no longer in the view.
func (f *failedStates) forEach(v *View, visit func(*Engine)) {
	f.states.Range(func(key, value any) bool {
		s := value.(*State)
		e := v.byID[key.(string)]
		if e != nil && e.State == s && s.deadOrRestarted() {
			visit(e)
			return true
		}
		f.states.CompareAndDelete(key, value)
		if s.deadOrRestarted() && e != nil && e.State == s {
			f.add(s) // it was found dead between the check and the removal
		}
		return true
	})
}

func (s *State) deadOrRestarted() bool { return s.deadSince.Load() != 0 || s.restartedAt.Load() != 0 }

// DeadAfter returns the IDs of engines that were found dead after the given time.
func (v *View) DeadAfter(after time.Time) []string {
	var out []string
	v.failedStates.forEach(v, func(e *Engine) {
		if e.DeadSince().After(after) {
			out = append(out, e.ID)
		}
	})
	return out
}

// Restarted returns the engines of the view that are known to have restarted.
func (v *View) Restarted() []*Engine {
	var out []*Engine
	v.failedStates.forEach(v, func(e *Engine) {
		if e.RestartedAt() > 0 {
			out = append(out, e)
		}
	})
	return out
}

// Has reports whether the view contains an engine with the given ID.
func (v *View) Has(id string) bool { return v.byID[id] != nil }

// ByAddr returns the engine at the given address.
func (v *View) ByAddr(addr string) (*Engine, bool) {
	e, ok := v.byAddr[addr]
	return e, ok
}

// ByID returns the engine with the given ID.
func (v *View) ByID(id string) (*Engine, bool) {
	e, ok := v.byID[id]
	return e, ok
}
