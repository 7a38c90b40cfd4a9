package citronsoak_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/cockroachdb/errors"
)

// The machine of the nodes in the tests of crowds.
const (
	crowdMemoryMB    = 128
	crowdDescriptors = 700
)

// withSmallMachine gives the nodes a small machine and a configuration with limits.
func withSmallMachine(w *world) {
	w.machine = fmt.Sprintf("memoryMb = %d\nmaxFds = %d\n", crowdMemoryMB, crowdDescriptors)
	w.limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// crowdNode starts a fleet of small machines and returns it with the node that a crowd meets.
func crowdNode(t *testing.T) (*world, *node, *resources) {
	w := newWorld(t, build(t), withSmallMachine)
	w.waitUntilServing(startTimeout, "at the start")
	n := w.nodes[0]
	return w, n, watch(t, n.pid())
}

// checkCrowd checks the node while the crowd's connections are still open.
func (w *world) checkCrowd(c *crowd, n *node, used *resources) {
	c.wait()
	w.checkOrdinary(n)
	used.check(crowdMemoryMB, crowdDescriptors)
}

// checkOrdinary checks that one ordinary request is answered.
func (w *world) checkOrdinary(n *node) {
	w.t.Helper()
	i := 0
	answersEventually(w.t, n.name, func() error {
		i++
		if a := w.send(&http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, n, "/safe/", fmt.Sprintf("ordinary-%d", i)); a.status != http.StatusOK || !a.complete {
			return errors.Newf("status %d", a.status)
		}
		return nil
	})
}

// Guards against a node that runs out of memory when many clients send large bodies and stop
// just short of their end.
func TestCrowdOfLargeBodies(t *testing.T) {
	w, n, used := crowdNode(t)
	c := newCrowd(t, 1)
	c.join(40, n.front, largeBody("/safe/x"))
	c.join(40, n.front, largeBody("/stream/x"))
	w.checkCrowd(c, n, used)
}

// Guards against a node that runs out of memory when many clients send chunked bodies, in large
// or very small chunks, and stop just short of their end.
func TestCrowdOfChunkedBodies(t *testing.T) {
	w, n, used := crowdNode(t)
	c := newCrowd(t, 2)
	c.join(50, n.front, largeChunks("/safe/x"))
	c.join(40, n.front, smallChunks("/stream/x"))
	w.checkCrowd(c, n, used)
}

// Guards against a node that runs out of memory when clients send bodies far over the limit,
// announced or just sent.
func TestCrowdOfBodiesOverTheLimit(t *testing.T) {
	w, n, used := crowdNode(t)
	c := newCrowd(t, 3)
	c.join(24, n.front, excessive("/safe/x"))
	w.checkCrowd(c, n, used)
}

// Guards against a node that runs out of memory when many clients send heads of many fields and
// stop short of their end.
func TestCrowdOfHeads(t *testing.T) {
	w, n, used := crowdNode(t)
	c := newCrowd(t, 4)
	c.join(400, n.front, endlessHead("/safe/x"))
	w.checkCrowd(c, n, used)
}

// Guards against a node that runs out of descriptors when many clients connect and send little
// or nothing.
func TestCrowdOfConnections(t *testing.T) {
	w, n, used := crowdNode(t)
	c := newCrowd(t, 5)
	c.join(1200, n.front, silent)
	w.checkCrowd(c, n, used)
}

// Guards against a listener without the limits of the one for callers: each of them holds under
// clients of all kinds, and still answers.
func TestCrowdAtEachListener(t *testing.T) {
	for _, l := range []struct {
		name, path string
		addr       func(*node) string
		ordinary   func(n *node) error
	}{
		{"callers", "/safe/x", func(n *node) string { return n.front }, nil},
		{"directory", "/resolve", func(n *node) string { return n.directory }, func(n *node) error { return getOK(n.directory, "/resolve?name=h&zone=z") }},
		{"readiness", "/ready", func(n *node) string { return n.ready }, func(n *node) error { return getOK(n.ready, "/ready") }},
		{"nodes, loans", "/citron.peer/Lend", func(n *node) string { return n.peer }, borrow},
		{"nodes, gossip", "/citron.peer/Exchange", func(n *node) string { return n.peer }, borrow},
		{"nodes, relays", relayPath, func(n *node) string { return n.peer }, borrow},
		{"metrics", "/metrics", func(n *node) string { return n.metrics }, func(n *node) error { return getOK(n.metrics, "/metrics") }},
	} {
		t.Run(l.name, func(t *testing.T) {
			w, n, used := crowdNode(t)
			c := newCrowd(t, 6)
			c.join(15, l.addr(n), excessive(l.path))
			c.join(30, l.addr(n), largeBody(l.path))
			c.join(20, l.addr(n), largeChunks(l.path))
			c.join(10, l.addr(n), smallChunks(l.path))
			c.join(20, l.addr(n), bomb(l.path))
			c.join(100, l.addr(n), endlessHead(l.path))
			c.join(100, l.addr(n), deaf(l.path))
			c.join(600, l.addr(n), silent)
			if l.ordinary != nil {
				c.wait()
				answersEventually(t, l.name, func() error { return l.ordinary(n) })
			}
			w.checkCrowd(c, n, used)
		})
	}
}

// Guards against limits of each listener that hold alone and not together.
func TestCrowdAtAllListeners(t *testing.T) {
	w, n, used := crowdNode(t)
	c := newCrowd(t, 7)
	for _, l := range []struct{ addr, path string }{
		{n.front, "/safe/x"},
		{n.front, "/stream/x"},
		{n.directory, "/resolve"},
		{n.ready, "/ready"},
		{n.peer, "/citron.peer/Exchange"},
		{n.peer, relayPath},
		{n.metrics, "/metrics"},
	} {
		c.join(20, l.addr, largeBody(l.path))
		c.join(10, l.addr, largeChunks(l.path))
		c.join(10, l.addr, bomb(l.path))
		c.join(50, l.addr, endlessHead(l.path))
		c.join(30, l.addr, deaf(l.path))
		c.join(200, l.addr, silent)
	}
	w.checkCrowd(c, n, used)
}

// Guards against clients that stop short and keep a node from stopping, or the next process from
// serving.
func TestCrowdWhileNodeStops(t *testing.T) {
	w, n, used := crowdNode(t)
	c := newCrowd(t, 9)
	c.join(30, n.front, largeBody("/safe/x"))
	c.join(30, n.peer, largeBody("/citron.peer/Exchange"))
	c.join(50, n.front, endlessHead("/safe/x"))
	c.join(300, n.front, silent)
	c.wait()
	used.check(crowdMemoryMB, crowdDescriptors)
	n.signal(syscall.SIGTERM)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.wait()
	}()
	select {
	case <-stopped:
	case <-time.After(recoverTimeout):
		t.Fatal("the node does not stop")
	}
	n.start(t)
	used = watch(t, n.pid())
	c.join(30, n.front, largeBody("/safe/x"))
	c.join(300, n.front, silent)
	w.checkCrowd(c, n, used)
}

