package citroncli

// The load command sends a surge of requests to the entries and compares every
// answer with the expected one. It exits with a non-zero code if a request got no
// answer or a wrong one, or if the upstreams ran a non-idempotent call more than once.

import (
	"context"
	"fmt"
	"time"

	"citrondeck.dev/citrondeck/citronload"
	"github.com/cockroachdb/errors"
)

type loadCmd struct {
	Entry     string        `help:"An entry to ask which entries to use (host:port)." default:"127.0.0.1:8081"`
	Zone      string        `help:"The caller's zone." default:""`
	File      string        `short:"f" help:"The fleet text in force (to know services, layers and customers)." required:""`
	Count     int           `help:"Requests to send." default:"200"`
	Rate      float64       `help:"Requests per second; 0 sends as fast as the workers allow." default:"0"`
	Workers   int           `help:"Callers sending at once." default:"32"`
	Tokens    int           `help:"Tokens per model request." default:"8"`
	Tries     int           `help:"Times one request may be sent, across entries." default:"4"`
	TryFor    time.Duration `help:"Longest one try may take before the next entry is tried." default:"5s"`
	Timeout   time.Duration `help:"Longest the whole surge may take." default:"5m"`
	At        string        `help:"Hour at which the surge starts, today, as HH:MM:SS (default: now)."`
	Urgent    float64       `help:"Share of the requests sent with priority 9, from 0 to 1." default:"0"`
	Service   string        `help:"Send to this service only (default: all in turn)."`
	RunPrefix string        `help:"Prefix for prompts and idempotency keys (default: the time)."`
}

func init() {
	Register(Plugin{Name: "load", Help: "Fire a surge of requests and count lost, doubled and misdelivered answers.", New: func() any { return &loadCmd{} }})
}

func (c *loadCmd) Run(g *Globals) error {
	_, f, err := readFleet(c.File)
	if err != nil {
		return err
	}
	prefix := c.RunPrefix
	if prefix == "" {
		prefix = fmt.Sprintf("run%d", time.Now().UnixNano())
	}
	wait, err := untilTimeOfDay(c.At, time.Now())
	if err != nil {
		return err
	}
	time.Sleep(wait)
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	r, err := citronload.Run(ctx, httpClient(), citronload.Plan{
		Entry: c.Entry, Zone: c.Zone, Fleet: f, Count: c.Count, Rate: c.Rate,
		Workers: c.Workers, MaxTokens: c.Tokens, Tries: c.Tries, TryTimeout: c.TryFor, Prefix: prefix, Service: c.Service, Urgent: c.Urgent,
	})
	if err != nil {
		return err
	}
	r.Print(g.Out)
	if r.Lost+r.Doubled+r.Misdelivered > 0 {
		return errors.Newf("%d lost, %d doubled, %d misdelivered", r.Lost, r.Doubled, r.Misdelivered)
	}
	return nil
}

// untilTimeOfDay returns the time from now until timeOfDay (HH:MM:SS)
// today. It returns zero if timeOfDay is empty or has passed.
func untilTimeOfDay(timeOfDay string, now time.Time) (time.Duration, error) {
	if timeOfDay == "" {
		return 0, nil
	}
	t, err := time.ParseInLocation(time.TimeOnly, timeOfDay, now.Location())
	if err != nil {
		return 0, errors.Newf("--at %q: want HH:MM:SS", timeOfDay)
	}
	y, m, d := now.Date()
	at := time.Date(y, m, d, t.Hour(), t.Minute(), t.Second(), 0, now.Location())
	return max(0, at.Sub(now)), nil
}
