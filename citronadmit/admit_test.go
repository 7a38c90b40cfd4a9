package citronadmit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// admissionOrder queues requests at a full gate one by one, then releases slots
// one by one and returns the order in which the requests were admitted.
func admissionOrder(t testing.TB, reqs []citronadmit.Request) []int {
	t.Helper()
	g := citronadmit.New(citronclock.NewManual(epoch), 1, len(reqs))
	release, err := g.Acquire(context.Background(), citronadmit.Request{Customer: "first"})
	if err != nil {
		t.Fatal(err)
	}
	type slot struct {
		i       int
		release func()
	}
	admitted := make(chan slot)
	var wg sync.WaitGroup
	for i, r := range reqs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rel, err := g.Acquire(context.Background(), r)
			if err != nil {
				t.Error(err)
				return
			}
			admitted <- slot{i, rel}
		}()
		for { // wait until the request is queued, so that the order of arrival is known
			if _, waiting := g.Depth(); waiting == i+1 {
				break
			}
			time.Sleep(50 * time.Microsecond)
		}
	}
	var order []int
	for range reqs {
		release()
		p := <-admitted
		order = append(order, p.i)
		release = p.release
	}
	release()
	wg.Wait()
	return order
}

// Guards against a large customer's burst that delays a small customer or an urgent
// request. Each case queues requests in the given order at a gate with one slot and
// lists the order in which they must be admitted: by priority, and within a priority
// by customer in proportion to the weights.
func TestAdmissionOrder(t *testing.T) {
	burst := func(customer string, weight, n int) []citronadmit.Request {
		out := make([]citronadmit.Request, n)
		for i := range out {
			out[i] = citronadmit.Request{Customer: customer, Weight: weight}
		}
		return out
	}
	cases := []struct {
		name string
		reqs []citronadmit.Request
		want []int
	}{
		{"requests of one customer are admitted in order of arrival", burst("big", 1, 3), []int{0, 1, 2}},
		{"a small customer is admitted before the rest of a burst", append(burst("big", 1, 4), citronadmit.Request{Customer: "small", Weight: 1}), []int{0, 4, 1, 2, 3}},
		{"customers are served by weight", append(burst("big", 2, 4), burst("small", 1, 2)...), []int{0, 1, 4, 2, 3, 5}},
		{"a lower priority value is admitted first", append(burst("big", 1, 2), citronadmit.Request{Customer: "floor", Priority: -9}), []int{2, 0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(admissionOrder(t, c.reqs), c.want)
		})
	}
}

// Guards against a customer that is served more slowly than the others. Random
// requests of up to three customers of equal weight and priority are queued and then
// admitted one by one. As long as a customer has a request in the queue, no other
// customer may have been served more than one request more than it. Each customer's
// own requests must be admitted in their order.
func TestFairnessOfEqualCustomers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		owners := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 24).Draw(rt, "owners")
		reqs := make([]citronadmit.Request, len(owners))
		left := map[int]int{}
		for i, o := range owners {
			reqs[i] = citronadmit.Request{Customer: fmt.Sprint(o), Weight: 1}
			left[o]++
		}
		served, last := map[int]int{}, map[int]int{}
		for _, i := range admissionOrder(t, reqs) {
			o := owners[i]
			if prev, ok := last[o]; ok && i < prev {
				rt.Fatalf("customer %d: request %d served after %d", o, i, prev)
			}
			last[o] = i
			served[o]++
			left[o]--
			for other, n := range left {
				if n > 0 && served[o] > served[other]+1 {
					rt.Fatalf("customer %d was served %d times while customer %d, which still waits, was served %d times; want at most one more", o, served[o], other, served[other])
				}
			}
		}
	})
}

