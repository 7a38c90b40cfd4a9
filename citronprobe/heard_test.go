package citronprobe_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// An engine that answers is not always the one that was asked: it may have
// started anew at the same address, and then refuses every request that the
// list sends through it. What a report says of itself decides.
func TestHeard(t *testing.T) {
	held := citronmodel.Span{From: 2, To: 6}
	holds := func(from, to int) *citronmodel.Span { return &citronmodel.Span{From: from, To: to} }
	for _, c := range []struct {
		name          string
		report        citronupstream.Report
		usable, ended bool
	}{
		{"the same start", citronupstream.Report{Born: 100, Holds: holds(2, 6)}, true, false},
		{"more than the list says", citronupstream.Report{Born: 100, Holds: holds(0, 8)}, true, false},
		{"a later start", citronupstream.Report{Born: 200, Holds: holds(0, 0)}, false, true},
		{"an earlier start's late report", citronupstream.Report{Born: 50, Holds: holds(0, 0)}, true, false},
		{"no word of its start, holds less", citronupstream.Report{Holds: holds(2, 5)}, false, false},
		{"no word of its start, holds nothing after some orders", citronupstream.Report{Holds: holds(0, 0), Accepted: 3}, false, false},
		{"no word of its start, holds nothing and never had an order", citronupstream.Report{Holds: holds(0, 0)}, false, true},
		{"no word at all", citronupstream.Report{}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			list := []citronmodel.Engine{{ID: "i-1@100", Instance: "i-1", Born: 100, Service: "m", Addr: "a:1", Kind: "fast", Layers: held}}
			v := citronpool.Build(list, nil)
			e, _ := v.ByID("i-1@100")
			now := time.Now()
			citronprobe.Heard(e, c.report, now)
			is.Equal(e.Usable(now), c.usable)
			is.Equal(e.Ended(), c.ended)
			is.Equal(len(v.StartedAnew()) > 0, c.report.Born > 100)
			// The list's next word of other layers counts for more: it is of
			// the same start, or of the next one.
			list[0].Layers = citronmodel.Span{From: 2, To: 5}
			e, _ = citronpool.Build(list, v).ByID("i-1@100")
			is.True(e.Usable(now))
		})
	}
}
