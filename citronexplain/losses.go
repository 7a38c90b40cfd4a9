package citronexplain

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// A loss is a request that was late, refused or broken off. Each has one cause,
// the first that the nodes logged. A late stream whose path was changed has that
// change as its cause.

// LossOptions configures Losses.
type LossOptions struct {
	// Window is the length of the consecutive time spans for which losses are
	// counted separately.
	Window time.Duration
}

// loss is one request that was not served in time.
type loss struct {
	cause string
	// zone is the zone of the first engine on a late stream's path. It is empty
	// for other losses, whose log lines name no zone.
	zone string
	at   time.Time
	// pause is the longest pause between events of a late stream. silent is how
	// long the stream had sent nothing when its path was first changed. Both are
	// negative if unknown.
	pause, silent time.Duration
}

// causeStats summarizes the losses of one cause. windows counts them by the
// index of their window, zones by their zone.
type causeStats struct {
	cause         string
	count         int
	pause, silent *hdrhistogram.Histogram
	windows       map[int]int
	zones         map[string]int
}

// The histograms hold milliseconds.
const (
	maxRecordedMS     = 60_000 // a longer time counts as this; a request without a deadline ends after 30 s
	significantDigits = 3
)

// Losses reads logs and writes a table of the requests that were not served in
// time, by cause. It returns an error if the logs show none.
func Losses(out io.Writer, o LossOptions, logs ...io.Reader) error {
	all, err := readLogs(logs)
	if err != nil {
		return err
	}
	lost := findLosses(all)
	if len(lost) == 0 {
		return errors.Newf("none of %d log lines reports a request that was late, refused or broken off", len(all))
	}
	rows := groupByCause(lost, lost[0].at, o.Window)
	if _, err := fmt.Fprintf(out, "%-44s %6s %9s %9s  %s\n", "cause", "count", "pause ms", "silent ms", "by zone; by "+o.Window.String()); err != nil {
		return errors.Wrap(err, "write losses")
	}
	for _, r := range rows {
		if err := r.print(out); err != nil {
			return errors.Wrap(err, "write losses")
		}
	}
	return nil
}

// findLosses returns the losses in the order of their time, one per request.
func findLosses(all []line) []loss {
	firstMoves := map[string]line{}
	for _, l := range all {
		id := str(l.fields["request"])
		if _, ok := firstMoves[id]; !ok && l.name == "part.replaced" {
			firstMoves[id] = l
		}
	}
	seen := map[string]bool{}
	var out []loss
	for _, l := range all {
		id := str(l.fields["request"])
		x, ok := l.loss(firstMoves)
		if !ok || seen[id] {
			continue
		}
		seen[id] = true
		out = append(out, x)
	}
	return out
}

// loss returns the loss that the line reports, if any. firstMoves has for each
// request the line that reports the first change of its path.
func (l line) loss(firstMoves map[string]line) (loss, bool) {
	x := loss{at: l.at, zone: str(l.fields["zone"]), pause: -1, silent: -1}
	switch l.name {
	case "stream.late":
		x.pause = l.duration("pause")
		x.cause = "late: first event or pause"
		if m, ok := firstMoves[str(l.fields["request"])]; ok {
			x.cause = fmt.Sprintf("late: part %v, %v", m.fields["reason"], m.fields["way"])
			x.silent = m.duration("silent")
		}
	case "stream.broken":
		x.cause = "broken: " + l.reason()
	case "forward.refused":
		status := str(l.fields["status"])
		if strings.HasPrefix(status, "4") {
			return x, false // 4xx: the configuration does not allow the request
		}
		x.cause = status + ": " + l.reason()
	default:
		return x, false
	}
	return x, true
}

// reason returns why a request ended and which limit it had reached, if any.
func (l line) reason() string {
	reason := str(l.fields["reason"])
	if limit := str(l.fields["limit"]); limit != "" {
		reason += ", no " + limit + " left"
	}
	return reason
}

// duration returns a field that holds nanoseconds. It is negative if the line
// has no such field.
func (l line) duration(name string) time.Duration {
	var ns int64
	if _, err := fmt.Sscan(str(l.fields[name]), &ns); err != nil {
		return -1
	}
	return time.Duration(ns)
}

// groupByCause counts losses by cause, the most frequent first. Windows start at
// begin.
func groupByCause(lost []loss, begin time.Time, window time.Duration) []*causeStats {
	by := map[string]*causeStats{}
	for _, x := range lost {
		c := by[x.cause]
		if c == nil {
			c = &causeStats{
				cause: x.cause, windows: map[int]int{}, zones: map[string]int{},
				pause: hdrhistogram.New(1, maxRecordedMS, significantDigits), silent: hdrhistogram.New(1, maxRecordedMS, significantDigits),
			}
			by[x.cause] = c
		}
		c.count++
		c.windows[int(x.at.Sub(begin)/window)]++
		if x.zone != "" {
			c.zones[x.zone]++
		}
		record(c.pause, x.pause)
		record(c.silent, x.silent)
	}
	rows := make([]*causeStats, 0, len(by))
	for _, c := range by {
		rows = append(rows, c)
	}
	sort.Slice(rows, func(i, j int) bool {
		return rows[i].count > rows[j].count || rows[i].count == rows[j].count && rows[i].cause < rows[j].cause
	})
	return rows
}

// record adds d to h; a negative d is unknown and left out.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d >= 0 {
		_ = h.RecordValue(min(maxRecordedMS, d.Milliseconds())) // cannot fail: the value is within h's bounds
	}
}

// print writes one row of the table.
func (c *causeStats) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%-44s %6d %9s %9s  %s; %s\n", c.cause, c.count, formatMedian(c.pause), formatMedian(c.silent), formatZones(c.zones), formatWindows(c.windows))
	return err
}

// formatMedian returns the median of h, or a dash if h is empty.
func formatMedian(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprint(h.ValueAtQuantile(50))
}

// formatZones returns the count of each zone, sorted by name, or a dash if there
// is none.
func formatZones(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

// formatWindows returns the count of each window up to the last with a loss.
func formatWindows(counts map[int]int) string {
	last := 0
	for w := range counts {
		last = max(last, w)
	}
	parts := make([]string, last+1)
	for w := range parts {
		parts[w] = fmt.Sprint(counts[w])
	}
	return strings.Join(parts, " ")
}
