// Package citronengine is the stand-in model engine and the client the
// entry uses to reach an engine. The stand-in holds a range of layers,
// spends its declared capacity (tokens per second) on each step, keeps a
// bounded per-request KV cache, refuses new work while leaving, and takes
// orders carrying a fencing number.
//
// Its arithmetic is a stand-in for a model's: each layer mixes a 64-bit
// state, so the token that leaves the last stage tells whether every layer
// ran exactly once and in order. Oracle computes the same answer without
// any engine, which is what the tests and the load tool compare against.
package citronengine

import (
	"fmt"
	"hash/fnv"
)

// Seed is the state that enters layer 0 for token position pos, given the
// prompt and the token before it.
func Seed(prompt string, pos int, prev uint64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%d|%d", prompt, pos, prev)
	return h.Sum64()
}

// Apply runs layers [from, to) on state.
func Apply(state uint64, from, to int) uint64 {
	for l := from; l < to; l++ {
		state = mix(state ^ uint64(l+1)*0x9e3779b97f4a7c15)
	}
	return state
}

// mix is splitmix64's finaliser: any skipped, repeated or reordered layer
// changes the result.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Token renders a final state as the token a caller sees.
func Token(state uint64) string { return fmt.Sprintf("t%06x", state&0xffffff) }

// Oracle returns the tokens a correct pipeline of layers layers produces
// for prompt.
func Oracle(prompt string, layers, tokens int) []string {
	out := make([]string, tokens)
	var prev uint64
	for p := range tokens {
		prev = Apply(Seed(prompt, p, prev), 0, layers)
		out[p] = Token(prev)
	}
	return out
}
