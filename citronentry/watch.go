package citronentry

import (
	"context"
	"time"

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
	err   error
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
		after = max(after, rev)
	}
}

// watchOnce waits for changes after a revision; where the service has
// forgotten that revision it reads everything.
func (c *control) watchOnce(ctx context.Context, after citronkv.Revision) (watchResult, citronkv.Revision) {
	items, rev, err := c.e.kv.Watch(ctx, watchPrefix, after)
	if !errors.Is(err, citronkv.ErrCompacted) {
		return watchResult{items: items, err: err}, rev
	}
	items, rev, err = c.e.kv.Range(ctx, watchPrefix)
	return watchResult{items: items, err: err, full: true}, rev
}