// Guards against holding a request that cannot meet its deadline or that finds the
// queue full: it must be rejected immediately. Also guards against a place in the
// queue that stays taken after its caller has left, and against a slot that is freed
// twice.
func TestRejectedWithoutWaiting(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := citronclock.NewManual(epoch)
	g := citronadmit.New(clock, 1, 1)
	release, err := g.Acquire(ctx, citronadmit.Request{})
	is.NoErr(err)
	clock.Advance(10 * time.Second)
	release() // the request held its slot for 10 s

	release, err = g.Acquire(ctx, citronadmit.Request{})
	is.NoErr(err)
	var ref *citronadmit.Refusal
	_, err = g.Acquire(ctx, citronadmit.Request{Deadline: clock.Now().Add(15 * time.Second)})
	is.True(errors.As(err, &ref)) // 10 s of waiting and 10 s of work exceed the deadline
	is.Equal(ref.RetryAfter, 10*time.Second)

	wctx, cancel := context.WithCancel(ctx)
	waited := make(chan error)
	go func() {
		_, err := g.Acquire(wctx, citronadmit.Request{Deadline: clock.Now().Add(time.Hour)})
		waited <- err
	}()
	for _, n := g.Depth(); n == 0; _, n = g.Depth() {
		time.Sleep(time.Millisecond)
	}
	_, err = g.Acquire(ctx, citronadmit.Request{})
	is.True(errors.Is(err, citronadmit.ErrOverloaded)) // the queue is full
	cancel()
	is.True(errors.Is(<-waited, context.Canceled))
	_, waiting := g.Depth()
	is.Equal(waiting, 0)
	release()
	release() // a second release has no effect
	inflight, _ := g.Depth()
	is.Equal(inflight, 0)
}

// waiting is a request that waits at a gate.
type waiting struct {
	cancel  context.CancelFunc
	release func()
	err     error
	done    chan struct{}
}

// enqueue lets a request wait at a gate that is in use, and returns once it does.
func enqueue(t *testing.T, g *citronadmit.Gate, r citronadmit.Request) *waiting {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &waiting{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.release, w.err = g.Acquire(ctx, r)
	}()
	synctest.Wait()
	return w
}

// hasEnded reports whether the request has been admitted or refused.
func (w *waiting) hasEnded() bool {
	synctest.Wait()
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// Guards against a large customer's burst that fills the queue and has a small customer's
// request refused: the last request of the burst is refused in its place.
func TestBurstLeavesRoomForSmallCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := citronadmit.New(citronclock.NewManual(epoch), 1, 3)
		release, err := g.Acquire(context.Background(), citronadmit.Request{Customer: "large"})
		is.NoErr(err)
		var burst []*waiting
		for range 3 {
			burst = append(burst, enqueue(t, g, citronadmit.Request{Customer: "large"}))
		}
		is.True(enqueue(t, g, citronadmit.Request{Customer: "large"}).hasEnded()) // nothing is behind it
		small := enqueue(t, g, citronadmit.Request{Customer: "small"})
		is.True(!small.hasEnded())
		is.True(burst[2].hasEnded())
		is.True(errors.Is(burst[2].err, citronadmit.ErrOverloaded))
		urgent := enqueue(t, g, citronadmit.Request{Customer: "large", Priority: -1})
		is.True(!urgent.hasEnded())
		is.True(burst[1].hasEnded())
		release()
		is.True(urgent.hasEnded())
		is.NoErr(urgent.err)
	})
}

// Guards against a customer whose requests are admitted late because it gave up earlier ones,
// which never ran.
func TestAbandonedRequestsDelayNoLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := citronadmit.New(citronclock.NewManual(epoch), 1, 10)
		release, err := g.Acquire(context.Background(), citronadmit.Request{Customer: "first"})
		is.NoErr(err)
		first := enqueue(t, g, citronadmit.Request{Customer: "b"})
		for range 3 {
			w := enqueue(t, g, citronadmit.Request{Customer: "a"})
			defer w.cancel()
			w.cancel()
			is.True(w.hasEnded())
		}
		later := enqueue(t, g, citronadmit.Request{Customer: "b"})
		own := enqueue(t, g, citronadmit.Request{Customer: "a"})
		release()
		is.True(first.hasEnded())
		first.release()
		is.True(own.hasEnded())
		is.True(!later.hasEnded())
	})
}
