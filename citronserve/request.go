package citronserve

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"time"

	"citrondeck.dev/citrondeck/citronmemory"
)

const (
	// freeHeadBytes is what a head may cost before it is charged. Ordinary heads cost less.
	freeHeadBytes = 8 << 10
	// fieldBytes and itemBytes are what a field of a head, and an item of a list in a field, cost
	// besides their text: once decoded they are much larger than the few bytes that they may have.
	fieldBytes = 256
	itemBytes  = 64
	// lingerTime and lingerBytes bound what is read of a request that was refused before it had
	// arrived. Without reading it, the refusal would be lost: closing a connection with unread
	// bytes resets it.
	lingerTime  = 2 * time.Second
	lingerBytes = 16 << 20
)

// chargeHead charges the bytes p of a head.
func (c *conn) chargeHead(p []byte) error {
	c.mu.Lock()
	if !c.inHead {
		c.mu.Unlock()
		return nil
	}
	cost := int64(len(p) + fieldBytes*bytes.Count(p, []byte{'\n'}) + itemBytes*bytes.Count(p, []byte{','}))
	c.headBytes += cost
	if c.headBytes <= freeHeadBytes {
		c.mu.Unlock()
		return nil
	}
	if c.head == nil {
		c.head = c.listener.limits.Memory.Arriving(c.interrupt)
		cost = c.headBytes
	}
	head := c.head
	c.mu.Unlock()
	if err := head.Grow(context.Background(), cost); err != nil {
		c.listener.report(ReasonMemory)
		return os.ErrDeadlineExceeded // net/http closes the connection without a response
	}
	return nil
}

// interrupt makes the read of a connection fail. It takes no lock, because an account calls it
// while it holds its own.
func (c *conn) interrupt() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// closeHead gives back what the head of a request holds. The caller holds mu.
func (c *conn) closeHead() {
	if c.head != nil {
		c.head.Close()
		c.head = nil
	}
}

// begin records that a request has arrived, or its head. It reports false if the connection was
// closed before, so that the request must not run.
func (c *conn) begin() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	c.inHead = false
	head := c.head
	c.mu.Unlock()
	if head != nil && head.Finish() != nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.stopWaiting(c)
	return !c.released
}

// awaitBody records that the process waits for the body of a request. begin ends that.
func (c *conn) awaitBody() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.wait(c)
}

// endRequest records that a request has been answered and that the connection is idle.
func (c *conn) endRequest() {
	c.mu.Lock()
	c.closeHead()
	c.inHead, c.headBytes = true, 0
	c.mu.Unlock()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.wait(c)
}

// memory returns the account to which a request is charged.
func (c *conn) memory() *citronmemory.Account {
	if c == nil {
		return nil
	}
	return c.listener.limits.Memory
}

// markUnread records that the client may still be sending a request that nobody reads.
func (c *conn) markUnread() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = true
}

// linger reads on for a while if the client may still be sending, after it has been told that
// nothing more will be answered.
func (c *conn) linger() {
	c.mu.Lock()
	unread := c.unread
	c.unread = false
	c.mu.Unlock()
	if !unread {
		return
	}
	c.awaitBody()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
