package citronentry

// The control loop owns all control state: the active fleet configuration,
// the entry list, the instance list and the state of unhealthy back ends.
// It receives new fleet revisions through a single long-poll watch on the
// "deck/" prefix, which costs the KV service one pending call per entry.
// Operations that may block (the watch, polling the instance list, probes)
// run in their own goroutines and send their results to the loop, so that
// a slow platform service cannot delay a configuration change.

import (
	"context"
	"maps"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronconfig"
	"citrondeck.dev/citrondeck/citronevent"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronroute"
)

// Keys in the KV service.
const (
	// EntriesPrefix is the prefix of the discovery keys: one key per entry,
	// attached to that entry's lease.
	EntriesPrefix = "deck/entries/"
	// watchPrefix covers EntriesPrefix and the configuration
	// (citronconfig.HeadKey).
	watchPrefix = "deck/"
)

const (
	// instancePollInterval is the minimum interval between polls of the instance
	// list. After a long list the interval is instancePollPerRow per row:
	// each poll returns the whole list, and its transfer and decoding must
	// stay within an entry's control traffic budget. Polling a long list
	// less often is safe because engines also announce their departure
	// themselves.
	instancePollInterval = 500 * time.Millisecond
	instancePollPerRow   = 1500 * time.Microsecond
	// controlTickInterval is the interval at which the control loop removes
	// expired members and starts due probes.
	controlTickInterval = 100 * time.Millisecond
	// reportCapacity is the size of the report buffer. Reports that do not
	// fit are dropped; the next failure of the back end sends another.
	reportCapacity = 1024
)

// backendReport tells the control loop that a request or the watchdog found a back
// end failing, frozen, leaving or running the wrong layers.
type backendReport struct {
	backend string
	reason  citronroute.Reason
}

// control is the state of the control loop.
type control struct {
	e       *Entry
	fleet   citronfleet.Fleet
	members members
	// leaving holds the names of the instances that the instance list marks
	// as leaving.
	leaving  map[string]bool
	failures failureRecords
	kvUp     bool
	watchRev citronkv.Revision
	// loader is used only by the watch goroutine once that has started.
	loader *citronconfig.Loader
	// dirty reports whether the published snapshot is out of date.
	dirty bool

	watchResults chan watchResult
	instances    chan []citronkv.Instance
	probed       chan probeResult
}

func newControl(e *Entry) *control {
	return &control{
		e: e, loader: &citronconfig.Loader{KV: e.kv}, members: members{}, leaving: map[string]bool{}, failures: failureRecords{},
		watchResults: make(chan watchResult, 1), instances: make(chan []citronkv.Instance, 1), probed: make(chan probeResult, 16),
	}
}

// loadInitial reads the configuration at startup and retries until the KV
// service is available. It returns false if ctx ends first.
func (c *control) loadInitial(ctx context.Context) bool {
	for ctx.Err() == nil {
		w, rev := c.readAll(ctx)
		if w.err == nil {
			c.watchRev = rev
			c.handleWatch(ctx, w)
			c.publish()
			return true
		}
		citronevent.Log(ctx, c.e.log, citronevent.ConfigKVDown, "step", "initial load", "err", w.err)
		_ = c.e.clock.Sleep(ctx, initialKVBackoff)
	}
	return false
}

// run executes the control loop until ctx ends.
func (c *control) run(ctx context.Context) {
	go c.watch(ctx)
	go c.pollInstances(ctx)
	tick := time.NewTicker(controlTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-c.watchResults:
			c.handleWatch(ctx, w)
		case list := <-c.instances:
			c.handleInstances(ctx, list)
		case r := <-c.e.reports:
			c.handleReport(ctx, r)
		case p := <-c.probed:
			c.handleProbe(ctx, p)
		case <-tick.C:
			now := c.e.clock.Now()
			c.dirty = c.members.removeExpired(now) || c.dirty
			c.startDueProbes(ctx, now)
		}
		if c.dirty {
			c.publish()
		}
	}
}

