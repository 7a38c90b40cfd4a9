package citronserve

// Callers that leave behind pipelined bytes.
//
// While a request is handled, net/http reads one byte of its connection, to learn that the caller
// has closed it. If the caller has sent a byte of another request, net/http reads no further, and
// does not see the close until the handler has returned. So from that byte on, a connection is
// read in the background into a bounded buffer, and the contexts of its requests end when it is
// closed.

import (
	"container/list"
	"context"
	"net"
	"os"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronmemory"
	"github.com/cockroachdb/errors"
)

// maxReadAhead bounds the bytes that are read ahead on a connection. A close behind more of them
// is not seen.
const maxReadAhead = 16 << 10

// readAheadBytes is charged for a connection that is read ahead: the buffers, and a goroutine.
const readAheadBytes = 24 << 10

// connContext returns the context of the requests of a connection.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, connKey{}, c))
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	return ctx
}

// conn is a connection of a caller. Once it reads ahead, a goroutine of its own reads it, and Read
// takes from the buffer.
type conn struct {
	net.Conn
	listener *listener
	charge   *citronmemory.Charge

	// waits and waitsSince are set while the connection waits for its client, released once it
	// is closed. They are guarded by the mutex of the listener.
	waits      *list.Element
	waitsSince time.Time
	released   bool

	mu      sync.Mutex
	changed sync.Cond
	cancel  context.CancelFunc
	// ahead is set while the goroutine reads. buffer holds what it has read, err is why it
	// ended.
	ahead  bool
	buffer []byte
	err    error
	// deadlines counts the calls of SetReadDeadline.
	deadlines int
	// inHead is set while the head of a request is awaited or read. headBytes is what it costs,
	// and head the charge for it once it costs more than freeHeadBytes.
	inHead    bool
	headBytes int64
	head      *citronmemory.Charge
	// unread is set if the client may still be sending a request that nobody reads.
	unread bool
}

func newConn(raw net.Conn, l *listener, charge *citronmemory.Charge) *conn {
	c := &conn{Conn: raw, listener: l, charge: charge, cancel: func() {}, inHead: true}
	c.changed.L = &c.mu
	return c
}

// Read implements net.Conn. It is called by one goroutine at a time.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	for c.ahead && len(c.buffer) == 0 {
		c.changed.Wait()
	}
	if len(c.buffer) > 0 || c.err != nil {
		n, err := c.take(p)
		c.mu.Unlock()
		if err != nil {
			return n, err
		}
		return n, c.chargeHead(p[:n])
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	if len(p) == 1 && n == 1 { // net/http reads single bytes for this purpose only
		c.startReadAhead()
	}
	return n, c.chargeHead(p[:n])
}

// startReadAhead begins to read ahead. Without memory for that, a close is not seen while a
// request runs.
func (c *conn) startReadAhead() {
	charge := c.listener.limits.Memory.Charge()
	if charge.TryGrow(readAheadBytes) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = true
	go func() {
		defer charge.Close()
		c.readAhead()
	}()
}

// take returns what has been read ahead, and after that the error that ended it.
func (c *conn) take(p []byte) (int, error) {
	if n := copy(p, c.buffer); n > 0 {
		c.buffer = c.buffer[n:]
		c.changed.Broadcast()
		return n, nil
	}
	return 0, c.err
}

// SetReadDeadline implements net.Conn. A deadline that has passed is forgotten when it is moved:
// net/http lets one pass to end its read of a byte, and would take it for an error of the
// connection in a later read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines++
	if errors.Is(c.err, os.ErrDeadlineExceeded) {
		c.err = nil
	}
	return c.Conn.SetReadDeadline(t)
}

// readAhead reads the connection until it fails. If it was closed, the requests of the connection
// end.
func (c *conn) readAhead() {
	p := make([]byte, 4<<10)
	for {
		c.mu.Lock()
		deadlines := c.deadlines
		c.mu.Unlock()
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		c.buffer = append(c.buffer, p[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.deadlines != deadlines {
			err = nil // the deadline has been moved
		}
		if err != nil {
			c.ahead, c.err = false, err
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.cancel()
			}
		}
		c.changed.Broadcast()
		for err == nil && len(c.buffer) >= maxReadAhead {
			c.changed.Wait()
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.linger()
	c.listener.mu.Lock()
	c.listener.release(c)
	c.listener.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeHead()
	c.cancel()
	c.buffer = nil // ends the wait of readAhead
	c.changed.Broadcast()
	return nil
}

// CloseWrite is used by net/http to close a connection whose caller may still be sending.
func (c *conn) CloseWrite() error {
	c.markUnread()
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}
