package citronpool_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
)

const (
	outage          = 8 * time.Second
	requestInterval = 5 * time.Millisecond
)

// countRefusals returns how many requests are sent to an engine that refuses all of them
// during an outage of the store. A request arrives every requestInterval and is sent to
// the engine if the engine is usable then.
func countRefusals(e *citronpool.Engine, from time.Time) int {
	n := 0
	for now := from; now.Before(from.Add(outage)); now = now.Add(requestInterval) {
		if e.Usable(now) {
			e.Accuse(now)
			n++
		}
	}
	return n
}

func newEngine() *citronpool.Engine {
	v := citronpool.Build([]citronmodel.Engine{{ID: "e", Service: "model", Layers: citronmodel.Span{To: 8}}}, nil)
	return v.ByService["model"][0]
}

// TestRefusingEngineIsTriedRarely guards against an engine that uses up the retry budget.
// It leaves while the store is unavailable, so that no node can read that it is leaving.
// For eight seconds it refuses new requests, and the nodes send each of these again.
func TestRefusingEngineIsTriedRarely(t *testing.T) {
	is := is.New(t)
	tried := countRefusals(newEngine(), time.Now())
	t.Logf("tried %d times in %v", tried, outage)
	is.True(tried <= 10)
}

// TestAdmittedRequestResetsRefusalPause checks that an engine that was full only briefly
// is not avoided for a long time: once it admits a request, its pauses start short again.
// A request that was sent before the last refusal does not count, because a leaving
// engine finishes such requests and still refuses new ones.
func TestAdmittedRequestResetsRefusalPause(t *testing.T) {
	is := is.New(t)
	e, now := newEngine(), time.Now()
	countRefusals(e, now)
	now = now.Add(outage + 2*time.Second)
	is.True(e.Usable(now))
	e.RecordAdmission(now.Add(-time.Minute)) // sent before the last refusal
	is.True(e.Accuse(now))
	is.True(!e.Usable(now.Add(time.Second)))
	now = now.Add(2 * time.Second)
	e.RecordAdmission(now)
	is.True(e.Accuse(now.Add(time.Millisecond)))
	is.True(e.Usable(now.Add(200 * time.Millisecond)))
}

// TestConcurrentRefusalsCountOnce checks that requests in flight together, which are
// refused together, count as one refusal. Otherwise the pause would grow too long.
func TestConcurrentRefusalsCountOnce(t *testing.T) {
	is := is.New(t)
	e, now := newEngine(), time.Now()
	is.True(e.Accuse(now))
	for range 50 {
		is.True(!e.Accuse(now.Add(time.Millisecond)))
	}
	is.True(e.Accused(now))
	is.True(e.Usable(now.Add(160 * time.Millisecond)))
}

// Guards against an engine that is used again too early, because a shorter pause for another
// reason replaced a longer one.
func TestShorterPauseDoesNotReplaceLongerOne(t *testing.T) {
	is := is.New(t)
	v := citronpool.Build([]citronmodel.Engine{{ID: "i1", Service: "app", Addr: "x:1"}}, nil)
	e, _ := v.ByID("i1")
	now := time.Now()
	e.Avoid(now, 1200*time.Millisecond)
	e.RecordFailure(now) // 300 ms
	e.Avoid(now, time.Millisecond)
	e.AvoidBriefly(now)
	is.True(!e.Usable(now.Add(1100 * time.Millisecond)))
	is.True(e.Usable(now.Add(1200 * time.Millisecond)))
}
