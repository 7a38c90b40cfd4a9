package citronstat

import "sync"

// maxNames is the maximum number of names that a NameSet holds.
const maxNames = 64

// NameSet collects names that come from outside, up to a fixed number. Its zero value is
// empty. It is safe for concurrent use.
type NameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// Add adds a name, and reports whether it is new and the set was not full.
func (s *NameSet) Add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] || len(s.names) >= maxNames {
		return false
	}
	if s.names == nil {
		s.names = map[string]bool{}
	}
	s.names[name] = true
	return true
}
