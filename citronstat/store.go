// Package citronstat turns what a node does and believes into metrics: its
// calls to the store, and what it knows and how old that is.
package citronstat

import (
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// CountStore returns a store that counts its calls in r by kind and result.
func CountStore(s citronkv.Store, r prometheus.Registerer) citronkv.Store {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_store_calls_total", Help: "Calls to the store by kind and result."}, []string{"call", "result"})
	r.MustRegister(calls)
	return citronhealth.Observe(s, citronclock.Real{}, func(c citronhealth.Call) {
		calls.WithLabelValues(c.Name, result(c.Err)).Inc()
	})
}

// results are the errors that are told apart, in the order of their checks.
var results = []struct {
	err  error
	name string
}{
	{citronkv.ErrLeaseExpired, "leaseExpired"}, // also marked as not found
	{citronkv.ErrNotFound, "notFound"},
	{citronkv.ErrConflict, "conflict"},
	{citronkv.ErrCompacted, "compacted"},
}

// result is the name of what a call came to.
func result(err error) string {
	if err == nil {
		return "ok"
	}
	for _, r := range results {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "unavailable"
}
