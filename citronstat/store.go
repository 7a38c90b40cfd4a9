// Package citronstat turns what a node does and believes into metrics: its
// calls to the store, and what it knows and how old that is.
package citronstat

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// countedStore counts the calls to a store by kind and result.
type countedStore struct {
	citronkv.Store
	calls *prometheus.CounterVec
}

// CountStore returns a store that counts its calls in r.
func CountStore(s citronkv.Store, r prometheus.Registerer) citronkv.Store {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrondeck_store_calls_total", Help: "Calls to the store by kind and result."}, []string{"call", "result"})
	r.MustRegister(calls)
	return &countedStore{Store: s, calls: calls}
}

// results are the errors that are told apart, in the order of their checks.
var results = []struct {
	err  error
	name string
}{
	{citronkv.ErrLeaseExpired, "leaseExpired"}, // also marked as not found
	{citronkv.ErrNotFound, "notFound"},
	{citronkv.ErrConflict, "conflict"},
	{citronkv.ErrCompacted, "compacted"},
}

func (s *countedStore) count(call string, err error) {
	result := "ok"
	if err != nil {
		result = "unavailable"
	}
	for _, r := range results {
		if errors.Is(err, r.err) {
			result = r.name
			break
		}
	}
	s.calls.WithLabelValues(call, result).Inc()
}

func (s *countedStore) Get(ctx context.Context, key string) (citronkv.Item, error) {
	it, err := s.Store.Get(ctx, key)
	s.count("get", err)
	return it, err
}

func (s *countedStore) Range(ctx context.Context, prefix string) ([]citronkv.Item, citronkv.Revision, error) {
	items, rev, err := s.Store.Range(ctx, prefix)
	s.count("range", err)
	return items, rev, err
}

func (s *countedStore) Put(ctx context.Context, key string, value []byte, expect citronkv.Revision, lease citronkv.LeaseID) (citronkv.Revision, error) {
	rev, err := s.Store.Put(ctx, key, value, expect, lease)
	s.count("put", err)
	return rev, err
}

func (s *countedStore) Delete(ctx context.Context, key string, expect citronkv.Revision) error {
	err := s.Store.Delete(ctx, key, expect)
	s.count("delete", err)
	return err
}

func (s *countedStore) Watch(ctx context.Context, prefix string, after citronkv.Revision) ([]citronkv.Item, citronkv.Revision, error) {
	items, rev, err := s.Store.Watch(ctx, prefix, after)
	s.count("watch", err)
	return items, rev, err
}

func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (citronkv.LeaseID, error) {
	id, err := s.Store.Grant(ctx, ttl)
	s.count("grant", err)
	return id, err
}

func (s *countedStore) KeepAlive(ctx context.Context, id citronkv.LeaseID) error {
	err := s.Store.KeepAlive(ctx, id)
	s.count("keepAlive", err)
	return err
}

func (s *countedStore) Revoke(ctx context.Context, id citronkv.LeaseID) error {
	err := s.Store.Revoke(ctx, id)
	s.count("revoke", err)
	return err
}
