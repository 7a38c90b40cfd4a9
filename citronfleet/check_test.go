package citronfleet_test

import (
	"fmt"
	"strings"
	"testing"

	"citrondeck.dev/citrondeck/citronfleet"
	"github.com/matryer/is"
)

// valid is a fleet text without problems. The cases of TestParseRejects each
// replace one part of it.
const valid = `fleet: t
zones: [a, b]
customers:
  - name: c1
services:
  - name: m
    kind: model
    layers: 4
    depends: [p]
    engines:
      - {name: e1, addr: "127.0.0.1:1", zone: a, layers: [0, 2]}
      - {name: e2, addr: "127.0.0.1:2", zone: b, layers: [2, 4]}
  - name: p
    kind: plain
    idempotent: false
    upstreams:
      - {name: u1, addr: "127.0.0.1:3", zone: a}
`

// TestParseRejects checks that each invalid text is rejected with a message that
// names the problem, some of them also with its position, and that no partly
// decoded fleet is returned.
func TestParseRejects(t *testing.T) {
	cases := []struct {
		name, from, to, want string
	}{
		{"syntax", "zones: [a, b]", "zones: [a, b", "fleet.yaml:3:1: "},
		{"unknown field", "    kind: plain", "    kind: plain\n    colour: red", "colour"},
		{"bad duration", "    kind: plain", "    kind: plain\n    timeout: soon", `fleet.yaml:15:14: "soon" is not a duration`},
		{"unknown dependency", "depends: [p]", "depends: [q]", `fleet.yaml:9:15: services[0].depends[0]: unknown service "q"`},
		{"cycle", "    idempotent: false", "    idempotent: false\n    depends: [m]", "dependency cycle: m -> p -> m"},
		{"gap", "layers: [2, 4]", "layers: [3, 4]", "no chain of engines covers layers 0..4"},
		{"overlap", "layers: [2, 4]", "layers: [1, 4]", `layers [1,4) of engine "e2" lie on no exact cover`},
		{"out of range", "layers: [2, 4]", "layers: [2, 5]", "must lie within [0,4)"},
		{"bad zone", "zone: b, layers", "zone: z, layers", `zone "z" is not in the fleet's zones`},
		{"bad kind", "kind: plain", "kind: simple", `kind must be model or plain`},
		{"repeated service", "  - name: p\n", "  - name: m\n", `service name "m" is empty or repeated`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, c.from, c.to, 1)
			is.True(text != valid) // the replacement must match
			f, err := citronfleet.Parse("fleet.yaml", []byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the message describes the problem
			is.Equal(f.Name, "")                           // no partly decoded fleet
		})
	}
}

// TestParseAccepts checks that a valid text is accepted and that services are
// idempotent unless the text says otherwise.
func TestParseAccepts(t *testing.T) {
	is := is.New(t)
	f, err := citronfleet.Parse("fleet.yaml", []byte(valid))
	is.NoErr(err)
	m, ok := f.Service("m")
	is.True(ok)
	is.Equal(len(m.Engines), 2)
	p, _ := f.Service("p")
	is.True(!p.IsIdempotent())
	is.True(m.IsIdempotent())
}

func ExampleParse() {
	_, err := citronfleet.Parse("fleet.yaml", []byte("fleet: x\nzones: [a]\nservices:\n  - name: s\n    kind: plain\n"))
	fmt.Println(err)
	// Output: fleet.yaml:4:9: services[0]: a plain service needs upstreams
}

// BenchmarkParse measures parsing and validating a fleet text with one model on
// 164 engines, and one with 25 such models.
func BenchmarkParse(b *testing.B) {
	for _, models := range []int{1, 25} {
		var t strings.Builder
		t.WriteString("fleet: t\nzones: [a]\ncustomers:\n")
		for c := range 710 {
			fmt.Fprintf(&t, "  - {name: customer-%03d, share: 1}\n", c)
		}
		t.WriteString("services:\n")
		for m := range models {
			fmt.Fprintf(&t, "  - name: model-%02d\n    kind: model\n    layers: 32\n    engines:\n", m)
			for e := range 164 {
				fmt.Fprintf(&t, "      - {name: engine-%02d-%03d, addr: \"10.0.%d.%d:7000\", zone: a, layers: [%d, %d], capacity: 3000}\n", m, e, m, e, e%4*8, e%4*8+8)
			}
		}
		b.Run(fmt.Sprintf("engines=%d", models*164), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(t.Len()), "text-bytes")
			for b.Loop() {
				if _, err := citronfleet.Parse("f", []byte(t.String())); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
