package citronbody_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"github.com/matryer/is"
)

// get sends a request to a server that responds to it by respond and closes the connection.
func get(t *testing.T, respond func(c net.Conn)) (*http.Response, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		respond(c)
	}()
	hc := &http.Client{Transport: citronbody.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true})}
	return hc.Get("http://" + ln.Addr().String())
}

// Guards against valid responses that are refused, however their bytes arrive, and against bodies
// that are taken for heads.
func TestValidHeadsAreAccepted(t *testing.T) {
	for name, text := range map[string]string{
		"no reason":              "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody",
		"line feeds only":        "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
		"odd but valid":          "HTTP/1.1 299 \tGr\xfc\xdfe\r\n!#$%&'*+-.^_`|~9: a\tb\xff\r\nX-Empty:\r\nContent-Length:4\r\n\r\nbody",
		"interim responses":      "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 102 On\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"body that ends at once": "HTTP/1.0 200 OK\r\n\r\nbody",
		"body like a head":       "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nHTTP/1.1 000\r\n a b: c\r\n",
		"chunks and a trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-End: 1\r\n\r\n",
	} {
		for _, piece := range []int{1, 7, len(text)} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				want := "body"
				if name == "body like a head" {
					want = "HTTP/1.1 000\r\n a b: c\r\n"
				}
				res, err := get(t, func(c net.Conn) {
					for rest := text; rest != ""; rest = rest[min(piece, len(rest)):] {
						_, _ = io.WriteString(c, rest[:min(piece, len(rest))])
						time.Sleep(100 * time.Microsecond)
					}
				})
				is.NoErr(err)
				defer res.Body.Close()
				body, err := io.ReadAll(res.Body)
				is.NoErr(err)
				is.Equal(string(body), want)
			})
		}
	}
}

// Guards against a response whose server stopped in the middle of its head, and which counts as one
// with an empty or short body.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, text := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 10\r\n\r\n",
		"no body":   "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\nX-A: b\r\n\r\n",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"interim":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"LF only":   "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
	} {
		for end, reset := range map[string]bool{"end": false, "reset": true} {
			t.Run(name+", "+end, func(t *testing.T) {
				for cut := range text {
					for _, last := range []string{"", " ", "\t", "\r"} {
						if text[:cut]+last == text {
							continue
						}
						res, err := get(t, func(c net.Conn) {
							_, _ = io.WriteString(c, text[:cut]+last)
							if reset {
								_ = c.(*net.TCPConn).SetLinger(0)
							}
						})
						if err == nil {
							_ = res.Body.Close()
							t.Errorf("%q is taken for a response with status %d", text[:cut]+last, res.StatusCode)
						}
					}
				}
			})
		}
	}
}
