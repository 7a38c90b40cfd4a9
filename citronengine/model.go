// Package citronengine contains a fake model engine and the client that the entry
// uses to call an engine. The fake holds a range of layers, limits its steps to a
// configured capacity (tokens per second), keeps a bounded KV cache of the
// requests, rejects new requests while it is leaving, and accepts orders that carry
// a fencing number.
//
// Its arithmetic replaces that of a model. Each layer mixes a 64-bit state, so the
// token after the last layer shows whether every layer ran exactly once and in
// order. Oracle computes the same tokens without an engine; tests and the load tool
// compare the responses with them.
package citronengine

import (
	"fmt"
	"hash/fnv"
)

// Seed returns the input state of layer 0 for token position pos, given the prompt
// and the final state of the previous position.
func Seed(prompt string, pos int, prev uint64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%d|%d", prompt, pos, prev)
	return h.Sum64()
}

// Apply returns state after layers [from, to).
func Apply(state uint64, from, to int) uint64 {
	for l := from; l < to; l++ {
		state = mix(state ^ uint64(l+1)*0x9e3779b97f4a7c15)
	}
	return state
}

// mix is the finalizer of splitmix64. A skipped, repeated or reordered layer changes
// the result.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Token formats a final state as the token that callers receive.
func Token(state uint64) string { return fmt.Sprintf("t%06x", state&0xffffff) }

// Oracle returns the tokens that a correct pipeline with the given number of layers
// produces for prompt.
func Oracle(prompt string, layers, tokens int) []string {
	out := make([]string, tokens)
	var prev uint64
	for p := range tokens {
		prev = Apply(Seed(prompt, p, prev), 0, layers)
		out[p] = Token(prev)
	}
	return out
}
