package citronnode

import (
	"testing"

	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/matryer/is"
)

// Guards against sending callers to a node that may be dead because it has not been heard
// of lately. Such a node must be named neither to callers of its own zone nor to those of
// another zone.
func TestDirectoryOmitsStaleNodes(t *testing.T) {
	is := is.New(t)
	var n Node
	node := func(name, zone string) citronpeer.Member {
		return citronpeer.Member{Name: name, Zone: zone, Front: name + ":1", Ready: true}
	}
	n.snap.Store(&snapshot{
		self:    node("a", "z1"),
		members: []citronpeer.Member{node("b", "z2"), node("c", "z2"), node("d", "z2")},
		stale:   map[string]bool{"c": true},
	})
	is.Equal(n.Addresses("z2"), []string{"b:1", "d:1"})
	is.Equal(n.Addresses("z1"), []string{"a:1", "b:1", "d:1"})
}
