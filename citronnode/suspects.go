package citronnode

// What nodes tell each other of requests that crash engines: what is new at once,
// and all of it to a node that knows something else. A caller may send such a
// request to any node, so what one has learned all must know before it comes again.

import (
	"context"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronquarantine"
	"github.com/cockroachdb/errors"
)

// Quarantine is what this node knows of requests that crash engines.
func (n *Node) Quarantine() *citronquarantine.Ledger { return n.quarantine }

// tellSuspects puts records into the form in which other nodes get them.
func tellSuspects(entries []citronquarantine.Entry, now time.Time) []citronpeer.Suspect {
	var out []citronpeer.Suspect
	for _, e := range entries {
		s := citronpeer.Suspect{Print: e.Print.String()}
		for _, c := range e.Crashes() {
			s.Crashes = append(s.Crashes, citronpeer.SuspectCrash{Engine: c.Engine, AgeMS: max(0, now.Sub(c.At).Milliseconds()), Refuted: c.Refuted})
		}
		out = append(out, s)
	}
	return out
}

// decodeSuspects reads what another node told.
func decodeSuspects(told []citronpeer.Suspect, now time.Time) ([]citronquarantine.Entry, error) {
	if len(told) > citronquarantine.MaxGossipRecords {
		return nil, errors.Newf("%d suspects at once", len(told))
	}
	var out []citronquarantine.Entry
	for _, s := range told {
		var e citronquarantine.Entry
		if err := e.Print.UnmarshalText([]byte(s.Print)); err != nil {
			return nil, err
		}
		if n := len(s.Crashes); n > citronquarantine.MostCrashes {
			return nil, errors.Newf("suspect of %d crashes", n)
		}
		for _, c := range s.Crashes {
			if c.AgeMS < 0 || c.AgeMS > citronquarantine.OldestCrash.Milliseconds() {
				return nil, errors.Newf("crash %d ms ago", c.AgeMS)
			}
			at := now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
			e.Record = e.WithCrash(citronquarantine.Crash{Engine: c.Engine, At: at, Refuted: c.Refuted})
		}
		out = append(out, e)
	}
	return out, nil
}

// recentSuspects is what other nodes may not have heard yet.
func (n *Node) recentSuspects() []citronpeer.Suspect {
	return tellSuspects(n.quarantine.Recent(), n.clock.Now())
}

// allSuspects is what a node is told that knows something else.
func (n *Node) allSuspects() []citronpeer.Suspect {
	return tellSuspects(n.quarantine.All(), n.clock.Now())
}

// mergeSuspects merges the records that another node sent. Nothing is taken of an
// invalid message.
func (n *Node) mergeSuspects(ctx context.Context, from string, told []citronpeer.Suspect) {
	entries, err := decodeSuspects(told, n.clock.Now())
	if err != nil {
		n.rejectSuspects(ctx, from, err)
		return
	}
	n.learnEntries(ctx, from, entries)
}

// learnEntries takes records from a node or the store.
func (n *Node) learnEntries(ctx context.Context, from string, entries []citronquarantine.Entry) {
	for chunk := range slices.Chunk(entries, citronquarantine.MaxGossipRecords) {
		barred, err := n.quarantine.Learn(chunk)
		if err != nil {
			n.rejectSuspects(ctx, from, err)
			return
		}
		for _, e := range barred {
			citronevent.Log(ctx, n.log, citronevent.RequestBarred, "print", e.Print, "crashes", e.Standing(), "source", from)
		}
	}
}

// rejectSuspects counts a message that no sound node sends; the first of each node
// is logged.
func (n *Node) rejectSuspects(ctx context.Context, from string, err error) {
	n.suspectsRejected.Add(1)
	if _, logged := n.rejectedFrom.LoadOrStore(from, true); !logged {
		citronevent.Log(ctx, n.log, citronevent.SuspectsRejected, "peer", from, "err", err)
	}
}
