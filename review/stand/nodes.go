package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of a small deployment, as in the examples of the pages.
const (
	memoryMB  = 284
	graceS    = 8
	routeHost = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	// readyLimit is how long the nodes may take until they are ready, settle how long the fleet
	// runs before the callers come.
	readyLimit = 20 * time.Second
	settle     = 6 * time.Second
	// bodyBytes is the size of a usual request.
	bodyBytes = 600
)

// node is one machine. It runs one process after the other.
type node struct {
	name, zone, ip, front, ready, control, directory string
	binary, dir                                      string
	record                                           *record

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the current process has ended.
	done chan struct{}
}

// newNodes returns machines with addresses of their own.
func newNodes(binary, dir, storeAddr string, count int, r *record) []*node {
	nodes := make([]*node, count)
	seeds := []string{}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("front-z%d-1", i+1), zone: fmt.Sprintf("z%d", i+1), ip: freeIP(), binary: binary, record: r}
		n.front, n.ready, n.control, n.directory = n.ip+":8227", n.ip+":8220", n.ip+":8229", n.ip+":8224"
		n.dir = filepath.Join(dir, n.name)
		seeds = append(seeds, n.control)
		nodes[i] = n
	}
	for _, n := range nodes {
		if err := os.MkdirAll(n.dir, 0o700); err != nil {
			fatalf("%v", err)
		}
		if err := os.WriteFile(filepath.Join(n.dir, "local.toml"), []byte(n.settings(seeds, storeAddr)), 0o600); err != nil {
			fatalf("%v", err)
		}
	}
	return nodes
}

// freeIP returns a loopback address on which the ports of a machine are free.
func freeIP() string {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range []string{"8220", "8224", "8227", "8229", "9464"} {
			ln, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return ip
		}
	}
	fatalf("no loopback address has free ports")
	return ""
}

func (n *node) settings(seeds []string, storeAddr string) string {
	quoted := `"` + strings.Join(seeds, `","`) + `"`
	return fmt.Sprintf(`nodeName = %q
role = "node"
machineClass = "front"
serves = ["front","control_plane","directory"]
ipAddr = %q
zone = %q
region = "r1"
portRange = [7340,7355]
seedAddrs = [%s]
bootstrap = true
discoveryMode = "platform"
entryMode = "directory"
heartbeatMs = %d
[listen]
front = %q
readyAddr = %q
control = %q
directory = %q
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = %d
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = %d
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 196
recoverS = 12
passMs = 120
stall_ms = 2500
ttl_max_s = 5
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, n.name, n.ip, n.zone, quoted, heartbeat.Milliseconds(), n.front, n.ready, n.control, n.directory, memoryMB, graceS, storeAddr)
}

// start starts a process with the command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatalf("%v", err)
	}
	cmd := exec.Command(n.binary, "node", "--metrics", n.ip+":9464", "--usage-interval", "400ms")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CITRONDECK_SETTINGS=" + filepath.Join(n.dir, "local.toml")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		fatalf("start %s: %v", n.name, err)
	}
	n.record.printf("%s starts at %s, process %d", n.name, n.ip, cmd.Process.Pid)
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		err := cmd.Wait()
		n.record.printf("%s: the process has ended: %v", n.name, err)
		_ = log.Close()
		close(done)
	}()
}

// signal sends a signal to the current process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.record.printf("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// pid returns the ID of the current process.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// hasEnded reports whether the current process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended():
		return true
	default:
		return false
	}
}

func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// kill ends the current process, if there is one.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(nodes []*node, limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(nodes) {
			return
		}
		if time.Now().After(end) {
			fatalf("only %d of %d nodes are ready", ready, len(nodes))
		}
	}
}

// resolve asks a node for the addresses that callers of a zone connect to.
func (n *node) resolve(zone string) []string {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.directory + "/resolve?name=" + routeHost + "&region=r1&zone=" + zone)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var answer struct{ Addresses []string }
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// configText is the configuration with a streaming, an unsafe and a safe route.
func configText(version int) []byte {
	route := func(name, prefix, kind, service string, timeoutMS, targetMS, attempts int) map[string]any {
		r := map[string]any{"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "targetLatencyMs": targetMS, "priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false}
		if kind == "streaming" {
			r["resumable"], r["gapTargetMs"], r["sticky"] = true, 250, true
		}
		return r
	}
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r-stream", "/lohu930/", "streaming", modelService, 20_000, 500, 2),
			route("r-other", "/rona271/", "streaming", otherModelService, 20_000, 500, 2),
			route("r-unsafe", "/puxa403/", "unsafe", plainService, 1000, 150, 2),
			route("r-safe", "/cufi504/", "safe", plainService, 1000, 150, 2),
		},
		"services": []any{
			modelServiceText(modelService, modelKind),
			modelServiceText(otherModelService, smallKind),
			map[string]any{"name": plainService, "healthPath": "/health", "maxConns": 48, "protocol": "h1", "tlsConfig": false},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	})
	return text
}

// modelServiceText is the configuration of a service whose engines hold layers.
func modelServiceText(name, kind string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 988, "protocol": "h1", "tlsConfig": false, "engine": map[string]any{
		"slotCount": modelSlots, "kvCapacity": 100_000, "kvTokenBytes": 590_000, "linkMbps": 400_000.0, "stride": 4,
		"models":  []any{map[string]any{"name": "m1", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}},
		"step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164_000.0, "pairs_per_m": 0.199, "chunk": 512, "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 6,
		"usual": map[string]int{"prompt": 775, "answer": 220}, "layers": layers, "layerMb": layerMB, "actBytes": 29_500, "pipeMbps": 16_000.0,
		"kinds": []any{map[string]any{"name": kind, "mb": kindMB[kind], "pace": 2.4, "readX": 3.2}},
	}}
}
