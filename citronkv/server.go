package citronkv

// This file holds the fake key-value service. It keeps all data in memory behind
// one mutex, because the real service is small and answers in milliseconds. A
// store-wide revision counts writes. Watches read a bounded log of recent changes;
// each write closes and replaces a channel to wake the waiting watches. The fault
// settings (Faults) make the service unavailable or slow, or lose the replies of
// writes that it has applied.

import (
	"context"
	"expvar"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
)

const (
	// maxHistory is the maximum number of changes kept for watches.
	maxHistory         = 65536
	maxWatchWait       = 10 * time.Second
	leaseSweepInterval = 100 * time.Millisecond
)

// Faults are the failures that the fake service simulates.
type Faults struct {
	// Down makes every store call fail with ErrUnavailable.
	Down bool `json:"down"`
	// Slow delays every store call by this duration.
	Slow time.Duration `json:"slow"`
	// LoseReplies is the number of puts and deletes that are applied but answered
	// with ErrUnavailable, as if the reply were lost. Lease operations are not
	// affected.
	LoseReplies int `json:"loseReplies"`
	// DownAfterLoss sets Down with the first lost reply, so that the writer
	// cannot read back whether its write was applied.
	DownAfterLoss bool `json:"downAfterLoss"`
}

// Counts are the numbers of calls that the fake service has received, by kind,
// including failed ones. Lease operations count as writes.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// lease is an active lease and the keys to delete when it ends.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Server is a fake of the key-value service that keeps all data in memory. It
// implements Store.
type Server struct {
	clock citronclock.Clock

	mu      sync.Mutex
	rev     Revision
	items   map[string]Item
	history []Item
	changed chan struct{}
	leases  map[LeaseID]*lease
	nextID  LeaseID
	faults  Faults

	reads, writes, watches atomic.Int64
	instances              *instanceList
}

// NewServer returns an empty store. Changes to its instance list become visible
// after instanceLag.
func NewServer(clock citronclock.Clock, instanceLag time.Duration) *Server {
	return &Server{
		clock:     clock,
		items:     map[string]Item{},
		changed:   make(chan struct{}),
		leases:    map[LeaseID]*lease{},
		instances: newInstanceList(clock, instanceLag),
	}
}

// Counts returns the number of calls received so far.
func (s *Server) Counts() Counts {
	return Counts{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// Publish exports the call counts as the expvar variable kv.
func (s *Server) Publish() {
	expvar.Publish("kv", expvar.Func(func() any { return s.Counts() }))
}

// SetFaults replaces the fault settings.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// ExpireLease expires a lease now, as if its holder had paused for longer than the
// time to live. The holder is not notified.
func (s *Server) ExpireLease(id LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(id)
}

// Leases returns the number of active leases.
func (s *Server) Leases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leases)
}

// Run removes expired leases and their keys until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.clock.Sleep(ctx, leaseSweepInterval) != nil {
			return
		}
		s.mu.Lock()
		now := s.clock.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.expireLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

// expireLocked removes a lease and deletes its keys. The caller holds s.mu.
func (s *Server) expireLocked(id LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	for k := range l.keys {
		s.deleteLocked(k)
	}
}

// applyFaults applies Slow and Down at the start of a call.
func (s *Server) applyFaults(ctx context.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		if err := s.clock.Sleep(ctx, f.Slow); err != nil {
			return err
		}
	}
	if f.Down {
		return ErrUnavailable
	}
	return nil
}

// loseReplyLocked reports whether the reply of the write just applied is to be lost,
// and updates the fault settings. The caller holds s.mu.
func (s *Server) loseReplyLocked() bool {
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		s.faults.Down = s.faults.Down || s.faults.DownAfterLoss
		return true
	}
	return false
}

// recordLocked appends a change to the history and wakes the waiting watches. A full
// history is cut to its newer half. The caller holds s.mu.
func (s *Server) recordLocked(it Item) {
	s.history = append(s.history, it)
	if len(s.history) > maxHistory {
		s.history = s.history[len(s.history)-maxHistory/2:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// deleteLocked deletes a key, if it exists, as a write of its own. The caller holds
// s.mu.
func (s *Server) deleteLocked(key string) {
	old, ok := s.items[key]
	if !ok {
		return
	}
	delete(s.items, key)
	if l := s.leases[old.Lease]; l != nil {
		delete(l.keys, key)
	}
	s.rev = s.rev.next()
	s.recordLocked(Item{Key: key, Revision: s.rev, Deleted: true})
}

// Get implements Store.
func (s *Server) Get(ctx context.Context, key string) (Item, error) {
	s.reads.Add(1)
	if err := s.applyFaults(ctx); err != nil {
		return Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		return Item{}, ErrNotFound
	}
	return it, nil
}

// Range implements Store.
func (s *Server) Range(ctx context.Context, prefix string) ([]Item, Revision, error) {
	s.reads.Add(1)
	if err := s.applyFaults(ctx); err != nil {
		return nil, Revision{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Item
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	return out, s.rev, nil
}

// Put implements Store.
func (s *Server) Put(ctx context.Context, key string, value []byte, expect Revision, id LeaseID) (Revision, error) {
	s.writes.Add(1)
	if err := s.applyFaults(ctx); err != nil {
		return Revision{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.items[key]
	switch {
	case expect == Absent && exists, expect.isExact() && (!exists || old.Revision != expect):
		return Revision{}, ErrConflict
	}
	var l *lease
	if id != 0 {
		if l = s.leases[id]; l == nil {
			return Revision{}, ErrLeaseExpired
		}
	}
	if ol := s.leases[old.Lease]; exists && ol != nil {
		delete(ol.keys, key)
	}
	s.rev = s.rev.next()
	it := Item{Key: key, Value: value, Revision: s.rev, Lease: id}
	s.items[key] = it
	if l != nil {
		l.keys[key] = true
	}
	s.recordLocked(it)
	if s.loseReplyLocked() {
		return Revision{}, ErrUnavailable
	}
	return s.rev, nil
}

// Delete implements Store.
func (s *Server) Delete(ctx context.Context, key string, expect Revision) error {
	s.writes.Add(1)
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.items[key]
	if !exists {
		return ErrNotFound
	}
	if expect != AnyRevision && old.Revision != expect {
		return ErrConflict
	}
	s.deleteLocked(key)
	if s.loseReplyLocked() {
		return ErrUnavailable
	}
	return nil
}

// Watch implements Store.
func (s *Server) Watch(ctx context.Context, prefix string, after Revision) ([]Item, Revision, error) {
	return s.watchFor(ctx, prefix, after, maxWatchWait)
}

// watchFor implements Watch with a maximum wait, which maxWatchWait bounds. A revision
// of another era is reported as compacted, because a restore clears the history. So is
// a revision after which any change was dropped, even one of a key outside of prefix.
func (s *Server) watchFor(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	s.watches.Add(1)
	if err := s.applyFaults(ctx); err != nil {
		return nil, Revision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxWatchWait))
	defer cancel()
	for {
		s.mu.Lock()
		if after.Era() != s.rev.Era() || len(s.history) > 0 && s.history[0].Revision.After(after.next()) && s.rev.After(after) {
			s.mu.Unlock()
			return nil, Revision{}, ErrCompacted
		}
		var out []Item
		for _, it := range s.history {
			if it.Revision.After(after) && strings.HasPrefix(it.Key, prefix) {
				out = append(out, it)
			}
		}
		rev, ch := s.rev, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, rev, nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return nil, rev, nil
		}
	}
}
