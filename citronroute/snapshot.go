package citronroute

import (
	"slices"
	"sort"
	"time"

	"citrondeck.dev/citrondeck/citronfleet"
)

// EntryAddr is one entry instance as service discovery lists it.
type EntryAddr struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// Incarnation distinguishes this process from earlier processes of the
	// same name.
	Incarnation string `json:"incarnation"`
}

// Snapshot is the immutable routing state under one fleet revision. A request
// keeps the snapshot under which it began; only replacements for engines of its
// chain are chosen under the latest one.
type Snapshot struct {
	Fleet    citronfleet.Fleet
	Backends map[string]*Backend
	// Avoid maps the names of back ends that get no new requests to the
	// reason.
	Avoid   map[string]Reason
	Entries []EntryAddr
	KVUp    bool

	// backendList holds the values of Backends, for iteration over all of
	// them.
	backendList []*Backend
	services    map[string]citronfleet.Service
	customers   map[string]citronfleet.Customer
}

// Reason is why a back end gets no new requests.
type Reason string

// Reasons why a back end gets no new requests.
const (
	Leaving     Reason = "leaving"      // according to the instance list or its own report
	Failing     Reason = "failing"      // could not be reached, or failed a call for none of the other reasons
	Frozen      Reason = "frozen"       // stopped answering
	WrongLayers Reason = "wrong_layers" // holds other layers than the fleet configuration says
)

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (citronfleet.Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Customer returns the customer with the given name.
func (s *Snapshot) Customer(name string) (citronfleet.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// HasEntry reports whether the snapshot lists an entry process with the given
// name and incarnation.
func (s *Snapshot) HasEntry(name, incarnation string) bool {
	return slices.ContainsFunc(s.Entries, func(e EntryAddr) bool { return e.Name == name && e.Incarnation == incarnation })
}

// Window returns how many requests of svc one entry forwards at the same time.
// By Little's law, the engines' token rate times tokenGap, the wanted time
// between two tokens of a request, is the number of requests that keep the
// engines busy without making that time longer. The entries share this number
// evenly. Window returns fallback if no capacity is declared.
func (s *Snapshot) Window(svc citronfleet.Service, tokenGap time.Duration, fallback int) int {
	tokenRate := svc.MaxTokenRate()
	if tokenRate <= 0 {
		return fallback
	}
	return max(1, int(tokenRate*tokenGap.Seconds())/max(1, len(s.Entries)))
}

// Build makes a snapshot. The pool keeps clients and activity across builds.
func (p *Pool) Build(f citronfleet.Fleet, avoid map[string]Reason, entries []EntryAddr, kvUp bool) *Snapshot {
	s := &Snapshot{
		Fleet: f, Backends: map[string]*Backend{}, Avoid: avoid, Entries: entries, KVUp: kvUp,
		services: map[string]citronfleet.Service{}, customers: map[string]citronfleet.Customer{},
	}
	for _, c := range f.Customers {
		s.customers[c.Name] = c
	}
	for _, svc := range f.Services {
		s.services[svc.Name] = svc
		for _, b := range svc.Backends() {
			s.Backends[b.Name] = p.get(b, svc.Kind)
		}
	}
	for _, b := range s.Backends {
		s.backendList = append(s.backendList, b)
	}
	p.prune(s.Backends)
	return s
}

// Picker chooses back ends for one request. Of equally loaded back ends it
// prefers those of its zone. It skips back ends on which the request has already
// failed.
type Picker struct {
	Snapshot *Snapshot
	Zone     string
	// Now is the time of the choice.
	Now      time.Time
	excluded map[string]bool
}

// Exclude keeps b out of further choices for this request.
func (p *Picker) Exclude(b *Backend) {
	if p.excluded == nil {
		p.excluded = map[string]bool{}
	}
	p.excluded[b.Spec.Name] = true
}

// usableBackend returns the back end with the given name, or nil if the request
// must not use it.
func (p *Picker) usableBackend(name string) *Backend {
	if p.excluded[name] || p.Snapshot.Avoid[name] != "" {
		return nil
	}
	if b := p.Snapshot.Backends[name]; b != nil && !b.isLeaving(p.Now) {
		return b
	}
	return nil
}

// Chain picks engines whose layer ranges cover [from, layers) exactly once and
// in order. Of the engines that begin at the same layer it tries the least
// loaded first. It returns nil if no such chain exists.
//
// The search walks layer boundaries and remembers the boundaries from which no
// chain exists, so it visits each engine at most once, whatever the ranges are.
func (p *Picker) Chain(svc citronfleet.Service, from int) []*Backend {
	byStart := map[int][]*Backend{}
	for _, e := range svc.Engines {
		if b := p.usableBackend(e.Name); b != nil {
			byStart[e.Range[0]] = append(byStart[e.Range[0]], b)
		}
	}
	deadEnds := map[int]bool{}
	return p.searchChain(byStart, deadEnds, from, svc.Layers)
}

func (p *Picker) searchChain(byStart map[int][]*Backend, deadEnds map[int]bool, from, layers int) []*Backend {
	if from == layers {
		return []*Backend{}
	}
	if deadEnds[from] {
		return nil
	}
	candidates := byStart[from]
	sort.SliceStable(candidates, func(i, j int) bool { return p.less(candidates[i], candidates[j]) })
	for _, c := range candidates {
		if rest := p.searchChain(byStart, deadEnds, c.Spec.Range[1], layers); rest != nil {
			return append([]*Backend{c}, rest...)
		}
	}
	deadEnds[from] = true
	return nil
}

// SameLayers returns the least loaded usable engine, other than b, that holds
// exactly b's layers. It returns nil if there is none.
func (p *Picker) SameLayers(svc citronfleet.Service, b *Backend) *Backend {
	var best *Backend
	for _, e := range svc.Engines {
		if e.Name == b.Spec.Name || e.Range != b.Spec.Range {
			continue
		}
		if c := p.usableBackend(e.Name); c != nil && (best == nil || p.less(c, best)) {
			best = c
		}
	}
	return best
}

// Upstream returns the least loaded usable upstream of a plain service, or
// nil if there is none.
func (p *Picker) Upstream(svc citronfleet.Service) *Backend {
	var best *Backend
	for _, u := range svc.Upstreams {
		if b := p.usableBackend(u.Name); b != nil && (best == nil || p.less(b, best)) {
			best = b
		}
	}
	return best
}

// less orders back ends by the number of requests whose chain contains them,
// then by calls in flight, then by zone (the picker's zone first), then by rank.
func (p *Picker) less(a, b *Backend) bool {
	if x, y := a.bound.Load(), b.bound.Load(); x != y {
		return x < y
	}
	if x, y := a.Inflight(), b.Inflight(); x != y {
		return x < y
	}
	if x, y := a.Spec.Zone == p.Zone, b.Spec.Zone == p.Zone; x != y {
		return x
	}
	return a.rank < b.rank
}
