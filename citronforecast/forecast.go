// Package citronforecast predicts what a request needs from the engines of a path: the time
// to its first event, the longest pause between events, and the cache. The estimates follow
// from the declared times of the model and from the engines' load as this node knows it. A
// Model corrects them by the outcomes of recent requests, which decay within seconds, so
// that a zone whose engines are slower than declared is recognized in time. Without recent
// outcomes, the declared times apply.
package citronforecast

import (
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
)

const (
	// firstEventHalfLife is the time in which an observed first event loses half of its
	// weight. Bursts last 3 to 7 s.
	firstEventHalfLife = 4 * time.Second
	// outputHalfLife is the same for observed output.
	outputHalfLife = time.Minute
)

// Request is the declared size of a request, in tokens.
type Request struct {
	// Route is the name of the request's route.
	Route string
	// PromptTokens is the size of the prompt, OutputTokens the maximum size of the output,
	// OutputHint the caller's estimate of it. Zero means undeclared.
	PromptTokens, OutputTokens, OutputHint int
}

// output returns the output expected from the declaration alone, and whether it follows from
// the hint.
func (r Request) output() (int, ratioKind) {
	most := tokens(r.OutputTokens)
	if r.OutputHint > 0 && r.OutputHint < most {
		return r.OutputHint, hintedOutput
	}
	return most, unhintedOutput
}

// Model forecasts requests. It is safe for concurrent use, and its memory is bounded. The
// zero value is ready to use.
type Model struct {
	mu     sync.Mutex
	ratios ratios
}

// New returns a model without observations.
func New() *Model { return &Model{} }

// Len returns the number of learned ratios.
func (m *Model) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ratios.newest.Len()
}

// Tokens returns the tokens of cache that r is likely to need: its prompt, and the output
// that its route's most recent requests lead to expect, at most OutputTokens. Observed
// output loses weight only against newer output, as a route's error does not depend on load.
func (m *Model) Tokens(r Request) int {
	expected, kind := r.output()
	m.mu.Lock()
	known := m.ratios.get(ratioKey{kind: kind, route: r.Route})
	factor := known.median(1, known.newest())
	m.mu.Unlock()
	return tokens(r.PromptTokens) + min(int(factor*float64(expected)), tokens(r.OutputTokens))
}

// FirstEvent returns the expected time from sending r on p to its first event.
func (m *Model) FirstEvent(r Request, p citronpath.Path, spec citronmodel.Spec, now time.Time) time.Duration {
	if len(p) == 0 {
		return 0
	}
	declared := DeclaredFirstEvent(r, p, spec, now)
	return min(maxForecast, time.Duration(m.firstEventRatio(r.Route, p[0].Engine.Zone, now)*float64(declared)))
}

// firstEventRatio returns the learned ratio of actual to declared time to the first event.
// What is known of the zone from all routes is the prior of each route.
func (m *Model) firstEventRatio(route, zone string, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	prior := m.ratios.get(ratioKey{kind: firstEvent, zone: zone}).median(1, now)
	return m.ratios.get(ratioKey{kind: firstEvent, route: route, zone: zone}).median(prior, now)
}

// Pause returns the longest pause between events that is expected on p. It follows from
// declared times and reported slowdowns only.
func (m *Model) Pause(p citronpath.Path, spec citronmodel.Spec, now time.Time) time.Duration {
	return declaredPause(p, spec, now)
}

// ObserveFirstEvent records the time to the first event of a request that was sent to
// engines of a zone. predicted is what DeclaredFirstEvent returned when the request was
// sent. FirstEvent's result is already corrected, so the ratio to it says nothing about
// the correction needed.
func (m *Model) ObserveFirstEvent(r Request, zone string, predicted, actual time.Duration, now time.Time) {
	if predicted <= 0 || actual < 0 {
		return
	}
	x := float64(actual) / float64(predicted)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ratios.add(ratioKey{kind: firstEvent, route: r.Route, zone: zone}, firstEventHalfLife, x, now)
	m.ratios.add(ratioKey{kind: firstEvent, zone: zone}, firstEventHalfLife, x, now)
}

// ObserveOutput records the number of tokens that a completed request generated.
func (m *Model) ObserveOutput(r Request, generated int, now time.Time) {
	expected, kind := r.output()
	if expected <= 0 || generated < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ratios.add(ratioKey{kind: kind, route: r.Route}, outputHalfLife, float64(generated)/float64(expected), now)
}
