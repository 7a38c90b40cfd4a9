// Package citronreach reaches engines from a node, over the node's own connections or
// through another node.
//
// That a node does not reach an engine is a fact about the two of them and not about the
// engine: the engine may be sound, and other nodes may reach it. So a call that could not be
// sent over the node's own link is passed on to a helper, another node that makes it:
//
//	call -> own link --- not sent ---> helper -> engine
//	            |                         |
//	          Links <--- results ---------+
//
// citronlink keeps what is known of each link. While another node reaches an engine that
// this one does not, calls go to helpers at once, and the link is checked from time to time.
// An engine counts as unreachable for all only if a helper fails as well and proves that its
// own links work, by reaching a neighbor of the engine. Without such proof the error is
// ErrUnreachable, which tells nothing about the engine.
package citronreach

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronhelper"
	"citrondeck.dev/citrondeck/citronlag"
	"citrondeck.dev/citrondeck/citronlink"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronrelay"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
)

// Direct talks to engines over this node's own connections.
type Direct interface {
	citronupstream.Engines
	citronplace.EngineClient
	// Reach gets an answer from the engine at addr over a new connection. An open
	// connection may live on although new ones are refused, and a connection may be accepted
	// although nothing arrives on it.
	Reach(ctx context.Context, addr string) error
}

// Settings configures Engines.
type Settings struct {
	// Node is the name of this node.
	Node   string
	Direct Direct
	Links  *citronlink.Links
	Relays *citronrelay.Client
	// Helpers returns the nodes that may be asked to make calls.
	Helpers func() []citronhelper.Helper
	// Neighbors returns the engines that are most likely to share what happens to the links
	// to the engine at addr.
	Neighbors func(addr string) Neighbors
	Clock     citronclock.Clock
	Log       *slog.Logger
	// Lag measures the scheduling delay of this node. It may be nil.
	Lag *citronlag.Monitor
}

// Engines talks to engines over this node's own connections or through other nodes.
type Engines struct {
	Settings
	helpers citronhelper.Chooser
	proof   prover
}

var _ citronplace.EngineClient = (*Engines)(nil)

// NewEngines returns a client for engines.
func NewEngines(s Settings) *Engines {
	g := &Engines{Settings: s}
	g.proof = prover{links: s.Links, reach: g.reach, clock: s.Clock}
	return g
}

// reach checks whether this node reaches the engine at addr. An answer that is not valid has arrived
// over the link all the same.
func (g *Engines) reach(ctx context.Context, addr string) error {
	if err := g.Direct.Reach(ctx, addr); !errors.Is(err, citronbody.ErrInvalidHead) {
		return err
	}
	return nil
}

// Send implements citronupstream.Engines.
func (g *Engines) Send(ctx context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	if c.DirectOnly {
		return g.sendDirect(ctx, c)
	}
	began := g.Clock.Now()
	addr := c.Engine.Addr
	var own error
	if !g.Links.PrefersRelay(addr) {
		reply, err := g.sendDirect(ctx, c)
		if err == nil || !errors.Is(err, citronupstream.ErrNotSent) {
			return reply, err
		}
		if ctx.Err() != nil {
			return nil, errors.Mark(unreachable(addr, err), citronupstream.ErrNotSent)
		}
		own = err
	}
	reply, err := g.relaySend(ctx, c, began)
	switch {
	case err == nil || !isNotSent(err):
		return reply, err
	case own == nil && errors.Is(err, citronrelay.ErrDeclined) && ctx.Err() == nil:
		reply, own = g.sendDirect(ctx, c) // no node helps; the link may be back
		if own == nil || !errors.Is(own, citronupstream.ErrNotSent) {
			return reply, own
		}
	}
	return nil, errors.Mark(g.explain(ctx, addr, began, own, err), citronupstream.ErrNotSent)
}

// sendDirect makes a call over this node's own link.
func (g *Engines) sendDirect(ctx context.Context, c citronupstream.Call) (*citronupstream.Reply, error) {
	addr := c.Engine.Addr
	overdue := time.AfterFunc(citronlink.MaxSilence, func() { g.checkSilent(ctx, addr) })
	defer overdue.Stop()
	reply, err := g.Direct.Send(ctx, c)
	switch {
	case err == nil:
		g.Links.RecordReached(addr)
		reply.Body = heardBody{reply.Body, g.Links, addr}
	case errors.Is(err, citronupstream.ErrNotSent):
		g.recordFailure(ctx, addr, err)
	case errors.Is(err, citronbody.ErrInvalidHead):
		g.Links.RecordReached(addr)
	case ctx.Err() == nil:
		g.checkSilent(ctx, addr) // the connection was cut before the response
	}
	return reply, err
}

// maxNeighborChecks is how many neighbors of an engine are checked when the link to it is found
// broken. Together with it they are enough to show that the node is partitioned.
const maxNeighborChecks = 3

