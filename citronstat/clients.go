package citronstat

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronmemory"
	"citrondeck.dev/citrondeck/citronserve"
	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMemory registers the state of the memory that is held for clients with r.
func RegisterMemory(a *citronmemory.Account, r prometheus.Registerer) {
	register := func(name, help string, value func(citronmemory.Status) int64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "citrondeck_client_" + name, Help: help}, func() float64 { return float64(value(a.Status())) }))
	}
	register("memory_bytes", "Memory that is held for clients: connections, heads and bodies.", func(s citronmemory.Status) int64 { return s.Used })
	register("memory_limit_bytes", "Memory that may be held for clients.", func(s citronmemory.Status) int64 { return s.Limit })
	register("memory_refused", "Requests and connections for which there was no memory.", func(s citronmemory.Status) int64 { return s.Refused })
	register("memory_interrupted", "Requests that took long to arrive and gave way to others while memory was short.", func(s citronmemory.Status) int64 { return s.Interrupted })
}

// closedLogInterval is the minimum time between two log lines about closed connections of one
// listener.
const closedLogInterval = time.Second

// ClosedConns returns a function that counts the connections that are closed because of a limit,
// and logs them, at most one line each closedLogInterval for each listener.
func ClosedConns(clock citronclock.Clock, log *slog.Logger, r prometheus.Registerer) func(listener string, reason citronserve.Reason) {
	closed := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_client_conns_closed_total", Help: "Connections of clients that were closed because of a limit, by listener and reason."}, []string{"listener", "reason"})
	r.MustRegister(closed)
	var mu sync.Mutex
	lines := map[string]*closedLine{}
	return func(listener string, reason citronserve.Reason) {
		closed.WithLabelValues(listener, string(reason)).Inc()
		mu.Lock()
		defer mu.Unlock()
		if lines[listener] == nil {
			lines[listener] = &closedLine{}
		}
		if count, due := lines[listener].add(clock.Now()); due {
			citronevent.Log(context.Background(), log, citronevent.ConnsClosed, "listener", listener, "reason", string(reason), "count", count)
		}
	}
}

// closedLine counts the connections of one listener that were closed since the last log line.
type closedLine struct {
	count  int
	logged time.Time
}

// add counts a connection. If a line is due, it returns the count for it and begins anew.
func (l *closedLine) add(now time.Time) (count int, due bool) {
	l.count++
	if now.Sub(l.logged) < closedLogInterval {
		return 0, false
	}
	count, l.count, l.logged = l.count, 0, now
	return count, true
}
