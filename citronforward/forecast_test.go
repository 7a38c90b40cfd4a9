package citronforward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronforecast"
	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against outcomes that the forecast doesn't learn from: late first events, callers
// that left because there was none, and the size of complete streams. Resumed streams must
// not count, as engines run them before others and their size is only a part.
func TestOutcomesOfStreamsCorrectForecast(t *testing.T) {
	const delay = 80 * time.Millisecond // more than ten times the declared time to the first event
	declared := citronforecast.Request{Route: "stream", PromptTokens: 100, OutputTokens: 20}
	for _, c := range []struct {
		name       string
		answers    bool
		wait       time.Duration
		change     func(*citronupstream.Request)
		late       bool
		wantTokens int
	}{
		{"late first event", true, time.Second, func(*citronupstream.Request) {}, true, 105},
		{"caller left before the first event", false, delay, func(*citronupstream.Request) {}, true, 120},
		{"resumed by the caller", true, time.Second, func(r *citronupstream.Request) { r.ResumeAfter = "1" }, false, 120},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestForwarder(t, modelEngine("m1", "a", 0, 8))
			f.engines.answer = func(ctx context.Context, _ int, _ citronupstream.Call) (*citronupstream.Reply, error) {
				if !c.answers {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				time.Sleep(delay)
				return reply(http.StatusOK, events(1, 5)), nil
			}
			for range 3 {
				f.ask("stream", c.wait, c.change)
			}
			e, _ := f.view.ByID("m1")
			p, now := citronpath.Path{{Engine: e, Span: e.Layers}}, time.Now()
			factor := float64(f.Forecast.FirstEvent(declared, p, spec, now)) / float64(citronforecast.DeclaredFirstEvent(declared, p, spec, now))
			is.Equal(factor > 5, c.late)
			is.Equal(f.Forecast.Tokens(declared), c.wantTokens)
		})
	}
}
