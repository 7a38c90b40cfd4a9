package citronsoak_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// A crowd is a set of clients that send too much, stop just short of the end of what they
// announced, or do not read, and keep their connections open.

const (
	// crowdWriteTimeout bounds how long a client of a crowd waits for a process that no
	// longer reads.
	crowdWriteTimeout = 15 * time.Second
	// legalBody is the size of a body within maxBodyBytes of the configuration.
	legalBody = 4_000_000
	// excessiveBody is the size of a body far over it.
	excessiveBody = 60_000_000
)

// payload is what bodies consist of.
var payload = bytes.Repeat([]byte("0123456789abcdef"), 64<<10)

// crowd holds the open connections of its clients.
type crowd struct {
	t    *testing.T
	seed uint64
	all  sync.WaitGroup
	mu   sync.Mutex
	open []net.Conn
}

// newCrowd returns an empty crowd, whose connections are closed when the test ends.
func newCrowd(t *testing.T, seed uint64) *crowd {
	c := &crowd{t: t, seed: seed}
	t.Cleanup(c.leave)
	return c
}

// leave closes the connections of all clients.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
	c.open = nil
}

// client is what one client of a crowd does on its connection.
type client func(conn net.Conn, r *rand.Rand)

// join connects count clients to addr. It returns at once; wait waits for them.
func (c *crowd) join(count int, addr string, act client) {
	for i := range count {
		r := rand.New(rand.NewPCG(c.seed, uint64(i)))
		c.all.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, crowdWriteTimeout)
			if err != nil {
				return // the process refuses the client
			}
			c.mu.Lock()
			c.open = append(c.open, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			act(conn, r)
		})
	}
}

// wait waits until each client has sent what it sends or has been refused. Their connections
// stay open.
func (c *crowd) wait() { c.all.Wait() }

// head returns the head of a POST request up to the fields that frame its body.
func head(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Type: " + contentType(path) + "\r\nX-Attempt-Id: crowd\r\nX-Credential: key-0\r\nX-Deadline-Ms: 20000\r\nX-Token-Counts: 10,32\r\n"
}

// relayPath is the path of a call whose body is a sequence of messages, each behind its length.
const relayPath = "/citron.relay/Send"

func contentType(path string) string {
	if path == relayPath {
		return "application/connect+cbor"
	}
	return "application/json"
}

// prefix returns the bytes with which the body of a request begins: for a relayed call, the
// length of a message of 50 MB.
func prefix(path string) []byte {
	if path == relayPath {
		return []byte{0, 3, 0, 0, 0}
	}
	return nil
}

// bombBody is a small body that decompresses to excessiveBody bytes.
var bombBody = sync.OnceValue(func() []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, _ = z.Write(make([]byte, excessiveBody))
	_ = z.Close()
	return out.Bytes()
})

// bomb sends a compressed body that is far over the limit once it is decompressed.
func bomb(path string) client {
	return func(conn net.Conn, _ *rand.Rand) {
		_, _ = fmt.Fprintf(conn, "%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", head(path), len(bombBody()))
		_, _ = conn.Write(bombBody())
	}
}

// send writes n bytes of payload in pieces of the size that piece returns, and reports whether
// all were written.
func send(conn net.Conn, n int, piece func() int, pause time.Duration) bool {
	for n > 0 {
		part := payload[:min(n, len(payload), piece())]
		if _, err := conn.Write(part); err != nil {
			return false
		}
		n -= len(part)
		time.Sleep(pause)
	}
	return true
}

// stopsShort returns how many bytes a client leaves out: some for five of six clients.
func stopsShort(r *rand.Rand) int {
	if r.IntN(6) == 0 {
		return 0
	}
	return 1 + r.IntN(1000)
}

// largeBody sends a body of legal size, whole or in pieces.
func largeBody(path string) client {
	return func(conn net.Conn, r *rand.Rand) {
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head(path), legalBody+len(prefix(path)), prefix(path))
		piece, pause := func() int { return legalBody }, time.Duration(0)
		switch r.IntN(3) {
		case 1:
			piece, pause = func() int { return 64 << 10 }, 2*time.Millisecond
		case 2:
			piece, pause = func() int { return 1 + r.IntN(32<<10) }, time.Millisecond
		}
		send(conn, legalBody-stopsShort(r), piece, pause)
	}
}

// excessive sends a body far over the limit, announced or not.
func excessive(path string) client {
	return func(conn net.Conn, r *rand.Rand) {
		if r.IntN(2) == 0 {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head(path), excessiveBody+len(prefix(path)), prefix(path))
			send(conn, excessiveBody-stopsShort(r), func() int { return 256 << 10 }, 0)
			return
		}
		sendChunks(conn, path, excessiveBody, func() int { return 256 << 10 }, r)
	}
}

