package citronserve

// Connections that cost too much.
//
// A listener holds a limited number of connections. If one more arrives, the connection that
// has kept the process waiting for longest is closed: one that is idle, or whose request has
// not arrived whole. A request that has arrived whole is never lost by that, because a
// connection is closed either before its handler begins, and then the handler does not run, or
// not at all. If all connections are at work, the new one is closed unread.

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronmemory"
)

// Limits bound what the clients of one listener can make a process hold. The zero value sets
// no limit.
type Limits struct {
	// Listener is the name of the listener in metrics and logs.
	Listener string
	// Conns is the maximum number of open connections, or zero for no limit.
	Conns int
	// Memory is charged for connections, heads and bodies.
	Memory *citronmemory.Account
	// Clock tells how long connections have been waiting. It is required if Conns is set.
	Clock citronclock.Clock
	// OnClosed, if set, is called for each connection that is closed because of a limit.
	OnClosed func(listener string, reason Reason)
}

// Reason says why a connection was closed.
type Reason string

// Reasons for closing a connection.
const (
	// ReasonWaiting: it was closed in favor of a new one.
	ReasonWaiting Reason = "waiting"
	// ReasonConns: all other connections were at work.
	ReasonConns Reason = "connections"
	// ReasonMemory: there was no memory for it or for the head of its request.
	ReasonMemory Reason = "memory"
)

const (
	// connBytes is charged for a connection: its buffers, the stacks of its goroutines, a head of
	// up to freeHeadBytes, and a small response that its client does not read.
	connBytes = 40 << 10
	// minWaitTime is how long a connection may wait before it can be closed for another.
	minWaitTime = 500 * time.Millisecond
	// maxBodyTime bounds the time to read a body in handlers that set no deadline, and of a
	// body that no handler reads.
	maxBodyTime = 10 * time.Second
)

// listener accepts connections within its limits.
type listener struct {
	net.Listener
	limits Limits

	mu   sync.Mutex
	open int
	// waiting holds the connections that wait for their clients, longest first.
	waiting list.List
}

// Limit makes a server accept the connections of ln within limits. The server must serve the
// returned listener.
func Limit(hs *http.Server, ln net.Listener, limits Limits) net.Listener {
	l := &listener{Listener: ln, limits: limits}
	hs.ConnContext = connContext
	hs.Handler = l.handler(hs.Handler)
	hs.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.endRequest()
		}
	}
	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection for raw, or closes raw and returns nil.
func (l *listener) admit(raw net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.Conns > 0 && l.open >= l.limits.Conns && !l.evict() {
		l.reject(raw, ReasonConns)
		return nil
	}
	charge := l.limits.Memory.Charge()
	for charge.TryGrow(connBytes) != nil {
		if !l.evict() {
			l.reject(raw, ReasonMemory)
			return nil
		}
	}
	c := newConn(raw, l, charge)
	l.open++
	l.wait(c)
	return c
}

func (l *listener) reject(raw net.Conn, reason Reason) {
	_ = raw.Close()
	l.report(reason)
}

func (l *listener) report(reason Reason) {
	if l.limits.OnClosed != nil {
		l.limits.OnClosed(l.limits.Listener, reason)
	}
}

// evict closes the connection that has been waiting for longest, if any has for minWaitTime.
// The caller holds mu.
func (l *listener) evict() bool {
	front := l.waiting.Front()
	if front == nil {
		return false
	}
	c := front.Value.(*conn)
	if l.limits.Clock.Now().Sub(c.waitsSince) < minWaitTime {
		return false
	}
	l.release(c)
	l.report(ReasonWaiting)
	return true
}

// release closes a connection and gives back what it holds. The caller holds mu.
func (l *listener) release(c *conn) {
	if c.released {
		return
	}
	c.released = true
	l.stopWaiting(c)
	_ = c.Conn.Close()
	c.charge.Close()
	l.open--
}

// wait records that a connection begins to wait for its client. The caller holds mu.
func (l *listener) wait(c *conn) {
	if c.waits == nil && !c.released && l.limits.Clock != nil {
		c.waitsSince = l.limits.Clock.Now()
		c.waits = l.waiting.PushBack(c)
	}
}

// stopWaiting records that a connection is at work. The caller holds mu.
func (l *listener) stopWaiting(c *conn) {
	if c.waits != nil {
		l.waiting.Remove(c.waits)
		c.waits = nil
	}
}

type connKey struct{}

// connOf returns the connection of a request, or nil outside of a server of this package.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// handler runs h for requests whose connections have not been closed.
func (l *listener) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !connOf(r.Context()).begin() {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxBodyTime))
		}
		bounded := newBoundedWriter(w)
		h.ServeHTTP(bounded, r)
		bounded.extend(0) // net/http writes the rest of the response after this
	})
}
