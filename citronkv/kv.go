// Package citronkv is citrondeck's view of the platform's key-value
// service: the one place where anything that must last is kept. The
// product sees it only through the Store interface; Client speaks to the
// stand-in in this package (Server), and a client for the real service
// replaces it without touching callers.
//
// The service offers compare-and-swap on a per-key revision, leases with a
// time to live, and watches. It fails: it is down or slow for long
// stretches, a write can take effect while its reply is lost, and a lease
// can lapse while its holder is paused. Callers therefore treat every
// Unavailable answer to a write as "maybe applied" and read the key back
// (see ReadBack), never retry blind.
package citronkv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// LeaseID names a lease; zero is no lease.
type LeaseID int64

// Item is a key, its value and the revision of its last write.
type Item struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// Errors a Store returns; test with errors.Is.
var (
	ErrNotFound     = errors.New("key not found")
	ErrConflict     = errors.New("revision does not match")
	ErrLeaseExpired = errors.New("lease expired")
	ErrUnavailable  = errors.New("key-value service unavailable")
	ErrCompacted    = errors.New("watch revision compacted")
)

// Store is what citrondeck needs of the key-value service.
type Store interface {
	// Get returns the item at key or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the items under prefix and the store revision at
	// which they were read.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Put writes value if the key's revision equals expect (see
	// AnyRevision, Absent) and returns the new revision, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Delete removes key if its revision equals expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits until something under prefix changes after revision
	// after, or until the wait ends, and returns the changes and the
	// store revision. A waiting watch costs the service one call.
	Watch(ctx context.Context, prefix string, after Revision) ([]Item, Revision, error)
	// Grant creates a lease that lapses after ttl without KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// ReadBack resolves a write whose reply was lost: it reads key and
// reports whether the value there is want. A write that returned
// ErrUnavailable may have been applied; retrying it blind could apply it
// twice or overwrite a newer value, so the caller reads back first.
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
