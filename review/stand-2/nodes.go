package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one machine of the system. It keeps its name and addresses over restarts.
type node struct {
	name, zone, dir              string
	front, ready, peer, resolver string
	metrics                      string
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

// binary is the program that the deploy file builds.
const binary = "target/citrondeck"

const settingsText = `nodeName = %q
role = "node"
machineClass = "front"
serves = ["front","control_plane","directory"]
ipAddr = "127.0.0.1"
zone = %q
region = "pilbara"
portRange = []
seedAddrs = ["%s"]
bootstrap = true
heartbeatMs = 1200
[listen]
front = %q
readyAddr = %q
control = %q
directory = %q
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 202
recoverS = 12
ttl_max_s = 5
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// startNodes starts one node for each given zone, with names like those of the platform.
func (l *lab) startNodes(zones ...string) error {
	count := map[string]int{}
	var seeds []string
	for _, zone := range zones {
		count[zone]++
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, count[zone]), zone: zone}
		for _, addr := range []*string{&n.front, &n.ready, &n.peer, &n.resolver, &n.metrics} {
			var err error
			if *addr, err = l.freeAddr(); err != nil {
				return err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, n.peer)
		}
		l.nodes = append(l.nodes, n)
	}
	for _, n := range l.nodes {
		n.dir = filepath.Join(l.tmp, n.name)
		if err := os.MkdirAll(n.dir, 0o700); err != nil {
			return err
		}
		text := fmt.Sprintf(settingsText, n.name, n.zone, strings.Join(seeds, `","`), n.front, n.ready, n.peer, n.resolver, l.store)
		if err := os.WriteFile(filepath.Join(n.dir, "local.toml"), []byte(text), 0o600); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		l.onClose(n.kill)
	}
	return l.waitReady()
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "node", "--metrics", n.metrics, "--usage-interval", "400ms")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONDECK_SETTINGS=" + filepath.Join(n.dir, "local.toml")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); _ = log.Close(); close(exited) }()
	n.cmd, n.exited = cmd, exited
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// kill ends the node's process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// isReady asks the node's readiness address, as the platform does.
func (n *node) isReady() bool {
	hc := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := hc.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startTimeout bounds the time until all nodes are ready.
const startTimeout = 30 * time.Second

func (l *lab) waitReady() error {
	end := time.Now().Add(startTimeout)
	for _, n := range l.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready after %v", n.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.note("%d nodes are ready", len(l.nodes))
	return nil
}
