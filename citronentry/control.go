package citronentry

// The control goroutine. It alone changes control state: the fleet text
// in force, the entry list, the instance list and what traffic reported.
// It learns of new fleet revisions by one long-poll watch on the "deck/"
// prefix (one waiting call per entry against the KV budget), polls the
// lagging instance list, and takes reports from traffic over a channel.

import (
	"context"
	"encoding/json"
	"maps"
	"sort"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

// Keys in the KV service.
const (
	// ConfigKey holds the fleet text in force.
	ConfigKey = "deck/config/fleet"
	// EntriesPrefix holds one key per entry, each under that entry's lease.
	EntriesPrefix = "deck/entries/"
	// AuditPrefix holds one record per applied change.
	AuditPrefix = "audit/"
	watchPrefix = "deck/"
)

const (
	instancePoll   = 500 * time.Millisecond
	suspectFor     = 3 * time.Second
	kvBackoffFirst = 200 * time.Millisecond
	kvBackoffCap   = 3 * time.Second
	reportCapacity = 1024
)

// report is what traffic tells the control goroutine about a back end.
type report struct {
	backend string
	leaving bool
}

type control struct {
	e        *Entry
	fleet    citronfleet.Fleet
	leaving  map[string]bool // from the instance list
	told     map[string]bool // from back ends' own answers
	suspect  map[string]time.Time
	entries  []entryAddr
	kvUp     bool
	watchRev citronkv.Revision
}

func (c *control) publish() {
	leaving := maps.Clone(c.leaving)
	maps.Copy(leaving, c.told)
	s := c.e.pool.build(c.fleet, leaving, maps.Clone(c.suspect), c.entries, c.kvUp)
	c.e.snap.Store(s)
	c.e.metrics.revision.Set(c.fleet.Revision)
	if c.kvUp {
		c.e.metrics.kvUp.Set(1)
	} else {
		c.e.metrics.kvUp.Set(0)
	}
}

// load reads the whole of what the watch covers; used at start and after
// a compacted watch.
func (c *control) load(ctx context.Context) error {
	items, rev, err := c.e.kv.Range(ctx, watchPrefix)
	if err != nil {
		return err
	}
	c.watchRev = rev
	c.entries = nil
	for _, it := range items {
		c.apply(ctx, it)
	}
	return nil
}

// apply takes one changed key.
func (c *control) apply(ctx context.Context, it citronkv.Item) {
	switch {
	case it.Key == ConfigKey && !it.Deleted:
		c.applyFleet(ctx, it)
	case strings.HasPrefix(it.Key, EntriesPrefix):
		c.applyEntry(it)
	}
}

// applyFleet puts a fleet text in force unless it is older than the one
// in force. A revision never goes back: a watch may replay an old event
// after a reconnect, and a KV replica may answer from behind; applying it
// would revert an accepted configuration.
func (c *control) applyFleet(ctx context.Context, it citronkv.Item) {
	l := c.e.log
	if it.Revision <= c.fleet.Revision {
		if it.Revision < c.fleet.Revision {
			citronevent.Log(ctx, l, citronevent.ConfigStale, "offered", it.Revision, "in_force", c.fleet.Revision)
		}
		return
	}
	f, err := citronfleet.Parse(ConfigKey, it.Value)
	if err != nil {
		citronevent.Log(ctx, l, citronevent.ConfigRejected, "revision", it.Revision, "err", err)
		return
	}
	c.fleet = f.WithRevision(it.Revision)
	citronevent.Log(ctx, l, citronevent.ConfigApplied, "revision", it.Revision, "services", len(f.Services))
}

func (c *control) applyEntry(it citronkv.Item) {
	name := strings.TrimPrefix(it.Key, EntriesPrefix)
	out := c.entries[:0:0]
	for _, a := range c.entries {
		if a.Name != name {
			out = append(out, a)
		}
	}
	if !it.Deleted {
		var a entryAddr
		if json.Unmarshal(it.Value, &a) == nil {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	c.entries = out
}

// run is the control loop; it returns when ctx ends.
func (c *control) run(ctx context.Context, reports <-chan report) {
	watched := make(chan watchResult, 1)
	go c.watch(ctx, watched)
	poll := time.NewTicker(instancePoll)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-watched:
			c.takeWatch(ctx, w)
		case r := <-reports:
			if r.leaving {
				c.told[r.backend] = true
				citronevent.Log(ctx, c.e.log, citronevent.UpstreamLeaving, "backend", r.backend, "source", "answer")
			} else {
				c.suspect[r.backend] = c.e.clock.Now().Add(suspectFor)
			}
		case <-poll.C:
			c.pollInstances(ctx)
		}
		c.publish()
	}
}

type watchResult struct {
	items []citronkv.Item
	rev   citronkv.Revision
	err   error
	full  bool
}

// watch runs the long-poll loop in its own goroutine and hands results
// to the control loop; it never touches control state itself.
func (c *control) watch(ctx context.Context, out chan<- watchResult) {
	after := c.watchRev
	wait := kvBackoffFirst
	for ctx.Err() == nil {
		items, rev, err := c.e.kv.Watch(ctx, watchPrefix, after)
		if errors.Is(err, citronkv.ErrCompacted) {
			items, rev, err = c.e.kv.Range(ctx, watchPrefix)
			if err == nil {
				after = rev
				out <- watchResult{items: items, rev: rev, full: true}
				continue
			}
		}
		if err != nil {
			select {
			case out <- watchResult{err: err}:
			case <-ctx.Done():
				return
			}
			if c.e.clock.Sleep(ctx, wait) != nil {
				return
			}
			wait = min(2*wait, kvBackoffCap)
			continue
		}
		wait = kvBackoffFirst
		if rev > after {
			after = rev
		}
		select {
		case out <- watchResult{items: items, rev: rev}:
		case <-ctx.Done():
			return
		}
	}
}

func (c *control) takeWatch(ctx context.Context, w watchResult) {
	if w.err != nil {
		if c.kvUp {
			citronevent.Log(ctx, c.e.log, citronevent.ConfigKVDown, "err", w.err, "in_force", c.fleet.Revision)
		}
		c.kvUp = false
		return
	}
	c.kvUp = true
	if w.full {
		c.entries = nil
	}
	for _, it := range w.items {
		c.apply(ctx, it)
	}
}

func (c *control) pollInstances(ctx context.Context) {
	list, err := c.e.instances(ctx)
	if err != nil {
		return
	}
	next := leavingSet(list)
	if !maps.Equal(next, c.leaving) {
		citronevent.Log(ctx, c.e.log, citronevent.InstancesChanged, "leaving", len(next))
		c.leaving = next
	}
}
