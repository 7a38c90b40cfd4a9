package citroncli

// The operators' commands check, apply and audit. check reads a fleet text and
// reports the line and column of each problem. apply checks the text and stores
// it with compare-and-swap. With --expect, two operators who edit at the same time
// cannot overwrite each other unnoticed; without it, apply replaces whatever is
// active when it starts. audit prints the author and the fleet of each change.

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronconfig"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

// operatorTimeout bounds one operator command, including all calls to the KV
// service.
const operatorTimeout = 15 * time.Second

type checkCmd struct {
	File string `short:"f" help:"Fleet text to check." required:""`
	List bool   `help:"Also print one line per back end: kind, name, addr, zone, layers, capacity."`
}

type applyCmd struct {
	File string `short:"f" help:"Fleet text to apply." required:""`
	KV   string `help:"Base URL of the KV service." default:"http://127.0.0.1:7000"`
	// Expect is the revision that the operator edited, or AnyRevision. apply fails
	// if the active fleet has another revision than the one expected.
	Expect citronkv.Revision `help:"Apply only if the fleet in force is at this revision (-1: whatever it is now)." default:"-1"`
	Who    string            `help:"Operator name for the audit trail (default: the login name)."`
}

type auditCmd struct {
	KV string `help:"Base URL of the KV service." default:"http://127.0.0.1:7000"`
}

func init() {
	Register(Plugin{Name: "check", Help: "Check a fleet text; print each problem with its line and column.", New: func() any { return &checkCmd{} }})
	Register(Plugin{Name: "apply", Help: "Check a fleet text and put it in force with compare-and-swap; audit the change.", New: func() any { return &applyCmd{} }})
	Register(Plugin{Name: "audit", Help: "Print the audit trail: every change of configuration, oldest first.", New: func() any { return &auditCmd{} }})
}

// readFleet reads and parses the fleet text at path.
func readFleet(path string) ([]byte, citronfleet.Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, citronfleet.Fleet{}, errors.Wrap(err, "read fleet text")
	}
	f, err := citronfleet.Parse(path, text)
	return text, f, err
}

// config returns access to the configuration in the KV service at base.
func config(base string) citronconfig.Config {
	return citronconfig.Config{KV: citronkv.NewClient(httpClient(), base), Clock: citronclock.Real{}}
}

func (c *checkCmd) Run(g *Globals) error {
	_, f, err := readFleet(c.File)
	if err != nil {
		return err
	}
	backends := 0
	for _, s := range f.Services {
		backends += len(s.Backends())
		for _, b := range s.Backends() {
			if c.List {
				fmt.Fprintf(g.Out, "%s %s %s %s %d:%d %d\n", s.Kind, b.Name, b.Addr, b.Zone, b.Range[0], b.Range[1], b.Capacity)
			}
		}
	}
	if c.List {
		return nil
	}
	fmt.Fprintf(g.Out, "%s: fleet %q is good: %d zones, %d customers, %d services, %d back ends\n", c.File, f.Name, len(f.Zones), len(f.Customers), len(f.Services), backends)
	return nil
}

func (c *applyCmd) Run(g *Globals) error {
	text, f, err := readFleet(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	log := g.Logger().With("role", "apply")
	ch, err := config(c.KV).Apply(ctx, c.File, text, c.operatorName(), c.Expect)
	switch {
	case errors.Is(err, citronconfig.ErrRace):
		citronevent.Log(ctx, log, citronevent.ConfigApplyRace, "expected", c.Expect.String(), "err", err)
		return errors.Wrap(err, "another operator applied first; read the fleet again, merge, and apply")
	case errors.Is(err, citronconfig.ErrOutcomeUnknown):
		return errors.Wrap(err, "the KV service failed in between; see `citrondeck audit` before applying again")
	case err != nil:
		return err
	}
	citronevent.Log(ctx, log, citronevent.ConfigAudited, "revision", ch.Revision.String(), "who", ch.Who)
	fmt.Fprintf(g.Out, "applied fleet %q at revision %v (was %v)\n", f.Name, ch.Revision, ch.Previous)
	return nil
}

// operatorName returns the name for the audit trail: the flag if set, else the
// login name.
func (c *applyCmd) operatorName() string {
	if c.Who != "" {
		return c.Who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (c *auditCmd) Run(g *Globals) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	trail, err := config(c.KV).AuditTrail(ctx)
	if err != nil {
		return err
	}
	for _, ch := range trail {
		fmt.Fprintf(g.Out, "%v (was %v) %s %s fleet %q sha256 %.12s\n", ch.Revision, ch.Previous, ch.At.Format(time.RFC3339), ch.Who, ch.Fleet, ch.SHA256)
	}
	return nil
}
