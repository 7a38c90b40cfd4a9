package citronforward_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronforward"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// stall is a stream of four events that stalls after two because of engines behind the
// first one, until it is moved or, if nothing moves it, for resumeAfter.
type stall struct {
	*testForwarder
	// hung holds the addresses of the engines that answer no probe. answerAfter is how
	// long the others take. resumeAfter of zero means never.
	hung                     map[string]bool
	answerAfter, resumeAfter time.Duration
	probes                   atomic.Int64
	movedAt                  time.Time
}

// newStall returns a stall on fake time, in the bubble of the caller.
func newStall(t *testing.T, engines ...citronmodel.Engine) *stall {
	s := &stall{testForwarder: newTestForwarder(t, engines...), hung: map[string]bool{}}
	moved := make(chan struct{})
	s.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
		if s.resumeAfter > 0 {
			time.AfterFunc(s.resumeAfter, func() { close(moved) })
		}
		return stalledStream(ctx, moved), nil
	}
	s.engines.report = func(addr string) (citronupstream.Report, error) {
		s.probes.Add(1)
		if s.hung[addr] {
			time.Sleep(250 * time.Millisecond) // the client's timeout
			return citronupstream.Report{}, context.DeadlineExceeded
		}
		time.Sleep(s.answerAfter)
		return citronupstream.Report{}, nil
	}
	s.engines.repath = func(citronpath.Path) error {
		s.movedAt = time.Now()
		close(moved)
		return nil
	}
	return s
}

// useList replaces the list of engines after the given time: engines that would otherwise
// be alternatives for the stream's first path are added once it runs.
func (s *stall) useList(after time.Duration, engines ...citronmodel.Engine) {
	var current atomic.Pointer[citronforward.State]
	current.Store(s.Current())
	s.Current = current.Load
	time.AfterFunc(after, func() {
		next := *current.Load()
		next.View = citronpool.Build(engines, s.view)
		current.Store(&next)
	})
}

// accuse accuses an engine after the given time, as if another node had named it. It does
// so ten times in 20 ms, as each refused request does.
func (s *stall) accuse(id string, after time.Duration) {
	time.AfterFunc(after, func() {
		e, _ := s.view.ByID(id)
		for range 10 {
			was := e.Accused(s.Clock.Now())
			e.Accuse(s.Clock.Now())
			s.ProbeAccused(e, was)
			time.Sleep(2 * time.Millisecond)
		}
	})
}

// Guards against a silence of 131 to 152 ms before a stream leaves an engine that has died:
// the probe of the accused engine was started only after 70 ms of silence, so the stream
// could not keep its pause of 250 ms. Also guards against one probe per accusation.
func TestAccusedEngineThatDoesNotAnswerIsLeftWithin100ms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStall(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8))
		s.hung["m2:1"] = true
		s.accuse("m2", 15*time.Millisecond)
		s.useList(10*time.Millisecond, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
		begin := time.Now()
		is.Equal(s.ask("stream", 5*time.Second).body, events(1, 4))
		is.Equal(len(s.engines.repaths), 1)
		is.Equal(s.engines.repaths[0][1].Engine.ID, "m3")
		silence := s.movedAt.Sub(begin)
		is.True(silence >= 70*time.Millisecond && silence < 100*time.Millisecond)
		is.Equal(s.probes.Load(), int64(1))
		time.Sleep(time.Second) // the probe times out
	})
}

// Guards against a silence of half a second or more before streams leave a dead engine that
// no other engine has named: no new request was sent through it after its end. The engines
// of the path are probed, and the one that does not answer is left and accused.
func TestDeadEngineThatNobodyNamesIsLeftWithin400ms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStall(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8))
		s.hung["m2:1"] = true
		var accused atomic.Pointer[citronpool.Engine]
		s.testForwarder.Accuse = func(e *citronpool.Engine) { accused.Store(e) }
		moved := make(chan time.Time, 2)
		resumed := make(chan struct{})
		s.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
			return stalledStream(ctx, resumed), nil
		}
		s.engines.repath = func(citronpath.Path) error {
			if moved <- time.Now(); len(moved) == 2 {
				close(resumed)
			}
			return nil
		}
		s.useList(10*time.Millisecond, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
		begin := time.Now()
		done := make(chan string, 2)
		for range 2 {
			go func() { done <- s.ask("stream", 5*time.Second).body }()
		}
		is.Equal(<-done, events(1, 4))
		is.Equal(<-done, events(1, 4))
		for range 2 {
			is.True((<-moved).Sub(begin) < 400*time.Millisecond)
		}
		is.Equal(accused.Load().ID, "m2")
		time.Sleep(time.Second)
	})
}

