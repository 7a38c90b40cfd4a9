package citroncontact

import (
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks of an address.
const checkInterval = 300 * time.Millisecond

// Refusals records which peer addresses refused the last connection. Its zero value is ready
// to use.
type Refusals struct {
	mu sync.Mutex
	// refused holds the addresses that did, checked when an address was last checked.
	refused map[string]bool
	checked map[string]time.Time
}

// Record records the result of a message to the node at addr. An error other than a refused
// connection shows nothing.
func (r *Refusals) Record(addr string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		delete(r.refused, addr)
	case errors.Is(err, syscall.ECONNREFUSED):
		if r.refused == nil {
			r.refused = map[string]bool{}
		}
		r.refused[addr] = true
	}
}

// Refuses reports whether the node at addr refused the last connection.
func (r *Refusals) Refuses(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[addr]
}

// BeginCheck reports whether the node at addr is due to be checked, and if so records that
// it is.
func (r *Refusals) BeginCheck(addr string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checked[addr]) < checkInterval {
		return false
	}
	if r.checked == nil {
		r.checked = map[string]time.Time{}
	}
	r.checked[addr] = now
	return true
}

// Forget drops what is known of the address of a node that has been lost, or has come back
// or changed since.
func (r *Refusals) Forget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.refused, addr)
	delete(r.checked, addr)
}
