package citronconfig_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronconfig"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// text is fleet n. It has two services out of four that alternate, so
// that sections come, go, stay and come back.
func text(n int) []byte {
	t := fmt.Appendf(nil, "fleet: f%d\nzones: [a]\nservices:\n", n)
	for _, s := range []int{n % 2, 2 + n/2%2} {
		t = fmt.Appendf(t, "  - {name: s%d, kind: plain, upstreams: [{name: u%d, addr: \"h:%d\", zone: a}]}\n", s, s, s)
	}
	return t
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
	_, err := alice.Apply(ctx, "f", text(0), "alice", citronkv.AnyRevision)
	is.NoErr(err)
	st.before = func() {
		_, err := bob.Apply(ctx, "f", text(1), "bob", citronkv.AnyRevision)
		is.NoErr(err)
	}
	_, err = alice.Apply(ctx, "f", text(2), "alice", citronkv.AnyRevision)
	is.True(errors.Is(err, citronconfig.ErrRace))
	got, ch, err := bob.Text(ctx)
	is.NoErr(err)
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
				st.before = func() { apply(ops[1], citronkv.AnyRevision) }
			case 3:
				cur, err := ops[0].Current(ctx)
				if err == nil {
					read = cur.Revision
				}
			case 4:
				apply(ops[0], read) // from an older reading
			default:
				apply(ops[rapid.IntRange(0, 1).Draw(rt, "operator")], citronkv.AnyRevision)
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
		// What is in force can be loaded, as it was written.
		if cur, err := ops[0].Current(ctx); err != nil || cur.Revision.IsZero() {
			return
		} else if got, err := (&citronconfig.Loader{KV: kv}).Load(ctx, cur); err != nil {
			rt.Fatalf("the fleet in force cannot be loaded: %v", err)
		} else if got.Name != trail[len(trail)-1].Fleet || len(got.Services) != 2 {
			rt.Fatalf("loaded %q with %d services, in force is %q", got.Name, len(got.Services), trail[len(trail)-1].Fleet)
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
	f, err := new(citronconfig.Loader).Load(context.Background(), citronkv.Item{Value: text(7), Revision: citronkv.RevisionOf(0, 3)})
	is.NoErr(err)
	is.Equal(f.Name, "f7")
	is.Equal(f.Revision, citronkv.RevisionOf(0, 3))
}

// A change of one service costs an entry that section and no other, and
// what only the replaced head named is gone from the KV service.
func TestChangeCostsItsSections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	cfg := citronconfig.Config{KV: kv, Clock: eager{}}
	l := &citronconfig.Loader{KV: kv}
	load := func() (sections int64) {
		cur, err := cfg.Current(ctx)
		is.NoErr(err)
		before := kv.Counts().Reads
		_, err = l.Load(ctx, cur)
		is.NoErr(err)
		return kv.Counts().Reads - before
	}
	for n, want := range []int64{3, 1, 2} { // 0: all; 1: one service; 2: both
		_, err := cfg.Apply(ctx, "f", text(n), "alice", citronkv.AnyRevision)
		is.NoErr(err)
		is.Equal(load(), want)
	}
	left, _, err := kv.Range(ctx, "config/")
	is.NoErr(err)
	is.Equal(len(left), 4) // three sections and the text
}

// A section is damaged, or gone: the loader says so and returns nothing,
// so that the fleet in force stays.
func TestLoaderRefusesDamage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	cfg := citronconfig.Config{KV: kv, Clock: eager{}}
	_, err := cfg.Apply(ctx, "f", text(0), "alice", citronkv.AnyRevision)
	is.NoErr(err)
	cur, err := cfg.Current(ctx)
	is.NoErr(err)
	items, _, err := kv.Range(ctx, "config/section/")
	is.NoErr(err)
	for _, it := range items { // still JSON of the right shape
		_, err = kv.Put(ctx, it.Key, []byte(strings.ReplaceAll(string(it.Value), "u0", "u9")), citronkv.AnyRevision, 0)
		is.NoErr(err)
	}
	f, err := (&citronconfig.Loader{KV: kv}).Load(ctx, cur)
	is.True(err != nil)
	is.Equal(f.Name, "")
	for _, it := range items {
		is.NoErr(kv.Delete(ctx, it.Key, citronkv.AnyRevision))
	}
	_, err = (&citronconfig.Loader{KV: kv}).Load(ctx, cur)
	is.True(errors.Is(err, citronkv.ErrNotFound))
}

// What one change of configuration costs an entry at the two-year size: a
// change of one of 25 services on 4,100 engines.
func BenchmarkLoadChange(b *testing.B) {
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	cfg := citronconfig.Config{KV: kv, Clock: eager{}}
	l := &citronconfig.Loader{KV: kv}
	size := func(it citronkv.Item) int64 { return int64(len(it.Value)) }
	var bytes, n int64
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		if _, err := cfg.Apply(ctx, "f", large(i), "bench", citronkv.AnyRevision); err != nil {
			b.Fatal(err)
		}
		cur, err := cfg.Current(ctx)
		if err != nil {
			b.Fatal(err)
		}
		items, _, _ := kv.Range(ctx, "config/section/")
		for _, it := range items {
			if it.Revision.Number() > cur.Revision.Number()-3 { // written by this change
				bytes += size(it)
			}
		}
		bytes += size(cur)
		n++
		b.StartTimer()
		if _, err := l.Load(ctx, cur); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes)/float64(n), "bytes/change")
}

// large is a fleet of the two-year size whose service i%25 varies with i.
func large(i int) []byte {
	t := []byte("fleet: t\nzones: [a]\ncustomers:\n")
	for c := range 710 {
		t = fmt.Appendf(t, "  - {name: customer-%03d, share: 1}\n", c)
	}
	t = append(t, "services:\n"...)
	for m := range 25 {
		layers := 32
		if m == i%25 {
			layers += 8 * (1 + i/25%5)
		}
		t = fmt.Appendf(t, "  - name: model-%02d\n    kind: model\n    layers: %d\n    timeout: %dms\n    engines:\n", m, layers, 1+i/25)
		for e := range 164 {
			from, to := e%4*8, e%4*8+8
			if e%4 == 3 {
				to = layers
			}
			t = fmt.Appendf(t, "      - {name: engine-%02d-%03d, addr: \"10.0.%d.%d:7000\", zone: a, layers: [%d, %d], capacity: 3000}\n", m, e, m, e, from, to)
		}
	}
	return t
}
