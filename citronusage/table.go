package citronusage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxReports bounds a table. It is twice the number of engines of a large fleet.
	maxReports = 8192
	// minNewer is how much later than the known report another one must be to replace it.
	// Each message that carries a report makes it appear later by the time that the message
	// takes, so a node's own report would come back to it as a newer one.
	minNewer = 50 * time.Millisecond
	// recentFor is how long a selection of recent reports is reused. Every message to
	// another node contains one, and selecting means sorting all reports.
	recentFor = 100 * time.Millisecond
	// rotatingShare is the share of a selection, as its inverse, that goes to reports in
	// rotation instead of those of the fullest engines. Otherwise nodes would learn
	// nothing of the engines that have free capacity.
	rotatingShare = 4
)

// Source tells where a report came from.
type Source int

// Sources of reports.
const (
	// FromEngine is a report that an engine gave to this node.
	FromEngine Source = iota
	// FromNode is a report that another node passed on.
	FromNode
	sourceCount
)

// Table holds the newest report of each engine. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	reports map[ID]Report
	sweptAt time.Time
	// recent is the last selection of recent reports, made at recentAt with limit
	// recentLimit. rotation counts the reports that were selected in rotation.
	recent      []Report
	recentAt    time.Time
	recentLimit int
	rotation    int
	// received and rejected count reports.
	received [sourceCount]int64
	rejected int64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{reports: map[ID]Report{}} }

// Merge stores a report and reports whether it did. It ignores reports that are not newer
// than the known one or not fresh, and reports of further engines if the table is full.
// Invalid reports are counted and return an error.
func (t *Table) Merge(r Report, source Source, now time.Time) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := r.Valid(); err != nil {
		t.rejected++
		return false, err
	}
	if !r.Fresh(now) {
		return false, nil
	}
	t.sweep(now)
	known, ok := t.reports[r.Engine]
	if ok && r.At.Before(known.At.Add(minNewer)) || !ok && len(t.reports) >= maxReports {
		return false, nil
	}
	t.reports[r.Engine] = r
	t.received[source]++
	return true, nil
}

// Reject counts a report that could not be decoded.
func (t *Table) Reject() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejected++
}

// sweep drops the reports that are no longer fresh, at most once in FreshFor.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < FreshFor {
		return
	}
	t.sweptAt = now
	for id, r := range t.reports {
		if !r.Fresh(now) {
			delete(t.reports, id)
		}
	}
}

// Recent returns at most limit reports for other nodes, none older than GossipFor, fullest
// engines first. If there are more, a quarter of them is drawn in rotation from the reports
// of less full engines.
func (t *Table) Recent(limit int, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age := now.Sub(t.recentAt); limit != t.recentLimit || age < 0 || age > recentFor {
		t.recent, t.recentAt, t.recentLimit = t.selectRecent(limit, now), now, limit
	}
	var out []Report
	for _, r := range t.recent {
		if now.Sub(r.At) <= GossipFor {
			out = append(out, r)
		}
	}
	return out
}

func (t *Table) selectRecent(limit int, now time.Time) []Report {
	var all []Report
	for _, r := range t.reports {
		if now.Sub(r.At) <= GossipFor {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Share(), a.Share()), cmp.Compare(a.Engine, b.Engine))
	})
	if len(all) <= limit {
		return all
	}
	rotating := limit / rotatingShare
	fullest, rest := all[:limit-rotating:limit-rotating], all[limit-rotating:]
	start := t.rotation % len(rest)
	t.rotation += rotating
	var drawn []Report
	if end := start + rotating; end > len(rest) {
		drawn = append(drawn, rest[:end-len(rest)]...)
	}
	drawn = append(drawn, rest[start:min(start+rotating, len(rest))]...)
	return append(fullest, drawn...)
}

// Counts are counters of a table.
type Counts struct {
	// FromEngines and FromNodes count the reports that were stored, by source. Rejected
	// counts the invalid reports.
	FromEngines, FromNodes, Rejected int64
	// Fresh is the number of engines with a fresh report.
	Fresh int
}

// Counts returns the counters of the table.
func (t *Table) Counts(now time.Time) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{FromEngines: t.received[FromEngine], FromNodes: t.received[FromNode], Rejected: t.rejected}
	for _, r := range t.reports {
		if r.Fresh(now) {
			c.Fresh++
		}
	}
	return c
}
