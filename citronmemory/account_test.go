package citronmemory_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronmemory"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const limit = 1 << 20

func newAccount() (*citronmemory.Account, *citronclock.Manual) {
	clock := citronclock.NewManual(time.Unix(0, 0))
	return citronmemory.New(limit, clock), clock
}

func ExampleAccount() {
	account := citronmemory.New(1<<20, citronclock.Real{})
	charge := account.Charge()
	fmt.Println(charge.TryGrow(300<<10), account.Status().Used)
	fmt.Println(account.Charge().TryGrow(800 << 10))
	charge.Close()
	fmt.Println(account.Status().Used)
	// Output:
	// <nil> 307200
	// no memory left for requests
	// 0
}

// Guards against memory that is counted twice, or never given back, on one of the ways in which
// a request can end.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account, clock := newAccount()
		open := map[*citronmemory.Charge]int64{}
		pick := func(t *rapid.T) *citronmemory.Charge {
			if len(open) == 0 {
				t.Skip("no charge is open")
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "charge")
			for c := range open {
				if i--; i < 0 {
					return c
				}
			}
			return nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) { open[account.Arriving(func() {})] = 0 },
			"charge": func(*rapid.T) { open[account.Charge()] = 0 },
			"wait":   func(*rapid.T) { clock.Advance(time.Second) },
			"grow": func(t *rapid.T) {
				c, n := pick(t), rapid.Int64Range(0, limit/3).Draw(t, "bytes")
				if c.TryGrow(n) == nil {
					open[c] += n
				}
			},
			"shrink": func(t *rapid.T) {
				c := pick(t)
				n := rapid.Int64Range(0, open[c]).Draw(t, "bytes")
				c.Shrink(n)
				open[c] -= n
			},
			"finish": func(t *rapid.T) { _ = pick(t).Finish() },
			"close": func(t *rapid.T) {
				c := pick(t)
				c.Close()
				c.Close()
				delete(open, c)
			},
			"": func(t *rapid.T) {
				var sum int64
				for _, n := range open {
					sum += n
				}
				if used := account.Status().Used; used != sum || used > limit {
					t.Fatalf("%d bytes are used, want %d of %d", used, sum, limit)
				}
			},
		})
	})
}

// Guards against large requests that keep small ones out.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	is := is.New(t)
	account, _ := newAccount()
	large := account.Charge()
	for room := true; room; {
		room = large.TryGrow(16<<10) == nil
	}
	is.NoErr(account.Charge().TryGrow(16 << 10))
	is.True(errors.Is(account.Charge().TryGrow(65<<10), citronmemory.ErrNoRoom))
}

// Guards against requests that never arrive whole and keep all others out.
func TestOldestArrivalGivesWay(t *testing.T) {
	is := is.New(t)
	account, clock := newAccount()
	var charges [3]*citronmemory.Charge
	for i := range charges {
		charges[i] = account.Arriving(func() { go charges[i].Close() })
		is.NoErr(charges[i].TryGrow(256 << 10))
		clock.Advance(time.Second)
	}
	is.NoErr(charges[0].Finish()) // it has arrived and is at work
	is.NoErr(account.Arriving(func() {}).Grow(context.Background(), 256<<10))
	is.NoErr(charges[0].Finish())
	is.True(errors.Is(charges[1].Finish(), citronmemory.ErrInterrupted))
	is.NoErr(charges[2].Finish())
	is.Equal(account.Status().Interrupted, int64(1))
}

// Guards against a request that waits although nothing will be given back for it.
func TestRequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	account, _ := newAccount()
	young := account.Arriving(func() { t.Error("a request that has just begun to arrive was interrupted") })
	is.NoErr(young.TryGrow(800 << 10))
	began := time.Now()
	is.True(errors.Is(account.Charge().Grow(context.Background(), 256<<10), citronmemory.ErrNoRoom))
	is.True(time.Since(began) < 200*time.Millisecond)
	is.Equal(account.Status().Refused, int64(1))
}

// Guards against requests that wait for one another's memory for ever.
func TestArrivalsThatFillTheAccountDoNotDeadlock(t *testing.T) {
	is := is.New(t)
	account, clock := newAccount()
	const arrivals = 12
	var charges [arrivals]*citronmemory.Charge
	for i := range charges {
		charges[i] = account.Arriving(func() {})
		is.NoErr(charges[i].TryGrow(64 << 10))
	}
	clock.Advance(2 * time.Second)
	done := make(chan error, arrivals)
	for _, c := range charges {
		go func() {
			err := c.Grow(context.Background(), 256<<10)
			if err == nil {
				err = c.Finish()
			}
			c.Close()
			done <- err
		}()
	}
	served := 0
	for range arrivals {
		if <-done == nil {
			served++
		}
	}
	is.True(served > 0)
	is.Equal(account.Status().Used, int64(0))
}
