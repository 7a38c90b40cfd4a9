package citronsoak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// linkState is the condition of the link through a proxy.
type linkState int32

const (
	healthy linkState = iota
	slow              // each chunk of data arrives slowLinkDelay later
	stalled           // no data arrives, and connections stay open
	oneWay            // requests arrive, answers do not
	broken            // connections are reset
)

// slowLinkDelay is longer than a call to a healthy store takes and shorter than the
// time limit of such a call.
const slowLinkDelay = 300 * time.Millisecond

// proxy forwards connections to one address and injects faults into them.
type proxy struct {
	ln    net.Listener
	to    string // address to which connections are forwarded
	state atomic.Int32
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newProxy starts a proxy on a loopback port that forwards to the address to.
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

// addr returns the address that the proxy listens on.
func (p *proxy) addr() string { return p.ln.Addr().String() }

// is reports whether the link is in condition s.
func (p *proxy) is(s linkState) bool { return linkState(p.state.Load()) == s }

// set changes the condition of the link. Condition broken resets all open
// connections.
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

// reset closes c with a TCP reset, so that the peer gets an error instead of a regular
// end of the stream.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// serve forwards one connection until both directions have ended.
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

// forward copies one direction of a connection and applies the condition of the link.
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
