package citronsoak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronport"
)

// node is a machine on which one node process after the other runs.
type node struct {
	name, dir, binary string
	front, ready      string
	proxy             *proxy
	mu                sync.Mutex
	cmd               *exec.Cmd
	// life counts the processes.
	process int
	// away: a fault is at work here. trouble is when one last was.
	faulty    bool
	lastFault time.Time
	// paused is when its process was last killed, stopped or frozen.
	lastInterrupted time.Time
	log             *os.File
}

// grace is the time between SIGTERM and SIGKILL that the settings tell.
const shutdownGrace = 3 * time.Second

// freeAddr is a loopback address that is held for a node to listen on.
func freeAddr(t *testing.T) string {
	t.Helper()
	r, err := citronport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return r.Addr()
}

// newNodes writes the settings of some nodes and starts them.
func startNodes(t *testing.T, binary, store string, count int) []*node {
	t.Helper()
	nodes := make([]*node, count)
	peers := make([]string, count)
	for i := range nodes {
		peers[i] = freeAddr(t)
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("n%d", i), dir: t.TempDir(), binary: binary, proxy: newProxy(t, store)}
		n.front, n.ready = freeAddr(t), freeAddr(t)
		text := fmt.Sprintf(`nodeName = %q
zone = "z"
seedAddrs = ["%s"]
[listen]
front = %q
readyAddr = %q
control = %q
directory = %q
[limits]
cpuShare = 1.0
cpuCores = 1
[bounds]
drainMs = 2000
graceS = %d
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 200
ttl_max_s = 5
[platform]
address = %q
ttlMinMs = 1000
`, n.name, strings.Join(peers, `","`), n.front, n.ready, peers[i], freeAddr(t), int(shutdownGrace.Seconds()), n.proxy.addr())
		if err := os.WriteFile(filepath.Join(n.dir, "local.toml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var err error
		if n.log, err = os.Create(filepath.Join(n.dir, "log")); err != nil {
			t.Fatal(err)
		}
		nodes[i] = n
		n.start(t)
		t.Cleanup(n.killProcess)
	}
	return nodes
}

func (n *node) start(t *testing.T) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(n.binary, "node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CITRONDECK_SETTINGS=" + filepath.Join(n.dir, "local.toml")}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.process++
	if err := n.cmd.Start(); err != nil {
		t.Errorf("start %s: %v", n.name, err)
	}
}

// signal sends a signal to the process that this soak has started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

func (n *node) wait() {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait() // it was killed, or told to stop
}

func (n *node) killProcess() {
	n.signal(syscall.SIGKILL)
	n.wait()
}

// kill ends the process, at once or after its grace, and starts another.
func (n *node) restart(t *testing.T, graceful bool, pause time.Duration) {
	if graceful {
		n.signal(syscall.SIGTERM)
		killTimer := time.AfterFunc(shutdownGrace, func() { n.signal(syscall.SIGKILL) })
		n.wait()
		killTimer.Stop()
	} else {
		n.killProcess()
	}
	time.Sleep(pause)
	n.start(t)
}

func (n *node) setFaulty(faulty bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faulty = faulty
	n.lastFault = time.Now()
	n.lastInterrupted = n.lastFault
}

// troubled notes that the node's link to the store was harmed until now.
func (n *node) recordLinkFault() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastFault = time.Now()
}

// inTouch reports whether the node has been without trouble for so long.
func (n *node) faultFreeFor(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.faulty && time.Since(n.lastFault) > d
}

// ran reports whether its process has run for so long.
func (n *node) runningFor(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.faulty && time.Since(n.lastInterrupted) > d
}

// state is the process that runs and whether a fault is at work.
func (n *node) state() (process int, faulty bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process, n.faulty
}