// checkSilent checks the link to an engine from which nothing has arrived lately, and if it is
// broken, those to some neighbors: connections over a broken link may be accepted all the same,
// and a request would be lost on each of them.
func (g *Engines) checkSilent(ctx context.Context, addr string) {
	if g.Lag.LateSince(g.Clock.Now().Add(-citronlink.MaxSilence)) || !g.Links.BeginCheck(addr) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		if !g.findBroken(ctx, addr) {
			return
		}
		neighbors := g.Neighbors(addr).Addrs
		begun := 0
		for _, i := range rand.Perm(len(neighbors)) {
			if begun < maxNeighborChecks && g.Links.BeginCheck(neighbors[i]) {
				begun++
				go g.findBroken(ctx, neighbors[i])
			}
		}
	}()
}

// findBroken checks the link to the engine at addr and reports whether it is broken. If the
// check fails, it asks a helper whether that is so or the engine is down.
func (g *Engines) findBroken(ctx context.Context, addr string) bool {
	if g.check(ctx, addr) {
		return false
	}
	if g.Links.IsBroken(addr) {
		return true
	}
	limit, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	// The result is recorded for the link. An error tells nothing about it.
	_, _ = askHelpers(limit, g, addr, func(ctx context.Context, h citronhelper.Helper) (citronupstream.Report, error) {
		return g.Relays.Report(ctx, h.Peer, addr)
	})
	return g.Links.IsBroken(addr)
}

// Check checks the links at the given addresses.
func (g *Engines) Check(ctx context.Context, addrs []string) {
	for _, addr := range addrs {
		go g.check(ctx, addr)
	}
}

// check reports whether this node reaches the engine at addr.
func (g *Engines) check(ctx context.Context, addr string) bool {
	limit, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := g.reach(limit, addr); err != nil {
		g.recordFailure(ctx, addr, err)
		return false
	}
	g.Links.RecordReached(addr)
	return true
}

// heardBody is the body of a response that records when a part of it arrives, and whether its
// connection is cut.
type heardBody struct {
	io.ReadCloser
	links *citronlink.Links
	addr  string
}

func (b heardBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.links.RecordHeard(b.addr)
	}
	if err != nil && !errors.IsAny(err, io.EOF, context.Canceled) {
		b.links.RecordCut(b.addr)
	}
	return n, err
}

// relaySend asks helpers, one after the other, to make a call.
func (g *Engines) relaySend(ctx context.Context, c citronupstream.Call, began time.Time) (*citronupstream.Reply, error) {
	relayed := citronrelay.Call{From: g.Node, Engine: c.Engine.ID, Path: newHops(c.EnginePath), Request: c.Request, Customer: c.Customer, AfterEvent: c.AfterEvent, NoRetry: c.NoRetry, Urgency: c.Urgency}
	return askHelpers(ctx, g, c.Engine.Addr, func(ctx context.Context, h citronhelper.Helper) (*citronupstream.Reply, error) {
		if c.OnRelay != nil {
			c.OnRelay()
		}
		relayed.TimeLeft = c.TimeLeft - g.Clock.Now().Sub(began)
		end := g.helpers.Begin(h)
		reply, err := g.Relays.Send(ctx, h.Peer, relayed)
		if err != nil {
			end()
			citronevent.Log(ctx, g.Log, citronevent.RelayFailed, "request", c.ID, "engine", c.Engine.ID, "through", h.Name, "err", err)
			return nil, err
		}
		context.AfterFunc(ctx, end) // the body is not closed if the caller has left
		reply.Body = endingBody{reply.Body, end}
		citronevent.Log(ctx, g.Log, citronevent.RequestRelayed, "request", c.ID, "engine", c.Engine.ID, "through", h.Name, "status", reply.Status)
		return reply, nil
	})
}

// Report implements citronupstream.Engines.
func (g *Engines) Report(ctx context.Context, addr string) (citronupstream.Report, error) {
	r, err := hedge(ctx, g, addr, g.Direct.Report, func(ctx context.Context, h citronhelper.Helper) (citronupstream.Report, error) {
		return g.Relays.Report(ctx, h.Peer, addr)
	})
	// A helper that answers first is no proof that this node's link is broken.
	r.Relayed = r.Relayed && g.Links.PrefersRelay(addr)
	return r, err
}

// State implements citronplace.EngineClient.
func (g *Engines) State(ctx context.Context, addr string) (citronplace.EngineState, error) {
	return hedge(ctx, g, addr, g.Direct.State, func(ctx context.Context, h citronhelper.Helper) (citronplace.EngineState, error) {
		return g.Relays.State(ctx, h.Peer, addr)
	})
}