// Guards against limits that a single request within the configuration meets in calm: of the full
// size, whole, in pieces, or in chunks of one byte.
func TestCrowdOfOneIsServed(t *testing.T) {
	w, n, used := crowdNode(t)
	const size = 4 << 20
	for _, c := range []struct {
		name, framing string
		body          []byte
		piece         int
		pause         time.Duration
	}{
		{"whole", fmt.Sprintf("Content-Length: %d", size), bytes.Repeat([]byte("x"), size), size, 0},
		{"in pieces", fmt.Sprintf("Content-Length: %d", size), bytes.Repeat([]byte("x"), size), 64 << 10, 20 * time.Millisecond},
		{"in chunks of one byte", "Transfer-Encoding: chunked", append(bytes.Repeat([]byte("1\r\nx\r\n"), size), "0\r\n\r\n"...), 1 << 20, 0},
	} {
		conn, err := net.Dial("tcp", n.front)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %[1]s\r\nX-Credential: key-0\r\nX-Deadline-Ms: 4000\r\n%[2]s\r\n\r\n", strings.ReplaceAll(c.name, " ", "-"), c.framing)
		for piece := range slices.Chunk(c.body, c.piece) {
			_, _ = conn.Write(piece)
			time.Sleep(c.pause)
		}
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		text, _ := io.ReadAll(res.Body)
		if res.StatusCode != http.StatusOK || string(text) != answerText(strings.ReplaceAll(c.name, " ", "-")) {
			t.Errorf("%s: status %d, body %q", c.name, res.StatusCode, text)
		}
		_ = conn.Close()
	}
	w.checkOrdinary(n)
	used.check(crowdMemoryMB, crowdDescriptors)
}

// getOK reports an error unless a GET request is answered with status 200.
func getOK(addr, path string) error {
	hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := hc.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		return errors.Newf("status %d, error %v", res.StatusCode, err)
	}
	return nil
}

// borrow makes a call of another node.
func borrow(n *node) error {
	peers := citronpeer.Client{HC: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: time.Second}
	_, err := peers.Borrow(context.Background(), n.peer, "app", 0, time.Second)
	return err
}
