package citronpath_test

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronusage"
	"github.com/matryer/is"
)

// Guards against streams that are refused although engines have free capacity. This is the
// load of a zone with two copies of the model, as one node sees it: the streams of the other
// nodes have reserved more than both copies hold, but they end early, and the engines report
// that they are six tenths full. Without reports that are at most 3 s old, the estimate must
// be the one from the zone's total.
func TestReportsCorrectGuess(t *testing.T) {
	const limit = 1.05 // citronforward refuses streams above it
	is := is.New(t)
	v := citronpool.Build([]citronmodel.Engine{engine("a1", "a", "fast", 0, 8), engine("a2", "a", "fast", 0, 8)}, nil)
	es := v.ByService["m"]
	total := int64(spec.CacheTokens("fast", 8))
	others := map[string]int64{"a": total * 12 / 5}
	q := query()
	q.OthersTokens = others
	v.SetZoneTokens(q.OthersTokens, nil)
	best := func() float64 {
		p, ok := citronpath.Choose(es, q)
		is.True(ok)
		return p.Utilization(q)
	}
	guess := best()
	is.True(guess > limit)
	for _, e := range es {
		e.RecordUsage(citronusage.Figures{Running: 100, Used: 60, Total: 100}, now)
	}
	is.True(best() < 0.7)
	q.OthersTokens = map[string]int64{"a": 2 * others["a"]}
	is.True(best() > limit)
	q.OthersTokens = others
	q.Now = now.Add(citronusage.FreshFor + time.Millisecond)
	is.Equal(best(), guess)
}

// Guards against a herd effect: nodes that see the same reports send all streams to the
// engine that was emptiest, until the next report. Fifteen nodes fill a zone that holds
// four copies of the model, and learn of each engine's usage only every interval streams.
func TestNodesSpreadStreamsBetweenReports(t *testing.T) {
	const (
		nodes, copies  = 15, 4
		streams        = 600
		interval       = 30 // streams of all nodes between two reports
		tokens         = 4000
		limit, minimum = 0.40, 0.10 // shares of one copy; 0.25 is even
	)
	is := is.New(t)
	var engines []citronmodel.Engine
	for i := range copies {
		engines = append(engines, engine(fmt.Sprint("e", i), "a", "fast", 0, 8))
	}
	total := int64(spec.CacheTokens("fast", 8))
	var views [nodes]*citronpool.View
	var own [nodes]int64
	for i := range views {
		views[i] = citronpool.Build(engines, nil)
	}
	count := map[string]int64{}
	for k := range streams {
		at := now.Add(time.Duration(k) * 20 * time.Millisecond)
		sum := int64(k * tokens)
		for i, v := range views {
			if k%interval != 0 {
				break
			}
			v.SetZoneTokens(map[string]int64{"a": sum - own[i]}, map[string]int64{"a": own[i]})
			for _, e := range v.ByService["m"] {
				e.RecordUsage(citronusage.Figures{Used: count[e.ID] * tokens, Total: total}, at)
			}
		}
		i := k * 7 % nodes
		q := query()
		q.Now, q.OwnTokens, q.OthersTokens = at, map[string]int64{"a": own[i]}, map[string]int64{"a": sum - own[i]}
		p, ok := citronpath.Choose(views[i].ByService["m"], q)
		is.True(ok)
		e := p[0].Engine
		e.RecordBegun(tokens, at)
		e.Begin(tokens)
		own[i] += tokens
		count[e.ID]++
	}
	t.Logf("%v", count)
	for _, n := range count {
		is.True(float64(n) <= limit*streams && float64(n) >= minimum*streams)
	}
	is.Equal(len(count), copies)
}