// Repath implements citronupstream.Engines.
func (g *Engines) Repath(ctx context.Context, first, id string, path citronpath.Path) error {
	direct := func() error { return g.Direct.Repath(ctx, first, id, path) }
	return g.order(ctx, first, direct, func(ctx context.Context, h citronhelper.Helper) error {
		return g.Relays.Repath(ctx, h.Peer, citronrelay.Repath{First: first, ID: id, Path: newHops(path)})
	})
}

// Place implements citronplace.EngineClient.
func (g *Engines) Place(ctx context.Context, e citronmodel.Engine, o citronplace.Order, accepted int64) error {
	direct := func() error { return g.Direct.Place(ctx, e, o, accepted) }
	return g.order(ctx, e.Addr, direct, func(ctx context.Context, h citronhelper.Helper) error {
		return g.Relays.Place(ctx, h.Peer, citronrelay.Order{Engine: e.ID, Order: o, Accepted: accepted})
	})
}

// order gives an order over this node's own link, or through a helper if it was not sent.
func (g *Engines) order(ctx context.Context, addr string, direct func() error, relay func(context.Context, citronhelper.Helper) error) error {
	if !g.Links.PrefersRelay(addr) {
		err := direct()
		if err == nil {
			g.Links.RecordReached(addr)
		}
		if !errors.Is(err, citronupstream.ErrNotSent) || ctx.Err() != nil {
			return err
		}
		g.recordFailure(ctx, addr, err)
	}
	_, err := askHelpers(ctx, g, addr, func(ctx context.Context, h citronhelper.Helper) (struct{}, error) {
		return struct{}{}, relay(ctx, h)
	})
	if isNotSent(err) {
		return errors.Mark(err, citronupstream.ErrUnreachable)
	}
	return err
}

// hedgeDelay is how long a question to an engine remains unanswered before a helper is asked
// too. A sound engine answers within a few milliseconds.
const hedgeDelay = 60 * time.Millisecond

// hedge asks an engine over this node's own link, and through a helper too if that takes long
// or fails. It returns the first answer.
func hedge[T any](ctx context.Context, g *Engines, addr string, direct func(context.Context, string) (T, error), relay func(context.Context, citronhelper.Helper) (T, error)) (T, error) {
	began := g.Clock.Now()
	if g.Links.PrefersRelay(addr) {
		answer, err := askHelpers(ctx, g, addr, relay)
		if err == nil {
			return answer, nil
		}
		return answer, g.explain(ctx, addr, began, nil, err)
	}
	own := make(chan result[T], 1)
	go func() {
		ctx, cancel := detach(ctx)
		defer cancel()
		answer, err := direct(ctx, addr)
		switch {
		case err == nil:
			g.Links.RecordReached(addr)
		default:
			g.recordFailure(ctx, addr, err)
		}
		own <- result[T]{answer, err}
	}()
	slow := citronclock.NewTimer(hedgeDelay)
	defer slow.Stop()
	var mine *result[T]
	select {
	case r := <-own:
		if r.err == nil {
			return r.answer, nil
		}
		mine = &r
	case <-slow.C:
		if g.Lag.LateSince(began) { // the answer may have arrived
			r := <-own
			if r.err == nil {
				return r.answer, nil
			}
			mine = &r
		}
	case <-ctx.Done():
		r := <-own
		if r.err != nil {
			r.err = unreachable(addr, r.err)
		}
		return r.answer, r.err
	}
	theirs := make(chan result[T], 1)
	go func() {
		answer, err := askHelpers(ctx, g, addr, relay)
		theirs <- result[T]{answer, err}
	}()
	var other *result[T]
	for mine == nil || other == nil {
		select {
		case r := <-own:
			if r.err == nil {
				return r.answer, nil
			}
			mine, own = &r, nil
		case r := <-theirs:
			if r.err == nil {
				return r.answer, nil
			}
			other, theirs = &r, nil
		}
	}
	return mine.answer, g.explain(ctx, addr, began, mine.err, other.err)
}

// detach returns a context with the deadline of ctx that is not canceled with it.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}

// result is an answer or an error.
type result[T any] struct {
	answer T
	err    error
}

// recordFailure records that this node could not reach an engine, because of err, unless the
// caller canceled the call or the node ran too late to tell.
func (g *Engines) recordFailure(ctx context.Context, addr string, err error) {
	if !errors.Is(ctx.Err(), context.Canceled) && !g.isInconclusive(err, g.Clock.Now().Add(-checkTimeout)) {
		g.Links.RecordUnreached(addr)
	}
}

// isInconclusive reports whether a call that began at the given time failed for want of an
// answer, while this node ran late and may not have read it.
func (g *Engines) isInconclusive(err error, began time.Time) bool {
	return isTimeout(err) && g.Lag.LateSince(began)
}

// isTimeout reports whether an error says that there was no answer in time.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isNotSent reports whether a helper's error means that the engine did not get the call.
func isNotSent(err error) bool {
	return errors.IsAny(err, citronrelay.ErrDeclined, citronrelay.ErrUnreached, citronrelay.ErrRefused)
}
