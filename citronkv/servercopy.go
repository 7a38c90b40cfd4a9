package citronkv

import "maps"

// Copy is what the stand-in held at one moment.
type Copy struct {
	rev   Revision
	items map[string]Item
}

// Copy returns what the stand-in holds.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rev: s.rev, items: maps.Clone(s.items)}
}

// Era is how often the stand-in has come back from a copy.
func (s *Server) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev.Era()
}

// Return has the stand-in come back from an older copy: what was written since is
// gone, and so are all leases with their keys; revisions go back to those of the
// copy, in the next era.
func (s *Server) Return(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.rev.Era() + 1
	s.rev = RevisionOf(era, c.rev.Number())
	s.items = map[string]Item{}
	s.history = nil
	s.leases = map[LeaseID]*lease{}
	for key, it := range c.items {
		if it.Lease != 0 {
			continue
		}
		it.Revision = RevisionOf(era, it.Revision.Number())
		s.items[key] = it
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
