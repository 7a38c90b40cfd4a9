package citronhealth_test

import (
	"context"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronhealth"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a healthy store that is taken for unreachable, and the reverse. A
// refusal such as a missing key comes from a healthy store. A timeout, an unavailable
// store and an unknown error are no answer. A call that its caller canceled shows nothing
// about the store.
func TestCallClassification(t *testing.T) {
	cases := []struct {
		name               string
		err                error
		answered, canceled bool
	}{
		{"answer", nil, true, false},
		{"no such key", errors.Wrap(citronkv.ErrNotFound, "get"), true, false},
		{"another revision", citronkv.ErrConflict, true, false},
		{"lease has expired", errors.Mark(errors.New("status 404"), citronkv.ErrLeaseExpired), true, false},
		{"history compacted", citronkv.ErrCompacted, true, false},
		{"unavailable", citronkv.ErrUnavailable, false, false},
		{"no answer in time", errors.Mark(context.DeadlineExceeded, citronkv.ErrUnavailable), false, false},
		{"canceled", errors.Mark(errors.Wrap(context.Canceled, "watch"), citronkv.ErrUnavailable), false, true},
		{"unknown error", errors.New("?"), false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			call := citronhealth.Call{Err: c.err}
			is.Equal(call.Answered(), c.answered)
			is.Equal(call.Canceled(), c.canceled)
		})
	}
}

// Guards against calls that the store monitor does not hear of, or hears of twice: Observe
// reports each method's call once, with its name, key and times.
func TestObserveReportsEachCallOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := citronclock.NewManual(time.Unix(100, 0))
	var calls []citronhealth.Call
	s := citronhealth.Observe(citronkv.NewServer(clock, 0), clock, func(c citronhealth.Call) { calls = append(calls, c) })
	lease, err := s.Grant(ctx, time.Minute)
	is.NoErr(err)
	_, err = s.Put(ctx, "a/1", []byte("x"), citronkv.Absent, lease)
	is.NoErr(err)
	is.NoErr(s.KeepAlive(ctx, lease))
	_, err = s.Get(ctx, "a/2")
	is.True(errors.Is(err, citronkv.ErrNotFound))
	_, _, err = s.Range(ctx, "a/")
	is.NoErr(err)
	_, _, err = s.Watch(ctx, "a/", citronkv.Revision{})
	is.NoErr(err)
	is.NoErr(s.Delete(ctx, "a/1", citronkv.AnyRevision))
	is.NoErr(s.Revoke(ctx, lease))
	var names, keys []string
	for _, c := range calls {
		names, keys = append(names, c.Name), append(keys, c.Key)
		is.True(c.Answered())
		is.Equal(c.Begun, clock.Now())
		is.Equal(c.Ended, clock.Now())
	}
	is.Equal(names, []string{"grant", "put", "keepAlive", "get", "range", "watch", "delete", "revoke"})
	is.Equal(keys, []string{"", "a/1", "", "a/2", "a/", "a/", "a/1", ""})
}
