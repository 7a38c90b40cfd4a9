// Package citronmodel describes model services and the engines that run them:
// the declared parameters of a service, the layers that an engine holds, and the
// memory and time that a layer range costs on each kind of engine. Placement and
// path selection use these costs to rank their options.
package citronmodel

import (
	"strconv"
	"time"
)

// Span is the half-open range [From, To) of layers.
type Span struct{ From, To int }

// Len returns the number of layers in the span.
func (s Span) Len() int { return s.To - s.From }

// Empty reports whether the span contains no layer.
func (s Span) Empty() bool { return s.To <= s.From }

// Covers reports whether s contains every layer of o.
func (s Span) Covers(o Span) bool { return s.From <= o.From && o.To <= s.To }

// Kind describes one kind of accelerator.
type Kind struct {
	Name string
	// MemoryMB is the memory in MB. The memory that the engine's layers leave
	// free holds the cache of running requests.
	MemoryMB float64
	// StepFactor and PromptFactor scale the declared times for token steps and
	// for prompt processing.
	StepFactor, PromptFactor float64
}

// Spec is a service's declaration of its model and its engines.
type Spec struct {
	Layers  int
	LayerMB float64
	// TokenBytes is the cache size of one token over all layers.
	TokenBytes float64
	// A token step over all layers takes StepMS, plus PerSeqMS for each request
	// that is generating tokens, plus ContextMSPerK for each 1000 cached tokens.
	// PromptTokensPerS is the prompt processing rate in tokens per second.
	StepMS, PerSeqMS, ContextMSPerK, PromptTokensPerS float64
	// PromptChunk is the number of prompt tokens that an engine processes in one step at
	// most. While requests generate tokens, an engine starts new work only after each pass
	// of StepsPerPass steps. Zero means undeclared for both.
	PromptChunk, StepsPerPass int
	// LoadTime is the time to load the whole model. MaxConcurrentLoads is the number of
	// concurrent loads beyond which each load slows down.
	LoadTime           time.Duration
	MaxConcurrentLoads int
	// Slots is the number of requests that an engine runs concurrently as the
	// first hop of their paths.
	Slots int
	// MeanTokens is the usual number of tokens of a request, prompt and response
	// together.
	MeanTokens int
	Kinds      map[string]Kind
}

// MaxLayers returns the number of layers that fit into the memory of an engine
// of this kind.
func (s Spec) MaxLayers(kind string) int {
	k, ok := s.Kinds[kind]
	if !ok || s.LayerMB <= 0 {
		return 0
	}
	return min(int(k.MemoryMB/s.LayerMB), s.Layers)
}

const bytesPerMB = 1e6

// CacheTokens returns the number of tokens of running requests that an engine
// of this kind can cache while it holds the given number of layers.
func (s Spec) CacheTokens(kind string, layers int) float64 {
	k, ok := s.Kinds[kind]
	if !ok || layers <= 0 || s.Layers == 0 || s.TokenBytes <= 0 {
		return 0
	}
	free := (k.MemoryMB - float64(layers)*s.LayerMB) * bytesPerMB
	return max(0, free/(s.TokenBytes/float64(s.Layers)*float64(layers)))
}

// TokenCapacity returns an engine's capacity in tokens of running requests while it
// holds the given number of layers. The capacity is the smaller of two limits:
// the cache size, and Slots concurrent requests of MeanTokens each.
func (s Spec) TokenCapacity(kind string, layers int) float64 {
	cache := s.CacheTokens(kind, layers)
	if s.Slots <= 0 || s.MeanTokens <= 0 {
		return cache
	}
	return min(cache, float64(s.Slots*s.MeanTokens))
}

// StepTimeMS returns the time in milliseconds that an engine of this kind needs
// for one token step over the given number of layers. sequences is the number of
// requests that are generating tokens, contextTokens the number of tokens that
// they have cached.
func (s Spec) StepTimeMS(kind string, layers int, sequences, contextTokens float64) float64 {
	k, ok := s.Kinds[kind]
	if !ok || s.Layers == 0 {
		return 0
	}
	allLayers := s.StepMS + s.PerSeqMS*sequences + s.ContextMSPerK*contextTokens/1000
	return allLayers * k.StepFactor * float64(layers) / float64(s.Layers)
}

// Engine is one back end as listed in the engine list. An engine of a plain
// service has no kind and no layers.
type Engine struct {
	// ID identifies one incarnation of the engine: the time from one start to
	// the next (see IncarnationID). State, requests and orders belong to an
	// incarnation and become invalid when the engine restarts.
	ID string
	// Instance is the engine's name in the list and on the wire. It stays the
	// same after a restart. StartMS is the start time in Unix milliseconds, or
	// zero if the engine does not report it.
	Instance string
	StartMS  int64
	Service  string
	Addr     string
	Zone     string
	Kind     string
	Layers   Span
	// Leaving is true if the engine is draining: it finishes its running
	// requests and gets no new ones.
	Leaving bool
	Slots   int
}

// IncarnationID returns the ID of the engine's incarnation that started at
// startMS, in Unix milliseconds. startMS is zero if the engine does not report its
// start time.
func IncarnationID(instance string, startMS int64) string {
	if startMS == 0 {
		return instance
	}
	return instance + "@" + strconv.FormatInt(startMS, 10)
}

// Restarted returns the engine after a restart at startMS, in Unix milliseconds: a
// new incarnation that holds no layers and is not leaving.
func (e Engine) Restarted(startMS int64) Engine {
	e.ID, e.StartMS = IncarnationID(e.Instance, startMS), startMS
	e.Layers, e.Leaving = Span{}, false
	return e
}
