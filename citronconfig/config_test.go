package citronconfig_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronconfig"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func text(n int) []byte {
	return fmt.Appendf(nil, "fleet: f%d\nzones: [a]\nservices: []\n", n)
}

// eager is a clock whose sleepers wake at once.
type eager struct{ citronclock.Real }

func (eager) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// interleaved is a fake at the Store interface: between an operator's read
// and its write it lets another operator's whole change happen.
type interleaved struct {
	*citronkv.Server
	before func()
}

func (s *interleaved) Put(ctx context.Context, key string, v []byte, expect citronkv.Revision, l citronkv.LeaseID) (citronkv.Revision, error) {
	if key == citronconfig.Key && s.before != nil {
		f := s.before
		s.before = nil
		f()
	}
	return s.Server.Put(ctx, key, v, expect, l)
}

// Two operators edit at the same moment: both read revision 1, one
// applies, then the other. The second is told of the race and nothing of
// the first one's change is lost.
func TestTwoOperatorsAtOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	st := &interleaved{Server: kv}
	alice := citronconfig.Config{KV: st, Clock: eager{}}
	bob := citronconfig.Config{KV: kv, Clock: eager{}}
	_, err := alice.Apply(ctx, "f", text(0), "alice", -1)
	is.NoErr(err)
	st.before = func() {
		_, err := bob.Apply(ctx, "f", text(1), "bob", -1)
		is.NoErr(err)
	}
	_, err = alice.Apply(ctx, "f", text(2), "alice", -1)
	is.True(errors.Is(err, citronconfig.ErrRace))
	cur, err := bob.Current(ctx)
	is.NoErr(err)
	got, ch := citronconfig.Decode(cur)
	is.Equal(string(got), string(text(1)))
	is.Equal(ch.Who, "bob")
}

// Operators apply at random, from fresh or stale readings, while the KV
// service loses replies, goes down with them and races its writers.
// Oracle: the texts ever in force, in order. A change reported as applied
// was in force at that revision; one reported as a race never was; the
// audit trail names each text ever in force exactly once, each on top of
// the one before.
func TestOperatorsStateful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		kv := citronkv.NewServer(citronclock.Real{}, 0)
		st := &interleaved{Server: kv}
		ops := []citronconfig.Config{{KV: st, Clock: eager{}}, {KV: kv, Clock: eager{}}}
		applied := map[string]citronkv.Revision{} // by fleet name
		refused := map[string]bool{}
		n := 0
		apply := func(op citronconfig.Config, expect citronkv.Revision) {
			n++
			name := fmt.Sprintf("f%d", n)
			ch, err := op.Apply(ctx, "f", text(n), name, expect)
			switch {
			case err == nil:
				applied[name] = ch.Revision
			case errors.Is(err, citronconfig.ErrRace):
				refused[name] = true
			}
		}
		var read citronkv.Revision
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				kv.SetFaults(citronkv.Faults{LoseReplies: rapid.IntRange(1, 4).Draw(rt, "lose"), DownAfterLoss: rapid.Bool().Draw(rt, "down after")})
			case 1:
				kv.SetFaults(citronkv.Faults{})
			case 2:
				st.before = func() { apply(ops[1], -1) }
			case 3:
				cur, err := ops[0].Current(ctx)
				if err == nil {
					read = cur.Revision
				}
			case 4:
				apply(ops[0], read) // from an older reading
			default:
				apply(ops[rapid.IntRange(0, 1).Draw(rt, "operator")], -1)
			}
		}
		kv.SetFaults(citronkv.Faults{})
		trail, err := ops[0].Trail(ctx)
		if err != nil {
			rt.Fatal(err)
		}
		var previous citronkv.Revision
		inForce := map[string]citronkv.Revision{}
		for _, ch := range trail {
			if ch.Previous != previous {
				rt.Fatalf("%s stands on revision %d, the change before it is %d", ch.Fleet, ch.Previous, previous)
			}
			if _, twice := inForce[ch.Fleet]; twice {
				rt.Fatalf("%s is in the trail twice", ch.Fleet)
			}
			previous = ch.Revision
			inForce[ch.Fleet] = ch.Revision
		}
		for name, rev := range applied {
			if inForce[name] != rev {
				rt.Fatalf("%s was reported applied at %d, the trail says %d", name, rev, inForce[name])
			}
		}
		for name := range refused {
			if rev, ok := inForce[name]; ok {
				rt.Fatalf("%s was reported refused, but was in force at %d", name, rev)
			}
		}
	})
}

// A text put by hand, without the envelope, is taken as it is.
func TestBareTextIsTaken(t *testing.T) {
	is := is.New(t)
	f, err := citronconfig.Parse(citronkv.Item{Value: text(7), Revision: 3})
	is.NoErr(err)
	is.Equal(f.Name, "f7")
	is.Equal(f.Revision, int64(3))
}
