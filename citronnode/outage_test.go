package citronnode

import (
	"context"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/matryer/is"
)

// Guards against an outage of the store that goes unnoticed because of an outdated report.
// This node's calls to the store fail while another node reports that it is served, so
// the store is healthy. Once the other node has not been heard of for two seconds, its
// report must no longer count, and the store must count as unavailable.
func TestLostNodeDoesNotHideStoreOutage(t *testing.T) {
	is := is.New(t)
	r := newLoopHarness(t)
	now := time.Now()
	r.n.health.RecordCall(citronhealth.Call{Begun: now, Ended: now, Err: citronkv.ErrUnavailable})
	r.handleMessage(context.Background(), memberUpdate{diff: citronpeer.Diff{Members: []citronpeer.Member{{Name: "n2", Store: citronhealth.Status{Answered: true, Served: true}}}}})
	r.tick(context.Background())
	is.True(r.self.Store.Outage)
	is.True(!r.storeUnavailable)
	for age := time.Duration(0); age <= 2*time.Second+tickInterval; age += tickInterval {
		r.members.Age(now.Add(age))
	}
	r.tick(context.Background())
	is.True(r.storeUnavailable)
}
