// Package citronhealth detects outages of the store. It combines the results of a node's
// own calls to the store with the status that other nodes report by gossip.
//
// An engine's entry disappears from the store in two cases. Either the engine leaves
// without announcing it: it serves for a short while longer and must get no new work. Or
// an outage of the store keeps a healthy engine from renewing its entry: the entry is
// back within two seconds after the outage, and until then sending work to the engine
// remains the best choice. The missing entry looks the same in both cases, so an outage
// has to be proved separately. Without proof, the engine is assumed to be leaving:
//
//	calls of this node -> StoreMonitor -> Status --+
//	                                               +-> ConfirmedOutage
//	other nodes, by gossip --------------> Status -+
//
// A failed call of one node does not prove an outage. The store may reject only this
// node, a connection may have hung, or the node itself may have been paused. Meanwhile
// other engines renew their entries, and an engine whose entry disappears has left. A
// single node that the store has served all along therefore disproves an outage.
package citronhealth

import (
	"sync"
	"time"
)

const (
	// ExpiryGrace is how long after an outage of the store missing entries may still come
	// back; the entries of live engines are back within two seconds. It is also how long
	// the store must have served a node before that node's status counts against an
	// outage.
	ExpiryGrace = 2500 * time.Millisecond
	// expiryHeartbeats is the number of heartbeats of an engine that an outage must
	// suppress before entries expire. An entry lasts for three heartbeats, and the first
	// of them is partly over when the outage begins.
	expiryHeartbeats = 2
	// failedCallMaxAge is how long a failed call counts as a sign of an outage. A node
	// that gets no answer retries within 2.7 s (storeTimeout of the platform's client
	// plus 1.5 x maxRetryWait). A node that no longer calls the store, because other nodes
	// do, gets no newer results of its own; without this limit it would report an outage
	// forever.
	failedCallMaxAge = 3 * time.Second
	// defaultHeartbeat applies if the settings give no heartbeat.
	defaultHeartbeat = 1200 * time.Millisecond
)

// StoreMonitor keeps what the results of a node's own calls show about the store. It is
// safe for concurrent use.
type StoreMonitor struct {
	mu sync.Mutex
	// expireAfter is the duration of the shortest outage in which entries expire.
	expireAfter time.Duration
	// lastAnswer is when the store last answered.
	lastAnswer time.Time
	// lastFailed is the newest unanswered call that began after lastAnswer, or nil.
	lastFailed *Call
	// servedSince is when the store began to serve this node, after an outage or after a
	// time in which the node made no calls.
	servedSince time.Time
	// afterOutage reports whether an outage preceded servedSince.
	afterOutage bool
}

// NewStoreMonitor returns a monitor for engines that renew their entries once per
// heartbeat. If heartbeat is not positive, defaultHeartbeat applies.
func NewStoreMonitor(heartbeat time.Duration) *StoreMonitor {
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	return &StoreMonitor{expireAfter: expiryHeartbeats * heartbeat}
}

// RecordCall records a call that has ended.
func (m *StoreMonitor) RecordCall(c Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.Canceled():
	case c.Answered():
		m.noteAnswer(c)
	case c.Begun.Before(m.lastAnswer):
		// The store has answered another call since this one began, so only this call's
		// connection failed. The next call shows whether the store is unreachable by
		// now.
	default:
		m.lastFailed = &c
	}
}

// noteAnswer adds an answered call to the record. It starts a new period of service if
// the store had been unreachable, or the node had made no calls, for expireAfter.
func (m *StoreMonitor) noteAnswer(c Call) {
	stalled := c.Ended.Sub(m.lastAnswer) >= m.expireAfter
	unasked := c.Begun.Sub(m.lastAnswer) >= m.expireAfter
	if stalled && (m.lastFailed != nil || unasked) {
		m.servedSince, m.afterOutage = c.Ended, m.lastFailed != nil
	}
	if c.Ended.After(m.lastAnswer) {
		m.lastAnswer = c.Ended
	}
	m.lastFailed = nil
}

// Status is what one node reports to the other nodes about the store.
type Status struct {
	// Outage is true while the store has been unreachable for this node for long enough
	// that entries expire.
	Outage bool `json:"away,omitempty"`
	// Recovered is true for ExpiryGrace after such an outage has ended.
	Recovered bool `json:"back,omitempty"`
	// Answered is true if the store has answered this node recently.
	Answered bool `json:"answered,omitempty"`
	// Served is true if the store has been answering this node for at least ExpiryGrace
	// without such an outage.
	Served bool `json:"served,omitempty"`
}

// Status returns what the calls recorded so far show at the given time.
func (m *StoreMonitor) Status(now time.Time) Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	stalled := now.Sub(m.lastAnswer) >= m.expireAfter
	stable := now.Sub(m.servedSince) >= ExpiryGrace
	return Status{
		Outage:    stalled && m.lastFailed != nil && now.Sub(m.lastFailed.Ended) < failedCallMaxAge,
		Recovered: m.afterOutage && !stable,
		Answered:  !stalled,
		Served:    !stalled && stable,
	}
}

// LastFailed returns the newest unanswered call since the store last answered, or nil if
// there is none.
func (m *StoreMonitor) LastFailed() *Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastFailed
}

// ConfirmedOutage reports whether the store is unreachable for all nodes, or was within
// the last ExpiryGrace. The statuses are those of this node and of all nodes that it
// currently hears of. A node that the store has served all along disproves an outage.
// While some nodes cannot reach the store, a single answered node shows that the store
// rejects only those nodes.
func ConfirmedOutage(statuses ...Status) bool {
	var all Status
	for _, s := range statuses {
		all.Outage = all.Outage || s.Outage
		all.Recovered = all.Recovered || s.Recovered
		all.Answered = all.Answered || s.Answered
		all.Served = all.Served || s.Served
	}
	return !all.Served && (all.Recovered || all.Outage && !all.Answered)
}
