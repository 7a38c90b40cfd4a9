package citronnode

// Accusations: an engine that refuses a request because of another names it.
//
// The load it answers: an engine in the middle of a path dies at the peak. The
// next request that is sent through it is refused within a few milliseconds,
// while the streams that run through it only fall silent, and each node would
// have to learn it by a refusal of its own. So the node that is refused first
// tells those that may use the engine, in one message each.

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpool"
)

const (
	// accuseGap is the least time between two sendings. Each goes to a zone's
	// nodes or two.
	accuseGap = 20 * time.Millisecond
)

// Accuse tells the nodes of this zone and of the engine's that the engine was
// named in a refusal. It must not wait: a request is being answered.
func (n *Node) Accuse(e *citronpool.Engine) {
	now := n.clock.Now()
	last := n.accused.Load()
	if last != nil && now.Sub(*last) < accuseGap || !n.accused.CompareAndSwap(last, &now) {
		return
	}
	s := n.snap.Load()
	news := s.news()
	news.Accused = []string{e.ID}
	for _, m := range s.members {
		if m.Zone == n.set.Zone || m.Zone == e.Zone || m.Leads {
			go n.accuse(m.Peer, news)
		}
	}
}

func (n *Node) accuse(addr string, news citronpeer.Knowledge) {
	ctx := context.Background()
	if theirs, err := n.peers.News(ctx, addr, news); err == nil {
		n.learn(ctx, theirs)
	} // one that does not hear it learns it from its own requests
}

// hearAccused takes another node's word.
func (n *Node) hearAccused(ids []string) {
	t := n.snap.Load().traffic
	if t == nil {
		return
	}
	for _, id := range ids {
		if e, ok := t.View.ByID(id); ok {
			e.Accuse(n.clock.Now())
		}
	}
}
