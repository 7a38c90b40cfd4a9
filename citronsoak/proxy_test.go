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
type trouble int32

const (
	well   trouble = iota
	slow           // each piece arrives slowLink later
	silent         // nothing arrives, and nothing ends
	oneWay         // requests arrive, answers do not
	broken         // connections are reset
)

// slowLink is longer than a call to a sound store takes and shorter than its
// time limit.
const slowLink = 300 * time.Millisecond

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

func (p *proxy) is(s trouble) bool { return trouble(p.state.Load()) == s }

func (p *proxy) set(s trouble) {
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

func (p *proxy) serve(near net.Conn) {
	if p.is(broken) {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, false) })
	both.Go(func() { p.pass(near, far, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	p.mu.Unlock()
	_, _ = near.Close(), far.Close()
}

func (p *proxy) pass(to io.Writer, from net.Conn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for p.is(silent) || answers && p.is(oneWay) {
			time.Sleep(10 * time.Millisecond)
		}
		if p.is(slow) {
			time.Sleep(slowLink)
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
