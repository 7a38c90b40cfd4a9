package citronnode_test

import (
	"testing"

	"citrondeck.dev/citrondeck/citronadmit"
	"github.com/matryer/is"
)

// Guards against nodes of one zone that have the same turn, and so promise the same times to
// refused callers.
func TestNodesOfZoneHaveDifferentTurns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.putConfig("1")
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		f.addNode(name, map[bool]string{true: "z1", false: "z2"}[name < "d"])
	}
	f.awaitFullMembership()
	turns := map[string]citronadmit.Turn{}
	for _, m := range f.nodes {
		turns[m.name] = m.RetryTurn()
	}
	is.Equal(turns, map[string]citronadmit.Turn{"a": {Index: 0, Count: 3}, "b": {Index: 1, Count: 3}, "c": {Index: 2, Count: 3}, "d": {Index: 0, Count: 2}, "e": {Index: 1, Count: 2}})
}
