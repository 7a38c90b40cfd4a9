// Package citronrendezvous assigns tasks to nodes by rendezvous hashing: nodes that know
// the same members agree on the assignment without communication, and if a node is lost,
// only its tasks move.
package citronrendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the node with the highest hash for key, or false if there are no nodes.
// name returns the name of a node.
func Choose[T any](key string, nodes []T, name func(T) string) (T, bool) {
	var best T
	var highest uint64
	prefix := key + "/"
	for i, n := range nodes {
		d := xxhash.New()
		_, _ = d.WriteString(prefix)
		_, _ = d.WriteString(name(n))
		if h := d.Sum64(); i == 0 || h > highest {
			best, highest = n, h
		}
	}
	return best, len(nodes) > 0
}

// ChooseSeveral returns the count nodes with the highest hashes for key, or all nodes if there
// are fewer.
func ChooseSeveral[T any](key string, count int, nodes []T, name func(T) string) []T {
	var out []T
	rest := slices.Clone(nodes)
	for len(out) < count && len(rest) > 0 {
		best, _ := Choose(key, rest, name)
		out = append(out, best)
		rest = slices.DeleteFunc(rest, func(n T) bool { return name(n) == name(best) })
	}
	return out
}

// Top returns the nodes of the highest rank, in their order. Nodes of a negative rank are
// left out.
func Top[T any](nodes []T, rank func(T) int) []T {
	var out []T
	highest := 0
	for _, n := range nodes {
		r := rank(n)
		if r < 0 || r < highest {
			continue
		}
		if r > highest {
			out, highest = nil, r
		}
		out = append(out, n)
	}
	return out
}