// largeChunks and smallChunks send a chunked body of legal size.
func largeChunks(path string) client {
	return func(conn net.Conn, r *rand.Rand) {
		sendChunks(conn, path, legalBody, func() int { return 512 << 10 }, r)
	}
}

func smallChunks(path string) client {
	return func(conn net.Conn, r *rand.Rand) {
		sendChunks(conn, path, legalBody/4, func() int { return 1 + r.IntN(8) }, r)
	}
}

// sendChunks sends a body of n bytes in chunks. Most clients leave out a part of the last chunk
// and the end of the body.
func sendChunks(conn net.Conn, path string, n int, chunk func() int, r *rand.Rand) {
	_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head(path))
	var out bytes.Buffer
	if p := prefix(path); len(p) > 0 {
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(p), p)
	}
	for n > 0 {
		size := min(n, chunk())
		n -= size
		fmt.Fprintf(&out, "%x\r\n", size)
		out.Write(payload[:size])
		if out.WriteString("\r\n"); out.Len() < 256<<10 && n > 0 {
			continue
		}
		if n == 0 && stopsShort(r) > 0 {
			out.Truncate(out.Len() - 3)
		} else if n == 0 {
			out.WriteString("0\r\n\r\n")
		}
		if _, err := out.WriteTo(conn); err != nil {
			return
		}
	}
}

// endlessHead sends 60 kB of a head with many short fields, and stops short of its end.
func endlessHead(path string) client {
	return func(conn net.Conn, _ *rand.Rand) {
		var out bytes.Buffer
		out.WriteString(head(path))
		for i := 0; out.Len() < 60_000; i++ {
			fmt.Fprintf(&out, "K%d:\r\n", i)
		}
		_, _ = out.WriteTo(conn)
	}
}

// silent sends nothing, or a few bytes.
func silent(conn net.Conn, r *rand.Rand) {
	if r.IntN(2) == 0 {
		_, _ = io.WriteString(conn, "POST /")
	}
}

// deaf sends many requests without a body behind one another and reads no response.
func deaf(path string) client {
	return func(conn net.Conn, _ *rand.Rand) {
		request := "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nX-Credential: key-0\r\nX-Deadline-Ms: 20000\r\n\r\n"
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.WriteString(conn, strings.Repeat(request, 2000))
	}
}

// resources records what a process uses while it is watched.
type resources struct {
	t    *testing.T
	pid  int
	stop chan struct{}
	done sync.WaitGroup
	// descriptors is the highest number of open descriptors that was seen.
	descriptors int
}

// use is what a process uses.
type use struct {
	// memoryMB is the peak of its memory.
	memoryMB, descriptors int
	ended                 bool
}

var (
	peakMemory   = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
	processState = regexp.MustCompile(`State:\s+(\S)`)
)

// readUse returns what a process uses.
func readUse(pid int) use {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // fails once the process has ended
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	state, peak := processState.FindSubmatch(status), peakMemory.FindSubmatch(status)
	if err != nil || state == nil || peak == nil || string(state[1]) == "Z" {
		return use{ended: true}
	}
	kB, _ := strconv.Atoi(string(peak[1])) // the expression matches digits only
	return use{memoryMB: (kB + 1023) >> 10, descriptors: len(open)}
}

// watch records the resources of a process until check is called.
func watch(t *testing.T, pid int) *resources {
	r := &resources{t: t, pid: pid, stop: make(chan struct{})}
	r.done.Go(func() {
		for {
			r.descriptors = max(r.descriptors, readUse(pid).descriptors)
			select {
			case <-r.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	return r
}

// check reports an error if the process has ended or has used more than a machine has.
func (r *resources) check(memoryMB, descriptors int) {
	r.t.Helper()
	close(r.stop)
	r.done.Wait()
	used := readUse(r.pid)
	if used.ended {
		r.t.Errorf("the process has ended")
		return
	}
	r.t.Logf("peak of memory %d MB, of descriptors %d", used.memoryMB, r.descriptors)
	if used.memoryMB > memoryMB {
		r.t.Errorf("peak of memory %d MB, the machine has %d MB", used.memoryMB, memoryMB)
	}
	if r.descriptors > descriptors {
		r.t.Errorf("%d descriptors were open, the machine has %d", r.descriptors, descriptors)
	}
}

// answersEventually fails the test if ordinary never succeeds.
func answersEventually(t *testing.T, what string, ordinary func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(recoverTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = ordinary(); err == nil {
			return
		}
	}
	t.Errorf("an ordinary request to %s is not answered: %v", what, err)
}
