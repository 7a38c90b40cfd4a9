package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The machines of one zone, six of twelve, lose power, and an engine begins to leave at the same
// time. The stop signal stands for the loss of power: connections to the machines hang. When power
// is back, their processes start anew.

const (
	drainTime  = 2 * time.Second // drainMs
	configTime = 2 * time.Second // configMs
	// darkTime is how long the machines are without power.
	darkTime = 2800 * time.Millisecond
	// watchedTime is how long the requests are watched after that.
	watchedTime = 3 * time.Second
	callPeriod  = 20 * time.Millisecond
)

// lostZone is the zone whose machines lose power.
const lostZone = "hedland-hall"

// oldRoute is a route that the second configuration drops.
const oldRoute = "/old/"

// observed collects what is seen after an acknowledgement.
type observed struct {
	acked atomic.Pointer[time.Time]
	mu    sync.Mutex
	// count is the number of events later than the bound after the acknowledgement, and last
	// is when the last event was.
	count int
	last  time.Duration
}

// add records an event at the given time, and reports whether it is later than the bound, and
// by how much it follows the acknowledgement.
func (o *observed) add(at time.Time, bound time.Duration) (since time.Duration, late bool) {
	acked := o.acked.Load()
	if acked == nil {
		return 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	since = at.Sub(*acked)
	o.last = max(o.last, since)
	if late = since > bound; late {
		o.count++
	}
	return since, late
}

// restore starts the processes of a zone's machines anew.
func (l *lab) restore(zone string) {
	for _, n := range l.nodes {
		if n.zone != zone {
			continue
		}
		n.kill()
		if err := n.start(); err != nil {
			l.note("%s does not start: %v", n.name, err)
		}
	}
	l.note("the machines of %s have power again", zone)
}

// watchers checks that the machines which are left send nothing to the leaving engine after
// drainTime.
func watchers(l *lab) (bool, error) {
	if _, err := l.writeConfig(floorConfig(7, oldRoute)); err != nil {
		return false, err
	}
	var drain, config observed
	leaving, err := l.startEngine("i-a", "karratha-hall", func(id string) {
		if since, late := drain.add(time.Now(), drainTime); late {
			l.note("%s: DRAIN: reaches the leaving engine %.3f s after the acknowledgement", id, since.Seconds())
		}
	})
	if err != nil {
		return false, err
	}
	for i, zone := range []string{"hedland-hall", "dampier-hall"} {
		if _, err := l.startEngine(fmt.Sprintf("i-%d", i), zone, nil); err != nil {
			return false, err
		}
	}
	k, h, d := "karratha-hall", "hedland-hall", "dampier-hall"
	if err := l.startNodes(k, k, k, k, h, h, h, h, h, h, d, d); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	end := time.Now().Add(darkTime + watchedTime)
	var callers sync.WaitGroup
	var sent, served atomic.Int64
	for _, n := range l.nodes {
		if n.zone == lostZone {
			continue
		}
		callers.Go(func() {
			for time.Now().Before(end) {
				sent.Add(1)
				if a := call(n, http.MethodGet, "/lock/plate", time.Second); a.err == nil && a.status == http.StatusOK {
					served.Add(1)
				}
				began := time.Now()
				if a := call(n, http.MethodGet, oldRoute+"plate", time.Second); a.err == nil && a.status == http.StatusOK {
					config.add(began, configTime)
				}
				time.Sleep(callPeriod)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		for _, n := range l.nodes {
			if n.zone == lostZone {
				n.signal(syscall.SIGSTOP)
			}
		}
		l.note("the machines of %s lose power", lostZone)
		time.AfterFunc(darkTime, func() { l.restore(lostZone) })
	}
	at := leaving.drain()
	drain.acked.Store(&at)
	if at, err = l.writeConfig(floorConfig(8)); err != nil {
		return false, err
	}
	config.acked.Store(&at)
	callers.Wait()
	l.note("%d requests sent to the other machines on a route that stays, %d served", sent.Load(), served.Load())
	l.note("DRAIN: %d requests reached the leaving engine later than %v after the acknowledgement, the last after %.3f s", drain.count, drainTime, drain.last.Seconds())
	l.note("besides, CONFIG: %d requests sent later than %v after the acknowledgement were served on the dropped route, the last was sent after %.3f s", config.count, configTime, config.last.Seconds())
	return drain.count > 0, nil
}
