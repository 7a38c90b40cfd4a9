package citroncli

// The instances command writes the back ends of a fleet text to the stand-in of
// the instance list, or changes the state of one instance. It is for experiments
// only.

import (
	"context"
	"fmt"

	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

type instancesCmd struct {
	KV   string `help:"Base URL of the stand-in holding the instance list." default:"http://127.0.0.1:7000"`
	From string `help:"List every back end of this fleet text as live."`
	Name string `help:"Set the state of this instance."`
	As   string `help:"The state to set: live or leaving." default:"leaving" enum:"live,leaving"`
}

func init() {
	Register(Plugin{Name: "instances", Help: "Fill or change the instance-list stand-in (experiments only).", New: func() any { return &instancesCmd{} }})
}

func (c *instancesCmd) Run(g *Globals) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	kv := citronkv.NewClient(httpClient(), c.KV)
	var instances []citronkv.Instance
	switch {
	case c.Name != "":
		instances = append(instances, citronkv.Instance{Name: c.Name, State: citronkv.InstanceState(c.As)})
	case c.From != "":
		_, f, err := readFleet(c.From)
		if err != nil {
			return err
		}
		for _, s := range f.Services {
			for _, b := range s.Backends() {
				instances = append(instances, citronkv.Instance{Name: b.Name, Addr: b.Addr, Zone: b.Zone, State: citronkv.Live})
			}
		}
	default:
		return errors.New("--from FLEET or --name NAME is required")
	}
	for _, in := range instances {
		if err := kv.SetInstance(ctx, in); err != nil {
			return err
		}
	}
	fmt.Fprintf(g.Out, "%d instances set\n", len(instances))
	return nil
}
