package citronkv_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// stores are the two ways to the service: in process, and over the wire.
// Both must keep the same contract.
func stores(t *testing.T, clock citronclock.Clock) map[string]func() (citronkv.Store, *citronkv.Server) {
	return map[string]func() (citronkv.Store, *citronkv.Server){
		"in process": func() (citronkv.Store, *citronkv.Server) {
			s := citronkv.NewServer(clock, 0)
			return s, s
		},
		"over the wire": func() (citronkv.Store, *citronkv.Server) {
			s := citronkv.NewServer(clock, 0)
			mux := http.NewServeMux()
			s.Mount(mux)
			hs := httptest.NewServer(mux)
			t.Cleanup(hs.Close)
			return citronkv.NewClient(hs.Client(), hs.URL), s
		},
	}
}

// The contract of writes: each case starts from key k at a revision and
// names the outcome a caller must be able to rely on.
func TestStoreContract(t *testing.T) {
	type env struct {
		st  citronkv.Store
		sv  *citronkv.Server
		rev citronkv.Revision // of key k, holding "old"
	}
	ctx := context.Background()
	put := func(v env, key string, expect citronkv.Revision) error {
		_, err := v.st.Put(ctx, key, []byte("new"), expect, 0)
		return err
	}
	cases := []struct {
		name string
		do   func(v env) error
		want error
		// holds is what k holds afterwards; "" means it is absent.
		holds string
	}{
		{"put on the revision read", func(v env) error { return put(v, "k", v.rev) }, nil, "new"},
		{"put on an older revision", func(v env) error {
			_ = put(v, "k", v.rev)
			_, err := v.st.Put(ctx, "k", []byte("late"), v.rev, 0)
			return err
		}, citronkv.ErrConflict, "new"},
		{"create what exists", func(v env) error { return put(v, "k", citronkv.Absent) }, citronkv.ErrConflict, "old"},
		{"put blind", func(v env) error { return put(v, "k", citronkv.AnyRevision) }, nil, "new"},
		{"put under a lapsed lease", func(v env) error {
			id, _ := v.st.Grant(ctx, time.Second)
			v.sv.ExpireLease(id)
			_, err := v.st.Put(ctx, "k", []byte("new"), v.rev, id)
			return err
		}, citronkv.ErrLeaseExpired, "old"},
		{"renew a lapsed lease", func(v env) error {
			id, _ := v.st.Grant(ctx, time.Second)
			v.sv.ExpireLease(id)
			return v.st.KeepAlive(ctx, id)
		}, citronkv.ErrLeaseExpired, "old"},
		{"a lapsed lease takes its key along", func(v env) error {
			id, _ := v.st.Grant(ctx, time.Second)
			_, err := v.st.Put(ctx, "k", []byte("new"), v.rev, id)
			v.sv.ExpireLease(id)
			return err
		}, nil, ""},
		{"a key put anew leaves its old lease", func(v env) error {
			id, _ := v.st.Grant(ctx, time.Second)
			_, _ = v.st.Put(ctx, "k", []byte("held"), v.rev, id)
			err := put(v, "k", citronkv.AnyRevision)
			v.sv.ExpireLease(id)
			return err
		}, nil, "new"},
		{"delete on an older revision", func(v env) error {
			_ = put(v, "k", v.rev)
			return v.st.Delete(ctx, "k", v.rev)
		}, citronkv.ErrConflict, "new"},
		{"delete what is absent", func(v env) error { return v.st.Delete(ctx, "x", citronkv.Absent) }, citronkv.ErrNotFound, "old"},
		{"write while down", func(v env) error {
			v.sv.SetFaults(citronkv.Faults{Down: true})
			return put(v, "k", v.rev)
		}, citronkv.ErrUnavailable, "old"},
		{"write whose reply is lost", func(v env) error {
			v.sv.SetFaults(citronkv.Faults{LoseReplies: 1})
			return put(v, "k", v.rev)
		}, citronkv.ErrUnavailable, "new"},
		{"delete whose reply is lost", func(v env) error {
			v.sv.SetFaults(citronkv.Faults{LoseReplies: 1})
			return v.st.Delete(ctx, "k", v.rev)
		}, citronkv.ErrUnavailable, ""},
	}
	for way, open := range stores(t, citronclock.Real{}) {
		for _, c := range cases {
			t.Run(way+"/"+c.name, func(t *testing.T) {
				is := is.New(t)
				st, sv := open()
				rev, err := st.Put(ctx, "k", []byte("old"), citronkv.Absent, 0)
				is.NoErr(err)
				err = c.do(env{st, sv, rev})
				is.Equal(err == nil, c.want == nil)
				is.True(errors.Is(err, c.want))
				sv.SetFaults(citronkv.Faults{})
				it, err := st.Get(ctx, "k")
				is.Equal(errors.Is(err, citronkv.ErrNotFound), c.holds == "")
				is.Equal(string(it.Value), c.holds)
			})
		}
	}
}

