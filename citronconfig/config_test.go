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

// fleetText returns the text of fleet n. Each fleet has two of four services,
// chosen by n, so that consecutive changes add, remove, keep and restore
// sections.
func fleetText(n int) []byte {
	t := fmt.Appendf(nil, "fleet: f%d\nzones: [a]\nservices:\n", n)
	for _, s := range []int{n % 2, 2 + n/2%2} {
		t = fmt.Appendf(t, "  - {name: s%d, kind: plain, upstreams: [{name: u%d, addr: \"h:%d\", zone: a}]}\n", s, s, s)
	}
	return t
}

// instantClock is a clock whose Sleep returns immediately.
type instantClock struct{ citronclock.Real }

func (instantClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// interleavingStore is a fake Store that calls beforePut once before the next
// write of the head. A test uses it to run another operator's complete change
// between an operator's read and write.
type interleavingStore struct {
	*citronkv.Server
	beforePut func()
}

func (s *interleavingStore) Put(ctx context.Context, key string, v []byte, expect citronkv.Revision, l citronkv.LeaseID) (citronkv.Revision, error) {
	if key == citronconfig.HeadKey && s.beforePut != nil {
		f := s.beforePut
		s.beforePut = nil
		f()
	}
	return s.Server.Put(ctx, key, v, expect, l)
}

// TestConcurrentApplyReportsRace guards against lost updates. Two operators read
// the same revision, and one of them writes a complete change before the other
// writes its head. The later write must fail with ErrRace, and the change that
// was written first must stay active.
func TestConcurrentApplyReportsRace(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	st := &interleavingStore{Server: kv}
	alice := citronconfig.Config{KV: st, Clock: instantClock{}}
	bob := citronconfig.Config{KV: kv, Clock: instantClock{}}
	_, err := alice.Apply(ctx, "f", fleetText(0), "alice", citronkv.AnyRevision)
	is.NoErr(err)
	st.beforePut = func() {
		_, err := bob.Apply(ctx, "f", fleetText(1), "bob", citronkv.AnyRevision)
		is.NoErr(err)
	}
	_, err = alice.Apply(ctx, "f", fleetText(2), "alice", citronkv.AnyRevision)
	is.True(errors.Is(err, citronconfig.ErrRace))
	got, ch, err := bob.Text(ctx)
	is.NoErr(err)
	is.Equal(string(got), string(fleetText(1)))
	is.Equal(ch.Who, "bob")
}

// TestOperatorsStateful guards against changes that are lost, applied twice or
// reported with the wrong outcome. Two operators apply random changes, some from
// an older revision, while the KV service loses replies and becomes unavailable;
// some changes of one operator are written in the middle of a change of the other.
// A change reported as applied must be in the audit trail at the reported
// revision, and a change reported as a race must not be in it. The trail must list
// each fleet at most once and give the revision of the change before it. The
// active fleet must be the last of the trail.
func TestOperatorsStateful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		kv := citronkv.NewServer(citronclock.Real{}, 0)
		st := &interleavingStore{Server: kv}
		ops := []citronconfig.Config{{KV: st, Clock: instantClock{}}, {KV: kv, Clock: instantClock{}}}
		applied := map[string]citronkv.Revision{} // by fleet name
		rejected := map[string]bool{}             // by fleet name
		n := 0
		apply := func(op citronconfig.Config, expect citronkv.Revision) {
			n++
			name := fmt.Sprintf("f%d", n)
			ch, err := op.Apply(ctx, "f", fleetText(n), name, expect)
			switch {
			case err == nil:
				applied[name] = ch.Revision
			case errors.Is(err, citronconfig.ErrRace):
				rejected[name] = true
			}
		}
		var lastRead citronkv.Revision
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				kv.SetFaults(citronkv.Faults{LoseReplies: rapid.IntRange(1, 4).Draw(rt, "lose"), DownAfterLoss: rapid.Bool().Draw(rt, "down after")})
			case 1:
				kv.SetFaults(citronkv.Faults{})
			case 2:
				st.beforePut = func() { apply(ops[1], citronkv.AnyRevision) }
			case 3:
				cur, err := ops[0].Current(ctx)
				if err == nil {
					lastRead = cur.Revision
				}
			case 4:
				apply(ops[0], lastRead) // from a revision that may be stale
			default:
				apply(ops[rapid.IntRange(0, 1).Draw(rt, "operator")], citronkv.AnyRevision)
			}
		}
		kv.SetFaults(citronkv.Faults{})
		trail, err := ops[0].AuditTrail(ctx)
		if err != nil {
			rt.Fatal(err)
		}
		var previous citronkv.Revision
		trailRevisions := map[string]citronkv.Revision{}
		for _, ch := range trail {
			if ch.Previous != previous {
				rt.Fatalf("the change record of %s says that it replaced revision %v, but the change before it has revision %v", ch.Fleet, ch.Previous, previous)
			}
			if _, twice := trailRevisions[ch.Fleet]; twice {
				rt.Fatalf("%s is in the audit trail twice", ch.Fleet)
			}
			previous = ch.Revision
			trailRevisions[ch.Fleet] = ch.Revision
		}
		for name, rev := range applied {
			if trailRevisions[name] != rev {
				rt.Fatalf("%s was reported as applied at revision %v, but the audit trail has it at revision %v (0: not at all)", name, rev, trailRevisions[name])
			}
		}
		// The active fleet can be loaded and is that of the last change in the trail.
		if cur, err := ops[0].Current(ctx); err != nil || cur.Revision.IsZero() {
			return
		} else if got, err := (&citronconfig.Loader{KV: kv}).Load(ctx, cur); err != nil {
			rt.Fatalf("load the active fleet: %v", err)
		} else if got.Name != trail[len(trail)-1].Fleet || len(got.Services) != 2 {
			rt.Fatalf("loaded %q with %d services, want %q with 2 services", got.Name, len(got.Services), trail[len(trail)-1].Fleet)
		}
		for name := range rejected {
			if rev, ok := trailRevisions[name]; ok {
				rt.Fatalf("%s was reported as a race, but the audit trail has it at revision %v", name, rev)
			}
		}
	})
}

