package citronnode

// Prompt parts that crash engines: reports of crashes to the nodes that detect such parts, the
// records that all nodes share, and the trials of parts.

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronpart"
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronrendezvous"
	"github.com/cockroachdb/errors"
)

const (
	// detectingNodes is the number of nodes that receive all crashes. The loss of two of
	// them loses no crash.
	detectingNodes = 3
	// reportDelay is how long crashes are collected before they are reported. All runs of an
	// engine end within milliseconds of each other.
	reportDelay = 20 * time.Millisecond
	// claimTimeout bounds the claim of a trial in the store. The request waits meanwhile.
	claimTimeout = 300 * time.Millisecond
	// partPrefix is the key prefix of the records of prompt parts in the store, and
	// trialPrefix that of claims.
	partPrefix  = "deck/parts/"
	trialPrefix = "deck/trials/"
)

// Parts returns what this node knows of prompt parts that crash engines.
func (n *Node) Parts() *citronpart.Ledger { return n.parts }

// reportCrashes reports the crashes that this node sees to the detecting nodes until ctx
// ends.
func (n *Node) reportCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.crashSeen:
		}
		if n.clock.Sleep(ctx, reportDelay) != nil {
			return
		}
		crashes := n.parts.TakeUnsent()
		for _, m := range n.detectors() {
			if m.Name == n.settings.Name {
				if err := n.parts.AddCrashes(crashes); err != nil {
					n.rejectCrashes(ctx, m.Name, err)
				}
				continue
			}
			go n.push(ctx, m.Peer, citronpeer.GossipState{From: n.snap.Load().self, Crashes: citronpart.EncodeCrashes(crashes, n.clock.Now())})
		}
	}
}

// detectors returns the nodes that detect parts that crash engines.
func (n *Node) detectors() []citronpeer.Member {
	s := n.snap.Load()
	nodes := []citronpeer.Member{s.self}
	for _, m := range s.members {
		if !m.Leaving && !s.stale[m.Name] {
			nodes = append(nodes, m)
		}
	}
	return citronrendezvous.ChooseSeveral("crashes", detectingNodes, nodes, func(m citronpeer.Member) string { return m.Name })
}

// detectParts looks for parts that crash engines in the crashes that were reported to this
// node.
func (n *Node) detectParts(ctx context.Context) {
	n.logParts(ctx, sourceOwn, n.parts.Detect())
}

// sourceOwn is the source of what a node found out by itself.
const sourceOwn = "own"

// logParts logs records whose state is new on this node.
func (n *Node) logParts(ctx context.Context, source string, changed []citronpart.Record) {
	for _, r := range changed {
		switch r.State {
		case citronpart.Quarantined:
			citronevent.Log(ctx, n.log, citronevent.PartQuarantined, "part", r.Part, "crashes", r.Crashes, "tied", r.Tied, "customer", r.Customer, "source", source)
		case citronpart.Released:
			citronevent.Log(ctx, n.log, citronevent.PartReleased, "part", r.Part, "source", source)
		}
	}
}

// addCrashes takes the crashes that another node has reported.
func (n *Node) addCrashes(ctx context.Context, from string, crashes []citronpeer.Crash) {
	if len(crashes) == 0 {
		return
	}
	if err := n.parts.AddCrashes(citronpart.DecodeCrashes(crashes, n.clock.Now())); err != nil {
		n.rejectCrashes(ctx, from, err)
	}
}

// mergeParts merges the records that another node sent or that were in the store.
func (n *Node) mergeParts(ctx context.Context, from string, parts []citronpeer.PartRecord) {
	if len(parts) == 0 {
		return
	}
	now := n.clock.Now()
	records := make([]citronpart.Record, len(parts))
	for i, p := range parts {
		records[i] = citronpart.Decode(p, now)
	}
	changed, err := n.parts.Merge(records)
	if err != nil {
		n.rejectCrashes(ctx, from, err)
		return
	}
	n.logParts(ctx, from, changed)
}

