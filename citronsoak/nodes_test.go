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

// node is one node of the fleet. It keeps its name and addresses, and runs one process
// after the other.
type node struct {
	name, dir, binary string
	front, ready      string
	directory, peer   string
	metrics           string
	// proxy is the node's link to the store.
	proxy *proxy
	mu    sync.Mutex
	cmd   *exec.Cmd
	// process is the number of processes started so far, which identifies the current one.
	process int
	// faulty reports whether a fault of the process is active: it is killed, stopped or
	// frozen. lastFault is when a fault of the process or of its link last began or ended.
	faulty    bool
	lastFault time.Time
	// lastInterrupted is when a fault of the process last began or ended.
	lastInterrupted time.Time
	log             *os.File
}

// shutdownGrace is the time between SIGTERM and SIGKILL; the node's settings state it too.
const shutdownGrace = 3 * time.Second

// freeAddr returns a loopback address that stays reserved during the test, so that a
// node can listen on it.
func freeAddr(t *testing.T) string {
	t.Helper()
	r, err := citronport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return r.Addr()
}

// startNodes writes the settings of count nodes and starts them. machine holds further settings
// of their machines.
func startNodes(t *testing.T, binary, store string, count int, machine string) []*node {
	t.Helper()
	nodes := make([]*node, count)
	peers := make([]string, count)
	for i := range nodes {
		peers[i] = freeAddr(t)
	}
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		dir, err := os.MkdirTemp(t.ArtifactDir(), name) // kept by -artifacts, with the node's log
		if err != nil {
			t.Fatal(err)
		}
		n := &node{name: name, dir: dir, binary: binary, proxy: newProxy(t, store)}
		n.front, n.ready, n.directory, n.metrics, n.peer = freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t), peers[i]
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
%s[bounds]
drainMs = 2000
graceS = %d
budgetRatio = %g
budgetWindowS = %g
budgetSlack = %d
ttl_max_s = 5
[platform]
address = %q
ttlMinMs = 1000
`, n.name, strings.Join(peers, `","`), n.front, n.ready, n.peer, n.directory, machine, int(shutdownGrace.Seconds()), retryRatio, retryWindow.Seconds(), retrySlack, n.proxy.addr())
		if err := os.WriteFile(filepath.Join(n.dir, "local.toml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if n.log, err = os.Create(filepath.Join(n.dir, "log")); err != nil {
			t.Fatal(err)
		}
		nodes[i] = n
		n.start(t)
		t.Cleanup(n.killProcess)
	}
	return nodes
}

// start starts the next process.
func (n *node) start(t *testing.T) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(n.binary, "node", "--metrics", n.metrics)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CITRONDECK_SETTINGS=" + filepath.Join(n.dir, "local.toml")}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.process++
	if err := n.cmd.Start(); err != nil {
		t.Errorf("start node %s: %v", n.name, err)
	}
}

// pid returns the id of the current process.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// signal sends s to the current process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// wait waits until the current process has exited.
func (n *node) wait() {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait() // an error is expected: the process was killed or asked to stop
}

// killProcess kills the current process and waits until it has exited.
func (n *node) killProcess() {
	n.signal(syscall.SIGKILL)
	n.wait()
}

// restart ends the process and starts another one after a pause. A graceful restart
// sends SIGTERM, and SIGKILL only when shutdownGrace has passed.
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

// setFaulty records that a fault of the process begins or ends.
func (n *node) setFaulty(faulty bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faulty = faulty
	n.lastFault = time.Now()
	n.lastInterrupted = n.lastFault
}

// recordLinkFault records that a fault of the node's link to the store begins or ends.
func (n *node) recordLinkFault() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastFault = time.Now()
}

// faultFreeFor reports whether the process and its link to the store have been without
// a fault for longer than d.
func (n *node) faultFreeFor(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.faulty && time.Since(n.lastFault) > d
}

// runningFor reports whether the process has run without interruption for longer than d.
func (n *node) runningFor(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.faulty && time.Since(n.lastInterrupted) > d
}

// state returns the number of the current process and whether it has an active fault.
func (n *node) state() (process int, faulty bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process, n.faulty
}
