package citronpool_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronusage"
	"github.com/matryer/is"
)

// Guards against reports that are used for another incarnation of an engine or after its
// layers have changed, against older ones that replace newer ones, and against tokens begun
// since a report that are lost, counted for ever, or taken from before it.
func TestUsage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	second := func(n float64) time.Time { return now.Add(time.Duration(n * float64(time.Second))) }
	e := citronmodel.Engine{ID: "e@1", Service: "a", Addr: "x:1", Zone: "z1", Layers: citronmodel.Span{To: 4}}
	v := citronpool.Build([]citronmodel.Engine{e}, nil)
	var invalid []string
	v.OnInvalidUsage(func(engine string, _ error) { invalid = append(invalid, engine) })
	v.SetZoneTokens(map[string]int64{"z1": 70}, map[string]int64{"z1": 5})
	s := v.ByService["a"][0]
	_, ok := s.Usage(now)
	is.True(!ok)

	s.Begin(100)
	s.RecordBegun(40, second(-2))
	s.RecordBegun(60, second(1))
	s.RecordUsage(citronusage.Figures{Used: 1, Total: 10}, second(0))
	u, ok := s.Usage(second(2.9))
	is.True(ok)
	is.Equal(u.Zone, citronpool.ZoneTokens{Others: 70, Own: 5})
	is.Equal(u.OwnSince, int64(60))
	_, ok = s.Usage(second(3.1))
	is.True(!ok)
	s.RecordBegun(7, second(60))
	s.RecordUsage(citronusage.Figures{Used: 2, Total: 10}, second(60))
	u, _ = s.Usage(second(61))
	is.Equal(u.OwnSince, int64(7))

	report := func(id string, used int64, at float64) citronusage.Report {
		return citronusage.Report{Engine: citronusage.IDOf(id), Figures: citronusage.Figures{Used: used, Total: 10}, At: second(at)}
	}
	is.NoErr(v.MergeUsage(report("e@1", 3, 61), second(62)))
	is.NoErr(v.MergeUsage(report("e@1", 4, 60.5), second(62))) // older
	is.NoErr(v.MergeUsage(report("e@0", 5, 62), second(62)))   // of another incarnation
	is.True(v.MergeUsage(report("e@1", 21, 62), second(62)) != nil)
	is.Equal(len(invalid), 0) // the node that sent it is at fault
	s.RecordUsage(citronusage.Figures{Used: -1, Total: 10}, second(62))
	is.Equal(invalid, []string{"e@1"})
	u, _ = s.Usage(second(62))
	is.Equal(u.Used, int64(3))
	is.Equal(v.UsageTable().Counts(second(62)), citronusage.Counts{FromEngines: 2, FromNodes: 1, Rejected: 2, Fresh: 1})

	e.Layers.To = 2
	v = citronpool.Build([]citronmodel.Engine{e}, v)
	_, ok = v.ByService["a"][0].Usage(second(62))
	is.True(!ok)
}
