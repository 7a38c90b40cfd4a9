// Package citronkv is the interface between citrondeck and the platform's
// key-value service, which holds all durable state. Callers use only the Store
// interface. Client talks to the fake service in this package (Server); a client
// for the real service can replace Client without changes to callers.
//
// The service offers compare-and-swap on a per-key revision, leases with a
// time to live, and watches. It is not always available: it can be down or slow
// for a long time, a write can be applied although its reply is lost, and a lease
// can expire while its holder is paused. The service can also be restored from an
// older copy of its data, which starts a new era (see Revision). After a write
// fails with ErrUnavailable, callers must assume that it may have been applied
// and read the key back (see ReadBack) before they retry.
package citronkv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Item holds a key, its value and the revision of its last write. In the result
// of a watch, Deleted marks the removal of the key.
type Item struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// Errors that a Store returns. Test for them with errors.Is.
var (
	ErrNotFound     = errors.New("key not found")
	ErrConflict     = errors.New("revision does not match")
	ErrLeaseExpired = errors.New("lease expired")
	ErrUnavailable  = errors.New("key-value service unavailable")
	ErrCompacted    = errors.New("watch revision compacted")
)

// Store is the set of key-value operations that citrondeck uses.
type Store interface {
	// Get returns the item at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the items whose keys start with prefix, and the store
	// revision at which they were read.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Put writes value if the key's revision equals expect and returns the
	// new revision. Otherwise it returns ErrConflict. AnyRevision and Absent
	// are special values of expect. If lease is not zero, the key is deleted
	// when the lease ends; Put returns ErrLeaseExpired if it already has.
	Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Delete removes key if its revision equals expect or expect is
	// AnyRevision. Otherwise it returns ErrConflict. It returns ErrNotFound if
	// the key does not exist.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits until a key that starts with prefix has changed at a revision
	// later than after, but no longer than the implementation's maximum wait. It
	// returns these changes, if any, and the store revision. It returns
	// ErrCompacted if the service no longer holds all of them or if after
	// belongs to another era. A waiting watch costs the service one call.
	Watch(ctx context.Context, prefix string, after Revision) ([]Item, Revision, error)
	// Grant creates a lease that expires after ttl unless KeepAlive renews it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// ReadBack resolves a write whose reply was lost. It reads key and reports
// whether its value equals want. A write that returned ErrUnavailable may have
// been applied; a retry without reading the key first could apply the write twice
// or overwrite a newer value.
func ReadBack(ctx context.Context, s Store, key string, want []byte) (Item, bool, error) {
	it, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Item{}, false, nil
	}
	if err != nil {
		return Item{}, false, err
	}
	return it, string(it.Value) == string(want), nil
}
