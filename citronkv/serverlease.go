package citronkv

import (
	"context"
	"time"
)

// Grant implements Store.
func (s *Server) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	s.writes.Add(1)
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl), keys: map[string]bool{}}
	return s.nextID, nil
}

// KeepAlive implements Store.
func (s *Server) KeepAlive(ctx context.Context, id LeaseID) error {
	s.writes.Add(1)
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return ErrLeaseExpired
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return nil
}

// Revoke implements Store.
func (s *Server) Revoke(ctx context.Context, id LeaseID) error {
	s.writes.Add(1)
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(id)
	return nil
}
