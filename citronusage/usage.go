// Package citronusage holds what engines report about their usage: how much of their cache
// is occupied and how many requests run and wait there.
//
// For each engine, one node of its zone is the observer (Observer). It asks the engine for
// its report a few times a second, and gossip carries the reports to the other nodes:
//
//	engine --report--> observer's Table --gossip--> Tables of other nodes
//	                                                   |
//	zone totals, own requests since the report --> Estimate --> choice of paths, admission
//
// Reports are soft state. If they stop arriving, they expire after FreshFor, and the nodes
// estimate the utilization of engines from their own requests.
//
// The package does no input or output.
package citronusage

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ID identifies one incarnation of an engine. In a fleet of 4,100 engines, two have the
// same ID with a probability of less than 10^-12.
type ID uint64

// IDOf returns the ID of the engine incarnation with the given incarnation ID.
func IDOf(incarnation string) ID { return ID(xxhash.Sum64String(incarnation)) }

const (
	// FreshFor is the age up to which a report is used.
	FreshFor = 3 * time.Second
	// GossipFor is the age up to which a report is passed on. It is shorter than FreshFor,
	// so that the receiver can use the report for some time.
	GossipFor = 1500 * time.Millisecond
	// maxRequests and maxTokens bound plausible figures, far above those of any engine.
	maxRequests = 1 << 20
	maxTokens   = 1 << 50
	// maxShare is the highest plausible ratio of used to total cache. An engine may briefly
	// report more than its total, as when it has just been given other layers.
	maxShare = 2
)

// Figures are the usage that an engine reports.
type Figures struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting int64
	// Used is the cache that cannot be reclaimed, and Total all cache, both in the same
	// unit: tokens times layers, or any multiple of it.
	Used, Total int64
}

// Valid returns an error if the figures are impossible.
func (f Figures) Valid() error {
	switch {
	case f.Running < 0 || f.Running > maxRequests:
		return errors.Newf("number of running requests is %d, want 0 to %d", f.Running, maxRequests)
	case f.Waiting < 0 || f.Waiting > maxRequests:
		return errors.Newf("number of waiting requests is %d, want 0 to %d", f.Waiting, maxRequests)
	case f.Total <= 0 || f.Total > maxTokens:
		return errors.Newf("total cache is %d, want 1 to %d", f.Total, int64(maxTokens))
	case f.Used < 0 || f.Used > maxShare*f.Total:
		return errors.Newf("used cache is %d, want 0 to %d times the total of %d", f.Used, maxShare, f.Total)
	}
	return nil
}

// Share returns the used share of the cache, or zero if the total is not positive.
func (f Figures) Share() float64 {
	if f.Total <= 0 {
		return 0
	}
	return float64(f.Used) / float64(f.Total)
}

// Report is the usage of an engine at one time.
type Report struct {
	Engine ID
	Figures
	// At is when the engine was asked for the report, by the clock of this node.
	At time.Time
}

// Fresh reports whether the report may be used at the given time.
func (r Report) Fresh(now time.Time) bool { return now.Sub(r.At) <= FreshFor }
