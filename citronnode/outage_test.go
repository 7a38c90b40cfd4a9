package citronnode

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// start is when the tests' clocks start.
var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// answeredCalls are calls answered at once, one each 0.6 s, up to a moment.
func answeredCalls(until float64) []citronkv.Call {
	var calls []citronkv.Call
	for s := 0.0; s <= until; s += 0.6 {
		calls = append(calls, citronkv.Call{Begun: at(s), Ended: at(s)})
	}
	return calls
}

// What calls prove of the store. An outage counts only if it was long enough for
// entries to lapse, 2.4 s, and it counts for 2.5 s after its end: entries that
// are missing then have gone for good.
func TestWhatCallsProveOfTheStore(t *testing.T) {
	call := func(begun, ended float64, err error) citronkv.Call {
		return citronkv.Call{Begun: at(begun), Ended: at(ended), Err: err}
	}
	well := slices.Clip(answeredCalls(6)) // the last answer is at 6.0
	type seen struct {
		at              float64
		trouble, served bool
	}
	cases := []struct {
		name  string
		calls []citronkv.Call
		want  []seen
	}{
		{"nothing asked yet", nil, []seen{{1, false, false}}},
		{"answered since the start", answeredCalls(2.4), []seen{{2.4, false, false}, {2.6, false, true}}},
		{"the node stood still and its lease has run out", append(well, call(6.6, 12.1, citronkv.ErrLeaseExpired)), []seen{{12.2, false, true}}},
		{"a call is turned away", append(well, call(6.6, 6.6, citronkv.ErrUnavailable)), []seen{{6.7, false, true}, {8.3, false, true}, {8.5, true, false}}},
		{"turned away, and not asked again", append(well, call(6.6, 6.6, citronkv.ErrUnavailable), call(8.6, 8.6, citronkv.ErrUnavailable)), []seen{{8.7, true, false}, {11.5, true, false}, {11.7, false, false}}},
		{"cut, and answered again at once", append(well, call(6.6, 8.1, citronkv.ErrUnavailable), call(8.2, 8.2, nil)), []seen{{8.1, false, true}, {8.3, false, true}}},
		{"long silence", append(well, call(6.6, 8.1, citronkv.ErrUnavailable), call(8.2, 9.7, citronkv.ErrUnavailable), call(10, 10, nil), call(11, 11, nil), call(12, 12, nil)), []seen{{8.3, false, true}, {8.5, true, false}, {10.1, true, false}, {12.4, true, false}, {12.6, false, true}}},
		{"hung while others are answered", append(well, call(4, 9, citronkv.ErrUnavailable)), []seen{{9, false, false}}},
		{"not asked for long", append(well, call(20, 20, nil), call(22, 22, nil)), []seen{{20.1, false, false}, {22.4, false, false}, {22.6, false, true}}},
		{"given up by the node", append(well, call(6.6, 9, errors.Wrap(context.Canceled, "stop"))), []seen{{9, false, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, w := range c.want {
				h := newStoreHealth(1200 * time.Millisecond)
				for _, k := range c.calls {
					if !k.Ended.After(at(w.at)) {
						h.note(k)
					}
				}
				got := h.state(at(w.at))
				if got.trouble != w.trouble || got.served != w.served {
					t.Errorf("at %v s: trouble %v, served %v", w.at, got.trouble, got.served)
				}
			}
		})
	}
}

// One node that was served is enough against an outage; nodes that do not ask
// the store, or were not heard lately, say nothing either way.
func TestOutageNeedsAllNodes(t *testing.T) {
	trouble := known{Member: citronpeer.Member{Trouble: true}, alive: true}
	served := known{Member: citronpeer.Member{Served: true}, alive: true}
	quiet := known{alive: true}
	lost := known{Member: citronpeer.Member{Served: true}}
	cases := []struct {
		name    string
		self    citronpeer.Member
		members []known
		want    bool
	}{
		{"alone and well", served.Member, nil, false},
		{"alone in trouble", trouble.Member, nil, true},
		{"one node turned away", trouble.Member, []known{served, quiet}, false},
		{"another node turned away", served.Member, []known{trouble, quiet}, false},
		{"all in trouble", trouble.Member, []known{trouble, trouble}, true},
		{"the others do not ask", trouble.Member, []known{quiet, quiet}, true},
		{"does not ask, hears of trouble only", quiet.Member, []known{trouble, quiet}, true},
		{"does not ask, hears of both", quiet.Member, []known{trouble, served}, false},
		{"heard of service long ago", trouble.Member, []known{lost}, true},
		{"just started, nobody knows", quiet.Member, []known{quiet}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newLoop(t)
			r.self.Trouble, r.self.Served = c.self.Trouble, c.self.Served
			for i, m := range c.members {
				r.members[fmt.Sprint(i)] = m
			}
			is.New(t).Equal(r.storeAway(), c.want)
		})
	}
}

// Engines whose entries go stay in use only as long as that is right: not at all
// if one goes alone, three fifths of the promised time if many go without a
// proof of an outage, and up to 2.5 s after an outage.
func TestHowLongMissingEnginesStayInUse(t *testing.T) {
	cases := []struct {
		name   string
		drain  time.Duration
		outage bool
		gone   int
		// until is how long they stay in use.
		until time.Duration
	}{
		{"one goes", 0, false, 1, 0},
		{"many go", 0, false, 6, 1200 * time.Millisecond},
		{"many go where engines that leave serve on for longer", 3 * time.Second, false, 6, 1800 * time.Millisecond},
		{"one goes in an outage", 0, true, 1, lapseGrace},
		{"all go in an outage", 0, true, 12, lapseGrace},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := citronclock.NewManual(start)
			r := newLoopAt(clock, Settings{Name: "n1", Zone: "z", DrainWithin: c.drain})
			r.n.health.note(citronkv.Call{Begun: start, Ended: start})
			entries := map[string][]byte{}
			for i := range 12 {
				name := fmt.Sprintf("i-%d", i)
				entries[name] = listEntry(modelEngine(name, fmt.Sprintf("a%d:1", i), 0, 8))
			}
			r.bring(entries)
			clock.Advance(3 * time.Second)
			if c.outage {
				r.n.health.note(citronkv.Call{Begun: start, Ended: clock.Now(), Err: citronkv.ErrUnavailable})
			}
			r.n.health.note(citronkv.Call{Begun: clock.Now(), Ended: clock.Now()})
			r.tick(t.Context())
			r.remove(c.gone)
			const step = 50 * time.Millisecond
			for since := time.Duration(0); since < 3*time.Second; since += step {
				want := 12 - c.gone
				if since < c.until {
					want = 12
				}
				if got := len(r.inUse()); got != want {
					t.Fatalf("%v after they went, %d engines are in use", since, got)
				}
				is.Equal(r.n.Status().Kept, want-12+c.gone)
				clock.Advance(step)
				r.tick(t.Context())
				r.publish()
			}
		})
	}
}

// remove takes the entries of the first n engines from the list.
func (r *loopRig) remove(n int) {
	base := r.listRev
	var items []citronkv.Item
	for i := range n {
		r.revision++
		items = append(items, citronkv.Item{Key: fmt.Sprintf("engines/i-%d", i), Revision: r.revision, Deleted: true})
	}
	r.take(context.Background(), listChanged{items: items, base: base, revision: r.revision, source: sourceNode})
	r.publish()
}
