package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronport"
)

// lab holds everything that a case has started.
type lab struct {
	// trouble is false if the case leaves out its disruption.
	trouble bool
	tmp     string
	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	kv      *citronkv.Server
	handler *storeHandler
	store   string
	nodes   []*node
	ends    []func()
	closing sync.Once

	mu     sync.Mutex
	record *os.File
}

func newLab(dir string, trouble bool) (*lab, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, tmp: tmp, began: time.Now(), record: record}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.kv = citronkv.NewServer(citronclock.Real{}, 0)
	go l.kv.Run(l.ctx)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.store = ln.Addr().String()
	l.handler = &storeHandler{kv: l.kv}
	hs := &http.Server{Handler: l.handler}
	go func() { _ = hs.Serve(ln) }()
	l.onClose(func() { _ = hs.Close() })
	l.note("trouble: %v", trouble)
	return l, nil
}

// onClose registers a function that close calls, the last one first.
func (l *lab) onClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, f)
}

// close ends everything that the case has started.
func (l *lab) close() {
	l.closing.Do(l.end)
}

func (l *lab) end() {
	for i := len(l.ends) - 1; i >= 0; i-- {
		l.ends[i]()
	}
	l.cancel()
	_ = os.RemoveAll(l.tmp)
	_ = l.record.Close()
}

// note writes a line with the time since the start of the case to record.txt.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddr returns a loopback address that no other process gets until the lab is closed.
func (l *lab) freeAddr() (string, error) {
	r, err := citronport.Reserve()
	if err != nil {
		return "", err
	}
	l.onClose(r.Release)
	return r.Addr(), nil
}

// config is a configuration as the operator writes it.
type config struct {
	Version  int64          `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	Service         string `json:"service"`
	TimeoutMS       int    `json:"timeoutMs"`
	TargetLatencyMS int    `json:"targetLatencyMs"`
	MaxAttempts     int    `json:"maxAttempts"`
	Priority        int    `json:"priority"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

const (
	host   = "floor.example"
	apiKey = "k1vd93hsn2"
)

func limits() map[string]int {
	return map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// floorConfig is a configuration with a safe and an unsafe route to the plain service
// "floor", and one more safe route for each of the given prefixes.
func floorConfig(version int64, more ...string) config {
	c := config{
		Version:  version,
		Limits:   limits(),
		Tenants:  []tenant{{Name: "shire", APIKeys: []string{apiKey}}},
		Services: []service{{Name: "floor", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}},
	}
	add := func(prefix, kind string, attempts int) {
		c.Routes = append(c.Routes, route{Name: strings.Trim(prefix, "/"), Host: host, Prefix: prefix, Kind: kind, Service: "floor", TimeoutMS: 4000, TargetLatencyMS: 500, MaxAttempts: attempts, Priority: 2})
	}
	add("/lock/", "safe", 2)
	add("/release/", "unsafe", 1)
	for _, prefix := range more {
		add(prefix, "safe", 2)
	}
	return c
}

// writeConfig writes a configuration and returns when the store acknowledged it.
func (l *lab) writeConfig(c config) (time.Time, error) {
	if err := l.put("op/config", c); err != nil {
		return time.Time{}, err
	}
	at := time.Now()
	l.note("configuration %d is acknowledged", c.Version)
	return at, nil
}

func (l *lab) put(key string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = l.kv.Put(l.ctx, key, text, citronkv.AnyRevision, 0)
	return err
}
