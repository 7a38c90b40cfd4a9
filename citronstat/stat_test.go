package citronstat_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronnode"
	"citrondeck.dev/citrondeck/citronstat"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestStoreCallsAreCounted checks that calls to the store are counted by kind and
// result. When requests are late, an operator first checks whether the store answered.
func TestStoreCallsAreCounted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	r := prometheus.NewRegistry()
	s := citronstat.CountStore(kv, r)
	_, err := s.Get(ctx, "k")
	is.True(err != nil)
	_, err = s.Put(ctx, "k", []byte("v"), citronkv.Absent, 0)
	is.NoErr(err)
	_, err = s.Put(ctx, "k", []byte("v"), citronkv.Absent, 0)
	is.True(err != nil)
	is.True(s.KeepAlive(ctx, 99) != nil)
	kv.SetFaults(citronkv.Faults{Down: true})
	_, _, err = s.Range(ctx, "k")
	is.True(err != nil)
	is.NoErr(testutil.GatherAndCompare(r, strings.NewReader(`
# HELP citrondeck_store_calls_total Calls to the store by kind and result.
# TYPE citrondeck_store_calls_total counter
citrondeck_store_calls_total{call="get",result="notFound"} 1
citrondeck_store_calls_total{call="keepAlive",result="leaseExpired"} 1
citrondeck_store_calls_total{call="put",result="conflict"} 1
citrondeck_store_calls_total{call="put",result="ok"} 1
citrondeck_store_calls_total{call="range",result="unavailable"} 1
`)))
}

// TestNodeGauges checks three of the gauges that show the state of a node: the age of its
// configuration, the engines that take new work, and whether it watches the store.
func TestNodeGauges(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	citronstat.RegisterNode(func() citronnode.Status {
		return citronnode.Status{ConfigVersion: 7, ConfigAge: 1500 * time.Millisecond, Ready: 40, Leaving: 1, Nodes: 8, Watching: true}
	}, r)
	is.NoErr(testutil.GatherAndCompare(r, strings.NewReader(`
# HELP citrondeck_config_age_seconds Time since it was put in force.
# TYPE citrondeck_config_age_seconds gauge
citrondeck_config_age_seconds 1.5
# HELP citrondeck_engines_ready Engines that take new work.
# TYPE citrondeck_engines_ready gauge
citrondeck_engines_ready 40
# HELP citrondeck_watching 1 while the node watches the store and the store answers.
# TYPE citrondeck_watching gauge
citrondeck_watching 1
`), "citrondeck_config_age_seconds", "citrondeck_engines_ready", "citrondeck_watching"))
}
