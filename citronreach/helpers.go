package citronreach

import (
	"context"
	"io"

	"citrondeck.dev/citrondeck/citronhelper"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronrelay"
	"github.com/cockroachdb/errors"
)

// maxHelpers is how many helpers are asked for one call.
const maxHelpers = 4

// errNoHelper means that there is no node to ask.
var errNoHelper = errors.Mark(errors.New("no other node reaches engines"), citronrelay.ErrDeclined)

// askHelpers makes a call to the engine at addr through a helper. If a helper declines, it
// asks another one.
func askHelpers[T any](ctx context.Context, g *Engines, addr string, call func(context.Context, citronhelper.Helper) (T, error)) (T, error) {
	var answer T
	err := errNoHelper
	group := g.Neighbors(addr).Group
	helpers := g.helpers.Order(g.Helpers(), group, g.Clock.Now())
	for _, h := range helpers[:min(len(helpers), maxHelpers)] {
		if ctx.Err() != nil {
			break
		}
		answer, err = call(ctx, h)
		if err == nil {
			g.Links.RecordRelayed(addr)
		}
		if !errors.Is(err, citronrelay.ErrDeclined) {
			break
		}
		g.helpers.RecordDecline(h, group, g.Clock.Now())
	}
	return answer, err
}

// newHops returns a path as helpers are told it.
func newHops(p citronpath.Path) []citronrelay.Hop {
	hops := make([]citronrelay.Hop, len(p))
	for i, h := range p {
		hops[i] = citronrelay.Hop{Engine: h.Engine.ID, Span: h.Span}
	}
	return hops
}

// endingBody is a body that calls end when it is closed.
type endingBody struct {
	io.ReadCloser
	end func()
}

func (b endingBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}
