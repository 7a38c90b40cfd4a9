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

// Losses tells where callers were not served in time, by cause: for each
// attempt that was late, refused or broken off one cause, the first that the
// nodes logged. A late stream whose path was changed is put down to that change.

// LossOptions says how losses are counted.
type LossOptions struct {
	// Window is the length of the spans of time that are counted apart.
	Window time.Duration
}

// loss is one attempt that was not served in time.
type loss struct {
	cause string
	zone  string
	at    time.Time
	// pause is the longest pause of a late stream, silent how long it had
	// been silent when its path was first changed; negative if unknown.
	pause, silent time.Duration
}

// causes is the losses of one cause.
type causes struct {
	cause         string
	count         int
	pause, silent *hdrhistogram.Histogram
	windows       map[int]int
	zones         map[string]int
}

// Histograms hold milliseconds up to the longest deadline.
const (
	longestMS = 60_000
	digits    = 3
)

// Losses reads logs and writes a table of what callers lost.
func Losses(out io.Writer, o LossOptions, logs ...io.Reader) error {
	all, err := readAll(logs)
	if err != nil {
		return err
	}
	lost := lossesOf(all)
	if len(lost) == 0 {
		return errors.Newf("no line of %d tells of a request that was late, refused or broken off", len(all))
	}
	rows := group(lost, lost[0].at, o.Window)
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

// lossesOf returns the losses in the order of their time, one an attempt.
func lossesOf(all []line) []loss {
	moved := map[string]line{}
	for _, l := range all {
		id := str(l.fields["request"])
		if _, ok := moved[id]; !ok && l.name == "part.replaced" {
			moved[id] = l
		}
	}
	seen := map[string]bool{}
	var out []loss
	for _, l := range all {
		id := str(l.fields["request"])
		x, ok := l.loss(moved)
		if !ok || seen[id] {
			continue
		}
		seen[id] = true
		out = append(out, x)
	}
	return out
}

// loss reads a line as the end of an attempt that was not served in time.
func (l line) loss(moved map[string]line) (loss, bool) {
	x := loss{at: l.at, zone: str(l.fields["zone"]), pause: -1, silent: -1}
	switch l.name {
	case "stream.late":
		x.pause = l.duration("pause")
		x.cause = "late: first event or pause"
		if m, ok := moved[str(l.fields["request"])]; ok {
			x.cause = fmt.Sprintf("late: part %v, %v", m.fields["reason"], m.fields["way"])
			x.silent = m.duration("silent")
		}
	case "stream.broken":
		x.cause = "broken: " + l.reason()
	case "forward.refused":
		status := str(l.fields["status"])
		if strings.HasPrefix(status, "4") {
			return x, false // the configuration does not allow it
		}
		x.cause = status + ": " + l.reason()
	default:
		return x, false
	}
	return x, true
}

// reason is why an attempt ended, with the limit that it had reached.
func (l line) reason() string {
	reason := str(l.fields["reason"])
	if limit := str(l.fields["limit"]); limit != "" {
		reason += ", no " + limit + " left"
	}
	return reason
}

// duration is a field that holds nanoseconds; negative if there is none.
func (l line) duration(name string) time.Duration {
	var ns int64
	if _, err := fmt.Sscan(str(l.fields[name]), &ns); err != nil {
		return -1
	}
	return time.Duration(ns)
}

// group counts losses by cause, the most frequent first.
func group(lost []loss, begin time.Time, window time.Duration) []*causes {
	by := map[string]*causes{}
	for _, x := range lost {
		c := by[x.cause]
		if c == nil {
			c = &causes{
				cause: x.cause, windows: map[int]int{}, zones: map[string]int{},
				pause: hdrhistogram.New(1, longestMS, digits), silent: hdrhistogram.New(1, longestMS, digits),
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
	rows := make([]*causes, 0, len(by))
	for _, c := range by {
		rows = append(rows, c)
	}
	sort.Slice(rows, func(i, j int) bool {
		return rows[i].count > rows[j].count || rows[i].count == rows[j].count && rows[i].cause < rows[j].cause
	})
	return rows
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d >= 0 {
		_ = h.RecordValue(min(longestMS, d.Milliseconds())) // within its bounds
	}
}

func (c *causes) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%-44s %6d %9s %9s  %s; %s\n", c.cause, c.count, median(c.pause), median(c.silent), listed(c.zones), windows(c.windows))
	return err
}

// median is a histogram's, a dash if it holds nothing.
func median(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprint(h.ValueAtQuantile(50))
}

func listed(counts map[string]int) string {
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

// windows are the counts of each window up to the last that has any.
func windows(counts map[int]int) string {
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
