package citronnode

// What is barred lasts in the store. Nodes keep it in memory, and tell one that
// starts; when all of them start at once, a request would have to crash three more
// engines to be barred again. The node that saw the last crash writes the record,
// under a lease that ends when the record has no more use; those that watch the
// store read all records when they start.

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
	// barredPrefix is where the records are.
	barredPrefix = "deck/barred/"
	// barredTTL is how long they last; the store gives no longer lease.
	barredTTL = 10 * time.Minute
)

// barredRecord is a record as it lies in the store.
type barredRecord struct {
	Crashes []barredCrash `json:"crashes"`
}

type barredCrash struct {
	Engine  uint64 `json:"engine"`
	UnixMS  int64  `json:"unixMs"`
	Refuted bool   `json:"refuted,omitempty"`
}

// keepBarred writes records to the store as they change.
func (n *Node) keepBarred(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.barredNews:
		}
		for _, e := range n.quarantine.Dirty() {
			if err := n.saveBarred(ctx, e); err != nil {
				citronevent.Log(ctx, n.log, citronevent.BarredUnsaved, "print", e.Print, "err", err)
				time.AfterFunc(retryMost, func() { wake(n.barredNews) })
				break
			}
			n.quarantine.MarkSaved(e)
		}
	}
}

func (n *Node) saveBarred(ctx context.Context, e citronquarantine.Entry) error {
	var r barredRecord
	for _, c := range e.Crashes() {
		r.Crashes = append(r.Crashes, barredCrash{Engine: c.Engine, UnixMS: c.At.UnixMilli(), Refuted: c.Refuted})
	}
	text, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "write record")
	}
	lease, err := n.src.Store.Grant(ctx, barredTTL)
	if err != nil {
		return errors.Wrap(err, "lease of a record")
	}
	_, err = n.src.Store.Put(ctx, barredPrefix+e.Print.String(), text, citronkv.AnyRevision, lease)
	return errors.Wrap(err, "put record")
}

// readBarred takes what nodes have left in the store.
func (n *Node) readBarred(ctx context.Context) error {
	items, _, err := n.src.Store.Range(ctx, barredPrefix)
	if err != nil {
		return errors.Wrap(err, "read records")
	}
	var entries []citronquarantine.Entry
	for _, it := range items {
		e, err := decodeBarred(it, n.clock.Now())
		if err != nil {
			n.rejectSuspects(ctx, sourceStore, err)
			continue
		}
		entries = append(entries, e)
	}
	n.learnEntries(ctx, sourceStore, entries)
	return nil
}

// decodeBarred reads a record. The clock of the node that wrote it may be ahead.
func decodeBarred(it citronkv.Item, now time.Time) (citronquarantine.Entry, error) {
	var e citronquarantine.Entry
	if err := e.Print.UnmarshalText([]byte(it.Key[len(barredPrefix):])); err != nil {
		return e, err
	}
	var r barredRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return e, errors.Wrapf(err, "record at %s", it.Key)
	}
	if len(r.Crashes) > citronquarantine.MostCrashes {
		return e, errors.Newf("record of %d crashes at %s", len(r.Crashes), it.Key)
	}
	for _, c := range r.Crashes {
		at := now.Add(-max(0, now.Sub(time.UnixMilli(c.UnixMS))))
		e.Record = e.WithCrash(citronquarantine.Crash{Engine: c.Engine, At: at, Refuted: c.Refuted})
	}
	return e, nil
}
