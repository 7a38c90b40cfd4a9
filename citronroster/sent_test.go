package citronroster_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronroster"
	"github.com/matryer/is"
)

// Guards against retries that are forgotten while they are in the window of the retry budget:
// those of a node that is no longer heard, of a process that has been replaced, and of a zone.
func TestSentOutlivesItsNode(t *testing.T) {
	is := is.New(t)
	const window = 10 * time.Second
	at := time.Unix(1000, 0)
	sent := func(requests, retries float64) map[string]citronpeer.Sent {
		return map[string]citronpeer.Sent{"s": {Requests: requests, Retries: retries}}
	}
	node := func(name string, started int64, s map[string]citronpeer.Sent) citronpeer.Member {
		return citronpeer.Member{Name: name, Zone: "z", Started: started, Gauges: citronpeer.Gauges{Heartbeat: 1, Sent: s}}
	}
	table := citronroster.NewTable("self", "z")
	table.RecordMember(node("silent", 1, sent(100, 7)), at, at)
	table.RecordMember(node("restarted", 1, sent(100, 20)), at, at)
	table.RecordMember(node("restarted", 2, sent(5, 1)), at.Add(time.Second), at.Add(time.Second))
	totals := citronroster.NewZoneTotals("z")
	totals.Merge(citronpeer.ZoneTotals{Zone: "other", Sent: sent(100, 40)}, at)
	is.Equal(table.Sent(at.Add(time.Second), window)["s"].Retries, 28.0)

	later := at.Add(5 * time.Second)
	for d := time.Duration(0); d <= 5*time.Second; d += 100 * time.Millisecond {
		table.Age(at.Add(d))
	}
	is.Equal(len(table.Alive(later)), 0)
	is.Equal(table.Sent(later, window)["s"].Retries, 28.0)
	is.Equal(totals.Sent(later, window)["s"], citronpeer.Sent{Requests: 50, Retries: 40})
	is.True(table.Sent(later, window)["s"].Requests < 120) // half of their requests have left the window

	end := at.Add(window + 2*time.Second)
	is.Equal(table.Sent(end, window)["s"].Retries, 0.0)
	is.Equal(totals.Sent(end, window)["s"].Retries, 0.0)
}
