package citroncli

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronplain"
	"citrondeck.dev/citrondeck/citronwire"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against listeners whose connections alone exceed a small machine.
func TestConnectionsFitASmallMachine(t *testing.T) {
	is := is.New(t)
	const memoryMB, sockets = 184, 3900
	limits := newClientLimits(memoryMB, sockets)
	conns := 0
	for _, share := range []float64{frontShare, peerShare, directoryShare, readyShare, metricsShare} {
		conns += limits.listener("", share).Conns
	}
	const connBytes = 40 << 10
	is.True(conns*connBytes < int(limits.plan.Clients))
	opened := int((frontShare+peerShare)*sockets) + 2*limits.idleConns()
	is.True(conns+opened < sockets*19/20)
	is.True(limits.plan.Runtime < memoryMB<<20)
}

// Guards against a program that reads responses without end, until it runs out of memory or its
// callers have given up.
func TestResponsesWithoutEndShareABound(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	block := make([]byte, 64<<10)
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		for ctx.Err() == nil {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer endless.Close()
	hc := httpClient()
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			_, err := citronplain.NewClient(hc, endless.URL).Do(ctx, citronplain.Call{})
			is.True(err != nil)
		})
	}
	all.Wait()
	is.NoErr(ctx.Err())           // the calls have ended by themselves
	is.True(sent.Load() < 96<<20) // with what is on the way, half of the default memory of a program
	small := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"result":"ok"}`))
	}))
	defer small.Close()
	result, err := citronplain.NewClient(hc, small.URL).Do(ctx, citronplain.Call{})
	is.NoErr(err)
	is.Equal(result, "ok")
}

// Guards against a response with an invalid head that a program's client takes for an answer of
// another process, such as the one of a back end that is leaving, which means "not run".
func TestClientRejectsInvalidHeads(t *testing.T) {
	const leaving = citronwire.LeavingHeader + ": b1\r\nContent-Type: application/json\r\n"
	for _, head := range []string{
		"HTTP/1.1 000 Odd\r\n" + leaving, "HTTP/1.1 600 Odd\r\n" + leaving, "HTTP/1.1 503 Busy\r\nX Odd: 1\r\n" + leaving, "HTTP/1.1 503 Busy\r\n" + leaving + " X-Odd: 1\r\n",
	} {
		is := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer ln.Close()
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = fmt.Fprintf(c, "%sContent-Length: 22\r\n\r\n{\"code\":\"unavailable\"}", head)
			}
		}()
		res, err := httpClient().Post("http://"+ln.Addr().String(), "application/json", strings.NewReader("{}"))
		if err == nil {
			_ = res.Body.Close()
		}
		is.True(errors.Is(err, citronbody.ErrInvalidHead))
	}
}