// Random writes by several writers, some losing their replies. Oracle: a
// map of what each key must hold. A watcher that follows from the start
// must see every key's last change, deletions too, however the changes
// fall between its calls.
func TestWatchMissesNoChange(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		s := citronkv.NewServer(citronclock.Real{}, 0)
		oracle, seen := map[string]string{}, map[string]string{}
		var after citronkv.Revision
		follow := func() {
			items, rev, err := s.Watch(ctx, "p/", after)
			if err != nil {
				rt.Fatal(err)
			}
			for _, it := range items {
				if !it.Revision.After(after) {
					rt.Fatalf("revision %v came again after %v", it.Revision, after)
				}
				if it.Deleted {
					delete(seen, it.Key)
				} else {
					seen[it.Key] = string(it.Value)
				}
			}
			after = rev
		}
		writes := 0
		for i := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			key := rapid.SampledFrom([]string{"p/a", "p/b", "p/c"}).Draw(rt, "key")
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0, 1:
				if rapid.Bool().Draw(rt, "lose") {
					s.SetFaults(citronkv.Faults{LoseReplies: 1})
				}
				oracle[key] = string(rune('0' + i))
				_, _ = s.Put(ctx, key, []byte(oracle[key]), citronkv.AnyRevision, 0)
				writes++
			case 2:
				if _, ok := oracle[key]; ok {
					_ = s.Delete(ctx, key, citronkv.AnyRevision)
					delete(oracle, key)
					writes++
				}
			default:
				if writes > 0 { // a watch with nothing to tell would wait
					follow()
					writes = 0
				}
			}
		}
		if writes > 0 {
			follow()
		}
		if len(seen) != len(oracle) {
			rt.Fatalf("watcher holds %v, the store %v", seen, oracle)
		}
		for k, v := range oracle {
			if seen[k] != v {
				rt.Fatalf("key %s: watcher holds %q, the store %q", k, seen[k], v)
			}
		}
	})
}

// A watcher comes back with a revision older than the changes the service
// still keeps. It must be told so, to read everything anew; silence would
// leave it with state that never changes again.
func TestWatchTellsWhenItsRevisionIsForgotten(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := citronkv.NewServer(citronclock.Real{}, 0)
	for range 70_000 {
		_, _ = s.Put(ctx, "other", nil, citronkv.AnyRevision, 0)
	}
	_, _, err := s.Watch(ctx, "p/", citronkv.RevisionOf(0, 1))
	is.True(errors.Is(err, citronkv.ErrCompacted))
}

// The instance list lags: a change shows only after the lag, and the row
// before it shows until then.
func TestInstanceListLags(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := citronclock.NewManual(time.Unix(0, 0))
	s := citronkv.NewServer(clock, 2*time.Second)
	mux := http.NewServeMux()
	s.Mount(mux)
	hs := httptest.NewServer(mux)
	defer hs.Close()
	c := citronkv.NewClient(hs.Client(), hs.URL)
	steps := []struct {
		advance time.Duration
		set     citronkv.InstanceState // "" changes nothing
		want    citronkv.InstanceState // "" is not listed
	}{
		{0, citronkv.Live, ""},
		{time.Second, "", ""},
		{time.Second, "", citronkv.Live},
		{0, citronkv.Leaving, citronkv.Live},
		{1999 * time.Millisecond, "", citronkv.Live},
		{time.Millisecond, "", citronkv.Leaving},
	}
	for _, st := range steps {
		clock.Advance(st.advance)
		if st.set != "" {
			is.NoErr(c.SetInstance(ctx, citronkv.Instance{Name: "e1", State: st.set}))
		}
		list, err := c.Instances(ctx)
		is.NoErr(err)
		var got citronkv.InstanceState
		if len(list) > 0 {
			got = list[0].State
		}
		is.Equal(got, st.want)
	}
}
