package citronhealth

import (
	"context"
	"slices"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// start is the time at which the tests' clocks start.
var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// answeredCalls returns calls that are answered at once, one every 0.6 s from 0 to
// until.
func answeredCalls(until float64) []Call {
	var calls []Call
	for s := 0.0; s <= until; s += 0.6 {
		calls = append(calls, Call{Begun: at(s), Ended: at(s)})
	}
	return calls
}

// Guards against taking any failed call for an outage of the store, which would keep
// engines in use that have left. An outage counts only once the store has not answered
// for so long that entries expire (2.4 s), only for 3 s after the last failed call, and
// for 2.5 s after the store answers again: entries that are still missing by then belong
// to engines that have left. outage in an observation stands for Outage or Recovered.
func TestStatusFromCalls(t *testing.T) {
	call := func(begun, ended float64, err error) Call {
		return Call{Begun: at(begun), Ended: at(ended), Err: err}
	}
	answeredUntil6 := slices.Clip(answeredCalls(6)) // the last answer is at 6.0
	type observation struct {
		at             float64
		outage, served bool
	}
	cases := []struct {
		name  string
		calls []Call
		want  []observation
	}{
		{"no calls yet", nil, []observation{{1, false, false}}},
		{"answered since the start", answeredCalls(2.4), []observation{{2.4, false, false}, {2.6, false, true}}},
		{"the node was paused and its lease has expired", append(answeredUntil6, call(6.6, 12.1, citronkv.ErrLeaseExpired)), []observation{{12.2, false, true}}},
		{"a call is rejected", append(answeredUntil6, call(6.6, 6.6, citronkv.ErrUnavailable)), []observation{{6.7, false, true}, {8.3, false, true}, {8.5, true, false}}},
		{"two calls are rejected, then no more calls", append(answeredUntil6, call(6.6, 6.6, citronkv.ErrUnavailable), call(8.6, 8.6, citronkv.ErrUnavailable)), []observation{{8.7, true, false}, {11.5, true, false}, {11.7, false, false}}},
		{"connection cut, and answered again at once", append(answeredUntil6, call(6.6, 8.1, citronkv.ErrUnavailable), call(8.2, 8.2, nil)), []observation{{8.1, false, true}, {8.3, false, true}}},
		{"unanswered for long", append(answeredUntil6, call(6.6, 8.1, citronkv.ErrUnavailable), call(8.2, 9.7, citronkv.ErrUnavailable), call(10, 10, nil), call(11, 11, nil), call(12, 12, nil)), []observation{{8.3, false, true}, {8.5, true, false}, {10.1, true, false}, {12.4, true, false}, {12.6, false, true}}},
		{"hung while others are answered", append(answeredUntil6, call(4, 9, citronkv.ErrUnavailable)), []observation{{9, false, false}}},
		{"no calls for long", append(answeredUntil6, call(20, 20, nil), call(22, 22, nil)), []observation{{20.1, false, false}, {22.4, false, false}, {22.6, false, true}}},
		{"canceled by the node", append(answeredUntil6, call(6.6, 9, errors.Wrap(context.Canceled, "stop"))), []observation{{9, false, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, w := range c.want {
				h := NewStoreMonitor(1200 * time.Millisecond)
				for _, k := range c.calls {
					if !k.Ended.After(at(w.at)) {
						h.RecordCall(k)
					}
				}
				got := h.Status(at(w.at))
				if (got.Outage || got.Recovered) != w.outage || got.Served != w.served {
					t.Errorf("at %v s: got %+v, want outage %t, served %t", w.at, got, w.outage, w.served)
				}
			}
		})
	}
}

// Guards against assuming an outage although the store rejects only some nodes: engines
// whose entries disappear meanwhile have left. One node that the store has served all
// along disproves an outage. So does a node that was merely answered (it has just
// started), unless some node reports that the store has just come back for it. A node
// without calls makes no difference.
func TestOutageNeedsAgreementOfAllNodes(t *testing.T) {
	outage, recovered := Status{Outage: true}, Status{Recovered: true, Answered: true}
	served, restarted, idle := Status{Answered: true, Served: true}, Status{Answered: true}, Status{}
	cases := []struct {
		name  string
		nodes []Status
		want  bool
	}{
		{"one healthy node", []Status{served}, false},
		{"one node without an answer", []Status{outage}, true},
		{"one node rejected", []Status{outage, served, idle}, false},
		{"another node rejected", []Status{served, outage, idle}, false},
		{"one node rejected, the others have just started", []Status{outage, restarted, idle}, false},
		{"all nodes rejected", []Status{outage, outage, outage}, true},
		{"the others make no calls", []Status{outage, idle, idle}, true},
		{"this node makes no calls and hears only of an outage", []Status{idle, outage, idle}, true},
		{"this node makes no calls and hears of an outage and of a served node", []Status{idle, outage, served}, false},
		{"the store answers one node again", []Status{outage, recovered, outage}, true},
		{"the store answers one node again, and another has just started", []Status{recovered, restarted}, true},
		{"one node rejected and answered again, another served throughout", []Status{recovered, served}, false},
		{"all nodes have just started", []Status{idle, idle}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(ConfirmedOutage(c.nodes...), c.want) })
	}
}
