package citronhealth

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

// Call is a call to a store that has ended.
type Call struct {
	// Name is the method's, with a small first letter.
	Name string
	// Key is the key or prefix that the call was about, if any.
	Key string
	// Begun and Ended are when the call was made and when it ended.
	Begun, Ended time.Time
	Err          error
}

// Answered reports whether the store itself answered, be it with a refusal. A
// key that is not there or a lease that has run out is news from a store that
// is well.
func (c Call) Answered() bool {
	return c.Err == nil || errors.IsAny(c.Err, citronkv.ErrNotFound, citronkv.ErrConflict, citronkv.ErrLeaseExpired, citronkv.ErrCompacted)
}

// GivenUp reports whether the caller ended the call, which proves nothing of
// the store.
func (c Call) GivenUp() bool { return !c.Answered() && errors.Is(c.Err, context.Canceled) }

// Observe returns a store that tells of each of its calls when it has ended.
func Observe(s citronkv.Store, clock citronclock.Clock, tell func(Call)) citronkv.Store {
	return observedStore{Store: s, clock: clock, tell: tell}
}

type observedStore struct {
	citronkv.Store
	clock citronclock.Clock
	tell  func(Call)
}

// begin returns what ends a call.
func (o observedStore) begin(name, key string) func(error) {
	begun := o.clock.Now()
	return func(err error) {
		o.tell(Call{Name: name, Key: key, Begun: begun, Ended: o.clock.Now(), Err: err})
	}
}

func (o observedStore) Get(ctx context.Context, key string) (citronkv.Item, error) {
	end := o.begin("get", key)
	it, err := o.Store.Get(ctx, key)
	end(err)
	return it, err
}

func (o observedStore) Range(ctx context.Context, prefix string) ([]citronkv.Item, citronkv.Revision, error) {
	end := o.begin("range", prefix)
	items, rev, err := o.Store.Range(ctx, prefix)
	end(err)
	return items, rev, err
}

func (o observedStore) Put(ctx context.Context, key string, value []byte, expect citronkv.Revision, lease citronkv.LeaseID) (citronkv.Revision, error) {
	end := o.begin("put", key)
	rev, err := o.Store.Put(ctx, key, value, expect, lease)
	end(err)
	return rev, err
}

func (o observedStore) Delete(ctx context.Context, key string, expect citronkv.Revision) error {
	end := o.begin("delete", key)
	err := o.Store.Delete(ctx, key, expect)
	end(err)
	return err
}

func (o observedStore) Watch(ctx context.Context, prefix string, after citronkv.Revision) ([]citronkv.Item, citronkv.Revision, error) {
	end := o.begin("watch", prefix)
	items, rev, err := o.Store.Watch(ctx, prefix, after)
	end(err)
	return items, rev, err
}

func (o observedStore) Grant(ctx context.Context, ttl time.Duration) (citronkv.LeaseID, error) {
	end := o.begin("grant", "")
	id, err := o.Store.Grant(ctx, ttl)
	end(err)
	return id, err
}

func (o observedStore) KeepAlive(ctx context.Context, id citronkv.LeaseID) error {
	end := o.begin("keepAlive", "")
	err := o.Store.KeepAlive(ctx, id)
	end(err)
	return err
}

func (o observedStore) Revoke(ctx context.Context, id citronkv.LeaseID) error {
	end := o.begin("revoke", "")
	err := o.Store.Revoke(ctx, id)
	end(err)
	return err
}
