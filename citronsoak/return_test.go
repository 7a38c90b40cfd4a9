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
	// copyAge is how old the copy may be from which the store returns, storeAway
	// how long it is away before.
	maxCopyAge = 4 * time.Second
	outageTime = 400 * time.Millisecond
	// rewriteTime is the time in which engines and the operator write again what
	// the copy lacks, and heartbeatTime the time after which the entries of engines
	// that have ended are gone.
	rewriteTime = 800 * time.Millisecond
	expiryTime  = 1500 * time.Millisecond
)

// Guards against all promises being broken when the store comes back from an older
// copy, beside all other faults: engines that left in the gap, or leave after it,
// new ones, versions written in the gap, who leads.
func TestSoakWithRestoredStore(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, binary)
			w.restoring = true
			w.soak(seed)
			t.Logf("the store returned %d times", w.store.Era())
		})
	}
}

// returns has the store come back from older copies until end.
func (w *world) restoreStore(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		snapshot := w.store.Copy()
		time.Sleep(time.Duration(r.Int64N(int64(maxCopyAge))))
		w.restoreFrom(snapshot)
	}
}

func (w *world) restoreFrom(snapshot citronkv.Copy) {
	for _, n := range w.nodes {
		n.proxy.set(stalled)
		n.recordLinkFault()
	}
	time.Sleep(outageTime)
	w.store.Return(snapshot)
	for _, n := range w.nodes {
		n.proxy.set(healthy)
		n.recordLinkFault()
	}
	time.Sleep(rewriteTime / 2)
	w.rewrite()
	time.Sleep(expiryTime)
	w.expireEntries()
}

// rewrite has the operator and the engines write again what they had written.
func (w *world) rewrite() {
	w.writing.Lock()
	w.writeConfig(w.version.Load())
	w.writing.Unlock()
	for _, e := range w.running() {
		e.register()
	}
}

// living are the engines that keep their entries.
func (w *world) running() []*engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.all), func(e *engine) bool { return !e.keepsEntry() })
}

// expire removes the entries of engines that have ended.
func (w *world) expireEntries() {
	items, _, err := w.store.Range(context.Background(), "servers/")
	if err != nil {
		w.t.Errorf("read entries: %v", err)
	}
	running := map[string]bool{}
	for _, e := range w.running() {
		running[e.id] = true
	}
	for _, it := range items {
		if id := strings.TrimPrefix(it.Key, "servers/"); !running[id] {
			_ = w.store.Delete(context.Background(), it.Key, citronkv.AnyRevision) // it may have gone meanwhile
		}
	}
}
