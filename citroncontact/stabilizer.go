// Package citroncontact tells what a node learns from its contacts with other nodes, apart
// from what they say: whether it knows them all after its start, and which of them refuse
// connections.
package citroncontact

// Stabilization after startup.
//
// A node that starts knows no other nodes and would consider itself the first: it would
// watch the store and register its address there, and so would every other node that
// starts at the same time. How long it takes to hear of the others depends on how busy
// they are, so a node counts exchanges instead of time. It knows the fleet once it hears
// of no more nodes and a few other nodes in a row know no more than it does. It is alone
// once no node answers.

import (
	"sync"
	"syscall"

	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cockroachdb/errors"
)

const (
	// stableAfter is the number of consecutive nodes that know no more than this one.
	stableAfter = 3
	// maxAnswered is the number of exchanges that suffice even if new nodes keep
	// appearing. It is well above the number of seeds and partners in the first rounds,
	// which know as little as this node when all nodes start together.
	maxAnswered = 60
	// aloneAfter is the number of refused connections since the last successful exchange
	// after which a node considers itself alone. aloneAfterTimeouts is the number of
	// failed exchanges of any kind after which it does so. That number is higher, because
	// a node that does not answer in time or rejects exchanges may be starting as well.
	aloneAfter         = 4
	aloneAfterTimeouts = 16
)

// Stabilizer determines when a started node knows the other nodes. Its zero value is ready
// to use.
type Stabilizer struct {
	mu sync.Mutex
	// unchanged is the number of consecutive successful exchanges with nodes that knew no
	// more members than this one, while this one learned of no new members either.
	unchanged int
	// known is the number of members that this node knew before the last exchange.
	known int
	// answered counts successful exchanges. failed counts the exchanges that have failed
	// since the last successful one, and refused counts those of them where nothing
	// listened at the address.
	answered, refused, failed int
}

// RecordExchange records the result of an exchange and how many members each side knew
// before it.
func (s *Stabilizer) RecordExchange(ours, theirs citronpeer.Digest, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.refused++
		}
		return
	}
	s.answered++
	s.refused, s.failed = 0, 0
	grown := len(ours.Fingerprints) != s.known
	s.known = len(ours.Fingerprints)
	// A node that knows only itself does not know the answering node yet.
	if grown || len(ours.Fingerprints) <= 1 || len(theirs.Fingerprints) > len(ours.Fingerprints) {
		s.unchanged = 0
		return
	}
	s.unchanged++
}

// Done reports whether the node knows the other nodes, or that there are none.
func (s *Stabilizer) Done() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unchanged >= stableAfter || s.answered >= maxAnswered || s.refused >= aloneAfter || s.failed >= aloneAfterTimeouts
}
