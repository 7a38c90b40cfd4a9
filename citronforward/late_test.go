package citronforward_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"citrondeck.dev/citrondeck/citronlag"
	"citrondeck.dev/citrondeck/citronmodel"
	"github.com/matryer/is"
)

// Guards against a node that takes its own lateness for the silence of sound engines, and adds
// to its load by moving their streams.
func TestLateNodeLeavesNoSoundEngine(t *testing.T) {
	for _, c := range []struct {
		name string
		// late is how late the node runs, and so reads the answer to a probe.
		late time.Duration
		// hung is set if it reads it after the probe has timed out.
		hung bool
	}{{"answers are read late", 150 * time.Millisecond, false}, {"answers are read too late", 240 * time.Millisecond, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := []citronmodel.Engine{modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8)}
				s := newStall(t, engines...)
				s.answerAfter, s.resumeAfter = c.late, 1200*time.Millisecond
				for _, e := range engines {
					s.hung[e.Addr] = c.hung
				}
				s.Lag = citronlag.Fixed(c.late)
				s.accuse("m2", 15*time.Millisecond)
				s.accuse("m3", 15*time.Millisecond)
				is.Equal(s.ask("stream", 5*time.Second).body, events(1, 4))
				is.Equal(len(s.engines.repaths), 0)
				is.Equal(len(s.engines.received()), 1)
				for _, e := range engines {
					state, _ := s.view.ByID(e.ID)
					is.True(state.DeadSince().IsZero())
				}
				time.Sleep(time.Second) // probes time out
			})
		})
	}
}

// Guards against checks that take up the processor time of a node that runs late already.
func TestLateNodeSendsFewChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var engines []citronmodel.Engine
		for i := range 40 {
			engines = append(engines, modelEngine(fmt.Sprint("m", i), "a", 0, 8))
		}
		s := newStall(t, engines...)
		s.answerAfter = time.Millisecond
		s.Lag = citronlag.Fixed(150 * time.Millisecond)
		for _, e := range engines {
			state, _ := s.view.ByID(e.ID)
			defer state.Begin(1)()
			s.accuse(e.ID, 0)
		}
		time.Sleep(time.Second)
		is.True(s.probes.Load() > 0) // a dead engine is still found
		is.True(s.probes.Load() <= 10)
	})
}
