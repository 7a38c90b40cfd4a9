package citronentry

// Snapshots. The control goroutine owns the fleet text in force, the
// instance list and what traffic has reported about back ends; it builds
// an immutable snapshot from them and publishes it through an atomic
// pointer. Traffic goroutines only read snapshots, so a request is routed
// under one revision from start to end.

import (
	"net/http"
	"sort"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronplain"
)

// backend is one engine or upstream as traffic sees it. Its clients and
// load counter live across snapshots; only the control goroutine creates
// them.
type backend struct {
	spec     citronfleet.Backend
	engine   *citronengine.Client
	plain    *citronplain.Client
	inflight *atomic.Int64
}

// snapshot is the immutable routing state under one fleet revision.
type snapshot struct {
	fleet    citronfleet.Fleet
	revision int64
	// backends by name; leaving and suspect ones are kept but skipped.
	backends map[string]*backend
	leaving  map[string]bool
	suspect  map[string]time.Time
	entries  []entryAddr
	kvUp     bool
}

type entryAddr struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

// usable reports whether traffic may send new work to b now.
func (s *snapshot) usable(name string, now time.Time) bool {
	if s.leaving[name] {
		return false
	}
	until, ok := s.suspect[name]
	return !ok || now.After(until)
}

// chain picks engines whose ranges cover [from, layers) exactly once and
// in order, least loaded first, skipping excluded and unusable engines.
// It returns nil when no such chain exists.
func (s *snapshot) chain(svc citronfleet.Service, from int, exclude map[string]bool, zone string, now time.Time) []*backend {
	if from == svc.Layers {
		return []*backend{}
	}
	var cands []*backend
	for _, e := range svc.Engines {
		if e.Range[0] != from || exclude[e.Name] || !s.usable(e.Name, now) {
			continue
		}
		if b := s.backends[e.Name]; b != nil {
			cands = append(cands, b)
		}
	}
	sort.SliceStable(cands, func(i, j int) bool { return better(cands[i], cands[j], zone) })
	for _, c := range cands {
		if rest := s.chain(svc, c.spec.Range[1], exclude, zone, now); rest != nil {
			return append([]*backend{c}, rest...)
		}
	}
	return nil
}

// better orders back ends by load, then by zone (same zone first).
func better(a, b *backend, zone string) bool {
	la, lb := a.inflight.Load(), b.inflight.Load()
	if la != lb {
		return la < lb
	}
	return a.spec.Zone == zone && b.spec.Zone != zone
}

// upstream picks the least loaded usable upstream of a plain service.
func (s *snapshot) upstream(svc citronfleet.Service, exclude map[string]bool, zone string, now time.Time) *backend {
	var best *backend
	for _, u := range svc.Upstreams {
		b := s.backends[u.Name]
		if b == nil || exclude[u.Name] || !s.usable(u.Name, now) {
			continue
		}
		if best == nil || better(b, best, zone) {
			best = b
		}
	}
	return best
}

// pool keeps one backend value per name across snapshots, so clients and
// load counters survive a configuration change.
type pool struct {
	hc    *http.Client
	byKey map[string]*backend
}

func (p *pool) get(spec citronfleet.Backend, kind citronfleet.Kind) *backend {
	key := string(kind) + "|" + spec.Name + "|" + spec.Addr
	if b, ok := p.byKey[key]; ok {
		nb := *b
		nb.spec = spec
		return &nb
	}
	b := &backend{spec: spec, inflight: new(atomic.Int64)}
	base := "http://" + spec.Addr
	if kind == citronfleet.Model {
		b.engine = citronengine.NewClient(p.hc, base)
	} else {
		b.plain = citronplain.NewClient(p.hc, base)
	}
	p.byKey[key] = b
	return b
}

// build makes a snapshot from the control state.
func (p *pool) build(f citronfleet.Fleet, leaving map[string]bool, suspect map[string]time.Time, entries []entryAddr, kvUp bool) *snapshot {
	s := &snapshot{fleet: f, revision: f.Revision, backends: map[string]*backend{}, leaving: leaving, suspect: suspect, entries: entries, kvUp: kvUp}
	for _, svc := range f.Services {
		for _, b := range svc.Backends() {
			s.backends[b.Name] = p.get(b, svc.Kind)
		}
	}
	return s
}

func leavingSet(list []citronkv.Instance) map[string]bool {
	out := map[string]bool{}
	for _, in := range list {
		if in.State == citronkv.Leaving {
			out[in.Name] = true
		}
	}
	return out
}
