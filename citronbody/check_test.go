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
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
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
					for rest := text; rest != ""; rest = rest[min(piece, len(rest)):] {
						_, _ = io.WriteString(c, rest[:min(piece, len(rest))])
						time.Sleep(100 * time.Microsecond)
					}
				}()
				hc := &http.Client{Transport: citronbody.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
				res, err := hc.Get("http://" + ln.Addr().String())
				is.NoErr(err)
				defer res.Body.Close()
				body, err := io.ReadAll(res.Body)
				is.NoErr(err)
				is.Equal(string(body), want)
			})
		}
	}
}
