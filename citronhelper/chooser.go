// Package citronhelper chooses the nodes that are asked to make calls to engines which a node
// does not reach itself.
package citronhelper

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Helper is a node that may be asked to make calls.
type Helper struct {
	Name, Peer string
	// Near is true if the node is in this node's zone.
	Near bool
}

// declineTTL is how long a node that declined a call is asked last for calls to the same group
// of engines.
const declineTTL = 2 * time.Second

// Chooser spreads calls over the helpers. Its zero value is ready to use.
type Chooser struct {
	mu sync.Mutex
	// running counts the calls in flight by the helper's name.
	running map[string]int
	// declined holds when a helper last declined a call to a group of engines.
	declined map[declineKey]time.Time
}

// declineKey names a helper and a group of engines.
type declineKey struct{ helper, group string }

// Order returns the helpers in the order in which they are to be asked for a call to a
// group of engines. The first is the better of two drawn at random: the one with fewer calls
// of this node in flight, or else the nearer one. Those that have just declined are last.
func (c *Chooser) Order(helpers []Helper, group string, now time.Time) []Helper {
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, at := range c.declined {
		if now.Sub(at) > declineTTL {
			delete(c.declined, k)
		}
	}
	slices.SortStableFunc(helpers, func(a, b Helper) int {
		return c.declined[declineKey{a.Name, group}].Compare(c.declined[declineKey{b.Name, group}])
	})
	if len(helpers) > 1 && !c.hasDeclined(helpers[1], group) && c.prefers(helpers[1], helpers[0]) {
		helpers[0], helpers[1] = helpers[1], helpers[0]
	}
	return helpers
}

func (c *Chooser) hasDeclined(h Helper, group string) bool {
	return !c.declined[declineKey{h.Name, group}].IsZero()
}

// prefers reports whether a is better than b.
func (c *Chooser) prefers(a, b Helper) bool {
	m, n := c.running[a.Name], c.running[b.Name]
	return m < n || m == n && a.Near && !b.Near
}

// RecordDecline records that a helper declined a call to a group of engines.
func (c *Chooser) RecordDecline(h Helper, group string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.declined == nil {
		c.declined = map[declineKey]time.Time{}
	}
	c.declined[declineKey{h.Name, group}] = now
}

// Begin counts a call through a helper until the returned function is called.
func (c *Chooser) Begin(h Helper) (end func()) {
	c.add(h.Name, 1)
	return sync.OnceFunc(func() { c.add(h.Name, -1) })
}

func (c *Chooser) add(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = map[string]int{}
	}
	if c.running[name] += n; c.running[name] <= 0 {
		delete(c.running, name)
	}
}
