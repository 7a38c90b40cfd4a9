package citronplacer_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronplacer"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citrontable"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var spec = citronmodel.Spec{
	Layers: 8, LayerMB: 1000, TokenBytes: 8000, StepMS: 1, ReadPerS: 1000, Slots: 8,
	Kinds: map[string]citronmodel.Kind{"fast": {Name: "fast", MemoryMB: 9000, StepFactor: 2, ReadFactor: 3}},
}

type given struct {
	engine   string
	span     citronmodel.Span
	accepted int64
}

// engines answer questions and orders as the test says.
type engines struct {
	mu    sync.Mutex
	state citronplace.EngineState
	asked []string
	given []given
	// dead is the address of an engine that does not answer, misses how often
	// one does not before it answers again.
	dead string
	// forgot is the address of one that has started anew.
	forgot string
	misses map[string]int
	place  func(n int) error
}

func (e *engines) State(_ context.Context, addr string) (citronplace.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, addr)
	if e.misses[addr] > 0 {
		e.misses[addr]--
		return citronplace.EngineState{}, errors.New("no answer")
	}
	if addr == e.dead {
		return citronplace.EngineState{}, errors.New("no answer")
	}
	st := e.state
	if addr != e.forgot {
		st.Accepted = max(st.Accepted, 1) // it holds what it was ordered to
	}
	return st, nil
}

func (e *engines) Place(_ context.Context, en citronmodel.Engine, o citronplace.Order, accepted int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, given{en.ID, o.Span, accepted})
	if e.place == nil {
		return nil
	}
	return e.place(len(e.given))
}

func (e *engines) orders() []given {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]given(nil), e.given...)
}

func (e *engines) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func state(es ...citronmodel.Engine) *citronplacer.State {
	return &citronplacer.State{
		Services: map[string]citrontable.Service{"m": {Name: "m", Model: &spec}}, Engines: es,
		View: citronpool.Build(es, nil), Whole: true, Dead: map[string]int{},
	}
}

func engine(id string, from, to int) citronmodel.Engine {
	return citronmodel.Engine{ID: id, Service: "m", Addr: id, Zone: "z", Kind: "fast", Layers: citronmodel.Span{From: from, To: to}}
}

func run(t *testing.T, e *engines, s *citronplacer.State) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &citronplacer.Placer{Orders: e, Clock: citronclock.Real{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Current: func() *citronplacer.State { return s }}
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 30 s: %s", what)
}

// An order is not answered. It may be carried out now, seconds later or
// never, so it is sent again with the same count of accepted orders: an
// engine that did carry it out refuses the second, and one that carries out
// both late holds the same layers.
func TestUnansweredOrderIsRepeatedForTheSameState(t *testing.T) {
	is := is.New(t)
	e := &engines{state: citronplace.EngineState{Accepted: 3}, place: func(n int) error {
		if n == 1 {
			return errors.New("no answer")
		}
		return nil
	}}
	run(t, e, state(engine("e1", 0, 4), engine("e2", 0, 0)))
	eventually(t, "a second order", func() bool { return len(e.orders()) >= 2 })
	got := e.orders()
	is.Equal(got[0], got[1])
	is.Equal(got[0].accepted, int64(3))
	time.Sleep(500 * time.Millisecond)
	is.Equal(len(e.orders()), 2) // accepted: nothing more is ordered while it is carried out
}

// An engine that carries out an earlier order is not given another; its turn
// comes when it is done.
func TestBusyEngineIsLeftAlone(t *testing.T) {
	is := is.New(t)
	e := &engines{state: citronplace.EngineState{Busy: true}}
	run(t, e, state(engine("e1", 0, 4), engine("e2", 0, 0)))
	time.Sleep(500 * time.Millisecond)
	is.Equal(len(e.orders()), 0)
	e.set(func() { e.state.Busy = false })
	eventually(t, "the order", func() bool { return len(e.orders()) == 1 })
}

// Half of the list is missing because the store was away: a plan for the
// other half would leave those engines no cache.
func TestNothingIsPlacedFromPartOfTheList(t *testing.T) {
	s := state(engine("e1", 0, 4), engine("e2", 0, 0))
	s.Whole = false
	e := &engines{}
	run(t, e, s)
	time.Sleep(500 * time.Millisecond)
	is.New(t).Equal(len(e.orders()), 0)
}

// Two nodes find an engine dead, and it does not answer the leader either.
// Its layers are placed at once.
func TestEngineThatTwoNodesFindDeadIsReplaced(t *testing.T) {
	is := is.New(t)
	s := state(engine("e1", 0, 4), engine("e2", 4, 8), engine("e3", 0, 4))
	s.Dead["e2"] = 2
	e := &engines{dead: "e2"}
	run(t, e, s)
	hole := citronmodel.Span{From: 4, To: 8}
	eventually(t, "an order for the hole", func() bool {
		for _, g := range e.orders() {
			is.True(g.engine != "e2")
			if g.span.Covers(hole) {
				return true
			}
		}
		return false
	})
}

// Several nodes are short of processor time in the same moment, as when
// configurations come in quick succession, and miss an engine's answers. They
// call it dead; it answers the leader. Nothing may be moved: a zone of sound
// engines would be divided anew, and its callers refused for seconds.
func TestEngineThatAnswersTheLeaderIsNotReplaced(t *testing.T) {
	s := state(engine("e1", 0, 4), engine("e2", 4, 8))
	s.Dead["e2"] = 3
	e := &engines{}
	run(t, e, s)
	time.Sleep(1200 * time.Millisecond)
	is.New(t).Equal(len(e.orders()), 0)
}

