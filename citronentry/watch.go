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
	// initialKVBackoff is the delay after the first failed watch call. It
	// doubles with each further failure, up to maxKVBackoff. The initial
	// load retries at this fixed interval.
	initialKVBackoff = 200 * time.Millisecond
	maxKVBackoff     = 3 * time.Second
)

// watchResult is the result of one watch call.
type watchResult struct {
	items []citronkv.Item
	// fleet is the newest configuration among the items, already loaded.
	// If that configuration is invalid, fleet is nil and rejected is the
	// reason.
	fleet    *citronfleet.Fleet
	rejected error
	// err is the error of a failed call; the other fields are then unused.
	err error
	// full reports whether items are all items under the prefix, rather
	// than only the changed ones.
	full bool
}

// watch runs the long-poll loop in its own goroutine and sends the results
// to the control loop. It does not access control state itself.
func (c *control) watch(ctx context.Context) {
	after := c.watchRev
	wait := initialKVBackoff
	for ctx.Err() == nil {
		w, rev := c.watchOnce(ctx, after)
		if len(w.items) > 0 || w.err != nil || w.full || wait != initialKVBackoff {
			select {
			case c.watchResults <- w:
			case <-ctx.Done():
				return
			}
		}
		if w.err != nil {
			_ = c.e.clock.Sleep(ctx, wait)
			wait = min(2*wait, maxKVBackoff)
			continue
		}
		wait = initialKVBackoff
		if rev.After(after) {
			after = rev
		}
	}
}

// watchOnce waits for changes after a revision. If the KV service has
// compacted that revision, it reads all items instead.
func (c *control) watchOnce(ctx context.Context, after citronkv.Revision) (watchResult, citronkv.Revision) {
	items, rev, err := c.e.kv.Watch(ctx, watchPrefix, after)
	if errors.Is(err, citronkv.ErrCompacted) {
		return c.readAll(ctx)
	}
	return c.loadFleet(ctx, watchResult{items: items, err: err}), rev
}

// readAll reads all items under the prefix.
func (c *control) readAll(ctx context.Context) (watchResult, citronkv.Revision) {
	items, rev, err := c.e.kv.Range(ctx, watchPrefix)
	return c.loadFleet(ctx, watchResult{items: items, err: err, full: true}), rev
}

// loadFleet loads the newest configuration among the items of w. If a
// section of that configuration is currently unavailable, it returns a
// failed result in place of w, so that the same changes are requested
// again.
func (c *control) loadFleet(ctx context.Context, w watchResult) watchResult {
	var newest citronkv.Item
	for _, it := range w.items {
		if it.Key == citronconfig.HeadKey && !it.Deleted && it.Revision.After(newest.Revision) {
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
		// ErrNotFound means that a newer configuration replaced this one
		// while it was being read. The next watch call returns the newer
		// one.
		return watchResult{err: errors.Wrapf(err, "load configuration revision %v", newest.Revision)}
	default:
		w.rejected = errors.Wrapf(err, "configuration revision %v", newest.Revision)
	}
	return w
}
