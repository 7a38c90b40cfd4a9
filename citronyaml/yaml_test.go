package citronyaml_test

import (
	"fmt"
	"time"

	"citrondeck.dev/citrondeck/citronyaml"
)

// The errors name the position of the problem, so that an operator can find it.
func ExampleDecode() {
	var s struct {
		Name string        `yaml:"name"`
		Wait time.Duration `yaml:"wait"`
	}
	for _, text := range []string{"name: a\nwait: 3s", "name: a\nwait: soon", "name: [a", "nmae: a"} {
		fmt.Println(citronyaml.Decode("x.yaml", []byte(text), &s))
	}
	fmt.Println(s.Name, s.Wait)
	// Output:
	// <nil>
	// x.yaml:2:7: "soon" is not a duration; write it like 250ms, 3s or 1m30s
	// x.yaml:1:7: sequence end token ']' not found
	// x.yaml:1:1: unknown field "nmae"
	// a 3s
}
