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
	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpoison"
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

// Poison returns what this node knows of prompt parts that crash engines.
func (n *Node) Poison() *citronpoison.Ledger { return n.poison }

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
		crashes := n.poison.TakeUnsent()
		for _, m := range n.detectors() {
			if m.Name == n.settings.Name {
				if err := n.poison.AddCrashes(crashes); err != nil {
					n.rejectCrashes(ctx, m.Name, err)
				}
				continue
			}
			go n.push(ctx, m.Peer, citronpeer.GossipState{From: n.snap.Load().self, Crashes: encodeCrashes(crashes, n.clock.Now())})
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
	n.logParts(ctx, sourceOwn, n.poison.Detect())
}

// sourceOwn is the source of what a node found out by itself.
const sourceOwn = "own"

// logParts logs records whose state is new on this node.
func (n *Node) logParts(ctx context.Context, source string, changed []citronpoison.Record) {
	for _, r := range changed {
		switch r.State {
		case citronpoison.Quarantined:
			citronevent.Log(ctx, n.log, citronevent.PartQuarantined, "part", r.Part, "crashes", r.Crashes, "tied", r.Tied, "customer", r.Customer, "source", source)
		case citronpoison.Released:
			citronevent.Log(ctx, n.log, citronevent.PartReleased, "part", r.Part, "source", source)
		}
	}
}

// addCrashes takes the crashes that another node has reported.
func (n *Node) addCrashes(ctx context.Context, from string, crashes []citronpeer.Crash) {
	if len(crashes) == 0 {
		return
	}
	if err := n.poison.AddCrashes(decodeCrashes(crashes, n.clock.Now())); err != nil {
		n.rejectCrashes(ctx, from, err)
	}
}

// mergeParts merges the records that another node sent or that were in the store.
func (n *Node) mergeParts(ctx context.Context, from string, parts []citronpeer.PartRecord) {
	if len(parts) == 0 {
		return
	}
	now := n.clock.Now()
	records := make([]citronpoison.Record, len(parts))
	for i, p := range parts {
		records[i] = decodePart(p, now)
	}
	changed, err := n.poison.Merge(records)
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
	return encodeParts(n.poison.Recent(), n.clock.Now())
}

// allParts returns the records for a node that has others.
func (n *Node) allParts() []citronpeer.PartRecord {
	return encodeParts(n.poison.All(), n.clock.Now())
}

// ClaimTrial claims a trial of a part. Of all nodes, only the first one succeeds, and only if
// the store answers. A claim whose answer is lost is not used.
func (n *Node) ClaimTrial(ctx context.Context, t citronpoison.Trial) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	lease, err := n.sources.Store.Grant(ctx, quarantineTTL)
	if err != nil {
		return false
	}
	key := fmt.Sprintf("%s%s-%d-%d", trialPrefix, t.Part, t.Generation, t.N)
	_, err = n.sources.Store.Put(ctx, key, []byte(n.settings.Name), citronkv.Absent, lease)
	if err == nil || errors.Is(err, citronkv.ErrConflict) {
		n.poison.BeginTrial(t)
	}
	return err == nil
}

// saveParts writes the records of parts that this node has changed to the store.
func (n *Node) saveParts(ctx context.Context) {
	for _, r := range n.poison.Unsaved() {
		if err := n.savePart(ctx, r); err != nil {
			citronevent.Log(ctx, n.log, citronevent.QuarantineUnsaved, "part", r.Part, "err", err)
			time.AfterFunc(maxRetryWait, func() { wake(n.quarantineChanged) })
			return
		}
		n.poison.MarkSaved(r)
	}
}

// storedPart is a record of a part in the store, with the time at which it was written.
type storedPart struct {
	citronpeer.PartRecord
	UnixMS int64 `json:"unixMs"`
}

func (n *Node) savePart(ctx context.Context, r citronpoison.Record) error {
	now := n.clock.Now()
	text, err := json.Marshal(storedPart{encodePart(r, now), now.UnixMilli()})
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
	var parts []citronpeer.PartRecord
	for _, item := range items {
		var p storedPart
		if err := json.Unmarshal(item.Value, &p); err != nil {
			n.rejectCrashes(ctx, sourceStore, errors.Wrapf(err, "decode record at %s", item.Key))
			continue
		}
		// The clock of the node that wrote the record may be ahead.
		parts = append(parts, p.aged(max(0, n.clock.Now().Sub(time.UnixMilli(p.UnixMS)))))
	}
	n.mergeParts(ctx, sourceStore, parts)
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

func encodeCrashes(crashes []citronpoison.Crash, now time.Time) []citronpeer.Crash {
	out := make([]citronpeer.Crash, len(crashes))
	for i, c := range crashes {
		out[i] = citronpeer.Crash{Engine: c.Engine, AgeMS: max(0, now.Sub(c.At).Milliseconds()), Proven: numbers(c.Proven)}
		for _, r := range c.Runs {
			out[i].Runs = append(out[i].Runs, citronpeer.Run{Request: r.Request, Customer: r.Customer, Parts: numbers(r.Parts)})
		}
	}
	return out
}

func decodeCrashes(crashes []citronpeer.Crash, now time.Time) []citronpoison.Crash {
	out := make([]citronpoison.Crash, len(crashes))
	for i, c := range crashes {
		out[i] = citronpoison.Crash{Engine: c.Engine, At: before(now, c.AgeMS), Proven: parts(c.Proven)}
		for _, r := range c.Runs {
			out[i].Runs = append(out[i].Runs, citronpoison.Run{Request: r.Request, Customer: r.Customer, Parts: parts(r.Parts)})
		}
	}
	return out
}

func numbers(parts []citronpoison.Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = uint64(p)
	}
	return out
}

func parts(numbers []uint64) []citronpoison.Part {
	out := make([]citronpoison.Part, len(numbers))
	for i, p := range numbers {
		out[i] = citronpoison.Part(p)
	}
	return out
}

func encodeParts(records []citronpoison.Record, now time.Time) []citronpeer.PartRecord {
	var out []citronpeer.PartRecord
	for _, r := range records {
		out = append(out, encodePart(r, now))
	}
	return out
}

func encodePart(r citronpoison.Record, now time.Time) citronpeer.PartRecord {
	return citronpeer.PartRecord{
		Part: uint64(r.Part), State: int(r.State), Generation: r.Generation, SinceMS: max(0, now.Sub(r.Since).Milliseconds()),
		CrashMS: age(r.LastCrash, now), RanMS: age(r.RanAt, now), TriedMS: age(r.TriedAt, now),
		Customer: r.Customer, Proven: r.Proven, Crashes: r.Crashes, Tied: r.Tied, Trials: r.Trials,
	}
}

func decodePart(p citronpeer.PartRecord, now time.Time) citronpoison.Record {
	return citronpoison.Record{
		Part: citronpoison.Part(p.Part), State: citronpoison.State(p.State), Generation: p.Generation, Since: before(now, p.SinceMS),
		LastCrash: timeOf(p.CrashMS, now), RanAt: timeOf(p.RanMS, now), TriedAt: timeOf(p.TriedMS, now),
		Customer: p.Customer, Proven: p.Proven, Crashes: p.Crashes, Tied: p.Tied, Trials: p.Trials,
	}
}

// before returns the time that is ms milliseconds before now.
func before(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// age returns the age of t in milliseconds, or nil if t is zero.
func age(t, now time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	ms := max(0, now.Sub(t).Milliseconds())
	return &ms
}

// timeOf is the inverse of age.
func timeOf(ms *int64, now time.Time) time.Time {
	if ms == nil {
		return time.Time{}
	}
	return before(now, *ms)
}
