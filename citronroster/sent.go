package citronroster

import (
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
)

// What a node has sent outlives the node: it stays in the window of the retry budget after the
// node has ended, has been restarted, or is not heard any more.

// maxEnded bounds the number of ended processes that are remembered. One that restarts over and
// over adds a few in a window.
const maxEnded = 4096

// endedProcess is a process of a node whose place another process has taken.
type endedProcess struct {
	sent map[string]citronpeer.Sent
	// heard is when the process was last heard of.
	heard time.Time
}

// recordEnded remembers what a member has sent whose process has been replaced.
func (t *Table) recordEnded(k *TrackedMember) {
	if k.Zone != t.zone || len(k.Sent) == 0 {
		return
	}
	if len(t.ended) == maxEnded {
		t.ended = t.ended[1:]
	}
	t.ended = append(t.ended, endedProcess{sent: k.Sent, heard: k.LastHeard})
}

// Sent returns what the other nodes of this node's zone have sent in the last window, by
// service, as far as this node knows. Processes that have ended or are silent count with what
// was last heard of them until all of it has left the window.
func (t *Table) Sent(now time.Time, window time.Duration) map[string]citronpeer.Sent {
	sum := NewTotal()
	for _, k := range t.members {
		if k.Zone != t.zone {
			continue
		}
		if k.Alive {
			sum.Add(nil, k.Sent)
		} else {
			sum.addSilent(k.Sent, now.Sub(k.LastHeard), window)
		}
	}
	kept := t.ended[:0]
	for _, e := range t.ended {
		age := now.Sub(e.heard)
		if age > window {
			continue
		}
		kept = append(kept, e)
		sum.addSilent(e.sent, age, window)
	}
	clear(t.ended[len(kept):])
	t.ended = kept
	return sum.Sent
}

// Sent returns what the nodes of the other zones have sent in the last window, by service, as
// far as this node knows.
func (s *ZoneTotals) Sent(now time.Time, window time.Duration) map[string]citronpeer.Sent {
	sum := NewTotal()
	for zone, t := range s.byZone {
		switch age := now.Sub(t.computed); {
		case zone == s.zone:
		case age <= maxTotalsAge:
			sum.Add(nil, t.Sent)
		default:
			sum.addSilent(t.Sent, age, window)
		}
	}
	return sum.Sent
}

// addSilent adds what a source has sent that has been silent for a time. Its requests are
// assumed to have come evenly over the window before that and leave it in that order. Its
// retries may all have been the last thing that it sent, so they stay until none of them can
// be in the window.
func (t Total) addSilent(sent map[string]citronpeer.Sent, silent, window time.Duration) {
	if silent > window {
		return
	}
	rest := 1 - max(0, silent).Seconds()/window.Seconds()
	for service, u := range sent {
		t.Add(nil, map[string]citronpeer.Sent{service: {Requests: rest * u.Requests, Retries: u.Retries}})
	}
}
