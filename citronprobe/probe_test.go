package citronprobe_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
	"citrondeck.dev/citrondeck/citronupstream"
	"citrondeck.dev/citrondeck/citronusage"
	"github.com/matryer/is"
)

// An engine may have restarted at the same address, so that its report comes from
// another incarnation than the one in the list. It then refuses the requests that are
// sent to it for the listed layers. So does an engine that has given up some of them.
// The start time and the layers in the report must decide whether the engine remains
// usable and whether the listed incarnation has ended.
func TestRecordReport(t *testing.T) {
	held := citronmodel.Span{From: 2, To: 6}
	layers := func(from, to int) *citronmodel.Span { return &citronmodel.Span{From: from, To: to} }
	for _, c := range []struct {
		name          string
		report        citronupstream.Report
		usable, ended bool
	}{
		{"same start time", citronupstream.Report{StartMS: 100, Layers: layers(2, 6)}, true, false},
		{"holds more layers than listed", citronupstream.Report{StartMS: 100, Layers: layers(0, 8)}, true, false},
		{"later start time", citronupstream.Report{StartMS: 200, Layers: layers(0, 0)}, false, true},
		{"late report of an earlier start", citronupstream.Report{StartMS: 50, Layers: layers(0, 0)}, true, false},
		{"no start time, holds fewer layers than listed", citronupstream.Report{Layers: layers(2, 5)}, false, false},
		{"no start time, holds nothing after some orders", citronupstream.Report{Layers: layers(0, 0), AcceptedOrders: 3}, false, false},
		{"no start time, holds nothing and never accepted an order", citronupstream.Report{Layers: layers(0, 0)}, false, true},
		{"empty report", citronupstream.Report{}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			list := []citronmodel.Engine{{ID: "i-1@100", Instance: "i-1", StartMS: 100, Service: "m", Addr: "a:1", Kind: "fast", Layers: held}}
			v := citronpool.Build(list, nil)
			v.SetZoneTokens(nil, nil)
			e, _ := v.ByID("i-1@100")
			now := time.Now()
			c.report.Usage = &citronusage.Figures{Total: 1}
			citronprobe.RecordReport(e, c.report, now)
			is.Equal(e.Usable(now), c.usable)
			is.Equal(e.Ended(), c.ended)
			_, known := e.Usage(now) // only of the listed incarnation with the listed layers
			is.Equal(known, c.usable && c.report.StartMS != 50)
			is.Equal(len(v.Restarted()) > 0, c.report.StartMS > 100)
			// A list with other layers for the engine is newer than the report and
			// makes the engine usable again.
			list[0].Layers = citronmodel.Span{From: 2, To: 5}
			e, _ = citronpool.Build(list, v).ByID("i-1@100")
			is.True(e.Usable(now))
		})
	}
}

// Guards against an engine whose known slowness is forgotten because this node was paused
// during a probe, which then has an empty report.
func TestReportWithoutPaceKeepsSlowdown(t *testing.T) {
	is := is.New(t)
	v := citronpool.Build([]citronmodel.Engine{{ID: "i-1", Instance: "i-1", Service: "m", Addr: "a:1"}}, nil)
	e, _ := v.ByID("i-1")
	now := time.Now()
	citronprobe.RecordReport(e, citronupstream.Report{Slowdown: 12}, now)
	citronprobe.RecordReport(e, citronupstream.Report{}, now)
	is.Equal(e.Slowdown(now), 12.0)
	citronprobe.RecordReport(e, citronupstream.Report{Slowdown: 1}, now)
	is.Equal(e.Slowdown(now), 1.0)
}
