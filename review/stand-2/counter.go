package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The store's revisions begin at a time of day in milliseconds, and an engine leaves.

const (
	// firstRevision is a Unix time in milliseconds. The store counts on from it by one with each
	// change.
	firstRevision = 1_796_400_000_000
	// watchTime is how long the requests are watched after the acknowledgement.
	watchTime = 10 * time.Second
)

// counter checks that the machines send nothing to the leaving engine after drainTime.
func counter(l *lab) (bool, error) {
	l.handler.first = firstRevision
	if _, err := l.writeConfig(floorConfig(7)); err != nil {
		return false, err
	}
	var drain observed
	zones := []string{"karratha-hall", "hedland-hall", "dampier-hall"}
	leaving, err := l.startEngine("i-a", zones[0], func(id string) {
		if since, late := drain.add(time.Now(), drainTime); late {
			l.note("%s: DRAIN: reaches the leaving engine %.3f s after the acknowledgement", id, since.Seconds())
		}
	})
	if err != nil {
		return false, err
	}
	for i, zone := range zones[1:] {
		if _, err := l.startEngine(fmt.Sprintf("i-%d", i), zone, nil); err != nil {
			return false, err
		}
	}
	k, h, d := zones[0], zones[1], zones[2]
	if err := l.startNodes(k, k, k, k, h, h, h, d, d); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if l.trouble {
		at := leaving.drain()
		drain.acked.Store(&at)
	}
	var sent, served atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(watchTime)
	for _, n := range l.nodes {
		callers.Go(func() {
			for time.Now().Before(end) {
				sent.Add(1)
				if a := call(n, http.MethodGet, "/lock/plate", time.Second); a.err == nil && a.status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(callPeriod)
			}
		})
	}
	callers.Wait()
	l.note("%d requests sent, %d served", sent.Load(), served.Load())
	l.note("DRAIN: %d requests reached the leaving engine later than %v after the acknowledgement, the last after %.3f s", drain.count, drainTime, drain.last.Seconds())
	return drain.count > 0, nil
}
