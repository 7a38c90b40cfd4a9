// Package citronmemory bounds the memory that clients can make a process hold.
//
// Everything that is held for clients is charged to one Account: their connections, and the
// heads and bodies of their requests. A body is charged as it arrives, so that nobody occupies
// memory by announcing a length. If the account is used up, the unfinished request that has
// been arriving for longest gives way, because otherwise requests that never arrive whole
// would keep all others out. If none has been arriving for long, the new one is refused. A part
// of the account is reserved for small requests, so that large ones cannot keep them out.
package citronmemory

import (
	"container/list"
	"context"
	"runtime"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"github.com/cockroachdb/errors"
)

var (
	// ErrNoRoom means that an account is used up.
	ErrNoRoom = errors.New("no memory left for requests")
	// ErrInterrupted means that an unfinished request has given way to another one.
	ErrInterrupted = errors.New("the request took too long to arrive while memory was short")
)

const (
	// smallBytes is the size up to which a request may use the reserve.
	smallBytes = 64 << 10
	// reserveShare is the part of an account that is reserved for small requests.
	reserveShare = 24
	// minArrivalTime is how long a request may take to arrive before it has to give way.
	minArrivalTime = time.Second
	// garbageShare is the part of an account that garbage may take on top of it.
	garbageShare = 10
	// roomTimeout is how long a request waits for the memory of one that gives way.
	roomTimeout = 500 * time.Millisecond
)

// Account is the memory that clients may occupy. A nil Account has no limit. It is safe for
// concurrent use.
type Account struct {
	clock citronclock.Clock
	limit int64

	// collecting is held during a collection of garbage.
	collecting sync.Mutex

	mu   sync.Mutex
	used int64
	// garbage is what requests have given back since the last collection by this account. It
	// occupies memory until it is collected, and a crowd of refused requests makes it faster
	// than the runtime collects it on its own.
	garbage int64
	// unfinished holds the interruptible charges, the oldest first.
	unfinished list.List
	// wanted is what waiting charges need, and yielding what interrupted charges hold.
	wanted, yielding int64
	// changed is closed when memory is given back or a charge is interrupted.
	changed chan struct{}
	// refused and interrupted count charges.
	refused, interrupted int64
}

// New returns an account of the given number of bytes.
func New(limit int64, clock citronclock.Clock) *Account {
	return &Account{clock: clock, limit: limit, changed: make(chan struct{})}
}

// Status is the state of an account.
type Status struct {
	// Limit and Used are in bytes.
	Limit, Used int64
	// Refused and Interrupted count the requests that found no room and those that gave way.
	Refused, Interrupted int64
}

// Status returns the state of the account.
func (a *Account) Status() Status {
	if a == nil {
		return Status{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{Limit: a.limit, Used: a.used, Refused: a.refused, Interrupted: a.interrupted}
}

// Charge is what one connection or request holds of an account.
type Charge struct {
	account *Account
	bytes   int64
	// element is set while the charge can be interrupted.
	element *list.Element
	begun   time.Time
	// interrupt is nil for a charge that is never interrupted.
	interrupt   func()
	interrupted bool
	closed      bool
}

// Charge returns a charge that holds nothing yet and is never interrupted.
func (a *Account) Charge() *Charge { return &Charge{account: a} }

// Arriving returns a charge that holds nothing yet and may be interrupted until it is finished.
// interrupt must stop the arrival. It must not block, and is never called after Finish or Close
// has returned.
func (a *Account) Arriving(interrupt func()) *Charge {
	c := &Charge{account: a, interrupt: interrupt}
	if a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		c.begun = a.clock.Now()
		c.element = a.unfinished.PushBack(c)
	}
	return c
}

// Grow charges another n bytes. If there is no room, it waits for a short time for that of an
// unfinished charge, or fails with ErrNoRoom. If the charge itself was interrupted, it fails with
// ErrInterrupted, and likewise if it was closed.
func (c *Charge) Grow(ctx context.Context, n int64) error {
	a := c.account
	if a == nil {
		return nil
	}
	if a.needsCollection(n) {
		a.collect(n)
	}
	if err := a.tryGrow(c, n); !errors.Is(err, ErrNoRoom) {
		return err
	}
	return a.waitForRoom(ctx, c, n)
}

// needsCollection reports whether n more bytes are too many as long as there is garbage.
func (a *Account) needsCollection(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.garbage > 0 && a.used+a.garbage+n > a.limit+a.limit/garbageShare
}

// collect collects garbage, unless another call has just done so.
func (a *Account) collect(n int64) {
	a.collecting.Lock()
	defer a.collecting.Unlock()
	if !a.needsCollection(n) {
		return
	}
	a.mu.Lock()
	collected := a.garbage
	a.mu.Unlock()
	runtime.GC()
	a.mu.Lock()
	a.garbage -= collected
	a.mu.Unlock()
}

// TryGrow is like Grow, but neither waits nor makes other charges give way.
func (c *Charge) TryGrow(n int64) error {
	if c.account == nil {
		return nil
	}
	err := c.account.tryGrow(c, n)
	if errors.Is(err, ErrNoRoom) {
		c.account.countRefused()
	}
	return err
}

// tryGrow charges n bytes if there is room.
func (a *Account) tryGrow(c *Charge, n int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grow(c, n)
}

// grow is tryGrow for a caller that holds mu.
func (a *Account) grow(c *Charge, n int64) error {
	if c.interrupted || c.closed {
		return ErrInterrupted
	}
	limit := a.limit
	if c.bytes+n > smallBytes {
		limit -= a.limit / reserveShare
	}
	if a.used+n > limit {
		return ErrNoRoom
	}
	a.used += n
	c.bytes += n
	return nil
}

func (a *Account) countRefused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
}

