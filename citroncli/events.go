package citroncli

// The events command prints the catalogue of numbered log events, which is the
// table in docs/EVENTS.md.

import "citrondeck.dev/citrondeck/citronevent"

type eventsCmd struct{}

func init() {
	Register(Plugin{Name: "events", Help: "Print the catalogue of numbered log events.", New: func() any { return &eventsCmd{} }})
}

func (*eventsCmd) Run(g *Globals) error { return citronevent.WriteCatalogue(g.Out) }
