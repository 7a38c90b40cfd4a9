package citronnode

// Gossip of suspects. A suspect is here any request under which an engine has crashed;
// citronquarantine uses the word only for a request that is quarantined or that one more
// crash would quarantine. A changed record is sent at once if it has two crashes or more,
// and with the next message otherwise. A node whose set of relevant records (allSuspects)
// differs is sent that whole set. A caller may send a suspect to any node, so all nodes
// must know what one node has learned before the caller sends the suspect again.

import (
	"context"
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronquarantine"
	"github.com/cockroachdb/errors"
)

// Quarantine returns what this node knows of requests that crash engines.
func (n *Node) Quarantine() *citronquarantine.Ledger { return n.quarantine }

// encodeSuspects converts records to the form in which they are sent to other nodes.
func encodeSuspects(entries []citronquarantine.Entry, now time.Time) []citronpeer.Suspect {
	var out []citronpeer.Suspect
	for _, e := range entries {
		s := citronpeer.Suspect{Fingerprint: e.Fingerprint.String()}
		for _, c := range e.Crashes() {
			s.Crashes = append(s.Crashes, citronpeer.SuspectCrash{Engine: c.Engine, AgeMS: max(0, now.Sub(c.At).Milliseconds()), Refuted: c.Refuted})
		}
		out = append(out, s)
	}
	return out
}

// decodeSuspects decodes and checks the suspects that another node sent.
func decodeSuspects(suspects []citronpeer.Suspect, now time.Time) ([]citronquarantine.Entry, error) {
	if len(suspects) > citronquarantine.MaxGossipRecords {
		return nil, errors.Newf("message has %d suspects, the maximum is %d", len(suspects), citronquarantine.MaxGossipRecords)
	}
	var out []citronquarantine.Entry
	for _, s := range suspects {
		var e citronquarantine.Entry
		if err := e.Fingerprint.UnmarshalText([]byte(s.Fingerprint)); err != nil {
			return nil, err
		}
		if n := len(s.Crashes); n > citronquarantine.MaxCrashes {
			return nil, errors.Newf("suspect %s has %d crashes, the maximum is %d", s.Fingerprint, n, citronquarantine.MaxCrashes)
		}
		for _, c := range s.Crashes {
			if c.AgeMS < 0 || c.AgeMS > citronquarantine.MaxCrashAge.Milliseconds() {
				return nil, errors.Newf("suspect %s has a crash of age %d ms, want 0 to %d ms", s.Fingerprint, c.AgeMS, citronquarantine.MaxCrashAge.Milliseconds())
			}
			at := now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
			e.Record = e.WithCrash(citronquarantine.Crash{Engine: c.Engine, At: at, Refuted: c.Refuted})
		}
		out = append(out, e)
	}
	return out, nil
}

// recentSuspects returns the records that other nodes may not know yet.
func (n *Node) recentSuspects() []citronpeer.Suspect {
	return encodeSuspects(n.quarantine.Recent(), n.clock.Now())
}

// allSuspects returns the records for a node that knows a different set: those that
// quarantine a request, would do so after one more crash, or did so before.
func (n *Node) allSuspects() []citronpeer.Suspect {
	return encodeSuspects(n.quarantine.All(), n.clock.Now())
}

// mergeSuspects merges the records that another node sent. An invalid message is
// rejected as a whole.
func (n *Node) mergeSuspects(ctx context.Context, from string, suspects []citronpeer.Suspect) {
	entries, err := decodeSuspects(suspects, n.clock.Now())
	if err != nil {
		n.rejectSuspects(ctx, from, err)
		return
	}
	n.mergeRecords(ctx, from, entries)
}

// mergeRecords merges records from a node or the store, and logs the requests that are
// quarantined as a result.
func (n *Node) mergeRecords(ctx context.Context, from string, entries []citronquarantine.Entry) {
	for chunk := range slices.Chunk(entries, citronquarantine.MaxGossipRecords) {
		quarantined, err := n.quarantine.Merge(chunk)
		if err != nil {
			n.rejectSuspects(ctx, from, err)
			return
		}
		for _, e := range quarantined {
			citronevent.Log(ctx, n.log, citronevent.RequestQuarantined, "print", e.Fingerprint, "crashes", e.ActiveCrashes(), "source", from)
		}
	}
}

// rejectSuspects counts an invalid message of a node, or an invalid quarantine record in
// the store. No healthy node sends or writes one. Only the first one of each node, and
// the first one in the store, is logged.
func (n *Node) rejectSuspects(ctx context.Context, from string, err error) {
	n.suspectsRejected.Add(1)
	if _, logged := n.suspectsRejectedFrom.LoadOrStore(from, true); !logged {
		citronevent.Log(ctx, n.log, citronevent.SuspectsRejected, "peer", from, "err", err)
	}
}
