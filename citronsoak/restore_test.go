package citronsoak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

const (
	// The store is restored from a copy during an outage. maxCopyAge is the maximum age
	// of the copy when the outage begins, and outageTime is the time from then until the
	// store is restored.
	maxCopyAge = 4 * time.Second
	outageTime = 400 * time.Millisecond
	// rewriteTime bounds the time within which the engines and the operator write again
	// what the copy lacks; they do so after half of it. expiryTime after that, the
	// restored entries of stopped engines expire.
	rewriteTime = 800 * time.Millisecond
	expiryTime  = 1500 * time.Millisecond
)

// TestSoakWithRestoredStore checks the guarantees of TestSoak while the store is
// restored from older copies, in addition to the faults of TestSoak. A copy lacks what
// was written after it: engines that started or left, configuration versions, and the
// leader. A node that took such a copy for the newest state would use an older
// configuration or engines that have left.
func TestSoakWithRestoredStore(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, binary)
			w.restoring = true
			w.soak(seed)
			t.Logf("the store was restored %d times", w.store.Era())
		})
	}
}

// restoreStore repeatedly copies the store and restores it from that copy, until end.
func (w *world) restoreStore(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		snapshot := w.store.Snapshot()
		time.Sleep(time.Duration(r.Int64N(int64(maxCopyAge))))
		w.restoreFrom(snapshot)
	}
}

// restoreFrom cuts all nodes off from the store, restores it from a copy, and then has
// engines and the operator write again what the copy lacks.
func (w *world) restoreFrom(snapshot citronkv.Snapshot) {
	for _, n := range w.nodes {
		n.proxy.set(stalled)
		n.recordLinkFault()
	}
	time.Sleep(outageTime)
	w.store.Restore(snapshot)
	for _, n := range w.nodes {
		n.proxy.set(healthy)
		n.recordLinkFault()
	}
	time.Sleep(rewriteTime / 2)
	w.rewrite()
	time.Sleep(expiryTime)
	w.expireEntries()
}

// rewrite writes the current configuration and the entries of all running engines
// again.
func (w *world) rewrite() {
	w.writing.Lock()
	w.writeConfig(w.version.Load())
	w.writing.Unlock()
	for _, e := range w.running() {
		e.register()
	}
}

// running returns the engines that keep their entries.
func (w *world) running() []*engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.all), func(e *engine) bool { return !e.keepsEntry() })
}

// expireEntries deletes the entries of engines that no longer keep them.
func (w *world) expireEntries() {
	items, _, err := w.store.Range(context.Background(), "servers/")
	if err != nil {
		w.t.Errorf("read the entries of the engines from the store: %v", err)
	}
	running := map[string]bool{}
	for _, e := range w.running() {
		running[e.id] = true
	}
	for _, it := range items {
		if id := strings.TrimPrefix(it.Key, "servers/"); !running[id] {
			_ = w.store.Delete(context.Background(), it.Key, citronkv.AnyRevision) // another goroutine may have deleted it
		}
	}
}
