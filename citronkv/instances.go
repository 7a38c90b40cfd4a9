package citronkv

// This file holds a fake of the platform's list of live and leaving instances.
// An update becomes visible only after a lag, because the real list also trails
// the actual state.

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronwire"
)

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// Instance states. A leaving instance is about to shut down.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is a row of the instance list.
type Instance struct {
	Name  string        `json:"name"`
	Addr  string        `json:"addr"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
	// VisibleAt is the time from which the list shows the row.
	VisibleAt time.Time `json:"-"`
}

// instanceList keeps the rows of each instance in the order in which they were set.
type instanceList struct {
	clock citronclock.Clock
	mu    sync.Mutex
	lag   time.Duration
	rows  map[string][]Instance
}

func newInstanceList(clock citronclock.Clock, lag time.Duration) *instanceList {
	return &instanceList{clock: clock, lag: lag, rows: map[string][]Instance{}}
}

func (l *instanceList) set(in Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in.VisibleAt = l.clock.Now().Add(l.lag)
	l.rows[in.Name] = append(l.rows[in.Name], in)
}

// list returns the newest visible row of each instance, sorted by name, and drops the
// older rows.
func (l *instanceList) list() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []Instance
	for name, rows := range l.rows {
		i := len(rows) - 1
		for i >= 0 && rows[i].VisibleAt.After(now) {
			i--
		}
		if i < 0 {
			continue
		}
		l.rows[name] = rows[i:]
		out = append(out, rows[i])
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

func (l *instanceList) mount(mux *http.ServeMux) {
	citronwire.Handle(mux, procInstSet, func(_ context.Context, r *Instance) (*Instance, error) {
		l.set(*r)
		return r, nil
	})
	citronwire.Handle(mux, procInstList, func(context.Context, *keyRequest) (*instancesResponse, error) {
		return &instancesResponse{Instances: l.list()}, nil
	})
	citronwire.Handle(mux, procInstLag, func(_ context.Context, r *lagRequest) (*lagRequest, error) {
		l.mu.Lock()
		l.lag = r.Lag
		l.mu.Unlock()
		return r, nil
	})
}
