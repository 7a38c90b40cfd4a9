// Package citronserve runs the HTTP servers of a process.
package citronserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// shutdownTimeout is how long a server waits for running requests when it is stopped. Those
// that matter have ended by then, up to the last bytes of their responses.
const shutdownTimeout = 200 * time.Millisecond

// Serve runs an HTTP server on its address until ctx ends. It then closes idle connections,
// waits for running requests for up to shutdownTimeout and returns.
func Serve(ctx context.Context, hs *http.Server) error {
	ln, err := net.Listen("tcp", hs.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", hs.Addr)
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = hs.Shutdown(limit) // requests that still run after that end with the process
	})
	defer stop()
	if err := hs.Serve(watchConns(hs, ln)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", hs.Addr)
	}
	<-ended
	return nil
}