// publish builds a snapshot from the control state, makes it available to
// request handling and resizes the admission gates to match it.
func (c *control) publish() {
	c.dirty = false
	avoid := c.failures.avoid()
	for name := range c.leaving {
		avoid[name] = citronroute.Leaving
	}
	s := c.e.pool.Build(c.fleet, avoid, c.members.addrs(), c.kvUp)
	c.e.snap.Store(s)
	c.e.gates.Range(func(name, _ any) bool {
		if svc, ok := s.Service(name.(string)); ok {
			c.e.gate(s, svc).Resize(c.e.window(s, svc))
		}
		return true
	})
	c.e.metrics.revision.Set(c.fleet.Revision.Count())
	c.e.metrics.kvUp.Set(map[bool]int64{true: 1}[c.kvUp])
}

// handleWatch updates the entry list, the configuration and the KV
// availability from a watch result.
func (c *control) handleWatch(ctx context.Context, w watchResult) {
	if w.err != nil {
		if c.kvUp {
			citronevent.Log(ctx, c.e.log, citronevent.ConfigKVDown, "err", w.err, "in_force", c.fleet.Revision.String())
		}
		c.dirty = c.dirty || c.kvUp
		c.kvUp = false
		return
	}
	c.dirty = c.dirty || !c.kvUp
	c.kvUp = true
	linger := c.e.lingerUntil(c.e.clock.Now())
	if w.full {
		c.members.markMissing(w.items, linger)
		c.dirty = true
	}
	for _, it := range w.items {
		if strings.HasPrefix(it.Key, EntriesPrefix) {
			c.members.apply(it, linger)
			c.dirty = true
		}
	}
	if w.rejected != nil {
		citronevent.Log(ctx, c.e.log, citronevent.ConfigRejected, "in_force", c.fleet.Revision.String(), "err", w.rejected)
	}
	if w.fleet != nil {
		c.applyFleet(ctx, *w.fleet)
	}
}

// applyFleet activates f if its revision is newer than the active one. A
// watch may replay an old event after a reconnect, and a lagging KV
// replica may return stale data; applying it would revert an accepted
// configuration.
func (c *control) applyFleet(ctx context.Context, f citronfleet.Fleet) {
	if !f.Revision.After(c.fleet.Revision) {
		if c.fleet.Revision.After(f.Revision) {
			citronevent.Log(ctx, c.e.log, citronevent.ConfigStale, "offered", f.Revision.String(), "in_force", c.fleet.Revision.String())
		}
		return
	}
	c.fleet = f
	c.dirty = true
	citronevent.Log(ctx, c.e.log, citronevent.ConfigApplied, "revision", f.Revision.String(), "services", len(f.Services))
}

// pollInstances polls the platform's instance list until ctx ends.
func (c *control) pollInstances(ctx context.Context) {
	wait := instancePollInterval
	for ctx.Err() == nil {
		list, err := c.e.instances(ctx)
		c.e.metrics.instancePolls.Add(1)
		if err == nil { // on an error the last list stays in effect
			wait = max(instancePollInterval, time.Duration(len(list))*instancePollPerRow)
			select {
			case c.instances <- list:
			case <-ctx.Done():
				return
			}
		}
		_ = c.e.clock.Sleep(ctx, wait)
	}
}

// handleInstances updates the set of leaving instances from the instance
// list.
func (c *control) handleInstances(ctx context.Context, list []citronkv.Instance) {
	next := map[string]bool{}
	for _, in := range list {
		if in.State == citronkv.Leaving {
			next[in.Name] = true
		}
	}
	if maps.Equal(next, c.leaving) {
		return
	}
	citronevent.Log(ctx, c.e.log, citronevent.InstancesChanged, "leaving", len(next))
	c.leaving = next
	c.dirty = true
}
