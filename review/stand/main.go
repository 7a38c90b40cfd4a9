// Command stand plays the cases of the review: it starts nodes with the command of the
// deploy file and plays the platform's store, the engines, the operator and the callers,
// all on loopback addresses.
//
//	stand CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, a case's record.txt. It exits with 1 if the rule was broken, with 0 if
// it held, and with 2 if the case could not run. With TROUBLE=0 in the environment it
// leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// trouble reports whether the disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the cases by name.
var cases = map[string]func(*fleet) int{
	"streams":  caseStreams,
	"truncate": caseTruncate,
	"memory":   caseMemory,
	"reuse":    caseReuse,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		serveEngine(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatalf("usage: stand CASE RECORD")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatalf("%v", err)
	}
	f := &fleet{dir: dir, record: newRecord(os.Args[2]), runs: &runLog{}, modelEngines: 6, plainEngines: 3}
	cleanUp = f.end
	code := cases[os.Args[1]](f)
	cleanUp()
	os.Exit(code)
}

// fleet is a small deployment.
type fleet struct {
	dir     string
	record  *record
	runs    *runLog
	store   *store
	nodes   []*node
	engines []*engine
	// hosted are the processes of engines, guarded by mu.
	mu     sync.Mutex
	hosted []*os.Process
	// modelEngines and plainEngines are the numbers of engines of the two services. beforeNodes, if set, is called
	// before the nodes start.
	modelEngines, plainEngines int
	beforeNodes                func()
}

// start starts the store, engines and nodes and waits until the nodes are ready.
func (f *fleet) start(nodeCount int, w workload) {
	binary, err := filepath.Abs("target/citrondeck")
	if err == nil {
		_, err = os.Stat(binary)
	}
	if err != nil {
		fatalf("the program is not built: %v", err)
	}
	f.store = newStore()
	addr := f.store.listen()
	f.store.put("op/config", configText(7))
	for i := range f.modelEngines {
		f.addEngine(fmt.Sprintf("i-model%d", i), modelService, modelKind, zoneOf(i), w)
	}
	for i := range f.plainEngines {
		f.addEngine(fmt.Sprintf("i-plain%d", i), plainService, "", zoneOf(i), w)
	}
	if f.beforeNodes != nil {
		f.beforeNodes()
	}
	f.nodes = newNodes(binary, f.dir, addr, nodeCount, f.record)
	for _, n := range f.nodes {
		n.start()
	}
	awaitReady(f.nodes, readyLimit)
}

func (f *fleet) addEngine(id, service, kind, zone string, w workload) {
	f.newEngine(id, service, kind, zone, w).listen("")
}

// newEngine returns an engine that has not started.
func (f *fleet) newEngine(id, service, kind, zone string, w workload) *engine {
	e := &engine{id: id, service: service, kind: kind, zone: zone, store: f.store, runs: f.runs, record: f.record, workload: w}
	f.engines = append(f.engines, e)
	return e
}

// zoneOf deals engines out to the zones.
func zoneOf(i int) string { return fmt.Sprintf("z%d", 1+i%3) }

// addHosted adds the process of an engine, which is ended with the fleet.
func (f *fleet) addHosted(p *os.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosted = append(f.hosted, p)
}

// end ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) end() {
	for _, n := range f.nodes {
		n.kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.hosted {
		_ = p.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}
