package citronserve_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronmemory"
	"citrondeck.dev/citrondeck/citronserve"
	"github.com/matryer/is"
)

// limitedServer serves h within limits until the test ends.
func limitedServer(t *testing.T, h http.Handler, limits citronserve.Limits) (addr string) {
	t.Helper()
	ln, err := citronserve.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits.Clock = citronclock.Real{}
	hs := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = hs.Serve(citronserve.Limit(hs, ln, limits)) }()
	t.Cleanup(func() { _ = hs.Close() })
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c.(*net.TCPConn)
}

// eventually fails the test if ok does not become true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("%s: not within 20 s", what)
}

// echo responds with the length of the body.
func echo(limit int64, within time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := citronserve.ReadBody(w, r, limit, within)
		if err != nil {
			w.WriteHeader(citronserve.FailureStatus(err))
			return
		}
		defer release()
		_, _ = fmt.Fprint(w, len(body))
	})
}

// Guards against a refusal that is lost because the connection is reset while the client is still
// sending.
func TestRefusalReachesClientThatIsStillSending(t *testing.T) {
	for _, c := range []struct {
		name, framing string
		memory        int64
		status        int
	}{
		{"announced body over the limit", "Content-Length: 12000000", 64 << 20, http.StatusRequestEntityTooLarge},
		{"chunked body over the limit", "Transfer-Encoding: chunked", 64 << 20, http.StatusRequestEntityTooLarge},
		{"no memory", "Content-Length: 4000000", 1 << 20, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn := dial(t, limitedServer(t, echo(4<<20, time.Minute), citronserve.Limits{Memory: citronmemory.New(c.memory, citronclock.Real{})}))
			_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", c.framing)
			is.NoErr(err)
			piece := make([]byte, 100_000)
			if strings.Contains(c.framing, "chunked") {
				piece = fmt.Appendf(nil, "%x\r\n%s\r\n", 2*len(piece), append(piece, piece...))
			}
			for range 40 {
				if _, err = conn.Write(piece); err != nil {
					break
				}
				time.Sleep(2 * time.Millisecond) // the client reads only once it has sent all
			}
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.True(res.Close)
		})
	}
}

// Guards against a body that stops short and keeps its memory and its connection.
func TestBodyThatStopsShortGivesEverythingBack(t *testing.T) {
	is := is.New(t)
	account := citronmemory.New(64<<20, citronclock.Real{})
	conn := dial(t, limitedServer(t, echo(4<<20, 300*time.Millisecond), citronserve.Limits{Memory: account}))
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n%s", make([]byte, 299_999))
	is.NoErr(err)
	eventually(t, "the body is charged", func() bool { return account.Status().Used > 300_000 })
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusRequestTimeout)
	_ = conn.CloseWrite()
	eventually(t, "everything is given back", func() bool { return account.Status().Used == 0 })
}

// Guards against clients that hold all connections and send nothing, and against a request that
// is lost because its connection was closed for another one: each that runs is answered.
func TestFullListenerClosesWaitingConnectionsOnly(t *testing.T) {
	is := is.New(t)
	var ran, closed atomic.Int64
	addr := limitedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, release, err := citronserve.ReadBody(w, r, 1<<20, time.Minute)
		if err != nil {
			return
		}
		defer release()
		ran.Add(1)
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}), citronserve.Limits{Conns: 12, OnClosed: func(string, citronserve.Reason) { closed.Add(1) }})
	for range 20 {
		dial(t, addr) // sends nothing
	}
	var answered atomic.Int64
	var clients sync.WaitGroup
	for range 20 {
		clients.Go(func() {
			hc := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			for begin := time.Now(); time.Since(begin) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
				req, _ := http.NewRequest(http.MethodPost, "http://"+addr, strings.NewReader("body")) // the URL is valid
				req.GetBody = nil
				res, err := hc.Do(req)
				if err != nil {
					continue
				}
				if text, err := io.ReadAll(res.Body); err == nil && string(text) == "ok" {
					answered.Add(1)
				}
				_ = res.Body.Close()
			}
		})
	}
	clients.Wait()
	is.True(answered.Load() > 0)
	is.Equal(answered.Load(), ran.Load())
	is.True(closed.Load() > 0)
}

// Guards against heads that take much more memory once they are decoded than they have bytes.
func TestHeadsAreCharged(t *testing.T) {
	for _, c := range []struct{ name, field string }{
		{"many fields", strings.Repeat("A:\r\n", 2000)},
		{"long lists", "X-List: " + strings.Repeat("a:1,", 4000) + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			account := citronmemory.New(64<<20, citronclock.Real{})
			addr := limitedServer(t, echo(0, time.Minute), citronserve.Limits{Memory: account})
			conn := dial(t, addr)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+c.field)
			is.NoErr(err)
			eventually(t, "the head is charged", func() bool { return account.Status().Used > 100<<10 })
			_, err = io.WriteString(conn, "\r\n")
			is.NoErr(err)
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			eventually(t, "the head is given back", func() bool { return account.Status().Used < 100<<10 })
		})
	}
}

// Guards against a small compressed body that takes much memory once it is decompressed.
func TestCompressedBodyIsLimitedAsDecompressed(t *testing.T) {
	is := is.New(t)
	h := citronserve.LimitBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, len(body), r.Header.Get("Content-Encoding"))
	}), 1<<20)
	addr := limitedServer(t, h, citronserve.Limits{Memory: citronmemory.New(64<<20, citronclock.Real{})})
	for size, status := range map[int]int{1 << 20: http.StatusOK, 2 << 20: http.StatusRequestEntityTooLarge} {
		var body bytes.Buffer
		z := gzip.NewWriter(&body)
		_, _ = z.Write(make([]byte, size))
		is.NoErr(z.Close())
		req, err := http.NewRequest(http.MethodPost, "http://"+addr, &body)
		is.NoErr(err)
		req.Header.Set("Content-Encoding", "gzip")
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		text, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		is.Equal(res.StatusCode, status)
		if status == http.StatusOK {
			is.Equal(string(text), fmt.Sprint(size))
		}
	}
}

// Guards against the system's buffers, which grow to megabytes for a client whose bytes are not
// read.
func TestUnreadBytesAreBounded(t *testing.T) {
	is := is.New(t)
	const sent, bound = 16 << 20, 512 << 10
	stop := make(chan struct{})
	defer close(stop)
	addr := limitedServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }), citronserve.Limits{})
	conn := dial(t, addr)
	is.NoErr(conn.SetWriteBuffer(16 << 10))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	n, err := conn.Write(make([]byte, sent))
	is.True(err != nil)
	is.True(n < bound)
}
