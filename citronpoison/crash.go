package citronpoison

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of prompts for one model.
type Part uint64

// String returns p in hexadecimal.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// MarshalText implements encoding.TextMarshaler.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// PartOf returns the part with the given ID in prompts for a model.
func PartOf(model, id string) Part { return Part(xxhash.Sum64String(model + "\x00" + id)) }

// Run is a run that ended with its engine before its request had run successfully.
type Run struct {
	// Request identifies the request, also when its caller sends it again. Customer
	// identifies its customer.
	Request, Customer uint64
	// Parts are the parts of its prompt that other requests may have too.
	Parts []Part
}

// Crash is the end of an engine, with runs that could have caused it.
type Crash struct {
	// Engine identifies one start of an engine.
	Engine uint64
	At     time.Time
	Runs   []Run
	// Proven are the parts of Runs that a request has run with successfully not long
	// before. Each node knows this of its own requests.
	Proven []Part
}

const (
	// MaxRuns is the maximum number of runs in a crash. Engines process fewer requests
	// at a time.
	MaxRuns = 512
	// MaxParts is the maximum number of parts of a run that are considered.
	MaxParts = 32
	// restartTime is less than the time in which an engine that has ended can end again.
	restartTime = 2 * time.Second
)

// Same reports whether two reports are about the same end of an engine. Some engines come back
// under the same identity.
func (c Crash) Same(o Crash) bool {
	return c.Engine == o.Engine && c.At.Sub(o.At).Abs() < restartTime
}

// Merged returns the crash with the runs and proven parts of another report of it. The
// earlier time is kept.
func (c Crash) Merged(o Crash) Crash {
	out := Crash{Engine: c.Engine, At: c.At, Runs: slices.Clone(c.Runs), Proven: slices.Clone(c.Proven)}
	if o.At.Before(out.At) {
		out.At = o.At
	}
	for _, r := range o.Runs {
		if len(out.Runs) < MaxRuns && !slices.ContainsFunc(out.Runs, func(known Run) bool { return known.Request == r.Request }) {
			out.Runs = append(out.Runs, r)
		}
	}
	for _, p := range o.Proven {
		if !slices.Contains(out.Proven, p) {
			out.Proven = append(out.Proven, p)
		}
	}
	return out
}
