package citronentry

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronconfig"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

const (
	kvBackoffFirst = 200 * time.Millisecond
	kvBackoffCap   = 3 * time.Second
)

// watchResult is what one watch call came to.
type watchResult struct {
	items []citronkv.Item
	// fleet is the newest configuration among the items, loaded;
	// rejected says why it could not be put in force.
	fleet    *citronfleet.Fleet
	rejected error
	err      error
	// full: items are all there is under the prefix.
	full bool
}

// watch runs the long-poll loop in its own goroutine and hands results
// to the control loop; it never touches control state itself.
func (c *control) watch(ctx context.Context) {
	after := c.watchRev
	wait := kvBackoffFirst
	for ctx.Err() == nil {
		w, rev := c.watchOnce(ctx, after)
		if len(w.items) > 0 || w.err != nil || w.full || wait != kvBackoffFirst {
			select {
			case c.watched <- w:
			case <-ctx.Done():
				return
			}
		}
		if w.err != nil {
			_ = c.e.clock.Sleep(ctx, wait)
			wait = min(2*wait, kvBackoffCap)
			continue
		}
		wait = kvBackoffFirst
		if rev.After(after) {
			after = rev
		}
	}
}

// watchOnce waits for changes after a revision; where the service has
// forgotten that revision it reads everything.
func (c *control) watchOnce(ctx context.Context, after citronkv.Revision) (watchResult, citronkv.Revision) {
	items, rev, err := c.e.kv.Watch(ctx, watchPrefix, after)
	if errors.Is(err, citronkv.ErrCompacted) {
		return c.readAll(ctx)
	}
	return c.loadFleet(ctx, watchResult{items: items, err: err}), rev
}

// readAll reads everything under the prefix.
func (c *control) readAll(ctx context.Context) (watchResult, citronkv.Revision) {
	items, rev, err := c.e.kv.Range(ctx, watchPrefix)
	return c.loadFleet(ctx, watchResult{items: items, err: err, full: true}), rev
}

// loadFleet loads the newest configuration among the items. If a section
// of it cannot be read now the whole result counts as failed, so that the
// same changes are asked for again.
func (c *control) loadFleet(ctx context.Context, w watchResult) watchResult {
	var newest citronkv.Item
	for _, it := range w.items {
		if it.Key == citronconfig.Key && !it.Deleted && it.Revision.After(newest.Revision) {
			newest = it
		}
	}
	if w.err != nil || newest.Revision.IsZero() {
		return w
	}
	f, err := c.loader.Load(ctx, newest)
	switch {
	case err == nil:
		w.fleet = &f
	case errors.IsAny(err, citronkv.ErrUnavailable, citronkv.ErrNotFound):
		// Not found: a newer head replaced this one while it was read, and
		// the next answer brings that.
		return watchResult{err: errors.Wrapf(err, "load configuration revision %v", newest.Revision)}
	default:
		w.rejected = errors.Wrapf(err, "configuration revision %v", newest.Revision)
	}
	return w
}