// TestLoadAcceptsBareText checks that Load accepts a fleet text that was
// written by hand under the head's key, without a head around it.
func TestLoadAcceptsBareText(t *testing.T) {
	is := is.New(t)
	f, err := new(citronconfig.Loader).Load(context.Background(), citronkv.Item{Value: fleetText(7), Revision: citronkv.RevisionOf(0, 3)})
	is.NoErr(err)
	is.Equal(f.Name, "f7")
	is.Equal(f.Revision, citronkv.RevisionOf(0, 3))
}

// TestLoadReadsOnlyChangedSections checks that after a change an entry reads only
// the sections that changed, because reading all of a large fleet after each
// change would cost every entry too much. It also checks that the text and the
// sections that only a replaced head referred to are deleted from the KV service.
func TestLoadReadsOnlyChangedSections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	cfg := citronconfig.Config{KV: kv, Clock: instantClock{}}
	l := &citronconfig.Loader{KV: kv}
	load := func() (sections int64) {
		cur, err := cfg.Current(ctx)
		is.NoErr(err)
		before := kv.Counts().Reads
		_, err = l.Load(ctx, cur)
		is.NoErr(err)
		return kv.Counts().Reads - before
	}
	for n, want := range []int64{3, 1, 2} { // 0: all sections; 1: one service; 2: both services
		_, err := cfg.Apply(ctx, "f", fleetText(n), "alice", citronkv.AnyRevision)
		is.NoErr(err)
		is.Equal(load(), want)
	}
	left, _, err := kv.Range(ctx, "config/")
	is.NoErr(err)
	is.Equal(len(left), 4) // three sections and the text
}

// TestLoadRejectsDamagedSections guards against a fleet that is not the one its
// operator applied. Another client of the KV service may overwrite a section or
// delete it. Load must then return an error and no fleet, so that the caller
// keeps the fleet it has.
func TestLoadRejectsDamagedSections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	cfg := citronconfig.Config{KV: kv, Clock: instantClock{}}
	_, err := cfg.Apply(ctx, "f", fleetText(0), "alice", citronkv.AnyRevision)
	is.NoErr(err)
	cur, err := cfg.Current(ctx)
	is.NoErr(err)
	items, _, err := kv.Range(ctx, "config/section/")
	is.NoErr(err)
	for _, it := range items { // the damaged section is still valid JSON of the right type
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

// BenchmarkLoadChange measures what a configuration change costs an entry of a
// large fleet: 25 services on 4,100 engines. The first change and every 25th after
// it affect all services, the others two. bytes/change counts only the head and
// the last section that the change wrote.
func BenchmarkLoadChange(b *testing.B) {
	ctx := context.Background()
	kv := citronkv.NewServer(citronclock.Real{}, 0)
	cfg := citronconfig.Config{KV: kv, Clock: instantClock{}}
	l := &citronconfig.Loader{KV: kv}
	size := func(it citronkv.Item) int64 { return int64(len(it.Value)) }
	var bytes, n int64
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		if _, err := cfg.Apply(ctx, "f", largeFleetText(i), "bench", citronkv.AnyRevision); err != nil {
			b.Fatal(err)
		}
		cur, err := cfg.Current(ctx)
		if err != nil {
			b.Fatal(err)
		}
		items, _, _ := kv.Range(ctx, "config/section/")
		for _, it := range items {
			if it.Revision.Count() > cur.Revision.Count()-3 { // the section written just before the text and the head
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

// largeFleetText returns the text of a large fleet: 710 customers and 25 services
// on 164 engines each. Service i%25 has more layers than the others, and the
// timeout of all services depends on i/25.
func largeFleetText(i int) []byte {
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
