package citronbody_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"github.com/matryer/is"
)

// failingConn is a connection on which a response arrives, and then io.EOF, while a request is being
// written.
type failingConn struct {
	net.Conn
	response *strings.Reader
	// failure is what the pending write returns. If it is nil, that write lasts until it is
	// interrupted.
	failure error
	// failsFirst makes the write return before the read of io.EOF, and not after it.
	failsFirst bool

	writes int
	// begun is closed by the first write and pending by the second. consumed is closed when the
	// response has been read, failed when the pending write returns, and interrupted by a write
	// deadline or Close.
	begun, pending, consumed, failed, interrupted chan struct{}
	interrupt                                     func()
}

func newFailingConn(response string, failure error, failsFirst bool) *failingConn {
	c := &failingConn{
		response: strings.NewReader(response), failure: failure, failsFirst: failsFirst,
		begun: make(chan struct{}), pending: make(chan struct{}), consumed: make(chan struct{}), failed: make(chan struct{}), interrupted: make(chan struct{}),
	}
	c.interrupt = sync.OnceFunc(func() { close(c.interrupted) })
	return c
}

func (c *failingConn) Read(p []byte) (int, error) {
	<-c.begun
	if c.response.Len() > 0 {
		return c.response.Read(p)
	}
	<-c.pending
	close(c.consumed)
	if c.failsFirst {
		<-c.failed
	}
	return 0, io.EOF
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		close(c.begun)
		return len(p), nil
	}
	close(c.pending)
	<-c.consumed
	if !c.failsFirst {
		<-c.interrupted
	}
	close(c.failed)
	if c.failure == nil {
		return 0, os.ErrDeadlineExceeded
	}
	return 0, c.failure
}

func (c *failingConn) SetWriteDeadline(time.Time) error { c.interrupt(); return nil }
func (c *failingConn) Close() error                     { c.interrupt(); return nil }

// Guards against a part of a body that is taken for the whole because a write has got the report of
// the system that the connection has failed, and against a whole body that is not.
func TestFailedConnectionIsNoEndOfABody(t *testing.T) {
	for _, c := range []struct {
		name              string
		failure           error
		failsFirst, whole bool
	}{
		{"reset, the write returns first", syscall.ECONNRESET, true, false},
		{"reset, the read returns first", syscall.ECONNRESET, false, false},
		{"timeout, the write returns first", syscall.ETIMEDOUT, true, false},
		{"timeout, the read returns first", syscall.ETIMEDOUT, false, false},
		{"end", nil, false, true},
		{"end, then a reset, the read returns first", syscall.EPIPE, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dial := func(context.Context, string, string) (net.Conn, error) {
				return newFailingConn("HTTP/1.1 200 OK\r\n\r\nbody", c.failure, c.failsFirst), nil
			}
			hc := &http.Client{Transport: citronbody.NewTransport(&http.Transport{DialContext: dial})}
			res, err := hc.Post("http://engine", "text/plain", strings.NewReader(strings.Repeat("x", 1<<20)))
			is.NoErr(err)
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			is.Equal(string(body), "body")
			is.Equal(err == nil, c.whole)
		})
	}
}
