// Package citronmodel holds what the product knows of a model service and
// of the engines that run it: the declared figures of the service, what an
// engine holds, and how much memory and time a range of layers costs on
// each kind of engine. Placement and path choice rank their options with it.
package citronmodel

import (
	"strconv"
	"time"
)

// Span is a half-open range of layers.
type Span struct{ From, To int }

// Len is the number of layers in the span.
func (s Span) Len() int { return s.To - s.From }

// Empty reports whether the span holds no layer.
func (s Span) Empty() bool { return s.To <= s.From }

// Covers reports whether every layer of o is in s.
func (s Span) Covers(o Span) bool { return s.From <= o.From && o.To <= s.To }

// Kind is one kind of accelerator.
type Kind struct {
	Name string
	// MemoryMB holds layers first; what is left caches running requests.
	MemoryMB float64
	// StepFactor and ReadFactor multiply the declared times for writing
	// tokens and for reading prompts.
	StepFactor, ReadFactor float64
}

// Spec is what a service declares of its model and its engines.
type Spec struct {
	Layers  int
	LayerMB float64
	// TokenBytes is the cache of one token over all layers.
	TokenBytes float64
	// StepMS is the fixed time of a token step over all layers, PerSeqMS
	// what each writing request adds, ContextMSPerK what each thousand
	// cached tokens add; ReadPerS is the prompt tokens read a second.
	StepMS, PerSeqMS, ContextMSPerK, ReadPerS float64
	// Load is how long loading the whole model takes; LoadsAtOnce is how
	// many loads run at once before each slows down.
	Load        time.Duration
	LoadsAtOnce int
	// Slots is how many requests an engine takes as the first of a path.
	Slots int
	// MeanTokens is the usual prompt and answer of a request together.
	MeanTokens int
	Kinds      map[string]Kind
}

// MaxLayers is how many layers fit into the memory of a kind.
func (s Spec) MaxLayers(kind string) int {
	k, ok := s.Kinds[kind]
	if !ok || s.LayerMB <= 0 {
		return 0
	}
	return min(int(k.MemoryMB/s.LayerMB), s.Layers)
}

const bytesPerMB = 1e6

// CacheTokens is how many tokens of running requests an engine of a kind
// can cache while it holds the given number of layers.
func (s Spec) CacheTokens(kind string, layers int) float64 {
	k, ok := s.Kinds[kind]
	if !ok || layers <= 0 || s.Layers == 0 || s.TokenBytes <= 0 {
		return 0
	}
	free := (k.MemoryMB - float64(layers)*s.LayerMB) * bytesPerMB
	return max(0, free/(s.TokenBytes/float64(s.Layers)*float64(layers)))
}

// RoomTokens is how many tokens of running requests an engine of a kind has
// room for while it holds the given number of layers: it runs so many requests
// at once, and caches so many tokens.
func (s Spec) RoomTokens(kind string, layers int) float64 {
	cache := s.CacheTokens(kind, layers)
	if s.Slots <= 0 || s.MeanTokens <= 0 {
		return cache
	}
	return min(cache, float64(s.Slots*s.MeanTokens))
}

// StepTime is the time, in milliseconds, that an engine of a kind needs for
// one token step over the given number of layers with so many writers.
func (s Spec) StepTime(kind string, layers int, writers, contextTokens float64) float64 {
	k, ok := s.Kinds[kind]
	if !ok || s.Layers == 0 {
		return 0
	}
	full := s.StepMS + s.PerSeqMS*writers + s.ContextMSPerK*contextTokens/1000
	return full * k.StepFactor * float64(layers) / float64(s.Layers)
}

// Engine is one back end as the list of engines shows it. An engine of a
// plain service has no kind and no layers.
type Engine struct {
	// ID is of one start of the engine (IncarnationID): what is known of it,
	// sent to it or wanted of it ends when it starts again.
	ID string
	// Instance is the engine's name in the list and on the wire, the same
	// after a restart; Born is when it started, in milliseconds since 1970.
	Instance string
	Born     int64
	Service  string
	Addr     string
	Zone     string
	Kind     string
	Layers   Span
	// Leaving: it finishes what it has and gets no new work.
	Leaving bool
	Slots   int
}

// IncarnationID returns the ID of one start of an engine; born is zero if the
// engine does not tell when it started.
func IncarnationID(instance string, born int64) string {
	if born == 0 {
		return instance
	}
	return instance + "@" + strconv.FormatInt(born, 10)
}

// Reborn returns what is known of the engine's next start from the moment of
// that start alone: it holds nothing and is not leaving.
func (e Engine) Reborn(born int64) Engine {
	e.ID, e.Born = IncarnationID(e.Instance, born), born
	e.Layers, e.Leaving = Span{}, false
	return e
}
