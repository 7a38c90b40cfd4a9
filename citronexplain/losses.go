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
	// By is what losses are grouped by. The zero value stands for ByCause.
	By Grouping
}

// Grouping is a property of losses by which they are counted.
type Grouping string

// Groupings. ByRoute and ByCustomer use the names in the configuration. ByZone is the zone
// of the node that the caller asked.
const (
	ByCause    Grouping = "cause"
	ByRoute    Grouping = "route"
	ByCustomer Grouping = "customer"
	ByZone     Grouping = "zone"
)

// key returns the group of a loss, or a dash if its log line does not name it.
func (g Grouping) key(x loss) string {
	key := x.cause
	switch g {
	case ByRoute:
		key = x.route
	case ByCustomer:
		key = x.customer
	case ByZone:
		key = x.nodeZone
	}
	if key == "" {
		return "-"
	}
	return key
}

// loss is one request that was not served in time.
type loss struct {
	cause string
	// end is how the request ended: late, refused or broken off.
	end string
	// route, customer and nodeZone are empty if the log line does not name them.
	route, customer, nodeZone string
	// zone is the zone of the first engine on a late stream's path, that of the node for
	// other losses.
	zone string
	at   time.Time
	// pause is the longest pause between events of a late stream. silent is how
	// long the stream had sent nothing when its path was first changed. Both are
	// negative if unknown.
	pause, silent time.Duration
}

// groupStats summarizes the losses of one group. windows counts them by the index of
// their window, parts by their zone if the group is a cause, otherwise by how they ended.
type groupStats struct {
	key           string
	count         int
	pause, silent *hdrhistogram.Histogram
	windows       map[int]int
	parts         map[string]int
}

// The histograms hold milliseconds.
const (
	maxRecordedMS     = 60_000 // a longer time counts as this; a request without a deadline ends after 30 s
	significantDigits = 3
)

// Losses reads logs and writes a table of the requests that were not served in
// time, by cause or another property. It returns an error if the logs show none.
func Losses(out io.Writer, o LossOptions, logs ...io.Reader) error {
	all, err := readLogs(logs)
	if err != nil {
		return err
	}
	lost := findLosses(all)
	if len(lost) == 0 {
		return errors.Newf("none of %d log lines reports a request that was late, refused or broken off", len(all))
	}
	by, parts := o.By, "how it ended"
	if by == "" || by == ByCause {
		by, parts = ByCause, "zone"
	}
	rows := group(lost, by, lost[0].at, o.Window)
	if _, err := fmt.Fprintf(out, "%-44s %6s %9s %9s  %s\n", by, "count", "pause ms", "silent ms", "by "+parts+"; by "+o.Window.String()); err != nil {
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
	x := loss{at: l.at, route: str(l.fields["route"]), customer: str(l.fields["customer"]), nodeZone: str(l.fields["nodeZone"]), zone: str(l.fields["zone"]), pause: -1, silent: -1}
	if x.zone == "" {
		x.zone = x.nodeZone
	}
	switch l.name {
	case "stream.late":
		x.end, x.pause = "late", l.duration("pause")
		x.cause = "late: first event or pause"
		if m, ok := firstMoves[str(l.fields["request"])]; ok {
			x.cause = fmt.Sprintf("late: part %v, %v", m.fields["reason"], m.fields["way"])
			x.silent = m.duration("silent")
		}
	case "stream.broken":
		x.end, x.cause = "broken", "broken: "+l.reason()
	case "forward.refused":
		status := str(l.fields["status"])
		if strings.HasPrefix(status, "4") {
			return x, false // 4xx: the configuration does not allow the request
		}
		x.end, x.cause = "refused", status+": "+l.reason()
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

// group counts losses by group, the most frequent first. Windows start at begin.
func group(lost []loss, by Grouping, begin time.Time, window time.Duration) []*groupStats {
	groups := map[string]*groupStats{}
	for _, x := range lost {
		key, part := by.key(x), x.end
		if by == ByCause {
			part = x.zone
		}
		c := groups[key]
		if c == nil {
			c = &groupStats{
				key: key, windows: map[int]int{}, parts: map[string]int{},
				pause: hdrhistogram.New(1, maxRecordedMS, significantDigits), silent: hdrhistogram.New(1, maxRecordedMS, significantDigits),
			}
			groups[key] = c
		}
		c.count++
		c.windows[int(x.at.Sub(begin)/window)]++
		if part != "" {
			c.parts[part]++
		}
		record(c.pause, x.pause)
		record(c.silent, x.silent)
	}
	rows := make([]*groupStats, 0, len(groups))
	for _, c := range groups {
		rows = append(rows, c)
	}
	sort.Slice(rows, func(i, j int) bool {
		return rows[i].count > rows[j].count || rows[i].count == rows[j].count && rows[i].key < rows[j].key
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
func (c *groupStats) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%-44s %6d %9s %9s  %s; %s\n", c.key, c.count, formatMedian(c.pause), formatMedian(c.silent), formatParts(c.parts), formatWindows(c.windows))
	return err
}

// formatMedian returns the median of h, or a dash if h is empty.
func formatMedian(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprint(h.ValueAtQuantile(50))
}

// formatParts returns the count of each part, sorted by name, or a dash if there is
// none.
func formatParts(counts map[string]int) string {
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
