package citronnode

// Quarantined requests are kept in the store. Nodes hold the quarantine in memory and
// pass it on to a node that starts. Without the records in the store, a restart of all
// nodes at once would lose the quarantine, and a request would have to crash three more
// engines before it is quarantined again. The nodes that observed a crash write the
// record, under a lease of quarantineTTL. A node reads all records before it watches the
// store for the first time.

import (
	"context"
	"encoding/json"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronquarantine"
	"github.com/cockroachdb/errors"
)

const (
	// quarantinePrefix is the key prefix of the records in the store.
	quarantinePrefix = "deck/barred/"
	// quarantineTTL is the lifetime of a record after it was last written. It is the
	// longest lease that the store grants. A quarantine after many crashes lasts longer;
	// from then on only the nodes hold it, in memory.
	quarantineTTL = 10 * time.Minute
)

// quarantineRecord is the stored form of a quarantine record.
type quarantineRecord struct {
	Crashes []quarantineCrash `json:"crashes"`
}

// quarantineCrash is an engine crash in such a record.
type quarantineCrash struct {
	Engine  uint64 `json:"engine"`
	UnixMS  int64  `json:"unixMs"`
	Refuted bool   `json:"refuted,omitempty"`
}

// persistQuarantine writes quarantine records to the store when they change, until ctx
// ends. After a failed write it tries again after maxRetryWait.
func (n *Node) persistQuarantine(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.quarantineChanged:
		}
		for _, e := range n.quarantine.Unsaved() {
			if err := n.saveQuarantined(ctx, e); err != nil {
				citronevent.Log(ctx, n.log, citronevent.QuarantineUnsaved, "print", e.Fingerprint, "err", err)
				time.AfterFunc(maxRetryWait, func() { wake(n.quarantineChanged) })
				break
			}
			n.quarantine.MarkSaved(e)
		}
		n.saveParts(ctx)
	}
}

// saveQuarantined writes a record to the store under a new lease of quarantineTTL.
func (n *Node) saveQuarantined(ctx context.Context, e citronquarantine.Entry) error {
	var r quarantineRecord
	for _, c := range e.Crashes() {
		r.Crashes = append(r.Crashes, quarantineCrash{Engine: c.Engine, UnixMS: c.At.UnixMilli(), Refuted: c.Refuted})
	}
	text, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode quarantine record")
	}
	lease, err := n.sources.Store.Grant(ctx, quarantineTTL)
	if err != nil {
		return errors.Wrap(err, "grant lease for quarantine record")
	}
	_, err = n.sources.Store.Put(ctx, quarantinePrefix+e.Fingerprint.String(), text, citronkv.AnyRevision, lease)
	return errors.Wrap(err, "put quarantine record")
}

// loadQuarantine merges the quarantine records in the store.
func (n *Node) loadQuarantine(ctx context.Context) error {
	items, _, err := n.sources.Store.Range(ctx, quarantinePrefix)
	if err != nil {
		return errors.Wrap(err, "read quarantine records")
	}
	var entries []citronquarantine.Entry
	for _, item := range items {
		e, err := decodeQuarantined(item, n.clock.Now())
		if err != nil {
			n.rejectSuspects(ctx, sourceStore, err)
			continue
		}
		entries = append(entries, e)
	}
	n.mergeRecords(ctx, sourceStore, entries)
	return n.loadParts(ctx)
}

// decodeQuarantined decodes a record. A crash time in the future becomes the present,
// because the clock of the node that wrote the record may be ahead.
func decodeQuarantined(item citronkv.Item, now time.Time) (citronquarantine.Entry, error) {
	var e citronquarantine.Entry
	if err := e.Fingerprint.UnmarshalText([]byte(item.Key[len(quarantinePrefix):])); err != nil {
		return e, err
	}
	var r quarantineRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return e, errors.Wrapf(err, "decode quarantine record at %s", item.Key)
	}
	if len(r.Crashes) > citronquarantine.MaxCrashes {
		return e, errors.Newf("quarantine record at %s has %d crashes, the maximum is %d", item.Key, len(r.Crashes), citronquarantine.MaxCrashes)
	}
	for _, c := range r.Crashes {
		at := now.Add(-max(0, now.Sub(time.UnixMilli(c.UnixMS))))
		e.Record = e.WithCrash(citronquarantine.Crash{Engine: c.Engine, At: at, Refuted: c.Refuted})
	}
	return e, nil
}
