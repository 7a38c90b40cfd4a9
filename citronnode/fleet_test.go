package citronnode_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
	"github.com/matryer/is"
)

// lossCounter counts the nodes that others declared failed.
type lossCounter struct {
	slog.Handler
	losses *atomic.Int64
}

func newLossCounter() lossCounter {
	return lossCounter{Handler: slog.DiscardHandler, losses: &atomic.Int64{}}
}

func (c lossCounter) Enabled(context.Context, slog.Level) bool { return true }

func (c lossCounter) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "event" && a.Value.Int64() == int64(citronevent.MemberLost) {
			c.losses.Add(1)
		}
		return true
	})
	return nil
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// The news of sound nodes is late: the others do not get to hear of them in the
// rounds in which they should. A node that is taken for lost is missing from what
// callers are told and from what repeats are dealt by, so before that it is asked
// itself, and answers.
func TestSoundNodeWithLateNewsIsNotLost(t *testing.T) {
	f := newFleet(t)
	c, m := newLossCounter(), newMesh()
	f.log, f.net = c, m
	f.config("1")
	for _, name := range []string{"a", "b", "c"} {
		f.add(name, "z1")
	}
	allKnown := func() bool {
		for _, n := range f.nodes {
			if n.Status().Nodes < len(f.nodes)-1 {
				return false
			}
		}
		return true
	}
	eventually(t, "all know all", allKnown)
	m.deaf.Store(true)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !allKnown() {
			t.Fatal("a sound node is declared failed")
		}
	}
	f.nodes[2].stop()
	eventually(t, "the node that is gone is lost", func() bool { return f.nodes[0].Status().Nodes == 1 && c.losses.Load() > 0 })
}

// One node has used up what it was dealt of the budget of repeats, and has more
// requests that engines refused. The others need none: it borrows, and those
// requests are sent again. Cut off from them it is told so at once.
func TestNodeInNeedBorrows(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.config("1")
	for _, name := range []string{"a", "b", "c"} {
		m := f.add(name, "z1")
		m.budget.Request("model", time.Now())
	}
	a := f.nodes[0]
	eventually(t, "the others lend", func() bool {
		for a.budget.Take("model", time.Now()) {
		}
		return a.Borrow("model") && a.budget.Take("model", time.Now())
	})
	for _, m := range f.nodes[1:] {
		m.stop()
	}
	eventually(t, "nobody lends", func() bool { return !a.Borrow("model") })
	begin := time.Now()
	for range 100 {
		is.True(!a.Borrow("model"))
	}
	is.True(time.Since(begin) < time.Second)
}

// All machines of a fleet lose power and start again within a moment. Each node
// that watches, and then finds that others do already, and leaves and reads
// addresses makes six calls; the store serves so many a second, and each is paid
// for. The two that callers wait for are enough.
func TestStartOfAllAsksTheStoreLittle(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.net = newMesh()
	f.config("1")
	for _, e := range engines(12) {
		f.engine(e)
	}
	const nodes = 60
	for i := range nodes {
		f.add(fmt.Sprintf("z%d-n%03d", i%5, i), fmt.Sprintf("z%d", i%5))
	}
	eventually(t, "all have the configuration and the list", func() bool {
		for _, m := range f.nodes {
			if m.version() != 1 || m.usable() != 12 {
				return false
			}
		}
		return true
	})
	calls := int64(0)
	for _, m := range f.nodes {
		calls += m.gate.calls.Load()
	}
	t.Logf("%d calls of %d nodes", calls, nodes)
	is.True(calls < 3*nodes)
}

// A machine loses power, and its callers wait until it is back. The store answers:
// the node has the configuration at once, and does not first look for other nodes
// that may have it.
func TestStartDoesNotWaitForOtherNodes(t *testing.T) {
	const lookingAround = 500 * time.Millisecond
	for range 5 {
		f := newFleet(t)
		f.net = newMesh()
		f.config("1")
		from := time.Now()
		m := f.add("a", "z1")
		eventually(t, "the configuration is in force", func() bool { return m.version() == 1 })
		if time.Since(from) < lookingAround/2 {
			return // a slow machine may take longer now and then
		}
	}
	t.Fatal("no start of five was quick")
}

// Guards against callers that are refused although the store is back: all nodes start
// while it is away, and first look which of them are to watch it.
func TestStartOfAllWhileTheStoreIsAway(t *testing.T) {
	// Half of the time after which refused callers come again.
	const inTime = 250 * time.Millisecond
	for try := range 5 {
		f := newFleet(t)
		f.net = newMesh()
		f.config("1")
		f.engine(appEngine("e0"))
		f.away.Store(true)
		const size = 20
		for i := range size {
			f.add(fmt.Sprintf("z%d-n%d", i%3, i), fmt.Sprintf("z%d", i%3))
		}
		time.Sleep(100 * time.Millisecond)
		f.away.Store(false)
		from := time.Now()
		eventually(t, "all can serve", func() bool { return f.usableAt("e0") == size })
		took := time.Since(from)
		t.Logf("try %d: all can serve after %v", try, took)
		if took < inTime {
			return // a slow machine may take longer now and then
		}
	}
	t.Fatal("no start of five was in time")
}

