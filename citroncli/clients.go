package citroncli

// Limits of what the clients of a process can make it hold.

import (
	"net/http"
	"runtime/debug"
	"syscall"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronmemory"
	"citrondeck.dev/citrondeck/citronrelay"
	"citrondeck.dev/citrondeck/citronserve"
	"github.com/cockroachdb/errors"
)

const (
	// defaultMemoryMB is the memory of a machine whose settings do not state it.
	defaultMemoryMB = 512
	// minMemoryMB is what a process needs without clients, and for a few of them.
	minMemoryMB = 64
	// maxHeaderBytes is the maximum size of the head of a request.
	maxHeaderBytes = 64 << 10
	// maxMessage is the maximum size of a message of another process, and maxRelayed that of a
	// relayed request, which holds the longest body that a node accepts.
	maxMessage = 16 << 20
	maxRelayed = maxBody + maxMessage
)

// Shares of the descriptors for sockets that the connections of one listener may take. The rest
// is for connections that the process opens itself: each request of a caller, and each that
// another node relays, takes one to an engine, and idleShare is for those that are kept open to
// engines, and as many to other nodes.
const (
	frontShare     = 0.30
	peerShare      = 0.08
	directoryShare = 0.05
	readyShare     = 0.02
	metricsShare   = 0.01
	idleShare      = 0.05
	// programShare is for programs with one listener.
	programShare = 0.5
	// minConns lets a small machine answer a few clients at once.
	minConns = 8
)

// clientLimits divides what clients may take of a machine among the listeners of a process.
type clientLimits struct {
	plan        citronmemory.Plan
	memory      *citronmemory.Account
	descriptors int
	onClosed    func(listener string, reason citronserve.Reason)
}

// newClientLimits returns the limits on a machine with the given memory and descriptors for
// sockets, and sets the memory limit of the Go runtime. Zeros mean unknown.
func newClientLimits(memoryMB, descriptors int) *clientLimits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if limit := openFileLimit(); descriptors <= 0 || descriptors > limit {
		descriptors = limit
	}
	plan := citronmemory.PlanFor(int64(memoryMB) << 20)
	debug.SetMemoryLimit(plan.Runtime)
	return &clientLimits{plan: plan, memory: citronmemory.New(plan.Clients, citronclock.Real{}), descriptors: descriptors}
}

// openFileLimit returns how many descriptors the system lets this process open.
func openFileLimit() int {
	const fallback = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallback
	}
	const maxUseful = 1 << 20 // some systems state no limit
	return int(min(limit.Cur, maxUseful))
}

// listener returns the limits of a listener that may take a share of the descriptors.
func (l *clientLimits) listener(name string, share float64) citronserve.Limits {
	return citronserve.Limits{
		Listener: name, Conns: max(minConns, int(share*float64(l.descriptors))), Memory: l.memory, Clock: citronclock.Real{}, OnClosed: l.onClosed,
	}
}

// idleConns returns how many connections a client of this process may keep open.
func (l *clientLimits) idleConns() int {
	return max(minConns, int(idleShare*float64(l.descriptors)))
}

// limitFlags are the flags of programs with one listener that limit their clients.
type limitFlags struct {
	MemoryMB int `help:"Memory that the process may take, in MB." default:"192"`
	MaxFDs   int `name:"max-fds" help:"Sockets that the process may have open; half of them are for clients." default:"2048"`
}

// Validate is called by kong.
func (f limitFlags) Validate() error {
	if f.MemoryMB < minMemoryMB || f.MaxFDs < 2*minConns {
		return errors.Newf("--memory-mb is %d, want at least %d; --max-fds is %d, want at least %d", f.MemoryMB, minMemoryMB, f.MaxFDs, 2*minConns)
	}
	return nil
}

func (f limitFlags) newLimits() *clientLimits { return newClientLimits(f.MemoryMB, f.MaxFDs) }

// limitMessages returns a handler of the messages of other processes that limits their sizes.
func limitMessages(h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", citronserve.LimitBodies(h, maxMessage))
	mux.Handle(citronrelay.ProcedureSend, citronserve.LimitBodies(h, maxRelayed))
	return mux
}
