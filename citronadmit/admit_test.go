package citronadmit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronadmit"
	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// line queues requests at a full gate one by one, then frees places one by
// one and returns the order in which the requests were admitted.
func line(t testing.TB, reqs []citronadmit.Request) []int {
	t.Helper()
	g := citronadmit.New(citronclock.NewManual(epoch), 1, len(reqs))
	release, err := g.Acquire(context.Background(), citronadmit.Request{Customer: "first"})
	if err != nil {
		t.Fatal(err)
	}
	type place struct {
		i       int
		release func()
	}
	admitted := make(chan place)
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
			admitted <- place{i, rel}
		}()
		for { // one at a time, so that the order of arrival is known
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

// A large customer queues a burst, then a small one asks once and a cut
// release comes with priority. The release goes first, the small customer
// does not wait out the burst, and weights set how often each is served.
func TestOrderOfAdmission(t *testing.T) {
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
		{"first come, first served within a customer", burst("big", 1, 3), []int{0, 1, 2}},
		{"a small customer passes a burst", append(burst("big", 1, 4), citronadmit.Request{Customer: "small", Weight: 1}), []int{0, 4, 1, 2, 3}},
		{"weights", append(burst("big", 2, 4), burst("small", 1, 2)...), []int{0, 1, 4, 2, 3, 5}},
		{"priority first", append(burst("big", 1, 2), citronadmit.Request{Customer: "floor", Priority: 9}), []int{2, 0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(line(t, c.reqs), c.want)
		})
	}
}

// Random bursts of customers of equal weight and priority. Oracle: while
// two customers both wait, neither is served twice more than the other,
// and each customer's own requests keep their order.
func TestFairnessStateful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		owners := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 24).Draw(rt, "owners")
		reqs := make([]citronadmit.Request, len(owners))
		left := map[int]int{}
		for i, o := range owners {
			reqs[i] = citronadmit.Request{Customer: fmt.Sprint(o), Weight: 1}
			left[o]++
		}
		served, last := map[int]int{}, map[int]int{}
		for _, i := range line(t, reqs) {
			o := owners[i]
			if prev, ok := last[o]; ok && i < prev {
				rt.Fatalf("customer %d: request %d served after %d", o, i, prev)
			}
			last[o] = i
			served[o]++
			left[o]--
			for other, n := range left {
				if n > 0 && served[o] > served[other]+1 {
					rt.Fatalf("customer %d served %d times, %d, still waiting, %d times", o, served[o], other, served[other])
				}
			}
		}
	})
}

// More requests than the service can carry: those that could not make
// their deadline, or find the queue full, are refused at once and told
// when to come back; a wait that ends with its caller frees its place.
func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := citronclock.NewManual(epoch)
	g := citronadmit.New(clock, 1, 1)
	release, err := g.Acquire(ctx, citronadmit.Request{})
	is.NoErr(err)
	clock.Advance(10 * time.Second)
	release() // a request keeps its place 10 s

	release, err = g.Acquire(ctx, citronadmit.Request{})
	is.NoErr(err)
	var ref *citronadmit.Refusal
	_, err = g.Acquire(ctx, citronadmit.Request{Deadline: clock.Now().Add(15 * time.Second)})
	is.True(errors.As(err, &ref)) // 10 s of waiting and 10 s of work do not fit
	is.Equal(ref.RetryAfter, 10*time.Second)

	wctx, hangUp := context.WithCancel(ctx)
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
	hangUp()
	is.True(errors.Is(<-waited, context.Canceled))
	_, waiting := g.Depth()
	is.Equal(waiting, 0)
	release()
	release() // a second release does nothing
	inflight, _ := g.Depth()
	is.Equal(inflight, 0)
}