// Two halves of a fleet have lost each other, and all seeds of the settings are
// gone with the machines that were replaced. Each half hears of enough nodes to go
// on, with a leader of its own. They find each other again by the addresses in the
// store.
func TestHalvesMeetWithoutSeeds(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.net, f.strangers = newMesh(), true
	f.config("1")
	for i := range 6 {
		f.add(fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%2))
	}
	eventually(t, "all know all", func() bool {
		for _, n := range f.nodes {
			if n.Status().Nodes < len(f.nodes)-1 {
				return false
			}
		}
		return true
	})
}

// BenchmarkFleetAtRest gives what a node spends on knowing the others: in a
// fleet without callers, of five zones, in which nothing happens.
func BenchmarkFleetAtRest(b *testing.B) {
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(b)
			c, m := newLossCounter(), newMesh()
			f.log, f.net = c, m
			f.config("1")
			for _, e := range engines(200) {
				f.engine(e)
			}
			for i := range size {
				f.add(fmt.Sprintf("z%d-n%03d", i%5, i), fmt.Sprintf("z%d", i%5))
			}
			eventually(b, "all know all", func() bool {
				for _, n := range f.nodes {
					if n.Status().Nodes < size-1 {
						return false
					}
				}
				return true
			})
			time.Sleep(2 * time.Second)
			c.losses.Store(0)
			m.bytes.Store(0)
			from, cpu := time.Now(), processorTime()
			b.ResetTimer()
			time.Sleep(time.Duration(b.N) * time.Second)
			spent := processorTime() - cpu
			b.ReportMetric(float64(m.bytes.Load())/1024/float64(size)/time.Since(from).Seconds(), "KB/s/node")
			b.ReportMetric(float64(spent.Milliseconds())/float64(size)/time.Since(from).Seconds(), "ms/s/node")
			b.ReportMetric(float64(c.losses.Load()), "lost")
		})
	}
}

// BenchmarkFleetInChange gives the same while engines of the list change ten times
// a second, as when layers are placed.
func BenchmarkFleetInChange(b *testing.B) {
	for _, c := range []struct{ nodes, engines int }{{100, 200}, {30, 1000}, {30, 3000}} {
		b.Run(fmt.Sprintf("%d nodes %d engines", c.nodes, c.engines), func(b *testing.B) { fleetInChange(b, c.nodes, c.engines) })
	}
}

func fleetInChange(b *testing.B, size, count int) {
	const every = 100 * time.Millisecond
	f := newFleet(b)
	f.net = newMesh()
	f.config("1")
	all := engines(count)
	for _, e := range all {
		f.engine(e)
	}
	for i := range size {
		f.add(fmt.Sprintf("z%d-n%03d", i%5, i), fmt.Sprintf("z%d", i%5))
	}
	time.Sleep(4 * time.Second)
	from, cpu := time.Now(), processorTime()
	b.ResetTimer()
	for i := range b.N * int(time.Second/every) {
		e := all[i%len(all)]
		e.Slots = i
		f.engine(e)
		time.Sleep(every)
	}
	spent := processorTime() - cpu
	b.ReportMetric(float64(spent.Milliseconds())/float64(size)/time.Since(from).Seconds(), "ms/s/node")
}

// Guards against callers being sent to a node long after its death: nodes that start
// one after the other hear of it from each other, and none of them long enough ago
// to ask it.
func TestNodesThatStartDoNotKeepTheDead(t *testing.T) {
	const (
		named = 3 * time.Second
		every = 300 * time.Millisecond
	)
	f := newFleet(t)
	f.net = newMesh()
	f.config("1")
	for _, e := range engines(3) {
		f.engine(e)
	}
	dead := f.add("dead", "z1")
	b := f.add("b", "z1")
	eventually(t, "callers are told of both", func() bool { return slices.Contains(b.Addresses("z1"), "front-dead") })
	dead.stop()
	from := time.Now()
	for i := 0; time.Since(from) < 2*named; i++ {
		f.add(fmt.Sprintf("n%d", i), "z1")
		time.Sleep(every)
		since := time.Since(from)
		for _, m := range f.nodes[1:] {
			if since > named && slices.Contains(m.Addresses("z1"), "front-dead") {
				t.Fatalf("a node names one that has been dead for %v", since)
			}
		}
	}
}
