package citronnode_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a fleet in which no node watches the store for seconds, so that an engine
// that leaves keeps getting requests. The two nodes that watched are killed, two others start,
// and the store rejects the third. The new ones learn from it that the killed ones watch, and
// must find out that they have ended. The fleet runs on fake time with random delays of messages.
func TestStartedNodesWatchStoreAfterAllWatchersDied(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.delayMessages(seed)
				f.putConfig("1")
				for _, e := range engines(12) {
					f.putEngine(e)
				}
				for _, name := range []string{"a", "b", "c"} {
					f.addNode(name, "z1")
				}
				time.Sleep(2 * warmUp)
				f.nodes[0].gate.rejecting.Store(true)
				time.Sleep(2600 * time.Millisecond) // over two heartbeats of 1.2 s
				for _, m := range f.nodes[1:] {
					m.stop()
				}
				f.nodes = f.nodes[:1]
				f.addNode("d", "z1")
				f.addNode("e", "z1")
				eventually(t, "the new nodes use all engines and hear the old one", func() bool {
					for _, m := range f.nodes {
						if m.usable() != 12 || m.Status().Nodes < 2 {
							return false
						}
					}
					return true
				})
				left := time.Now()
				f.remove("e3")
				f.requireUsable(left, 11)
			})
		})
	}
}
