// Package citronexplain tells the story of one request, one engine or one
// version of the configuration from the logs of all nodes.
//
// The nodes write one JSON object a line, each with the time, the node, the
// numbered event and what decided it. A complaint names a request; its lines
// may stand in the logs of several nodes, since a caller may come back to
// another one. Explain picks the lines of the subject and, for a request,
// those of the engines that its own lines name, and prints them in order.
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

// Subject is what a story is about; one field is set.
type Subject struct {
	Request, Engine string
	// Print is the fingerprint of a request that came under several ids.
	Print   string
	Version int64
}

// line is one log line.
type line struct {
	at     time.Time
	node   string
	name   string
	fields map[string]any
	// order keeps lines of the same moment as they were read.
	order int
}

// maxLine bounds one log line.
const maxLine = 1 << 20

// near is how long before and after a request's own lines those of its
// engines are told.
const near = 3 * time.Second

// Explain reads logs and writes the story of the subject.
func Explain(out io.Writer, s Subject, logs ...io.Reader) error {
	all, err := readAll(logs)
	if err != nil {
		return err
	}
	story := pick(all, s)
	if len(story) == 0 {
		return errors.Newf("no line of %d tells of this; requests that went well are logged one in fifty", len(all))
	}
	for _, l := range story {
		if err := l.print(out, story[0].at); err != nil {
			return errors.Wrap(err, "write story")
		}
	}
	return nil
}

// readAll parses logs and puts their lines in order.
func readAll(logs []io.Reader) ([]line, error) {
	var all []line
	for _, l := range logs {
		lines, err := read(l, len(all))
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if !all[i].at.Equal(all[j].at) {
			return all[i].at.Before(all[j].at)
		}
		return all[i].order < all[j].order
	})
	return all, nil
}

// read parses a log. What stands before the object of a line, such as a
// collector's own time and host, is skipped, and so are lines without one.
func read(r io.Reader, order int) ([]line, error) {
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
		l := line{node: str(fields["node"]), name: str(fields["msg"]), fields: fields, order: order + len(out)}
		var err error
		if l.at, err = time.Parse(time.RFC3339Nano, str(fields["time"])); err != nil || fields["event"] == nil {
			continue
		}
		out = append(out, l)
	}
	return out, errors.Wrap(sc.Err(), "read log")
}

func str(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// pick returns the lines of the subject.
func pick(all []line, s Subject) []line {
	var own []line
	for _, l := range all {
		if l.about(s) {
			own = append(own, l)
		}
	}
	if s.Request == "" || len(own) == 0 {
		return own
	}
	engines := map[string]bool{}
	mine := map[int]bool{}
	nodes := map[string]bool{}
	for _, l := range own {
		mine[l.order] = true
		nodes[l.node] = true
		for _, e := range l.engines() {
			engines[e] = true
		}
	}
	first, last := own[0].at.Add(-near), own[len(own)-1].at.Add(near)
	seen := map[string]bool{}
	var story []line
	for _, l := range all {
		context := l.fields["request"] == nil && l.namesAny(engines) && l.at.After(first) && l.at.Before(last)
		if l.name == keptLine {
			// What a node believes of a missing engine decides only its own
			// requests.
			context = context && nodes[l.node]
		}
		// All nodes log a change of an engine; one line tells it.
		key := l.name + str(l.fields["engine"]) + str(l.fields["from"]) + str(l.fields["to"]) + str(l.fields["leaving"]) + str(l.fields["gone"]) + str(l.fields["kept"])
		if mine[l.order] || context && !seen[key] {
			story = append(story, l)
		}
		if context {
			seen[key] = true
		}
	}
	return story
}

// keptLine tells which engines a node goes on using though their entries are
// missing.
const keptLine = "entries.kept"

// engines are the engines that the line names.
func (l line) engines() []string {
	if e := str(l.fields["engine"]); e != "" {
		return []string{e}
	}
	list, _ := l.fields["engines"].([]any) // in other lines a count
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = str(e)
	}
	return out
}

func (l line) namesAny(engines map[string]bool) bool {
	return slices.ContainsFunc(l.engines(), func(e string) bool { return engines[e] })
}

func (l line) about(s Subject) bool {
	switch {
	case s.Request != "":
		return str(l.fields["request"]) == s.Request
	case s.Engine != "":
		return slices.Contains(l.engines(), s.Engine)
	case s.Print != "":
		return str(l.fields["print"]) == s.Print
	}
	return l.name == "table.applied" && str(l.fields["version"]) == strconv.FormatInt(s.Version, 10)
}

// durations are fields that hold nanoseconds.
var durations = map[string]bool{"left": true, "held": true, "silent": true, "first": true, "pause": true, "took": true, "retryAfter": true, "age": true, "lapsed": true, "sent": true, "lasted": true}

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
