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

// start is when the tests' clocks start.
var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// answeredCalls are calls answered at once, one each 0.6 s, up to a moment.
func answeredCalls(until float64) []Call {
	var calls []Call
	for s := 0.0; s <= until; s += 0.6 {
		calls = append(calls, Call{Begun: at(s), Ended: at(s)})
	}
	return calls
}

// What calls prove of the store. An outage counts only if it was long enough for
// entries to lapse, 2.4 s, and it counts for 2.5 s after its end: entries that
// are missing then have gone for good.
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
		{"nothing asked yet", nil, []observation{{1, false, false}}},
		{"answered since the start", answeredCalls(2.4), []observation{{2.4, false, false}, {2.6, false, true}}},
		{"the node stood still and its lease has run out", append(answeredUntil6, call(6.6, 12.1, citronkv.ErrLeaseExpired)), []observation{{12.2, false, true}}},
		{"a call is turned away", append(answeredUntil6, call(6.6, 6.6, citronkv.ErrUnavailable)), []observation{{6.7, false, true}, {8.3, false, true}, {8.5, true, false}}},
		{"turned away, and not asked again", append(answeredUntil6, call(6.6, 6.6, citronkv.ErrUnavailable), call(8.6, 8.6, citronkv.ErrUnavailable)), []observation{{8.7, true, false}, {11.5, true, false}, {11.7, false, false}}},
		{"cut, and answered again at once", append(answeredUntil6, call(6.6, 8.1, citronkv.ErrUnavailable), call(8.2, 8.2, nil)), []observation{{8.1, false, true}, {8.3, false, true}}},
		{"long silence", append(answeredUntil6, call(6.6, 8.1, citronkv.ErrUnavailable), call(8.2, 9.7, citronkv.ErrUnavailable), call(10, 10, nil), call(11, 11, nil), call(12, 12, nil)), []observation{{8.3, false, true}, {8.5, true, false}, {10.1, true, false}, {12.4, true, false}, {12.6, false, true}}},
		{"hung while others are answered", append(answeredUntil6, call(4, 9, citronkv.ErrUnavailable)), []observation{{9, false, false}}},
		{"not asked for long", append(answeredUntil6, call(20, 20, nil), call(22, 22, nil)), []observation{{20.1, false, false}, {22.4, false, false}, {22.6, false, true}}},
		{"given up by the node", append(answeredUntil6, call(6.6, 9, errors.Wrap(context.Canceled, "stop"))), []observation{{9, false, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, w := range c.want {
				h := NewRecord(1200 * time.Millisecond)
				for _, k := range c.calls {
					if !k.Ended.After(at(w.at)) {
						h.Note(k)
					}
				}
				got := h.Status(at(w.at))
				if (got.Away || got.Back) != w.outage || got.Served != w.served {
					t.Errorf("at %v s: %+v", w.at, got)
				}
			}
		})
	}
}

// One node that was served is enough against an outage, and one that is answered
// is enough while the others are not; nodes that do not ask say nothing.
func TestOutageNeedsAgreementOfAllNodes(t *testing.T) {
	away, back := Status{Away: true}, Status{Back: true, Answered: true}
	served, restarted, idle := Status{Answered: true, Served: true}, Status{Answered: true}, Status{}
	cases := []struct {
		name  string
		nodes []Status
		want  bool
	}{
		{"alone and well", []Status{served}, false},
		{"alone, and the store does not answer", []Status{away}, true},
		{"one node turned away", []Status{away, served, idle}, false},
		{"another node turned away", []Status{served, away, idle}, false},
		{"one node turned away, the others have just started", []Status{away, restarted, idle}, false},
		{"all turned away", []Status{away, away, away}, true},
		{"the others do not ask", []Status{away, idle, idle}, true},
		{"does not ask, hears of an outage only", []Status{idle, away, idle}, true},
		{"does not ask, hears of both", []Status{idle, away, served}, false},
		{"the store is back for one", []Status{away, back, away}, true},
		{"the store is back for one, and another has just started", []Status{back, restarted}, true},
		{"back for one that was turned away alone", []Status{back, served}, false},
		{"just started, nobody knows", []Status{idle, idle}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Away(c.nodes...), c.want) })
	}
}
