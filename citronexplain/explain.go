// Package citronexplain analyzes the logs of all nodes. Explain shows what
// happened to one request, one engine or one version of the configuration;
// Losses counts the requests that were not served in time, by cause.
//
// A node's log has one JSON object per line, with the time, the node, the name
// and number of the event and the values that explain it. The lines of one
// request may be spread over the logs of several nodes because a caller may retry
// at another node.
package citronexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Subject selects the log lines that Explain prints. Exactly one field is set.
type Subject struct {
	// Request is a request id, and Engine an engine id.
	Request, Engine string
	// Fingerprint is the fingerprint of a request that was sent under several ids.
	Fingerprint string
	// Part is the hash of a prompt part.
	Part string
	// Version is a configuration version. It selects the lines in which nodes
	// report that they activated it.
	Version int64
}

// line is one parsed log line.
type line struct {
	at     time.Time
	node   string
	name   string
	fields map[string]any
	// seq is the line's position in the order of reading; it orders lines of the
	// same time.
	seq int
}

// maxLine is the longest log line in bytes.
const maxLine = 1 << 20

// contextSpan extends the time for which lines about a request's engines are
// included: from contextSpan before the request's first line to contextSpan after
// its last.
const contextSpan = 3 * time.Second

// Explain reads logs and writes the lines about the subject in the order of
// their time. For a request it includes the lines about the engines that the
// request's own lines name. It returns an error if no line matches.
func Explain(out io.Writer, s Subject, logs ...io.Reader) error {
	all, err := readLogs(logs)
	if err != nil {
		return err
	}
	selected := selectLines(all, s)
	if len(selected) == 0 {
		return errors.Newf("none of %d log lines matches; only one in fifty successful requests is logged", len(all))
	}
	for _, l := range selected {
		if err := l.print(out, selected[0].at); err != nil {
			return errors.Wrap(err, "write lines")
		}
	}
	return nil
}

// readLogs parses logs and returns their lines in the order of their time.
func readLogs(logs []io.Reader) ([]line, error) {
	var all []line
	for _, l := range logs {
		lines, err := readLog(l, len(all))
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if !all[i].at.Equal(all[j].at) {
			return all[i].at.Before(all[j].at)
		}
		return all[i].seq < all[j].seq
	})
	return all, nil
}

// readLog parses one log. It skips any text before a line's JSON object, such as
// the time and host that a log collector adds, and lines that are not log lines
// of a node. firstSeq is the seq of the first line.
func readLog(r io.Reader, firstSeq int) ([]line, error) {
	var out []line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		_, text, ok := strings.Cut(sc.Text(), "{")
		if !ok {
			continue
		}
		dec := json.NewDecoder(strings.NewReader("{" + text))
		dec.UseNumber()
		var fields map[string]any
		if dec.Decode(&fields) != nil {
			continue // not a log line of a node
		}
		l := line{node: str(fields["node"]), name: str(fields["msg"]), fields: fields, seq: firstSeq + len(out)}
		var err error
		if l.at, err = time.Parse(time.RFC3339Nano, str(fields["time"])); err != nil || fields["event"] == nil {
			continue
		}
		out = append(out, l)
	}
	return out, errors.Wrap(sc.Err(), "read log")
}

// str formats a field; a missing field is the empty string.
func str(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// lists reports whether v is a list that contains text.
func lists(v any, text string) bool {
	list, _ := v.([]any)
	return slices.Contains(list, any(text))
}

// selectLines returns the lines about the subject. For a request these include
// the lines about its engines that were logged around the same time.
func selectLines(all []line, s Subject) []line {
	var matching []line
	for _, l := range all {
		if l.matches(s) {
			matching = append(matching, l)
		}
	}
	if s.Request == "" || len(matching) == 0 {
		return matching
	}
	engines := map[string]bool{}
	isMatching := map[int]bool{}
	nodes := map[string]bool{}
	for _, l := range matching {
		isMatching[l.seq] = true
		nodes[l.node] = true
		for _, e := range l.engines() {
			engines[e] = true
		}
	}
	first, last := matching[0].at.Add(-contextSpan), matching[len(matching)-1].at.Add(contextSpan)
	seen := map[string]bool{}
	var selected []line
	for _, l := range all {
		context := l.fields["request"] == nil && l.namesAny(engines) && l.at.After(first) && l.at.Before(last)
		if l.name == entriesRetained {
			// Whether a node retains a missing engine affects only the requests
			// at that node.
			context = context && nodes[l.node]
		}
		// Every node logs a change of an engine; print it once.
		key := l.contextKey()
		if isMatching[l.seq] || context && !seen[key] {
			selected = append(selected, l)
		}
		if context {
			seen[key] = true
		}
	}
	return selected
}

// contextKey returns what tells a line about engines from other such lines, apart from its time
// and node.
func (l line) contextKey() string {
	key := l.name
	for _, name := range []string{"engine", "engines", "from", "to", "leaving", "gone", "kept"} {
		key += " " + str(l.fields[name])
	}
	return key
}

// entriesRetained is the event by which a node logs the engines that it retains
// although their entries are missing.
const entriesRetained = "entries.kept"

// engines returns the ids of the engines that the line names.
func (l line) engines() []string {
	if e := str(l.fields["engine"]); e != "" {
		return []string{e}
	}
	list, _ := l.fields["engines"].([]any) // some events log a count under this key
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = str(e)
	}
	return out
}

// namesAny reports whether the line names one of engines.
func (l line) namesAny(engines map[string]bool) bool {
	return slices.ContainsFunc(l.engines(), func(e string) bool { return engines[e] })
}

// matches reports whether the line itself is about the subject.
func (l line) matches(s Subject) bool {
	switch {
	case s.Request != "":
		return str(l.fields["request"]) == s.Request
	case s.Engine != "":
		return slices.Contains(l.engines(), s.Engine)
	case s.Fingerprint != "":
		return str(l.fields["print"]) == s.Fingerprint
	case s.Part != "":
		return str(l.fields["part"]) == s.Part || lists(l.fields["parts"], s.Part)
	}
	return l.name == "table.applied" && str(l.fields["version"]) == strconv.FormatInt(s.Version, 10)
}

// durations are the fields that print converts from nanoseconds.
var durations = map[string]bool{"left": true, "held": true, "silent": true, "delay": true, "first": true, "pause": true, "took": true, "retryAfter": true, "age": true, "lapsed": true, "sent": true, "lasted": true, "wait": true}

// print writes the line with its time since begin and its fields sorted by name.
func (l line) print(out io.Writer, begin time.Time) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f s  %-22s %-16s", l.at.Sub(begin).Seconds(), l.node, l.name)
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		switch name {
		case "time", "level", "msg", "node", "event":
			continue
		}
		v := str(l.fields[name])
		if ns, err := strconv.ParseInt(v, 10, 64); err == nil && durations[name] {
			v = time.Duration(ns).Round(time.Millisecond).String()
		}
		fmt.Fprintf(&b, " %s=%s", name, v)
	}
	_, err := fmt.Fprintln(out, b.String())
	return err
}
