package citronnode

// Was the store away?
//
// An engine's entry goes in two cases. The engine leaves without having said
// so: it serves on for a short while and must get no new work. Or an outage of
// the store keeps a sound engine from renewing its entry, which is back within
// two seconds of the store's return: until then callers are best served by the
// engine. The entry looks the same in both, so the outage needs a proof of its
// own, and without one the engine is taken to leave:
//
//	calls of this node -> storeHealth -> served or in trouble --+
//	                                                            +-> lapse cause
//	other nodes' word, by gossip -----> served or in trouble ---+
//
// A node's own failed call is no proof. The store may turn just this node away,
// a connection may have hung, the node itself may have stood still; meanwhile
// engines renew their entries, and one whose entry goes has left. So the word
// of one node that was served is enough against an outage.

import (
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

const (
	// lapseGrace is how long after an outage of the store its missing
	// entries may still come back: those of live engines are back within two
	// seconds. It is also how long a node has to have been served before its
	// word counts.
	lapseGrace = 2500 * time.Millisecond
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

// storeHealth is what a node's own calls tell of the store.
type storeHealth struct {
	mu sync.Mutex
	// lapseAfter is the shortest outage in which entries lapse.
	lapseAfter time.Duration
	// answered is when the store last answered.
	answered time.Time
	// failed is the newest call that was begun since then and not answered.
	failed *citronkv.Call
	// since is when the store began to serve this node: after an outage, or
	// after a time in which the node did not ask.
	since time.Time
	// back: it was an outage.
	back bool
}

func newStoreHealth(heartbeat time.Duration) *storeHealth {
	if heartbeat <= 0 {
		heartbeat = usualHeartbeat
	}
	return &storeHealth{lapseAfter: lapseHeartbeats * heartbeat}
}

// note takes a call that has ended.
func (h *storeHealth) note(c citronkv.Call) {
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

func (h *storeHealth) noteAnswer(c citronkv.Call) {
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

// storeState is what a node tells others of the store.
type storeState struct {
	// trouble: the store has not answered for so long that entries lapse,
	// or that was so within lapseGrace.
	trouble bool
	// served: the store has served the node without such an outage for
	// lapseGrace and more, up to now.
	served bool
	// failed is the newest call without an answer, nil if there is none.
	failed *citronkv.Call
}

func (h *storeHealth) state(now time.Time) storeState {
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := now.Sub(h.answered) >= h.lapseAfter
	away := silent && h.failed != nil && now.Sub(h.failed.Ended) < failedMemory
	settled := now.Sub(h.since) >= lapseGrace
	return storeState{
		trouble: away || h.back && !settled,
		served:  !silent && settled,
		failed:  h.failed,
	}
}
