package main

// A new engine crashes for good as it takes its layers, and its address goes to an engine of
// another service.

import (
	"fmt"
	"time"
)

const (
	// otherEngines is the number of engines of the other model service, smallKind each.
	otherEngines = 6
	// orderLimit is how long the first order to the new engine may take.
	orderLimit = 10 * time.Second
	// reuseAfter is reuseAfterS of the settings.
	reuseAfter = 2 * time.Second
	// watchOrders is how long orders are recorded after the address was used again.
	watchOrders = 8 * time.Second
)

func caseReuse(f *fleet) int {
	w := workload{work: 30 * time.Millisecond, first: 80 * time.Millisecond, interval: 60 * time.Millisecond, events: 20}
	f.beforeNodes = func() {
		for i := range otherEngines {
			f.addEngine(fmt.Sprintf("i-other%d", i), otherModelService, smallKind, zoneOf(i), w)
		}
	}
	f.start(3, w)
	time.Sleep(settle)
	added := f.newEngine("i-added", modelService, modelKind, "z1", w)
	added.crashOnOrder, added.crashed = trouble(), make(chan struct{})
	added.listen("")
	addr := ""
	if trouble() {
		select {
		case <-added.crashed:
			addr = added.addr
		case <-time.After(orderLimit):
			fatalf("the new engine got no order")
		}
	}
	time.Sleep(reuseAfter)
	f.newEngine("i-next", otherModelService, smallKind, "z1", w).listen(addr)
	time.Sleep(watchOrders)
	return judgeReuse(f)
}

// judgeReuse applies LIMIT: an engine is ordered to hold more layers than its mb holds.
func judgeReuse(f *fleet) int {
	oversized := 0
	for _, e := range f.engines {
		e.mu.Lock()
		for _, text := range e.oversized {
			oversized++
			f.record.printf("LIMIT: %s", text)
		}
		e.mu.Unlock()
	}
	return f.record.conclude(oversized > 0, "%d orders to hold more layers than an engine's memory holds", oversized)
}
