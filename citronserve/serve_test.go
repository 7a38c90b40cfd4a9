package citronserve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronserve"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a process that exits between the end of a request and the last bytes of its
// response: Serve returned while the response was still being sent.
func TestServeWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	served := make(chan error, 1)
	go func() {
		served <- citronserve.Serve(ctx, &http.Server{Addr: addr, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			stop()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, "whole")
		})}, citronserve.Limits{})
	}()
	answer := make(chan string, 1)
	go func() {
		var res *http.Response
		for {
			if res, err = http.Get("http://" + addr); err == nil || ctx.Err() != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			answer <- err.Error()
			return
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		answer <- string(text)
	}()
	is.NoErr(<-served)
	select {
	case text := <-answer:
		is.Equal(text, "whole")
	case <-time.After(20 * time.Millisecond): // the response was sent before Serve returned
		t.Error("Serve returned before the response was complete")
	}
}

// Guards against callers whose connections are cut without an answer when a process stops while
// their requests still run.
func TestRunningRequestsAreAnsweredAtTheEnd(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	started, causes, served := make(chan struct{}), make(chan error, 1), make(chan error, 1)
	go func() {
		served <- citronserve.Serve(ctx, &http.Server{Addr: addr, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
			causes <- context.Cause(r.Context())
			w.WriteHeader(http.StatusGatewayTimeout)
		})}, citronserve.Limits{})
	}()
	status := make(chan int, 1)
	go func() {
		for ctx.Err() == nil {
			if res, err := http.Get("http://" + addr); err == nil {
				_ = res.Body.Close()
				status <- res.StatusCode
				return
			}
			time.Sleep(time.Millisecond)
		}
		status <- 0
	}()
	<-started
	stop()
	is.NoErr(<-served)
	select {
	case got := <-status:
		is.Equal(got, http.StatusGatewayTimeout)
	case <-time.After(200 * time.Millisecond): // the process would have exited
		t.Fatal("Serve returned before the response was complete")
	}
	is.True(errors.Is(<-causes, citronserve.ErrStopped))
}
