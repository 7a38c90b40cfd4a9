// Package citronmove decides where and when a running stream is moved after engines of its
// path have failed. All nodes move their streams at the same time and cannot coordinate, so
// the decisions depend only on the stream and on what each node knows.
package citronmove

import (
	"math"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"github.com/cespare/xxhash/v2"
)

const (
	// MaxDelay is the longest time that a move is delayed.
	MaxDelay = 600 * time.Millisecond
	// promptTokensPerPass is the maximum number of prompt tokens in one pass of an
	// engine.
	promptTokensPerPass = 512
	// maxCost is the upper bound of Cost, in milliseconds per token step like the costs of
	// citronpath. It outweighs the difference in speed of engines that hold the same
	// layers. Three replaced hops together cost less than a change of zones.
	maxCost = 15
	// minWeight keeps a full engine usable if there is no other.
	minWeight = 1e-3
)

// Weight returns the weight of an engine of the given kind among the engines that hold the
// same layers: its prefill speed per layer times its free capacity. free is the free share
// of its capacity, at most 1.
func Weight(spec citronmodel.Spec, kind string, free float64) float64 {
	factor := spec.Kinds[kind].PromptFactor
	if factor <= 0 {
		factor = 1
	}
	if math.IsNaN(free) {
		free = 0
	}
	return max(minWeight, min(1, free)) / factor
}

// Cost returns the cost of moving a stream to an engine with the given weight, from 0 to
// maxCost. It is a weighted rendezvous hash: among several engines, the probability that
// one has the lowest cost for a stream is proportional to its weight, and all nodes compute
// the same costs.
func Cost(stream, engine string, weight float64) float64 {
	x := -math.Log(uniform(stream+"\x00"+engine)) / max(weight, minWeight)
	return maxCost * x / (1 + x)
}

// uniform returns a number in (0, 1) that depends only on key.
func uniform(key string) float64 {
	const bits = 53 // the precision of a float64
	return (float64(xxhash.Sum64String(key)>>(64-bits)) + 0.5) / (1 << bits)
}

// PrefillTime returns the time that an engine of the given kind needs to process a
// stream's tokens for a number of layers, without a queue.
func PrefillTime(spec citronmodel.Spec, kind string, layers, tokens int) time.Duration {
	factor := spec.Kinds[kind].PromptFactor
	if factor <= 0 || spec.Layers <= 0 || spec.PromptTokensPerS <= 0 || layers <= 0 || tokens <= 0 {
		return 0
	}
	read := float64(tokens) / spec.PromptTokensPerS * factor * float64(layers) / float64(spec.Layers)
	passes := math.Ceil(float64(tokens) / promptTokensPerPass)
	ms := read*1000 + passes*spec.StepTimeMS(kind, layers, 0, 0)
	return time.Duration(ms * float64(time.Millisecond))
}

// Move describes a stream that is to be moved.
type Move struct {
	Stream string
	// AllowedPause is the longest pause between events that the stream's route allows,
	// Silence the time since its last event.
	AllowedPause, Silence time.Duration
	// Prefill is the expected time to process the stream's tokens on all new engines.
	Prefill time.Duration
	// Streams is the number of this node's streams that run through the lost engine.
	Streams int64
	// OwnTokens and AllTokens are the tokens of the streams of this node and of all nodes
	// in the engine's zone.
	OwnTokens, AllTokens int64
	// Holders is the number of engines that can take over the lost layers.
	Holders int
}

// Slack returns how much of the allowed pause is left once the stream's tokens have been
// processed on the new engines. It is negative if the stream cannot keep its pause.
func (m Move) Slack() time.Duration { return m.AllowedPause - m.Silence - m.Prefill }

// Delay returns how long the move is delayed, from 0 to MaxDelay. A stream that can keep its
// allowed pause is not delayed. The others are spread over the time in which the holders
// can process the tokens of all streams of the lost engine, so that they delay neither
// those that can keep their pause nor the streams that run at the holders already. The
// number of streams of all nodes is estimated by this node's share of the zone's tokens.
func (m Move) Delay() time.Duration {
	if m.Slack() >= 0 || m.Prefill <= 0 {
		return 0
	}
	streams := float64(max(1, m.Streams))
	if m.OwnTokens > 0 && m.AllTokens > m.OwnTokens {
		streams *= float64(m.AllTokens) / float64(m.OwnTokens)
	}
	all := float64(m.Prefill) * streams / float64(max(1, m.Holders))
	return time.Duration(uniform(m.Stream) * min(all, float64(MaxDelay)))
}
