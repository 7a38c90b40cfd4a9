package citronpool_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpool"
	"github.com/matryer/is"
)

const (
	outage  = 8 * time.Second
	between = 5 * time.Millisecond
)

// refusedDuring is how many requests meet an engine that refuses all of them while the
// store is away, if there is one every few milliseconds and the engine is used whenever
// it may be.
func refusedDuring(e *citronpool.Engine, from time.Time) int {
	n := 0
	for now := from; now.Before(from.Add(outage)); now = now.Add(between) {
		if e.Usable(now) {
			e.Accuse(now)
			n++
		}
	}
	return n
}

func oneEngine() *citronpool.Engine {
	v := citronpool.Build([]citronmodel.Engine{{ID: "e", Service: "model", Layers: citronmodel.Span{To: 8}}}, nil)
	return v.ByService["model"][0]
}

// Guards against repeats used up by an engine that leaves while the store is away: for
// eight seconds it refuses what is new, and nobody can read why.
func TestRefusingEngineIsTriedSeldom(t *testing.T) {
	is := is.New(t)
	tried := refusedDuring(oneEngine(), time.Now())
	t.Logf("tried %d times in %v", tried, outage)
	is.True(tried <= 10)
}

// Guards against an engine that was full for a moment and is left alone for long.
func TestAdmittedEngineIsUsedAgain(t *testing.T) {
	is := is.New(t)
	e, now := oneEngine(), time.Now()
	refusedDuring(e, now)
	now = now.Add(outage + 2*time.Second)
	is.True(e.Usable(now))
	e.Admitted(now.Add(-time.Minute)) // sent before it was refused
	is.True(e.Accuse(now))
	is.True(!e.Usable(now.Add(time.Second)))
	now = now.Add(2 * time.Second)
	e.Admitted(now)
	is.True(e.Accuse(now.Add(time.Millisecond)))
	is.True(e.Usable(now.Add(200 * time.Millisecond)))
}

// Requests that were on their way together are refused together, and count once.
func TestRefusalsOfOneMomentCountOnce(t *testing.T) {
	is := is.New(t)
	e, now := oneEngine(), time.Now()
	is.True(e.Accuse(now))
	for range 50 {
		is.True(!e.Accuse(now.Add(time.Millisecond)))
	}
	is.True(e.Accused(now))
	is.True(e.Usable(now.Add(160 * time.Millisecond)))
}
