package citronsoak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// trouble is what a proxy does to the bytes that pass through it.
type linkState int32

const (
	healthy linkState = iota
	slow              // each piece arrives slowLink later
	stalled           // nothing arrives, and nothing ends
	oneWay            // requests arrive, answers do not
	broken            // connections are reset
)

// slowLink is longer than a call to a sound store takes and shorter than its
// time limit.
const slowLinkDelay = 300 * time.Millisecond

// proxy passes connections on to one address.
type proxy struct {
	ln    net.Listener
	to    string
	state atomic.Int32
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{ln: ln, to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) is(s linkState) bool { return linkState(p.state.Load()) == s }

func (p *proxy) set(s linkState) {
	p.state.Store(int32(s))
	if s != broken {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection without an end of its stream.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve(client net.Conn) {
	if p.is(broken) {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(server, client, false) })
	both.Go(func() { p.forward(client, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
	_, _ = client.Close(), server.Close()
}

func (p *proxy) forward(to io.Writer, from net.Conn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for p.is(stalled) || answers && p.is(oneWay) {
			time.Sleep(10 * time.Millisecond)
		}
		if p.is(slow) {
			time.Sleep(slowLinkDelay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}
