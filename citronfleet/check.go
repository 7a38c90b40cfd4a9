package citronfleet

// Parsing and validation. Decoding is strict: an unknown field is an error.
// Each semantic problem carries a YAML path, which the parser's AST maps to a
// line and a column, so that operators see where to fix the text.

import (
	"fmt"
	"slices"
	"strings"

	"citrondeck.dev/citrondeck/citronyaml"
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one reason why a fleet text was rejected, and its position.
type Problem struct {
	File string
	Line int
	Col  int
	Path string
	Msg  string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Col, p.Path, p.Msg)
}

// Problems is the error that Parse returns for a rejected fleet text.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and validates a fleet text. For an invalid text, it returns
// Problems, or a decoding error with its position, and an empty Fleet.
func Parse(file string, text []byte) (Fleet, error) {
	var f Fleet
	if err := citronyaml.Decode(file, text, &f); err != nil {
		return Fleet{}, err
	}
	doc, err := parser.ParseBytes(text, 0)
	if err != nil {
		return Fleet{}, errors.Wrapf(err, "%s", file)
	}
	c := checker{file: file, doc: doc}
	c.checkFleet(f)
	if len(c.problems) > 0 {
		return Fleet{}, c.problems
	}
	return f, nil
}

// checker collects the problems of one fleet text.
type checker struct {
	file     string
	doc      *ast.File
	problems Problems
}

// addProblem records a problem at a YAML path. Line and column stay zero if the
// path cannot be found in the document.
func (c *checker) addProblem(path, format string, args ...any) {
	p := Problem{File: c.file, Path: strings.TrimPrefix(path, "$."), Msg: fmt.Sprintf(format, args...)}
	if yp, err := yaml.PathString(path); err == nil {
		if n, err := yp.FilterFile(c.doc); err == nil && n != nil {
			pos := n.GetToken().Position
			p.Line, p.Col = pos.Line, pos.Column
		}
	}
	c.problems = append(c.problems, p)
}

func (c *checker) checkFleet(f Fleet) {
	if f.Name == "" {
		c.addProblem("$", "the fleet needs a name (fleet: ...)")
	}
	if len(f.Zones) == 0 {
		c.addProblem("$", "the fleet needs at least one zone")
	}
	seen := map[string]bool{}
	for i, cu := range f.Customers {
		path := fmt.Sprintf("$.customers[%d]", i)
		if cu.Name == "" || seen[cu.Name] {
			c.addProblem(path, "customer name %q is empty or repeated", cu.Name)
		}
		seen[cu.Name] = true
		if cu.Share < 0 {
			c.addProblem(path+".share", "share must not be negative")
		}
	}
	names := map[string]bool{}
	addrs := map[string]string{}
	for i, s := range f.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		if s.Name == "" || names[s.Name] {
			c.addProblem(path, "service name %q is empty or repeated", s.Name)
		}
		names[s.Name] = true
		c.checkService(path, s, f.Zones, addrs)
	}
	for i, s := range f.Services {
		for j, d := range s.Depends {
			if !names[d] {
				c.addProblem(fmt.Sprintf("$.services[%d].depends[%d]", i, j), "unknown service %q", d)
			}
		}
	}
	if cycle := findCycle(f.Services); cycle != nil {
		i := slices.IndexFunc(f.Services, func(s Service) bool { return s.Name == cycle[0] })
		c.addProblem(fmt.Sprintf("$.services[%d].depends", i), "dependency cycle: %s", strings.Join(cycle, " -> "))
	}
}

// checkService checks one service. addrs maps the back ends seen so far, of all
// services, to their addresses.
func (c *checker) checkService(path string, s Service, zones []string, addrs map[string]string) {
	switch s.Kind {
	case Model:
		if s.Layers <= 0 {
			c.addProblem(path, "a model service needs layers: N > 0")
			return
		}
		if len(s.Engines) == 0 {
			c.addProblem(path, "a model service needs engines")
			return
		}
		if len(s.Upstreams) > 0 {
			c.addProblem(path+".upstreams", "a model service has engines, not upstreams")
		}
		c.checkCover(path, s)
	case Plain:
		if len(s.Upstreams) == 0 {
			c.addProblem(path, "a plain service needs upstreams")
		}
		if len(s.Engines) > 0 {
			c.addProblem(path+".engines", "a plain service has upstreams, not engines")
		}
	default:
		c.addProblem(path+".kind", "kind must be model or plain, not %q", s.Kind)
	}
	list, field := s.Engines, "engines"
	if s.Kind == Plain {
		list, field = s.Upstreams, "upstreams"
	}
	for j, b := range list {
		bp := fmt.Sprintf("%s.%s[%d]", path, field, j)
		if b.Name == "" || b.Addr == "" {
			c.addProblem(bp, "a back end needs a name and an addr")
		}
		if prev, ok := addrs[b.Name]; ok && prev != b.Addr {
			c.addProblem(bp+".name", "back end %q is named twice with different addresses", b.Name)
		}
		addrs[b.Name] = b.Addr
		if !slices.Contains(zones, b.Zone) {
			c.addProblem(bp+".zone", "zone %q is not in the fleet's zones", b.Zone)
		}
	}
}

