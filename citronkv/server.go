package citronkv

// The stand-in server. It keeps everything in memory behind one mutex, as
// the real service is small and answers in milliseconds. A store-wide
// revision counts writes; a bounded log of recent changes serves watches;
// a broadcast channel, closed and replaced on each write, wakes waiting
// watches. Fault switches (Faults) let tests make it down, slow, or lose
// the replies of writes that it has applied.

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
	historySize   = 65536
	watchWaitMax  = 10 * time.Second
	leaseSweepGap = 100 * time.Millisecond
)

// Faults are the stand-in's switches.
type Faults struct {
	// Down makes every call fail with Unavailable.
	Down bool `json:"down"`
	// Slow delays every answer.
	Slow time.Duration `json:"slow"`
	// LoseReplies applies the next n writes and then answers each with
	// Unavailable, as when a reply is lost on the way back.
	LoseReplies int `json:"loseReplies"`
	// DownAfterLoss makes the service go down with the first lost reply,
	// so that the writer cannot read back what became of its write.
	DownAfterLoss bool `json:"downAfterLoss"`
}

// Counts are the calls the stand-in has served, by kind.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Server is the key-value stand-in.
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

// NewServer returns an empty store.
func NewServer(clock citronclock.Clock, instanceLag time.Duration) *Server {
	return &Server{
		clock:     clock,
		items:     map[string]Item{},
		changed:   make(chan struct{}),
		leases:    map[LeaseID]*lease{},
		instances: newInstanceList(clock, instanceLag),
	}
}

// Counts returns the calls served so far.
func (s *Server) Counts() Counts {
	return Counts{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// Publish exposes the call counts through expvar.
func (s *Server) Publish() {
	expvar.Publish("kv", expvar.Func(func() any { return s.Counts() }))
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// ExpireLease lapses a lease now, as when its holder was paused past its
// time to live; the holder is not told.
func (s *Server) ExpireLease(id LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(id)
}

// Leases is the number of leases that live.
func (s *Server) Leases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leases)
}

// Run sweeps lapsed leases until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.clock.Sleep(ctx, leaseSweepGap) != nil {
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

// gate applies the Down and Slow switches before a call.
func (s *Server) gate(ctx context.Context) error {
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

// loseReply reports whether the reply of a write just applied is lost.
func (s *Server) loseReplyLocked() bool {
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		s.faults.Down = s.faults.Down || s.faults.DownAfterLoss
		return true
	}
	return false
}

func (s *Server) recordLocked(it Item) {
	s.history = append(s.history, it)
	if len(s.history) > historySize {
		s.history = s.history[len(s.history)-historySize/2:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

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
	if err := s.gate(ctx); err != nil {
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
	if err := s.gate(ctx); err != nil {
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
	if err := s.gate(ctx); err != nil {
		return Revision{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.items[key]
	switch {
	case expect == Absent && exists, expect.isOne() && (!exists || old.Revision != expect):
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
	if err := s.gate(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.items[key]
	if !exists {
		return ErrNotFound
	}
	if expect.isOne() && old.Revision != expect {
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
	return s.watchFor(ctx, prefix, after, watchWaitMax)
}

func (s *Server) watchFor(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	s.watches.Add(1)
	if err := s.gate(ctx); err != nil {
		return nil, Revision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, watchWaitMax))
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