// The leader dies while engines load what it ordered. The next leader sees
// those engines hold nothing yet. It goes on with the goals that the first
// one told of: another engine given the same layers would load them for
// nothing and be missing where it was.
func TestNextLeaderGoesOnWithGoals(t *testing.T) {
	is := is.New(t)
	s := state(engine("e1", 0, 4), engine("e2", 0, 0), engine("e3", 0, 0))
	s.Goals = map[string]citronmodel.Span{"e3": {From: 4, To: 8}}
	e := &engines{state: citronplace.EngineState{Busy: true}}
	run(t, e, s)
	time.Sleep(700 * time.Millisecond)
	is.Equal(len(e.orders()), 0) // e3 loads; nobody else is given its layers
	e.set(func() { e.state.Busy = false })
	eventually(t, "the order is given again once the engine is free", func() bool { return len(e.orders()) > 0 })
	is.Equal(e.orders()[0].engine, "e3")
	is.Equal(e.orders()[0].span, citronmodel.Span{From: 4, To: 8})
}

// An engine answers questions but refuses every order. Its layers go to
// another engine after a few tries: a hole must not wait for it.
func TestEngineThatTakesNoOrderIsReplaced(t *testing.T) {
	e := &engines{}
	e.place = func(int) error {
		if e.given[len(e.given)-1].engine == e.given[0].engine {
			return errors.New("refused")
		}
		return nil
	}
	run(t, e, state(engine("e1", 0, 4), engine("e2", 0, 0), engine("e3", 0, 0)))
	hole := citronmodel.Span{From: 4, To: 8}
	eventually(t, "the other empty engine is given the hole", func() bool {
		given := e.orders()
		last := given[max(0, len(given)-1):]
		return len(last) > 0 && last[0].engine != given[0].engine && last[0].span.Covers(hole)
	})
}

// An engine starts anew behind a cut from the store: the list still tells the
// layers that it held. Asked by the leader, it says that it started later. It
// gets no order that was meant for what it held before, and this node learns
// that those layers are a hole.
func TestOrderIsNotForAnEarlierStart(t *testing.T) {
	is := is.New(t)
	e := &engines{state: citronplace.EngineState{Born: 200}}
	listed := engine("e1", 0, 0)
	listed.Born = 100
	s := state(listed)
	run(t, e, s)
	eventually(t, "the later start is noted", func() bool { return len(s.View.StartedAnew()) == 1 })
	is.Equal(len(e.orders()), 0)
}

// At the peak of a burst the leader is short of processor time. It misses the
// answer of an engine, its own traffic calls that engine dead, and it misses
// the answer to its question too; no other node complains. The engine is
// asked once more before anything is moved: called dead at once, thirty sound
// engines were replaced within three seconds, and their zones with them.
func TestOneSilenceIsNoDeath(t *testing.T) {
	s := state(engine("e1", 0, 4), engine("e2", 4, 8))
	s.Dead["e2"] = 1
	e := &engines{misses: map[string]int{"e2": 1}}
	run(t, e, s)
	time.Sleep(1200 * time.Millisecond)
	is.New(t).Equal(len(e.orders()), 0)
}

// The same engine does not answer the second question either: it is dead,
// though only one node has streams there, and its layers are placed.
func TestTwoSilencesAreADeath(t *testing.T) {
	s := state(engine("e1", 0, 4), engine("e2", 4, 8), engine("e3", 0, 4))
	s.Dead["e2"] = 1
	e := &engines{dead: "e2"}
	run(t, e, s)
	eventually(t, "an order for the hole", func() bool { return len(e.orders()) > 0 })
}

// An engine crashes behind a cut from the store and starts again, and does not
// tell when. The list goes on telling the layers that it held, and it answers
// every question, so it is not dead. But it has accepted no order since it
// started, so it cannot hold them: its layers are placed at once, not when its
// entry lapses, or a zone refuses its callers for four seconds.
func TestEngineThatForgotItsOrdersIsReplaced(t *testing.T) {
	s := state(engine("e1", 0, 4), engine("e2", 4, 8), engine("e3", 0, 0))
	s.Dead["e2"] = 1
	e := &engines{forgot: "e2"}
	run(t, e, s)
	hole := citronmodel.Span{From: 4, To: 8}
	eventually(t, "an order for the hole", func() bool {
		for _, g := range e.orders() {
			if g.engine == "e3" && g.span.Covers(hole) {
				return true
			}
		}
		return false
	})
}

// A node has just been elected and tells the others what engines are to hold, in
// the moment in which its term begins. What it tells must be the goals of before
// or of after, never a map in the making; the race detector sees the difference.
func TestGoalsAreAskedForWhileATermBegins(_ *testing.T) {
	for range 20 {
		p := &citronplacer.Placer{Clock: citronclock.Real{}, Log: slog.New(slog.DiscardHandler), Current: func() *citronplacer.State { return nil }}
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		wait.Go(func() { p.Run(ctx) })
		for range 100 {
			_ = p.Goals()
		}
		cancel()
		wait.Wait()
	}
}
