package citronreach_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronlink"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronreach"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// invalidAnswers is a node whose engines answer with invalid heads.
type invalidAnswers struct{ *node }

func (invalidAnswers) Send(context.Context, citronupstream.Call) (*citronupstream.Reply, error) {
	return nil, errors.Wrap(citronbody.ErrInvalidHead, "status 000")
}

func (invalidAnswers) Reach(context.Context, string) error {
	return errors.Wrap(citronbody.ErrInvalidHead, "status 000")
}

// Guards against links that count as broken, and nodes that count as partitioned, because engines
// answer with invalid heads: those have arrived over the links.
func TestInvalidHeadIsNoBrokenLink(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	links := citronlink.NewLinks(citronclock.Real{}, slog.New(slog.DiscardHandler))
	set := w.nodes[0].engines.Settings
	set.Direct, set.Links = invalidAnswers{w.nodes[0]}, links
	g := citronreach.NewEngines(set)
	var addrs []string
	for _, e := range citronpool.Build(w.engines, nil).ByService["app"] {
		addrs = append(addrs, e.Addr)
		_, err := g.Send(context.Background(), citronupstream.Call{Request: &citronupstream.Request{ID: "r"}, Engine: e})
		is.True(errors.Is(err, citronbody.ErrInvalidHead))
		is.True(!errors.IsAny(err, citronupstream.ErrNotSent, citronupstream.ErrUnreachable))
	}
	g.Check(context.Background(), addrs)
	time.Sleep(100 * time.Millisecond) // the checks end
	is.Equal(links.Summary(), citronlink.Summary{Tried: len(addrs)})
	for _, addr := range addrs {
		is.True(!links.PrefersRelay(addr))
	}
}
