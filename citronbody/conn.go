package citronbody

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errEnded means that the peer has ended its side of a connection during a write.
var errEnded = errors.New("connection ended during a write")

// dialFunc opens a connection, like http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// wrapConns wraps the connections that dial opens.
func wrapConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection over which a Transport sends requests. The head of each response is checked
// before net/http gets it: reading an invalid one fails with ErrInvalidHead, so that the connection is
// closed. A connection that is reset does not look like one that ends, which is the regular end of a
// body without a length.
type conn struct {
	net.Conn

	mu sync.Mutex
	// head is nil while no head is expected.
	head *headChecker

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
}

// expectHead makes the bytes that are read from now on the head of a response. It is called when a
// request gets the connection, before the request is sent.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &headChecker{}
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its side of the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = errors.Wrap(failure, "connection failed during a write")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return n, err
	}
	ended, invalid := c.head.check(p[:n])
	if invalid != nil {
		return 0, invalid
	}
	if ended {
		c.head = nil
	}
	return n, err
}

// writeFailure is called when a read has returned io.EOF. It returns the error of a write that shows
// that the connection has failed, or nil if the peer has ended its side. The system reports the
// failure of a connection once: if a write gets that report, reads return io.EOF.
func (c *conn) writeFailure() error {
	// The write that got the report may not have returned yet. One that waits for the peer is ended:
	// net/http closes the connection after io.EOF, so it would not go on.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.IsAny(c.writeErr, errEnded, syscall.EPIPE) {
		return nil // EPIPE is the first error only if the peer ended its side before it reset the connection
	}
	return c.writeErr
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errEnded // only writeFailure sets a deadline
	}
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}
