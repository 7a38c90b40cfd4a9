package citronpath_test

import (
	"testing"

	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
)

// A zone holds two replicas of the model. One has two hops instead of three and is
// therefore a tenth faster. Fifteen nodes choose paths for their streams, and each
// knows of the others only the total tokens in the zone. If each node preferred the
// faster replica until its own few streams tipped the balance, that replica would
// get three quarters of all streams, fill up and be late while the other is half
// empty.
func TestNodesSpreadStreamsOverReplicas(t *testing.T) {
	const (
		nodes   = 15
		streams = 20     // per node
		tokens  = 18_000 // per stream; the replicas cache 222 and 314 streams
	)
	is := is.New(t)
	var views [nodes][]*citronpool.Engine
	var own [nodes]int64
	for i := range views {
		views[i] = view(
			engine("a1", "a", "fast", 0, 4), engine("a2", "a", "fast", 4, 8),
			engine("b1", "a", "fast", 0, 3), engine("b2", "a", "fast", 3, 6), engine("b3", "a", "fast", 6, 8),
		)
	}
	first := map[string]int{}
	for range streams {
		for i := range views {
			q := query()
			q.OwnTokens, q.OthersTokens = map[string]int64{"a": own[i]}, map[string]int64{}
			for j := range own {
				if j != i {
					q.OthersTokens["a"] += own[j]
				}
			}
			p, ok := citronpath.Choose(views[i], q)
			is.True(ok)
			first[p[0].Engine.ID]++
			for _, h := range p {
				h.Engine.Begin(tokens)
			}
			own[i] += tokens
		}
	}
	most := max(first["a1"], first["b1"])
	t.Logf("%v", first)
	is.True(most <= nodes*streams*62/100)
}