// checkCover checks that the engines' layer ranges allow at least one exact
// cover of [0, layers) and that every engine is part of one. Layer boundaries
// are the nodes of a graph, and each layer range is an edge from its start to
// its end. A path from 0 to layers runs each layer exactly once and in order.
func (c *checker) checkCover(path string, s Service) {
	reachable := ReachableBoundaries(s.Layers, s.Engines)
	for j, e := range s.Engines {
		ep := fmt.Sprintf("%s.engines[%d].layers", path, j)
		from, to := e.Range[0], e.Range[1]
		if from < 0 || to > s.Layers || from >= to {
			c.addProblem(ep, "layers [%d,%d) must lie within [0,%d) and hold at least one layer", from, to, s.Layers)
			continue
		}
		if !reachable.FromStart[from] || !reachable.ToEnd[to] {
			c.addProblem(ep, "layers [%d,%d) of engine %q lie on no exact cover of layers 0..%d (a gap or an overlap)", from, to, e.Name, s.Layers)
		}
	}
	if !reachable.FromStart[s.Layers] {
		c.addProblem(path+".engines", "no chain of engines covers layers 0..%d exactly once in order", s.Layers)
	}
}

// Boundaries records which layer boundaries are connected to layer 0 and to the end of
// the last layer by a chain of engines.
type Boundaries struct {
	// FromStart[b] is true if a chain from layer 0 reaches boundary b.
	FromStart []bool
	// ToEnd[b] is true if a chain from boundary b reaches the end of the last
	// layer.
	ToEnd []bool
}

// ReachableBoundaries computes which layer boundaries can be reached from layer 0, and
// from which ones the end of the last layer can be reached. A boundary for
// which both hold is part of an exact cover of [0, layers).
func ReachableBoundaries(layers int, engines []Backend) Boundaries {
	fromStart := make([]bool, layers+1)
	toEnd := make([]bool, layers+1)
	fromStart[0], toEnd[layers] = true, true
	valid := func(e Backend) bool { return e.Range[0] >= 0 && e.Range[1] <= layers && e.Range[0] < e.Range[1] }
	for b := 0; b <= layers; b++ {
		if !fromStart[b] {
			continue
		}
		for _, e := range engines {
			if valid(e) && e.Range[0] == b {
				fromStart[e.Range[1]] = true
			}
		}
	}
	for b := layers; b >= 0; b-- {
		if !toEnd[b] {
			continue
		}
		for _, e := range engines {
			if valid(e) && e.Range[1] == b {
				toEnd[e.Range[0]] = true
			}
		}
	}
	return Boundaries{FromStart: fromStart, ToEnd: toEnd}
}

// findCycle returns the names of the services on a dependency cycle, with the
// first one repeated at the end, or nil if there is none.
func findCycle(services []Service) []string {
	deps := map[string][]string{}
	for _, s := range services {
		deps[s.Name] = s.Depends
	}
	const (
		unvisited = iota
		onStack
		done
	)
	state := map[string]int{}
	var stack []string
	var visit func(n string) []string
	visit = func(n string) []string {
		state[n] = onStack
		stack = append(stack, n)
		for _, d := range deps[n] {
			switch state[d] {
			case onStack:
				i := slices.Index(stack, d)
				return append(slices.Clone(stack[i:]), d)
			case unvisited:
				if cycle := visit(d); cycle != nil {
					return cycle
				}
			}
		}
		stack = stack[:len(stack)-1]
		state[n] = done
		return nil
	}
	for _, s := range services {
		if state[s.Name] == unvisited {
			if cycle := visit(s.Name); cycle != nil {
				return cycle
			}
		}
	}
	return nil
}