// waitForRoom makes unfinished charges give way until there is room for n bytes.
func (a *Account) waitForRoom(ctx context.Context, c *Charge, n int64) error {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	a.want(n)
	defer a.want(-n)
	for {
		changed, err := a.growOrMakeRoom(c, n)
		if changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return c.TryGrow(n)
		}
	}
}

func (a *Account) want(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wanted += n
}

// growOrMakeRoom charges n bytes, or makes unfinished charges give way if there is no room. In
// the latter case it returns a channel that is closed at the next change.
func (a *Account) growOrMakeRoom(c *Charge, n int64) (changed <-chan struct{}, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.grow(c, n); !errors.Is(err, ErrNoRoom) {
		return nil, err
	}
	if !a.makeRoom(c) {
		a.refused++
		return nil, ErrNoRoom
	}
	return a.changed, nil
}

// makeRoom interrupts the oldest unfinished charges but c until as much will be given back as is
// wanted. It reports whether anything will. The caller holds mu.
func (a *Account) makeRoom(c *Charge) bool {
	now := a.clock.Now()
	for e := a.unfinished.Front(); e != nil && a.yielding < a.wanted; {
		o := e.Value.(*Charge)
		e = e.Next()
		if now.Sub(o.begun) < minArrivalTime {
			break
		}
		if o == c || o.bytes == 0 {
			continue
		}
		a.stopArrival(o)
		o.interrupted = true
		a.yielding += o.bytes
		a.interrupted++
		o.interrupt()
		a.notify() // o may be waiting itself
	}
	return a.yielding > 0
}

// Shrink gives n bytes back.
func (c *Charge) Shrink(n int64) {
	if a := c.account; a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.giveBack(c, n)
	}
}

// giveBack returns n bytes of c to the account. The caller holds mu.
func (a *Account) giveBack(c *Charge, n int64) {
	c.bytes -= n
	a.used -= n
	if c.interrupt != nil {
		a.garbage += n
	}
	if c.interrupted {
		a.yielding -= n
	}
	if a.wanted > 0 {
		a.notify()
	}
}

// notify makes the charges that wait for room try again. The caller holds mu.
func (a *Account) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Finish ends the time in which the charge can be interrupted. It fails with ErrInterrupted if
// the charge has been.
func (c *Charge) Finish() error {
	a := c.account
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopArrival(c)
	if c.interrupted {
		return ErrInterrupted
	}
	return nil
}

// stopArrival makes a charge uninterruptible. The caller holds mu.
func (a *Account) stopArrival(c *Charge) {
	if c.element != nil {
		a.unfinished.Remove(c.element)
		c.element = nil
	}
}

// Close gives everything back. It may be called more than once.
func (c *Charge) Close() {
	if a := c.account; a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.stopArrival(c)
		a.giveBack(c, c.bytes)
		c.closed = true
	}
}
