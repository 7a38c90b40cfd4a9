package citroncli

// citrondeck check and citrondeck apply: the operators' commands. check
// reads a fleet text and names the line and column of each problem.
// apply checks it, then writes it to the KV service with compare-and-swap
// on the revision it read, so two operators editing at once cannot
// overwrite each other unseen, and records an audit entry.

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"time"

	"citrondeck.dev/citrondeck/citronentry"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

type checkCmd struct {
	File string `short:"f" help:"Fleet text to check." required:"" type:"existingfile"`
	List bool   `help:"Also print one line per back end: kind, name, addr, zone, layers, capacity."`
}

type applyCmd struct {
	File string `short:"f" help:"Fleet text to apply." required:"" type:"existingfile"`
	KV   string `help:"Base URL of the KV service." default:"http://127.0.0.1:7000"`
	// Expect pins the revision the operator edited from; zero takes the
	// revision read just before writing.
	Expect int64  `help:"Apply only if the fleet in force is at this revision (0: the one read now)."`
	Who    string `help:"Operator name for the audit trail (default: the login name)."`
}

func init() {
	Register(Plugin{Name: "check", Help: "Check a fleet text; print each problem with its line and column.", New: func() any { return &checkCmd{} }})
	Register(Plugin{Name: "apply", Help: "Check a fleet text and put it in force with compare-and-swap; audit the change.", New: func() any { return &applyCmd{} }})
}

func readFleet(path string) ([]byte, citronfleet.Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, citronfleet.Fleet{}, errors.Wrap(err, "read fleet text")
	}
	f, err := citronfleet.Parse(path, text)
	return text, f, err
}

func (c *checkCmd) Run(g *Globals) error {
	_, f, err := readFleet(c.File)
	if err != nil {
		return err
	}
	engines := 0
	for _, s := range f.Services {
		engines += len(s.Backends())
		for _, b := range s.Backends() {
			if c.List {
				fmt.Fprintf(g.Out, "%s %s %s %s %d:%d %d\n", s.Kind, b.Name, b.Addr, b.Zone, b.Range[0], b.Range[1], b.Capacity)
			}
		}
	}
	if c.List {
		return nil
	}
	fmt.Fprintf(g.Out, "%s: fleet %q is good: %d zones, %d customers, %d services, %d back ends\n", c.File, f.Name, len(f.Zones), len(f.Customers), len(f.Services), engines)
	return nil
}

// auditRecord is one change of configuration.
type auditRecord struct {
	Who      string    `json:"who"`
	At       time.Time `json:"at"`
	Revision int64     `json:"revision"`
	Previous int64     `json:"previous"`
	SHA256   string    `json:"sha256"`
	Fleet    string    `json:"fleet"`
}

func (c *applyCmd) Run(g *Globals) error {
	text, f, err := readFleet(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	log := g.Logger().With("role", "apply")
	kv := citronkv.NewClient(httpClient(), c.KV)
	expect := c.Expect
	if expect == 0 {
		cur, err := kv.Get(ctx, citronentry.ConfigKey)
		switch {
		case errors.Is(err, citronkv.ErrNotFound):
			expect = citronkv.Absent
		case err != nil:
			return errors.Wrapf(err, "read fleet in force")
		default:
			expect = cur.Revision
		}
	}
	rev, err := kv.Put(ctx, citronentry.ConfigKey, text, expect, 0)
	if errors.Is(err, citronkv.ErrUnavailable) {
		// The reply may be lost while the write applied: read back before
		// reporting failure, or the operator would apply twice.
		it, ours, rerr := citronkv.ReadBack(ctx, kv, citronentry.ConfigKey, text)
		if rerr == nil && ours {
			rev, err = it.Revision, nil
		}
	}
	if errors.Is(err, citronkv.ErrConflict) {
		citronevent.Log(ctx, log, citronevent.ConfigApplyRace, "expected", expect)
		return errors.Newf("the fleet in force changed since revision %d (another operator applied); read it again, merge, and apply", expect)
	}
	if err != nil {
		return errors.Wrap(err, "write fleet text")
	}
	sum := sha256.Sum256(text)
	who := c.Who
	if who == "" {
		if u, err := user.Current(); err == nil {
			who = u.Username
		}
	}
	rec, _ := json.Marshal(auditRecord{Who: who, At: time.Now().UTC(), Revision: rev, Previous: expect, SHA256: hex.EncodeToString(sum[:]), Fleet: f.Name})
	if _, err := kv.Put(ctx, fmt.Sprintf("%s%020d", citronentry.AuditPrefix, rev), rec, citronkv.Absent, 0); err != nil {
		fmt.Fprintf(g.Err, "warning: fleet applied at revision %d but its audit record was not written: %v\n", rev, err)
	}
	citronevent.Log(ctx, log, citronevent.ConfigAudited, "revision", rev, "who", who)
	fmt.Fprintf(g.Out, "applied fleet %q at revision %d (was %d)\n", f.Name, rev, expect)
	return nil
}
