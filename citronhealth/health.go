// Package citronhealth judges from a node's own calls to the store, and from
// what other nodes tell of theirs, whether the store was away.
//
// An engine's entry goes in two cases. The engine leaves without having said
// so: it serves on for a short while and must get no new work. Or an outage of
// the store keeps a sound engine from renewing its entry, which is back within
// two seconds of the store's return: until then callers are best served by the
// engine. The entry looks the same in both, so the outage needs a proof of its
// own, and without one the engine is taken to leave:
//
//	calls of this node -> Record -> Status --+
//	                                         +-> Away
//	other nodes, by gossip --------> Status -+
//
// A node's own failed call is no proof. The store may turn just this node away,
// a connection may have hung, the node itself may have stood still; meanwhile
// engines renew their entries, and one whose entry goes has left. So one node
// that was served is enough against an outage.
package citronhealth

import (
	"sync"
	"time"
)

const (
	// LapseGrace is how long after an outage of the store its missing
	// entries may still come back: those of live engines are back within two
	// seconds. It is also how long a node has to have been served for that to
	// count against an outage.
	LapseGrace = 2500 * time.Millisecond
	// lapseHeartbeats is how many heartbeats of an engine an outage has to
	// swallow before entries lapse: they last for three, the first of which
	// is partly over when the outage begins.
	lapseHeartbeats = 2
	// failedMemory is how long a failed call tells of an outage: a node that
	// the store does not answer tries again within 2.7 s (storeTimeout of the
	// platform's client and 1.5 x retryMost). One that leaves the asking to
	// others knows no more than they do, and would else tell of one for ever.
	failedMemory = 3 * time.Second
	// usualHeartbeat stands for settings without a heartbeat.
	usualHeartbeat = 1200 * time.Millisecond
)

// Record is what a node's own calls tell of the store. It is safe for use by
// many goroutines.
type Record struct {
	mu sync.Mutex
	// lapseAfter is the shortest outage in which entries lapse.
	lapseAfter time.Duration
	// answered is when the store last answered.
	answered time.Time
	// failed is the newest call that was begun since then and not answered.
	failed *Call
	// since is when the store began to serve this node: after an outage, or
	// after a time in which the node did not ask.
	since time.Time
	// back: it was an outage.
	back bool
}

// NewRecord returns a record for engines that renew their entries every heartbeat;
// zero: usualHeartbeat.
func NewRecord(heartbeat time.Duration) *Record {
	if heartbeat <= 0 {
		heartbeat = usualHeartbeat
	}
	return &Record{lapseAfter: lapseHeartbeats * heartbeat}
}

// Note takes a call that has ended.
func (h *Record) Note(c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case c.GivenUp():
	case c.Answered():
		h.noteAnswer(c)
	case c.Begun.Before(h.answered):
		// Another call was answered since: what failed is this one's
		// connection. The next call tells if the store is away by now.
	default:
		h.failed = &c
	}
}

func (h *Record) noteAnswer(c Call) {
	silent := c.Ended.Sub(h.answered) >= h.lapseAfter
	unasked := c.Begun.Sub(h.answered) >= h.lapseAfter
	if silent && (h.failed != nil || unasked) {
		h.since, h.back = c.Ended, h.failed != nil
	}
	if c.Ended.After(h.answered) {
		h.answered = c.Ended
	}
	h.failed = nil
}

// Status is what a node tells others of the store.
type Status struct {
	// Away: the store has not answered for so long that entries lapse.
	Away bool `json:"away,omitempty"`
	// Back: such an outage ended within LapseGrace.
	Back bool `json:"back,omitempty"`
	// Answered: the store answered lately.
	Answered bool `json:"answered,omitempty"`
	// Served: it has done so without such an outage for LapseGrace and more.
	Served bool `json:"served,omitempty"`
}

// Status returns what the calls up to now tell.
func (h *Record) Status(now time.Time) Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := now.Sub(h.answered) >= h.lapseAfter
	settled := now.Sub(h.since) >= LapseGrace
	return Status{
		Away:     silent && h.failed != nil && now.Sub(h.failed.Ended) < failedMemory,
		Back:     h.back && !settled,
		Answered: !silent,
		Served:   !silent && settled,
	}
}

// Failed is the newest call without an answer since the last answer, nil if there
// is none.
func (h *Record) Failed() *Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failed
}

// Away reports, from the status of all nodes that are heard, whether the store
// was away for all of them within the last seconds. One that was served all the
// while is proof against it. While it is away for some, one that it answers
// shows that it turns just those away.
func Away(statuses ...Status) bool {
	var all Status
	for _, s := range statuses {
		all.Away = all.Away || s.Away
		all.Back = all.Back || s.Back
		all.Answered = all.Answered || s.Answered
		all.Served = all.Served || s.Served
	}
	return !all.Served && (all.Back || all.Away && !all.Answered)
}
