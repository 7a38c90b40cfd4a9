// Package citronserve runs the HTTP servers of a process.
package citronserve

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// shutdownTimeout is how long a server waits for running requests when it is stopped. Those
	// that matter have ended by then, up to the last bytes of their responses.
	shutdownTimeout = 200 * time.Millisecond
	// answerTimeout is how long requests that still run then have to answer.
	answerTimeout = 100 * time.Millisecond
)

// ErrStopped is the cause with which the contexts of requests end that still run when a server
// has been stopped.
var ErrStopped = errors.New("the server has been stopped")

// socketBytes is the size of the buffers in which the system keeps what a client has sent and
// the process has not read, and what the process has sent and the client has not acknowledged.
// Otherwise the system lets the buffers of each connection grow to several megabytes.
const socketBytes = 32 << 10

// Listen listens for connections whose buffers in the system are small.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Accepted connections inherit both. A system that refuses them keeps its defaults.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes)
		})
	}}
	ln, err := config.Listen(ctx, "tcp", addr)
	return ln, errors.Wrapf(err, "listen on %s", addr)
}

// Serve runs an HTTP server on its address within limits until ctx ends. It then closes idle
// connections, waits for running requests for up to shutdownTimeout, ends the contexts of those
// that still run, waits for their answers for up to answerTimeout and returns.
func Serve(ctx context.Context, hs *http.Server, limits Limits) error {
	ln, err := Listen(ctx, hs.Addr)
	if err != nil {
		return err
	}
	detached := context.WithoutCancel(ctx)
	requests, endRequests := context.WithCancelCause(detached)
	defer endRequests(nil)
	hs.BaseContext = func(net.Listener) context.Context { return requests }
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		if shutdown(detached, hs, shutdownTimeout) != nil {
			endRequests(ErrStopped)
			_ = shutdown(detached, hs, answerTimeout) // requests that still run end with the process
		}
	})
	defer stop()
	if err := hs.Serve(Limit(hs, ln, limits)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", hs.Addr)
	}
	<-ended
	return nil
}

// shutdown waits for running requests for up to the given time.
func shutdown(ctx context.Context, hs *http.Server, timeout time.Duration) error {
	limit, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return hs.Shutdown(limit)
}
