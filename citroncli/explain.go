package citroncli

// The explain command reconstructs the history of a request, an engine or a
// configuration version from the logs of all nodes, or summarizes the requests
// that were late, rejected or broken off.

import (
	"io"
	"os"
	"time"

	"citrondeck.dev/citrondeck/citronexplain"
	"github.com/cockroachdb/errors"
)

type explainCmd struct {
	Request string `help:"Request id: what became of it, and of the engines it met." xor:"subject" required:""`
	Engine  string `help:"Engine id: its life in the fleet." xor:"subject" required:""`
	Print   string `help:"Fingerprint of a request, as the log gives it: what became of it under all its ids." xor:"subject" required:""`
	Part    string `help:"Prompt part, as the log gives it in part: its crashes, its quarantine and the requests refused because of it." xor:"subject" required:""`
	Version int64  `help:"Configuration version: when each node put it in force." xor:"subject" required:""`
	Losses  bool   `help:"Which requests were late, refused or broken off: a table by cause (or --by), zone and time." xor:"subject" required:""`
	// Window and By apply only with Losses.
	Window time.Duration `help:"With --losses: the spans of time to count." default:"2s"`
	By     string        `help:"With --losses: what to group by: ${enum}. Zone is that of the node that was asked." enum:"cause,route,customer,zone" default:"cause"`
	Logs   []string      `arg:"" optional:"" type:"existingfile" help:"Log files of the nodes; none: standard input."`
}

func init() {
	Register(Plugin{Name: "explain", Help: "Tell the story of a request, an engine or a configuration from the nodes' logs.", New: func() any { return &explainCmd{} }})
}

func (c *explainCmd) Run(g *Globals) error {
	if len(c.Logs) == 0 {
		return c.explain(g, os.Stdin)
	}
	var logs []io.Reader
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer f.Close()
		logs = append(logs, f)
	}
	return c.explain(g, logs...)
}

func (c *explainCmd) explain(g *Globals, logs ...io.Reader) error {
	if c.Losses {
		if c.Window <= 0 {
			return errors.Newf("--window is %v, want a positive duration", c.Window)
		}
		return citronexplain.Losses(g.Out, citronexplain.LossOptions{Window: c.Window, By: citronexplain.Grouping(c.By)}, logs...)
	}
	subject := citronexplain.Subject{Request: c.Request, Engine: c.Engine, Fingerprint: c.Print, Part: c.Part, Version: c.Version}
	return citronexplain.Explain(g.Out, subject, logs...)
}
