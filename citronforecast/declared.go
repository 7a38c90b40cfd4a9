package citronforecast

import (
	"math"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
)

const (
	// maxForecast bounds all forecast times. No caller waits that long.
	maxForecast = 10 * time.Minute
	// maxTokens bounds the tokens of a request. It is a multiple of what an engine caches.
	maxTokens = 1 << 24
	// maxSlowdown bounds the slowdown that an engine reports, maxUtilization its estimated
	// utilization. Engines preempt requests beyond a utilization of about 1.
	maxSlowdown    = 100
	maxUtilization = 2
	// hopMS is the fixed delay of a hop in milliseconds, as in citronpath.
	hopMS = 0.5
	// assumedChunk and assumedSteps apply to models that don't declare PromptChunk or
	// StepsPerPass.
	assumedChunk = 512
	assumedSteps = 1
	// maxSteps bounds the declared StepsPerPass.
	maxSteps = 1000
)

// load is what is known about the work of an engine.
type load struct {
	// sequences is the number of requests that generate tokens, tokens their cache.
	sequences, tokens float64
	// utilization is the used share of the engine's token capacity, slowdown the ratio of
	// its actual to its declared times, at least 1.
	utilization, slowdown float64
}

// loadOf returns the load of an engine from what this node knows of it.
func loadOf(e *citronpool.Engine, spec citronmodel.Spec, now time.Time) load {
	tokens := clamp(float64(e.Tokens()), 0, math.MaxInt64)
	l := load{sequences: clamp(float64(e.Inflight()), 0, math.MaxInt32), tokens: tokens, slowdown: clamp(e.Slowdown(now), 1, maxSlowdown)}
	if capacity := spec.TokenCapacity(e.Kind, e.Layers.Len()); capacity > 0 {
		l.utilization = clamp(tokens/capacity, 0, maxUtilization)
	}
	return l
}

// hopTimes are the times of one hop in milliseconds: one token step, the prompt processing
// of a token, and the time until the engine takes new work.
type hopTimes struct{ step, promptToken, wait float64 }

func timesOf(h citronpath.Hop, l load, spec citronmodel.Spec) hopTimes {
	spec.StepMS, spec.PerSeqMS, spec.ContextMSPerK = positive(spec.StepMS), positive(spec.PerSeqMS), positive(spec.ContextMSPerK)
	layers := max(0, min(h.Span.Len(), spec.Layers))
	t := hopTimes{step: positive(spec.StepTimeMS(h.Engine.Kind, layers, l.sequences, l.tokens)) * l.slowdown}
	if spec.PromptTokensPerS > 0 && spec.Layers > 0 {
		share := float64(layers) / float64(spec.Layers)
		t.promptToken = positive(1000/spec.PromptTokensPerS*spec.Kinds[h.Engine.Kind].PromptFactor*share) * l.slowdown
	}
	if l.sequences > 0 {
		t.wait = stepsPerPass(spec) * t.step / 2
	}
	return t
}

func stepsPerPass(spec citronmodel.Spec) float64 {
	if spec.StepsPerPass <= 0 {
		return assumedSteps
	}
	return float64(min(spec.StepsPerPass, maxSteps))
}

func promptChunk(spec citronmodel.Spec) float64 {
	if spec.PromptChunk <= 0 {
		return assumedChunk
	}
	return float64(min(spec.PromptChunk, maxTokens))
}

// DeclaredFirstEvent returns the time to the first event of r on p that follows from the
// declared times of the model and from the load of the engines that this node knows. Each
// hop ends its current pass (half of it on average), then processes the prompt in chunks
// with one token step each. Other prompts delay it in proportion to the utilization. The
// result is at least zero and bounded, also if spec declares impossible values.
func DeclaredFirstEvent(r Request, p citronpath.Path, spec citronmodel.Spec, now time.Time) time.Duration {
	prompt := float64(tokens(r.PromptTokens))
	steps := max(1, math.Ceil(prompt/promptChunk(spec)))
	total := 0.0
	for _, h := range p {
		l := loadOf(h.Engine, spec, now)
		t := timesOf(h, l, spec)
		total += hopMS + t.wait + (prompt*t.promptToken+steps*t.step)*(1+l.utilization)
	}
	return milliseconds(total)
}

// declaredPause returns the longest pause between events that the declared times allow:
// each hop runs a whole pass, and in one step of it a full chunk of another prompt.
func declaredPause(p citronpath.Path, spec citronmodel.Spec, now time.Time) time.Duration {
	total := 0.0
	for _, h := range p {
		l := loadOf(h.Engine, spec, now)
		t := timesOf(h, l, spec)
		total += hopMS + stepsPerPass(spec)*t.step + promptChunk(spec)*t.promptToken
	}
	return milliseconds(total)
}

// tokens bounds a declared number of tokens.
func tokens(n int) int { return min(max(0, n), maxTokens) }

// positive returns x, or 0 if x is negative or NaN. An infinite x becomes the largest
// forecast in milliseconds.
func positive(x float64) float64 {
	return clamp(x, 0, float64(maxForecast/time.Millisecond))
}

// clamp returns x bounded to lo and hi, and lo if x is NaN.
func clamp(x, lo, hi float64) float64 {
	if !(x > lo) {
		return lo
	}
	return min(x, hi)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(positive(ms) * float64(time.Millisecond))
}
