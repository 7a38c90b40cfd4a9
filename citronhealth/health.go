// Package citronhealth judges from a node's own calls to the store, and from
// other nodes' word, whether the store was away.
//
// An engine's entry goes in two cases. The engine leaves without having said
// so: it serves on for a short while and must get no new work. Or an outage of
// the store keeps a sound engine from renewing its entry, which is back within
// two seconds of the store's return: until then callers are best served by the
// engine. The entry looks the same in both, so the outage needs a proof of its
// own, and without one the engine is taken to leave:
//
//	calls of this node -> Record -> served or in trouble --+
//	                                                       +-> Away
//	other nodes' word, by gossip -> served or in trouble --+
//
// A node's own failed call is no proof. The store may turn just this node away,
// a connection may have hung, the node itself may have stood still; meanwhile
// engines renew their entries, and one whose entry goes has left. So the word
// of one node that was served is enough against an outage.
package citronhealth

import (
	"sync"
	"time"
)

const (
	// LapseGrace is how long after an outage of the store its missing
	// entries may still come back: those of live engines are back within two
	// seconds. It is also how long a node has to have been served before its
	// word counts.
	LapseGrace = 2500 * time.Millisecond
	// lapseHeartbeats is how many heartbeats of an engine an outage has to
	// swallow before entries lapse: they last for three, the first of which
	// is partly over when the outage begins.
	lapseHeartbeats = 2
	// failedMemory is how long a failed call tells of trouble: a node that
	// the store does not answer tries again within 2.7 s (storeTimeout of the
	// platform's client and 1.5 x retryMost). One that leaves the asking to
	// others knows no more than they do, and would else be in trouble for ever.
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

// State is what a node tells others of the store.
type State struct {
	// Trouble: the store has not answered for so long that entries lapse,
	// or that was so within LapseGrace.
	Trouble bool
	// Served: the store has served the node without such an outage for
	// LapseGrace and more, up to now.
	Served bool
	// Failed is the newest call without an answer, nil if there is none.
	Failed *Call
}

// State returns what the calls up to now tell.
func (h *Record) State(now time.Time) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := now.Sub(h.answered) >= h.lapseAfter
	away := silent && h.failed != nil && now.Sub(h.failed.Ended) < failedMemory
	settled := now.Sub(h.since) >= LapseGrace
	return State{
		Trouble: away || h.back && !settled,
		Served:  !silent && settled,
		Failed:  h.failed,
	}
}

// Away reports whether the store was away for all nodes within the last seconds:
// some were in trouble, and none was served.
func Away(nodes ...State) bool {
	trouble := false
	for _, s := range nodes {
		if s.Served {
			return false
		}
		trouble = trouble || s.Trouble
	}
	return trouble
}
