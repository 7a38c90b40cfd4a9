package citronnode_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that is killed while it still drains: the time in which it tells
// other nodes counts too.
func TestDrainEndsBeforeTheKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		f.delayMessages(1)
		f.putConfig("1")
		m := f.addNode("a", "z1")
		time.Sleep(time.Second)
		defer m.Track()() // a request that does not end
		begin := time.Now()
		m.Drain(context.Background())
		const grace = time.Second // as the harness sets it
		is.True(time.Since(begin) <= grace-400*time.Millisecond+50*time.Millisecond)
	})
}

// Guards against requests that are accepted by a process that is about to exit, because nothing was
// in flight for a moment.
func TestDrainedNodeAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		f.delayMessages(1)
		f.putConfig("1")
		m := f.addNode("a", "z1")
		time.Sleep(time.Second)
		done := m.Track()
		time.AfterFunc(400*time.Millisecond, done)
		begin := time.Now()
		m.Drain(context.Background())
		is.True(time.Since(begin) < 500*time.Millisecond) // it does not wait for the end of the grace
		is.True(m.Stopping().Active)
		is.True(m.Stopping().Left <= 0)
	})
}
