package citronentry

import (
	"expvar"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronroute"
)

// metrics holds the entry's expvar counters and gauges.
type metrics struct {
	// all exports the variables under their public names.
	all                                    *expvar.Map
	revision, kvUp, draining               *expvar.Int
	served, replayed, notRun, unknown      *expvar.Int
	rejected, overloaded, tokens           *expvar.Int
	stageFailed, stageReplaced, stageMoved *expvar.Int
	frozen                                 *expvar.Int
	ledgerWrites, ledgerReadBack           *expvar.Int
	probes, instancePolls                  *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init()}
	for name, p := range map[string]**expvar.Int{
		"config_revision": &m.revision, "kv_up": &m.kvUp, "draining": &m.draining,
		"served": &m.served, "replayed": &m.replayed, "not_run": &m.notRun, "outcome_unknown": &m.unknown,
		"rejected": &m.rejected, "overloaded": &m.overloaded, "tokens": &m.tokens,
		"stage_failed": &m.stageFailed, "stage_replaced": &m.stageReplaced, "stage_moved": &m.stageMoved,
		"backend_frozen": &m.frozen,
		"ledger_writes":  &m.ledgerWrites, "ledger_read_back": &m.ledgerReadBack,
		"backend_probes": &m.probes, "instance_polls": &m.instancePolls,
	} {
		*p = new(expvar.Int)
		m.all.Set(name, *p)
	}
	return m
}

// publishState adds the variables that are computed from e's state on each
// read.
func (m *metrics) publishState(e *Entry) {
	m.all.Set("inflight", expvar.Func(func() any { return e.inflight.count() }))
	m.all.Set("avoided", expvar.Func(func() any {
		out := map[string]citronroute.Reason{}
		for name, why := range e.snap.Load().Avoid {
			out[name] = why
		}
		return out
	}))
	m.all.Set("queues", expvar.Func(func() any {
		out := map[string]map[string]int{}
		e.gates.Range(func(k, v any) bool {
			inflight, waiting := v.(*citronadmit.Gate).Depth()
			out[k.(string)] = map[string]int{"sent_on": inflight, "waiting": waiting}
			return true
		})
		return out
	}))
}
