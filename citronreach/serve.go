package citronreach

import (
	"context"
	"syscall"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citrongate"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronrelay"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// maxRelayed is how many requests of other nodes a node relays at a time. Each of them takes
// about as much memory as a caller's own.
const maxRelayed = 512

// Server makes the calls of other nodes over this node's own connections. It declines what
// it cannot do or cannot judge, so that they ask another node.
type Server struct {
	engines *Engines
	// view returns the newest list of engines, or nil before the first one.
	view func() *citronpool.View
	// gate returns the gate through which the calls are sent, or nil if there is none yet.
	gate func() *citrongate.Gate
	// track counts a call in flight until the returned function is called. It returns nil
	// if the node is stopping.
	track func() func()
	slots chan struct{}
}

var _ citronrelay.Helper = (*Server)(nil)

// NewServer returns a server that makes calls by engines.
func NewServer(engines *Engines, view func() *citronpool.View, gate func() *citrongate.Gate, track func() func()) *Server {
	return &Server{engines: engines, view: view, gate: gate, track: track, slots: make(chan struct{}, maxRelayed)}
}

// Send implements citronrelay.Helper.
func (s *Server) Send(ctx context.Context, c citronrelay.Call) (*citronupstream.Reply, error) {
	call, err := s.resolve(c)
	if err != nil {
		return nil, err
	}
	if err := s.reaches(ctx, call.Engine.Addr); err != nil {
		return nil, err
	}
	gate := s.gate()
	if gate == nil {
		return nil, errors.Wrap(citronrelay.ErrDeclined, "this node sends no requests yet")
	}
	end, err := s.admit()
	if err != nil {
		return nil, err
	}
	began := s.engines.Clock.Now()
	reply, err := gate.Send(ctx, call)
	if err != nil {
		end()
		return nil, s.judge(ctx, call.Engine.Addr, began, err)
	}
	citronevent.Log(ctx, s.engines.Log, citronevent.RelayServed, "request", call.ID, "engine", call.Engine.ID, "peer", c.From, "status", reply.Status)
	reply.Body = endingBody{reply.Body, end}
	return reply, nil
}

// admit counts a call as running, or declines it. The returned function ends it.
func (s *Server) admit() (end func(), err error) {
	done := s.track()
	if done == nil {
		return nil, errors.Wrap(citronrelay.ErrDeclined, "this node is stopping")
	}
	select {
	case s.slots <- struct{}{}:
		return func() { <-s.slots; done() }, nil
	default:
		done()
		return nil, errors.Wrapf(citronrelay.ErrDeclined, "this node relays %d requests already", maxRelayed)
	}
}

// resolve returns a call with the engines as this node knows them.
func (s *Server) resolve(c citronrelay.Call) (citronupstream.Call, error) {
	first, err := s.engine(c.Engine)
	if err != nil {
		return citronupstream.Call{}, err
	}
	path, err := s.path(c.Path)
	if err != nil {
		return citronupstream.Call{}, err
	}
	return citronupstream.Call{Request: c.Request, Engine: first, EnginePath: path, Customer: c.Customer, TimeLeft: c.TimeLeft, AfterEvent: c.AfterEvent, NoRetry: c.NoRetry, Urgency: c.Urgency, DirectOnly: true}, nil
}

// engine returns the engine with an ID, or declines the call if this node does not know it.
func (s *Server) engine(id string) (*citronpool.Engine, error) {
	if v := s.view(); v != nil {
		if e, ok := v.ByID(id); ok {
			return e, nil
		}
	}
	return nil, errors.Wrapf(citronrelay.ErrDeclined, "engine %s is not known here", id)
}

func (s *Server) path(hops []citronrelay.Hop) (citronpath.Path, error) {
	path := make(citronpath.Path, len(hops))
	for i, h := range hops {
		e, err := s.engine(h.Engine)
		if err != nil {
			return nil, err
		}
		path[i] = citronpath.Hop{Engine: e, Span: h.Span}
	}
	return path, nil
}

// known declines a call to an address that is not an engine's, or whose link is broken.
func (s *Server) known(ctx context.Context, addr string) error {
	if v := s.view(); v != nil {
		if _, ok := v.ByAddr(addr); ok {
			return s.reaches(ctx, addr)
		}
	}
	return errors.Wrapf(citronrelay.ErrDeclined, "no engine at %s is known here", addr)
}

// reaches declines a call to an engine that this node needs helpers for itself. It looks
// whether that is still so: its links may be back while those of the asking node fail.
func (s *Server) reaches(ctx context.Context, addr string) error {
	if !s.engines.Links.IsBroken(addr) {
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := s.engines.reach(limit, addr); err != nil {
		s.engines.recordFailure(ctx, addr, err)
		return errors.Wrapf(citronrelay.ErrDeclined, "this node does not reach %s itself: %v", addr, err)
	}
	s.engines.Links.RecordReached(addr)
	return nil
}

// judge returns the error that the asking node gets for a call that began at the given time
// and failed here. If the call was not sent, this node tells so only if its own links work.
func (s *Server) judge(ctx context.Context, addr string, began time.Time, err error) error {
	switch {
	case citrongate.IsHeld(err):
		return errors.Wrapf(citronrelay.ErrDeclined, "%v", err)
	case !errors.Is(err, citronupstream.ErrNotSent):
		return err
	case s.engines.isInconclusive(err, began):
		return errors.Wrapf(citronrelay.ErrDeclined, "this node runs late: %v", err)
	case s.engines.Links.HeardSince(addr, began):
		return errors.Wrapf(citronrelay.ErrDeclined, "the engine sends on older connections: %v", err)
	case !s.engines.proof.linksWork(ctx, s.engines.Neighbors(addr)):
		return errors.Wrapf(citronrelay.ErrDeclined, "this node does not reach the neighbors either: %v", err)
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.Wrapf(citronrelay.ErrRefused, "%v", err)
	case s.engines.answers(ctx, addr):
		return errors.Wrapf(citronrelay.ErrDeclined, "the engine answers now, packets may be lost on the way to it: %v", err)
	}
	return errors.Wrapf(citronrelay.ErrUnreached, "%v", err)
}

// answerShare is the share of the asking node's time limit that is left for the answer and
// for the proof that this node's links work.
const answerShare = 0.5

// ask asks the engine at addr over this node's own link. If the engine does not answer
// within a part of the time that ctx leaves, that is its answer.
func ask[T any](ctx context.Context, s *Server, addr string, direct func(context.Context, string) (T, error)) (T, error) {
	var none T
	if err := s.known(ctx, addr); err != nil {
		return none, err
	}
	limit := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		limit, cancel = context.WithTimeout(ctx, time.Duration(float64(time.Until(deadline))*(1-answerShare)))
		defer cancel()
	}
	began := s.engines.Clock.Now()
	answer, err := direct(limit, addr)
	if err == nil {
		s.engines.Links.RecordReached(addr)
		return answer, nil
	}
	s.engines.recordFailure(ctx, addr, err)
	return none, s.judge(ctx, addr, began, errors.Mark(err, citronupstream.ErrNotSent))
}

// Report implements citronrelay.Helper.
func (s *Server) Report(ctx context.Context, addr string) (citronupstream.Report, error) {
	return ask(ctx, s, addr, s.engines.Direct.Report)
}

// State implements citronrelay.Helper.
func (s *Server) State(ctx context.Context, addr string) (citronplace.EngineState, error) {
	return ask(ctx, s, addr, s.engines.Direct.State)
}

// Place implements citronrelay.Helper.
func (s *Server) Place(ctx context.Context, o citronrelay.Order) error {
	e, err := s.engine(o.Engine)
	if err != nil {
		return err
	}
	began := s.engines.Clock.Now()
	if err := s.engines.Direct.Place(ctx, e.Engine, o.Order, o.Accepted); err != nil {
		return s.judge(ctx, e.Addr, began, err)
	}
	return nil
}

// Repath implements citronrelay.Helper.
func (s *Server) Repath(ctx context.Context, r citronrelay.Repath) error {
	if err := s.known(ctx, r.First); err != nil {
		return err
	}
	path, err := s.path(r.Path)
	if err != nil {
		return err
	}
	began := s.engines.Clock.Now()
	if err := s.engines.Direct.Repath(ctx, r.First, r.ID, path); err != nil {
		return s.judge(ctx, r.First, began, err)
	}
	return nil
}
