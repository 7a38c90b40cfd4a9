package citronsoak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSoakWithCrowds guards against crowds of clients that make a node forget its guarantees, or
// exceed its machine, while nodes are killed, stopped or frozen and the store is cut off. It also
// checks the guarantees of TestSoak.
func TestSoakWithCrowds(t *testing.T) {
	binary := build(t)
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, binary, withSmallMachine)
			w.crowding = true
			w.soak(seed)
		})
	}
}

// sendCrowds sends crowds of random clients to random listeners until end. Each stays for a
// while, whatever becomes of the node.
func (w *world) sendCrowds(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		n := w.nodes[r.IntN(len(w.nodes))]
		l := []struct{ addr, path string }{
			{n.front, "/safe/x"}, {n.front, "/once/x"}, {n.front, "/stream/x"}, {n.directory, "/resolve"}, {n.ready, "/ready"}, {n.peer, "/citron.peer/Exchange"}, {n.peer, relayPath}, {n.metrics, "/metrics"},
		}[r.IntN(8)]
		act := []client{largeBody(l.path), largeChunks(l.path), smallChunks(l.path), excessive(l.path), bomb(l.path), endlessHead(l.path), deaf(l.path), silent}[r.IntN(8)]
		c := newCrowd(w.t, r.Uint64())
		c.join(10+r.IntN(40), l.addr, act)
		time.AfterFunc(time.Duration(500+r.IntN(3000))*time.Millisecond, c.leave)
		time.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
	}
}

// checkMachines reports an error if a process exceeds its machine, until ctx is canceled.
func (w *world) checkMachines(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		for _, n := range w.nodes {
			used := readUse(n.pid())
			if used.memoryMB > crowdMemoryMB || used.descriptors > crowdDescriptors {
				w.t.Errorf("%s uses %d MB and %d descriptors, the machine has %d and %d", n.name, used.memoryMB, used.descriptors, crowdMemoryMB, crowdDescriptors)
				return
			}
		}
	}
}
