package citronhealth

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

// Call describes a finished call to a store.
type Call struct {
	// Name is the name of the method, with a lowercase first letter.
	Name string
	// Key is the key or prefix that the call addressed; empty if the method takes none.
	Key string
	// Begun and Ended are the times at which the call started and returned.
	Begun, Ended time.Time
	// Err is the error that the call returned.
	Err error
}

// Answered reports whether the store itself answered, even if it refused the call. A
// missing key or an expired lease is the answer of a healthy store.
func (c Call) Answered() bool {
	return c.Err == nil || errors.IsAny(c.Err, citronkv.ErrNotFound, citronkv.ErrConflict, citronkv.ErrLeaseExpired, citronkv.ErrCompacted)
}

// Canceled reports whether the caller canceled the call. Such a call shows nothing about
// the store.
func (c Call) Canceled() bool { return !c.Answered() && errors.Is(c.Err, context.Canceled) }

// Observe returns a store that forwards each call to s and passes its outcome to report
// when the call has ended.
func Observe(s citronkv.Store, clock citronclock.Clock, report func(Call)) citronkv.Store {
	return observedStore{Store: s, clock: clock, report: report}
}

// observedStore wraps a store and reports every call.
type observedStore struct {
	citronkv.Store
	clock  citronclock.Clock
	report func(Call)
}

// begin notes the start of a call and returns the function that reports its end.
func (o observedStore) begin(name, key string) func(error) {
	begun := o.clock.Now()
	return func(err error) {
		o.report(Call{Name: name, Key: key, Begun: begun, Ended: o.clock.Now(), Err: err})
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