// Guards against moving streams away from an engine that is only full, which costs reading
// all their tokens again. The engine answers the probe that the accusation caused, before
// the stream has stalled for 70 ms.
func TestAccusedEngineThatAnswersAtOnceKeepsItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStall(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8))
		s.answerAfter, s.resumeAfter = 5*time.Millisecond, 220*time.Millisecond
		s.useList(10*time.Millisecond, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
		s.accuse("m2", 15*time.Millisecond)
		is.Equal(s.ask("stream", 5*time.Second).body, events(1, 4))
		is.Equal(len(s.engines.repaths), 0)
		is.Equal(s.probes.Load(), int64(1))
		time.Sleep(time.Second)
	})
}

// Guards against a second move, with a second silence, for a second dead engine. Two
// adjacent engines die together. Only the first of them is accused, because no engine is
// left that could name the other. Both must be replaced in one step.
func TestAdjacentDeadEnginesAreReplacedInOneStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := []citronmodel.Engine{modelEngine("m1", "a", 0, 2), modelEngine("m2", "a", 2, 4), modelEngine("m3", "a", 4, 6), modelEngine("m4", "a", 6, 8)}
		s := newStall(t, list...)
		s.hung["m2:1"], s.hung["m3:1"] = true, true
		s.useList(10*time.Millisecond, append(list, modelEngine("n2", "a", 2, 4), modelEngine("n3", "a", 4, 6))...)
		s.accuse("m2", 15*time.Millisecond)
		begin := time.Now()
		is.Equal(s.ask("stream", 5*time.Second).body, events(1, 4))
		is.Equal(len(s.engines.repaths), 1)
		var ids []string
		for _, h := range s.engines.repaths[0] {
			ids = append(ids, h.Engine.ID)
		}
		is.Equal(ids, []string{"m1", "n2", "n3", "m4"})
		is.True(s.movedAt.Sub(begin) < 100*time.Millisecond)
		is.Equal(s.probes.Load(), int64(3)) // m4 answers, so the search ends there
		time.Sleep(time.Second)
	})
}

// jumpingClock is a clock that can jump, as it does for a process that was paused.
type jumpingClock struct {
	citronclock.Real
	offset atomic.Int64
}

func (c *jumpingClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// Guards against moving all streams of a node that was paused for less than 300 ms. The
// probe seems to be unanswered for longer than 60 ms, but its answer has only not been read
// yet. The first check after the pause must not draw a conclusion.
func TestPausedNodeKeepsStreamsOfAccusedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStall(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8))
		clock := &jumpingClock{}
		s.Clock = clock
		s.answerAfter, s.resumeAfter = 50*time.Millisecond, 150*time.Millisecond
		s.useList(10*time.Millisecond, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
		s.accuse("m2", 25*time.Millisecond)
		time.AfterFunc(60*time.Millisecond, func() { clock.offset.Add(int64(120 * time.Millisecond)) })
		is.Equal(s.ask("stream", 5*time.Second).body, events(1, 4))
		is.Equal(len(s.engines.repaths), 0)
		time.Sleep(time.Second)
	})
}

// Guards against probes, which are billed calls, of engines that none of this node's
// streams runs through. The request that was refused because of an engine does not count.
func TestAccusedEngineWithoutStreamsIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStall(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("n1", "b", 0, 8))
		s.engines.answer = func(_ context.Context, _ int, c citronupstream.Call) (*citronupstream.Reply, error) {
			if c.Engine.ID == "m1" {
				return refusal("m2:1"), nil
			}
			return reply(200, events(1, 2)), nil
		}
		is.Equal(s.ask("stream", time.Second).body, events(1, 2))
		is.Equal(s.probes.Load(), int64(0))
	})
}

// Guards against streams that can no longer keep their allowed pause and delay, by all
// moving at once, those that can. The engine is accused only after 200 ms of silence. If
// other nodes have many streams in the zone, the move is held back, but by 600 ms at most.
func TestHopelessMoveIsDelayed(t *testing.T) {
	for _, c := range []struct {
		name        string
		otherTokens int64
		min, max    time.Duration
	}{
		{"no streams of other nodes", 0, 260 * time.Millisecond, 290 * time.Millisecond},
		{"many streams of other nodes", 60_000, 300 * time.Millisecond, 900 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStall(t, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8))
				s.hung["m2:1"] = true
				s.Current().OtherNodesCache["a"] = c.otherTokens
				s.useList(10*time.Millisecond, modelEngine("m1", "a", 0, 4), modelEngine("m2", "a", 4, 8), modelEngine("m3", "a", 4, 8))
				s.accuse("m2", 200*time.Millisecond)
				begin := time.Now()
				is.Equal(s.ask("stream", 5*time.Second).body, events(1, 4))
				silence := s.movedAt.Sub(begin)
				t.Log("silence before the move:", silence)
				is.True(silence >= c.min && silence <= c.max)
				time.Sleep(time.Second)
			})
		})
	}
}