// rejectCrashes logs the first invalid message of a node.
func (n *Node) rejectCrashes(ctx context.Context, from string, err error) {
	if _, logged := n.crashesRejectedFrom.LoadOrStore(from, true); !logged {
		citronevent.Log(ctx, n.log, citronevent.CrashesRejected, "peer", from, "err", err)
	}
}

// recentParts returns the records that other nodes may not have received yet.
func (n *Node) recentParts() []citronpeer.PartRecord {
	return citronpart.EncodeAll(n.parts.Recent(), n.clock.Now())
}

// allParts returns the records for a node that has others.
func (n *Node) allParts() []citronpeer.PartRecord {
	return citronpart.EncodeAll(n.parts.All(), n.clock.Now())
}

// ClaimTrial claims a trial of a part. Of all nodes, only the first one succeeds, and only if
// the store answers. A claim whose answer is lost is not used.
func (n *Node) ClaimTrial(ctx context.Context, t citronpart.Trial) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	lease, err := n.sources.Store.Grant(ctx, quarantineTTL)
	if err != nil {
		return false
	}
	key := fmt.Sprintf("%s%s-%d-%d", trialPrefix, t.Part, t.Generation, t.N)
	_, err = n.sources.Store.Put(ctx, key, []byte(n.settings.Name), citronkv.Absent, lease)
	if err == nil || errors.Is(err, citronkv.ErrConflict) {
		n.parts.BeginTrial(t)
	}
	return err == nil
}

// saveParts writes the records of parts that this node has changed to the store.
func (n *Node) saveParts(ctx context.Context) {
	for _, r := range n.parts.Unsaved() {
		if err := n.savePart(ctx, r); err != nil {
			citronevent.Log(ctx, n.log, citronevent.QuarantineUnsaved, "part", r.Part, "err", err)
			time.AfterFunc(maxRetryWait, func() { wake(n.quarantineChanged) })
			return
		}
		n.parts.MarkSaved(r)
	}
}

// storedPart is a record of a part in the store, with the time at which it was written.
type storedPart struct {
	citronpeer.PartRecord
	UnixMS int64 `json:"unixMs"`
}

func (n *Node) savePart(ctx context.Context, r citronpart.Record) error {
	now := n.clock.Now()
	text, err := json.Marshal(storedPart{r.Encode(now), now.UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encode record of a prompt part")
	}
	lease, err := n.sources.Store.Grant(ctx, quarantineTTL)
	if err != nil {
		return errors.Wrap(err, "grant lease for record of a prompt part")
	}
	_, err = n.sources.Store.Put(ctx, partPrefix+r.Part.String(), text, citronkv.AnyRevision, lease)
	return errors.Wrap(err, "put record of a prompt part")
}

// loadParts merges the records of parts in the store.
func (n *Node) loadParts(ctx context.Context) error {
	items, _, err := n.sources.Store.Range(ctx, partPrefix)
	if err != nil {
		return errors.Wrap(err, "read records of prompt parts")
	}
	for _, item := range items {
		var p storedPart
		if err := json.Unmarshal(item.Value, &p); err != nil {
			n.rejectCrashes(ctx, sourceStore, errors.Wrapf(err, "decode record at %s", item.Key))
			continue
		}
		// The clock of the node that wrote the record may be ahead.
		n.mergeParts(ctx, sourceStore, []citronpeer.PartRecord{p.aged(max(0, n.clock.Now().Sub(time.UnixMilli(p.UnixMS))))})
	}
	return nil
}

// aged returns the record with its ages increased.
func (p storedPart) aged(by time.Duration) citronpeer.PartRecord {
	r := p.PartRecord
	r.SinceMS += by.Milliseconds()
	for _, age := range []*int64{r.CrashMS, r.RanMS, r.TriedMS} {
		if age != nil {
			*age += by.Milliseconds()
		}
	}
	return r
}
