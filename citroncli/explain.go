package citroncli

// citrondeck explain: the story of a request, an engine or a version of the
// configuration, from the logs of all nodes.

import (
	"io"
	"os"

	"citrondeck.dev/citrondeck/citronexplain"
	"github.com/cockroachdb/errors"
)

type explainCmd struct {
	Request string   `help:"Request id: what became of it, and of the engines it met." xor:"subject" required:""`
	Engine  string   `help:"Engine id: its life in the fleet." xor:"subject" required:""`
	Version int64    `help:"Configuration version: when each node put it in force." xor:"subject" required:""`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Log files of the nodes; none: standard input."`
}

func init() {
	Register(Plugin{Name: "explain", Help: "Tell the story of a request, an engine or a configuration from the nodes' logs.", New: func() any { return &explainCmd{} }})
}

func (c *explainCmd) Run(g *Globals) error {
	subject := citronexplain.Subject{Request: c.Request, Engine: c.Engine, Version: c.Version}
	if len(c.Logs) == 0 {
		return citronexplain.Explain(g.Out, subject, os.Stdin)
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
	return citronexplain.Explain(g.Out, subject, logs...)
}
