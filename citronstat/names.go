package citronstat

import (
	"context"
	"log/slog"
	"sync"

	"citrondeck.dev/citrondeck/citronevent"
	"github.com/prometheus/client_golang/prometheus"
)

// maxNames is the maximum number of names that a nameSet holds.
const maxNames = 64

// nameSet collects names that come from outside, up to maxNames. Its zero value is empty.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add adds a name, and reports whether it is new and the set was not full.
func (s *nameSet) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] || len(s.names) >= maxNames {
		return false
	}
	if s.names == nil {
		s.names = map[string]bool{}
	}
	s.names[name] = true
	return true
}

// UnknownHeaders returns a function that logs and counts the names of headers in engines'
// responses that this version does not know, each name once and a limited number of them.
func UnknownHeaders(ctx context.Context, log *slog.Logger, r prometheus.Registerer) func(name string) {
	names := prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_unknown_headers_total", Help: "Names of headers in engines' answers that the node does not know."})
	r.MustRegister(names)
	var known nameSet
	return func(name string) {
		if known.add(name) {
			names.Inc()
			citronevent.Log(ctx, log, citronevent.HeaderUnknown, "name", name)
		}
	}
}

// InvalidHeads returns a function that counts responses of engines whose heads are not valid, and
// logs the first one of each engine, for a limited number of engines.
func InvalidHeads(ctx context.Context, log *slog.Logger, r prometheus.Registerer) func(addr string, err error) {
	responses := prometheus.NewCounter(prometheus.CounterOpts{Name: "citrondeck_invalid_heads_total", Help: "Responses of engines whose heads were not valid."})
	r.MustRegister(responses)
	var known nameSet
	return func(addr string, err error) {
		responses.Inc()
		if known.add(addr) {
			citronevent.Log(ctx, log, citronevent.HeadInvalid, "peer", addr, "err", err)
		}
	}
}
