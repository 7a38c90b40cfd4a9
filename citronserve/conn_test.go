package citronserve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronserve"
	"github.com/matryer/is"
)

// serve serves a handler until the test ends and returns a connection to it.
func serve(t *testing.T, h http.HandlerFunc) *net.TCPConn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = citronserve.Serve(ctx, &http.Server{Addr: addr, Handler: h}, citronserve.Limits{})
	}()
	t.Cleanup(func() { stop(); <-done })
	for {
		if c, err := net.Dial("tcp", addr); err == nil {
			t.Cleanup(func() { _ = c.Close() })
			return c.(*net.TCPConn)
		}
		time.Sleep(time.Millisecond)
	}
}

const postRequest = "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// Guards against an engine that goes on working for a caller that has left, because bytes of the
// caller's next request hide the close.
func TestCloseBehindPipelinedBytesEndsRequest(t *testing.T) {
	for _, c := range []struct {
		name, behind string
		close        func(*net.TCPConn) error
	}{
		{"no bytes", "", (*net.TCPConn).Close},
		{"a few bytes", "POS", (*net.TCPConn).Close},
		{"a whole request", fmt.Sprintf(postRequest, "b"), (*net.TCPConn).Close},
		{"many bytes", strings.Repeat("x", 10<<10), (*net.TCPConn).Close},
		{"a few bytes, only its own side", "POS", (*net.TCPConn).CloseWrite},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan struct{}), make(chan bool, 1)
			conn := serve(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if r.URL.Path != "/a" {
					return
				}
				close(began)
				select {
				case <-r.Context().Done():
					ended <- true
				case <-time.After(2 * time.Second):
					ended <- false
				}
			})
			_, err := fmt.Fprintf(conn, postRequest, "a")
			is.NoErr(err)
			<-began
			_, err = io.WriteString(conn, c.behind)
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond)
			is.NoErr(c.close(conn))
			is.True(<-ended)
		})
	}
}

// Guards against pipelined requests that are lost, mixed up or ended because they are read ahead.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	is := is.New(t)
	conn := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s %s %v", r.URL.Path, body, r.Context().Err())
	})
	const requests = 2000 // several times maxReadAhead
	go func() {
		for i := range requests {
			_, _ = fmt.Fprintf(conn, postRequest, fmt.Sprint(i))
			if i%100 == 0 {
				time.Sleep(30 * time.Millisecond) // the connection falls idle
			}
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	in := bufio.NewReader(conn)
	for i := range requests {
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		text, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(text), fmt.Sprintf("/%d body <nil>", i))
	}
}

// Guards against a connection whose requests are all canceled, because the end of one request met
// the first bytes of the next one.
func TestRequestsThatMeetTheEndOfAnotherRun(t *testing.T) {
	is := is.New(t)
	const clients, requests = 8, 1500
	var canceled atomic.Int64
	var wg sync.WaitGroup
	for i := range clients {
		conn := serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			time.Sleep(200 * time.Microsecond)
			if r.Context().Err() != nil {
				canceled.Add(1)
			}
			_, _ = io.WriteString(w, "ok")
		})
		random := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			for range requests {
				if _, err := fmt.Fprintf(conn, postRequest, "a"); err != nil {
					return // the connection was closed, which callers can tell from a response
				}
				time.Sleep(time.Duration(random.IntN(800)) * time.Microsecond)
			}
		})
	}
	wg.Wait()
	is.Equal(canceled.Load(), int64(0))
}
