package citronkv

import "maps"

// Snapshot holds the data of a Server at one moment.
type Snapshot struct {
	rev   Revision
	items map[string]Item
}

// Snapshot returns a snapshot of the current data.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{rev: s.rev, items: maps.Clone(s.items)}
}

// Era returns the number of times the server has been restored from a snapshot.
func (s *Server) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev.Era()
}

// Restore restores the server from an older snapshot. All later writes are lost, and
// so are all leases with their keys. The counts of the revisions continue from the
// count of the snapshot, and the era increases by one.
func (s *Server) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.rev.Era() + 1
	s.rev = RevisionOf(era, c.rev.Count())
	s.items = map[string]Item{}
	s.history = nil
	s.leases = map[LeaseID]*lease{}
	for key, it := range c.items {
		if it.Lease != 0 {
			continue
		}
		it.Revision = RevisionOf(era, it.Revision.Count())
		s.items[key] = it
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
