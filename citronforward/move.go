package citronforward

import (
	"citrondeck.dev/citrondeck/citronmove"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
)

// moveCost returns the cost of moving the stream to an engine, or nil if its engine has
// not failed but is only leaving: few streams move then at the same time.
func (w *watch) moveCost(q citronpath.Query) func(*citronpool.Engine) float64 {
	if w.reason == reasonLeaving {
		return nil
	}
	costs := map[string]float64{} // the search asks for the same engine repeatedly
	return func(e *citronpool.Engine) float64 {
		c, ok := costs[e.ID]
		if !ok {
			c = citronmove.Cost(w.s.ID, e.ID, citronmove.Weight(q.Spec, e.Kind, 1-q.Utilization(e)))
			costs[e.ID] = c
		}
		return c
	}
}

// isDelayed reports whether the move to path p is held back for now. A stream that has not
// begun is not delayed, nor is one whose engine is alive: leaving, or reported by the first
// engine as the one that the stream waits for.
func (w *watch) isDelayed(q citronpath.Query, p citronpath.Path) bool {
	if !w.s.begun || w.reason == reasonLeaving || w.reason == reasonStalled {
		return false
	}
	if w.delayedUntil.IsZero() {
		w.delay = w.plannedMove(q, p).Delay()
		w.delayedUntil = q.Now.Add(w.delay)
	}
	return q.Now.Before(w.delayedUntil)
}

// plannedMove describes the move to path p.
func (w *watch) plannedMove(q citronpath.Query, p citronpath.Path) citronmove.Move {
	s, lost := w.s, w.badHop
	zone := lost.Engine.Zone
	m := citronmove.Move{
		Stream: s.ID, AllowedPause: s.route.MaxEventGap, Silence: q.Now.Sub(s.lastEventAt), Streams: lost.Engine.Inflight(),
		OwnTokens: q.OwnTokens[zone], AllTokens: q.OwnTokens[zone] + q.OthersTokens[zone],
	}
	for _, h := range p {
		if !s.path.Has(h.Engine.ID) {
			m.Prefill += citronmove.PrefillTime(q.Spec, h.Engine.Kind, h.Span.Len(), s.Tokens())
		}
	}
	for _, e := range s.f.Current().View.ByService[s.service.Name] {
		if e.Zone == zone && !q.Avoid[e.ID] && e.Layers.Covers(lost.Span) && e.Healthy(q.Now) {
			m.Holders++
		}
	}
	return m
}

// replacedEngines returns the number of engines on the path that are replaced, at least 1.
func (w *watch) replacedEngines() int {
	n := 0
	for _, h := range w.s.path {
		if w.s.avoid[h.Engine.ID] {
			n++
		}
	}
	return max(1, n)
}
