package citronentry

// The control loop. It alone changes control state: the fleet text in
// force, the entry list, the instance list and what is known of back ends
// in trouble. It learns of new fleet revisions by one long-poll watch on
// the "deck/" prefix (one waiting call per entry against the KV budget).
// Whatever may block (the watch, the instance list, probes) runs in
// goroutines of its own that hand their results to the loop, so a slow
// platform service cannot hold up a configuration change.

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
	// EntriesPrefix holds one key per entry, each under that entry's lease.
	EntriesPrefix = "deck/entries/"
	// watchPrefix covers it and the configuration (citronconfig.Key).
	watchPrefix = "deck/"
)

const (
	// instancePoll is the time between two polls of the instance list, and
	// instancePollRow what each row of it adds: the list comes whole every
	// time, and its bytes and decoding must stay within what an entry may
	// spend on control. Engines say themselves that they are leaving, so
	// the list may be later the longer it is.
	instancePoll    = 500 * time.Millisecond
	instancePollRow = 1500 * time.Microsecond
	controlTick     = 100 * time.Millisecond
	reportCapacity  = 1024
)

// report is what traffic tells the control goroutine about a back end.
type report struct {
	backend string
	reason  citronroute.Reason
}

type control struct {
	e       *Entry
	fleet   citronfleet.Fleet
	members members
	// leaving is the instance list's word.
	leaving  map[string]bool
	trouble  troubles
	kvUp     bool
	watchRev citronkv.Revision
	// loader belongs to the watch goroutine once that runs.
	loader *citronconfig.Loader
	// dirty: what is published is out of date.
	dirty bool

	watched   chan watchResult
	instances chan []citronkv.Instance
	probed    chan probeResult
}

func newControl(e *Entry) *control {
	return &control{
		e: e, loader: &citronconfig.Loader{KV: e.kv}, members: members{}, leaving: map[string]bool{}, trouble: troubles{},
		watched: make(chan watchResult, 1), instances: make(chan []citronkv.Instance, 1), probed: make(chan probeResult, 16),
	}
}

// loadFirst reads the configuration at start, waiting out a KV outage;
// false if ctx ended first.
func (c *control) loadFirst(ctx context.Context) bool {
	for ctx.Err() == nil {
		w, rev := c.readAll(ctx)
		if w.err == nil {
			c.watchRev = rev
			c.takeWatch(ctx, w)
			c.publish()
			return true
		}
		citronevent.Log(ctx, c.e.log, citronevent.ConfigKVDown, "step", "initial load", "err", w.err)
		_ = c.e.clock.Sleep(ctx, kvBackoffFirst)
	}
	return false
}

// run is the control loop; it returns when ctx ends.
func (c *control) run(ctx context.Context) {
	go c.watch(ctx)
	go c.pollInstances(ctx)
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-c.watched:
			c.takeWatch(ctx, w)
		case list := <-c.instances:
			c.takeInstances(ctx, list)
		case r := <-c.e.reports:
			c.takeReport(ctx, r)
		case p := <-c.probed:
			c.takeProbe(ctx, p)
		case <-tick.C:
			now := c.e.clock.Now()
			c.dirty = c.members.sweep(now) || c.dirty
			c.probeDue(ctx, now)
		}
		if c.dirty {
			c.publish()
		}
	}
}

// publish builds the snapshot that traffic reads from now on.
func (c *control) publish() {
	c.dirty = false
	avoid := c.trouble.avoid()
	for name := range c.leaving {
		avoid[name] = citronroute.Leaving
	}
	s := c.e.pool.Build(c.fleet, avoid, c.members.list(), c.kvUp)
	c.e.snap.Store(s)
	c.e.gates.Range(func(name, _ any) bool {
		if svc, ok := s.Service(name.(string)); ok {
			c.e.gate(s, svc).Resize(c.e.window(s, svc))
		}
		return true
	})
	c.e.metrics.revision.Set(c.fleet.Revision.Number())
	c.e.metrics.kvUp.Set(map[bool]int64{true: 1}[c.kvUp])
}

func (c *control) takeWatch(ctx context.Context, w watchResult) {
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
		c.members.replace(w.items, linger)
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

// applyFleet puts a fleet in force unless it is older than the one in
// force. A revision never goes back: a watch may replay an old event after
// a reconnect, and a KV replica may answer from behind; applying it would
// revert an accepted configuration.
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

// pollInstances reads the platform's instance list again and again.
func (c *control) pollInstances(ctx context.Context) {
	wait := instancePoll
	for ctx.Err() == nil {
		list, err := c.e.instances(ctx)
		c.e.metrics.instancePolls.Add(1)
		if err == nil { // on an error the last list read stays in force
			wait = max(instancePoll, time.Duration(len(list))*instancePollRow)
			select {
			case c.instances <- list:
			case <-ctx.Done():
				return
			}
		}
		_ = c.e.clock.Sleep(ctx, wait)
	}
}

func (c *control) takeInstances(ctx context.Context, list []citronkv.Instance) {
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
