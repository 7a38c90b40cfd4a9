// Package citronstat registers a node's Prometheus metrics: its calls to the
// store, and its state and the age of that state.
package citronstat

import (
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// CountStore returns a store that passes all calls on to s and counts them by
// kind and result in a metric that it registers with r.
func CountStore(s citronkv.Store, r prometheus.Registerer) citronkv.Store {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_store_calls_total", Help: "Calls to the store by kind and result."}, []string{"call", "result"})
	r.MustRegister(calls)
	return citronhealth.Observe(s, citronclock.Real{}, func(c citronhealth.Call) {
		calls.WithLabelValues(c.Name, result(c.Err)).Inc()
	})
}

// results are the errors that have their own value of the result label, in the
// order in which they are checked. Any other error counts as unavailable.
var results = []struct {
	err  error
	name string
}{
	{citronkv.ErrLeaseExpired, "leaseExpired"}, // checked first: the platform's store returns it marked as ErrNotFound too
	{citronkv.ErrNotFound, "notFound"},
	{citronkv.ErrConflict, "conflict"},
	{citronkv.ErrCompacted, "compacted"},
}

// result returns the value of the metric's result label for a call that returned
// err.
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
