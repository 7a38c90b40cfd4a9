package citronserve

// Callers that leave behind pipelined bytes.
//
// While a request is handled, net/http reads one byte of its connection, to learn that the caller
// has closed it. If the caller has sent a byte of another request, net/http reads no further, and
// does not see the close until the handler has returned. So from that byte on, a connection is
// read in the background into a bounded buffer, and the contexts of its requests end when it is
// closed.

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxReadAhead bounds the bytes that are read ahead on a connection. A close behind more of them
// is not seen.
const maxReadAhead = 16 << 10

// listener accepts connections that are read ahead.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, cancel: func() {}}
	c.changed.L = &c.mu
	return c, nil
}

// connContext returns the context of the requests of a connection.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	return ctx
}

// watchConns makes a server see that its connections are closed.
func watchConns(hs *http.Server, ln net.Listener) net.Listener {
	hs.ConnContext = connContext
	return listener{ln}
}

// conn is a connection of a caller. Once it reads ahead, a goroutine of its own reads it, and Read
// takes from the buffer.
type conn struct {
	net.Conn

	mu      sync.Mutex
	changed sync.Cond
	cancel  context.CancelFunc
	// ahead is set while the goroutine reads. buffer holds what it has read, err is why it
	// ended.
	ahead  bool
	buffer []byte
	err    error
}

// Read implements net.Conn. It is called by one goroutine at a time.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	for c.ahead && len(c.buffer) == 0 {
		c.changed.Wait()
	}
	if len(c.buffer) > 0 || c.err != nil {
		defer c.mu.Unlock()
		return c.take(p)
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) == 1 && n == 1 && err == nil { // net/http reads single bytes for this purpose only
		c.ahead = true
		go c.readAhead()
	}
	return n, err
}

// take returns what has been read ahead, and after that the error that ended it.
func (c *conn) take(p []byte) (int, error) {
	if n := copy(p, c.buffer); n > 0 {
		c.buffer = c.buffer[n:]
		c.changed.Broadcast()
		return n, nil
	}
	err := c.err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = nil // the deadline may be moved
	}
	return 0, err
}

// readAhead reads the connection until it fails. If it was closed, the requests of the connection
// end.
func (c *conn) readAhead() {
	p := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		c.buffer = append(c.buffer, p[:n]...)
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
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	c.buffer = nil // ends the wait of readAhead
	c.changed.Broadcast()
	return err
}

// CloseWrite is used by net/http to close a connection whose caller may still be sending.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}
