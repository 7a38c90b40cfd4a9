package citronfleet

// Parsing and checking. Decoding is strict (an unknown field is an
// error). Each semantic problem is located by its YAML path, which the
// parser's AST turns into a line and column, so that an operator is sent
// to the place to mend.

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

// Problem is one reason a fleet text was refused.
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

// Problems is the error Parse returns for a refused text.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and checks a fleet text. A refused text yields Problems
// (or a YAML syntax error with its position); nothing half-read is
// returned.
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
	c.fleet(f)
	if len(c.problems) > 0 {
		return Fleet{}, c.problems
	}
	return f, nil
}

type checker struct {
	file     string
	doc      *ast.File
	problems Problems
}

func (c *checker) add(path, format string, args ...any) {
	p := Problem{File: c.file, Path: strings.TrimPrefix(path, "$."), Msg: fmt.Sprintf(format, args...)}
	if yp, err := yaml.PathString(path); err == nil {
		if n, err := yp.FilterFile(c.doc); err == nil && n != nil {
			pos := n.GetToken().Position
			p.Line, p.Col = pos.Line, pos.Column
		}
	}
	c.problems = append(c.problems, p)
}

func (c *checker) fleet(f Fleet) {
	if f.Name == "" {
		c.add("$", "the fleet needs a name (fleet: ...)")
	}
	if len(f.Zones) == 0 {
		c.add("$", "the fleet needs at least one zone")
	}
	seen := map[string]bool{}
	for i, cu := range f.Customers {
		path := fmt.Sprintf("$.customers[%d]", i)
		if cu.Name == "" || seen[cu.Name] {
			c.add(path, "customer name %q is empty or repeated", cu.Name)
		}
		seen[cu.Name] = true
		if cu.Share < 0 {
			c.add(path+".share", "share must not be negative")
		}
	}
	names := map[string]bool{}
	backends := map[string]string{}
	for i, s := range f.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		if s.Name == "" || names[s.Name] {
			c.add(path, "service name %q is empty or repeated", s.Name)
		}
		names[s.Name] = true
		c.service(path, s, f.Zones, backends)
	}
	for i, s := range f.Services {
		for j, d := range s.Depends {
			if !names[d] {
				c.add(fmt.Sprintf("$.services[%d].depends[%d]", i, j), "unknown service %q", d)
			}
		}
	}
	if cyc := cycle(f.Services); cyc != nil {
		i := slices.IndexFunc(f.Services, func(s Service) bool { return s.Name == cyc[0] })
		c.add(fmt.Sprintf("$.services[%d].depends", i), "dependency cycle: %s", strings.Join(cyc, " -> "))
	}
}

func (c *checker) service(path string, s Service, zones []string, backends map[string]string) {
	switch s.Kind {
	case Model:
		if s.Layers <= 0 {
			c.add(path, "a model service needs layers: N > 0")
			return
		}
		if len(s.Engines) == 0 {
			c.add(path, "a model service needs engines")
			return
		}
		if len(s.Upstreams) > 0 {
			c.add(path+".upstreams", "a model service has engines, not upstreams")
		}
		c.cover(path, s)
	case Plain:
		if len(s.Upstreams) == 0 {
			c.add(path, "a plain service needs upstreams")
		}
		if len(s.Engines) > 0 {
			c.add(path+".engines", "a plain service has upstreams, not engines")
		}
	default:
		c.add(path+".kind", "kind must be model or plain, not %q", s.Kind)
	}
	list, field := s.Engines, "engines"
	if s.Kind == Plain {
		list, field = s.Upstreams, "upstreams"
	}
	for j, b := range list {
		bp := fmt.Sprintf("%s.%s[%d]", path, field, j)
		if b.Name == "" || b.Addr == "" {
			c.add(bp, "a back end needs a name and an addr")
		}
		if prev, ok := backends[b.Name]; ok && prev != b.Addr {
			c.add(bp+".name", "back end %q is named twice with different addresses", b.Name)
		}
		backends[b.Name] = b.Addr
		if !slices.Contains(zones, b.Zone) {
			c.add(bp+".zone", "zone %q is not in the fleet's zones", b.Zone)
		}
	}
}

// cover checks that the engines' layer ranges give at least one exact
// cover of [0, layers) and that every engine lies on one. A range is an
// edge from its first layer to its end; a chain is a path from 0 to
// layers, so it runs each layer once and in order by construction.
func (c *checker) cover(path string, s Service) {
	reach := Reachable(s.Layers, s.Engines)
	for j, e := range s.Engines {
		ep := fmt.Sprintf("%s.engines[%d].layers", path, j)
		from, to := e.Range[0], e.Range[1]
		if from < 0 || to > s.Layers || from >= to {
			c.add(ep, "layers [%d,%d) must lie within [0,%d) and hold at least one layer", from, to, s.Layers)
			continue
		}
		if !reach.To[from] || !reach.From[to] {
			c.add(ep, "layers [%d,%d) of engine %q lie on no exact cover of layers 0..%d (a gap or an overlap)", from, to, e.Name, s.Layers)
		}
	}
	if !reach.To[s.Layers] {
		c.add(path+".engines", "no chain of engines covers layers 0..%d exactly once in order", s.Layers)
	}
}

// Cover says which layer boundaries a chain can start from and end at.
type Cover struct {
	// To[b] is true when a chain from layer 0 reaches boundary b.
	To []bool
	// From[b] is true when a chain from boundary b reaches the last layer.
	From []bool
}

// Reachable computes the boundaries on some exact cover of [0, layers).
func Reachable(layers int, engines []Backend) Cover {
	to := make([]bool, layers+1)
	from := make([]bool, layers+1)
	to[0], from[layers] = true, true
	valid := func(e Backend) bool { return e.Range[0] >= 0 && e.Range[1] <= layers && e.Range[0] < e.Range[1] }
	for b := 0; b <= layers; b++ {
		if !to[b] {
			continue
		}
		for _, e := range engines {
			if valid(e) && e.Range[0] == b {
				to[e.Range[1]] = true
			}
		}
	}
	for b := layers; b >= 0; b-- {
		if !from[b] {
			continue
		}
		for _, e := range engines {
			if valid(e) && e.Range[1] == b {
				from[e.Range[0]] = true
			}
		}
	}
	return Cover{To: to, From: from}
}

// cycle returns a dependency cycle, or nil.
func cycle(services []Service) []string {
	deps := map[string][]string{}
	for _, s := range services {
		deps[s.Name] = s.Depends
	}
	const (
		white = iota
		grey
		black
	)
	colour := map[string]int{}
	var stack []string
	var visit func(n string) []string
	visit = func(n string) []string {
		colour[n] = grey
		stack = append(stack, n)
		for _, d := range deps[n] {
			switch colour[d] {
			case grey:
				i := slices.Index(stack, d)
				return append(slices.Clone(stack[i:]), d)
			case white:
				if cyc := visit(d); cyc != nil {
					return cyc
				}
			}
		}
		stack = stack[:len(stack)-1]
		colour[n] = black
		return nil
	}
	for _, s := range services {
		if colour[s.Name] == white {
			if cyc := visit(s.Name); cyc != nil {
				return cyc
			}
		}
	}
	return nil
}
