package citronroute

import (
	"slices"
	"sort"
	"time"

	"citrondeck.dev/citrondeck/citronfleet"
)

// EntryAddr is one entry instance as discovery lists it.
type EntryAddr struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// Incarnation tells this process from earlier ones of the same name.
	Incarnation string `json:"incarnation"`
}

// Snapshot is the immutable routing state under one fleet revision. A
// request is routed under one snapshot from start to end.
type Snapshot struct {
	Fleet    citronfleet.Fleet
	Backends map[string]*Backend
	// Avoid names the back ends that get no new work, and why.
	Avoid   map[string]Reason
	Entries []EntryAddr
	KVUp    bool

	// list holds the back ends again, for passes over all of them.
	list      []*Backend
	services  map[string]citronfleet.Service
	customers map[string]citronfleet.Customer
}

// Reason says why a back end gets no new work.
type Reason string

// Reasons.
const (
	Leaving     Reason = "leaving"      // by the instance list or its own word
	Failing     Reason = "failing"      // refused, reset or garbled a call
	Frozen      Reason = "frozen"       // stopped answering
	WrongLayers Reason = "wrong_layers" // holds other layers than the fleet text says
)

// Service returns the named service.
func (s *Snapshot) Service(name string) (citronfleet.Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Customer returns the named customer.
func (s *Snapshot) Customer(name string) (citronfleet.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Lives reports whether the process of that name and incarnation is among
// the entries known.
func (s *Snapshot) Lives(name, incarnation string) bool {
	return slices.ContainsFunc(s.Entries, func(e EntryAddr) bool { return e.Name == name && e.Incarnation == incarnation })
}

// Window is how many requests of svc one entry sends on at once, by
// Little's law: the engines' token rate times the time between tokens is
// the number of requests that keep them busy without making the tokens
// later than that; the entries share it evenly. It is fallback where no
// capacity is declared.
func (s *Snapshot) Window(svc citronfleet.Service, tokenGap time.Duration, fallback int) int {
	bound := svc.Bound()
	if bound <= 0 {
		return fallback
	}
	return max(1, int(bound*tokenGap.Seconds())/max(1, len(s.Entries)))
}

// Build makes a snapshot; the pool keeps clients and activity across
// builds.
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
		s.list = append(s.list, b)
	}
	p.keep(s.Backends)
	return s
}

// Picker chooses back ends for one request: it prefers its zone and skips
// those the request has already failed on.
type Picker struct {
	Snapshot *Snapshot
	Zone     string
	// Now is when the choice is made.
	Now      time.Time
	excluded map[string]bool
}

// Exclude keeps b out of this request's further choices.
func (p *Picker) Exclude(b *Backend) {
	if p.excluded == nil {
		p.excluded = map[string]bool{}
	}
	p.excluded[b.Spec.Name] = true
}

func (p *Picker) usable(name string) *Backend {
	if p.excluded[name] || p.Snapshot.Avoid[name] != "" {
		return nil
	}
	if b := p.Snapshot.Backends[name]; b != nil && !b.isLeaving(p.Now) {
		return b
	}
	return nil
}

// Chain picks engines whose ranges cover [from, layers) exactly once and
// in order, least loaded first. It returns nil when no such chain exists.
//
// The search walks layer boundaries and remembers those from which no
// chain exists, so it visits each engine at most once however the ranges
// are cut.
func (p *Picker) Chain(svc citronfleet.Service, from int) []*Backend {
	byStart := map[int][]*Backend{}
	for _, e := range svc.Engines {
		if b := p.usable(e.Name); b != nil {
			byStart[e.Range[0]] = append(byStart[e.Range[0]], b)
		}
	}
	dead := map[int]bool{}
	return p.chain(byStart, dead, from, svc.Layers)
}

func (p *Picker) chain(byStart map[int][]*Backend, dead map[int]bool, from, layers int) []*Backend {
	if from == layers {
		return []*Backend{}
	}
	if dead[from] {
		return nil
	}
	cands := byStart[from]
	sort.SliceStable(cands, func(i, j int) bool { return p.better(cands[i], cands[j]) })
	for _, c := range cands {
		if rest := p.chain(byStart, dead, c.Spec.Range[1], layers); rest != nil {
			return append([]*Backend{c}, rest...)
		}
	}
	dead[from] = true
	return nil
}

// Twin picks the least loaded usable engine, other than b, that holds
// exactly b's layers, or nil.
func (p *Picker) Twin(svc citronfleet.Service, b *Backend) *Backend {
	var best *Backend
	for _, e := range svc.Engines {
		if e.Name == b.Spec.Name || e.Range != b.Spec.Range {
			continue
		}
		if c := p.usable(e.Name); c != nil && (best == nil || p.better(c, best)) {
			best = c
		}
	}
	return best
}

// Upstream picks the least loaded usable upstream of a plain service, or
// nil.
func (p *Picker) Upstream(svc citronfleet.Service) *Backend {
	var best *Backend
	for _, u := range svc.Upstreams {
		if b := p.usable(u.Name); b != nil && (best == nil || p.better(b, best)) {
			best = b
		}
	}
	return best
}

// better orders back ends by the requests bound to them, then the calls in
// flight, then zone (same zone first), then rank.
func (p *Picker) better(a, b *Backend) bool {
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
