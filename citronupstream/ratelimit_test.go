package citronupstream_test

import (
	"fmt"
	"math"
	"testing"

	"citrondeck.dev/citrondeck/citronupstream"
)

func ExampleParseRateLimit() {
	for _, values := range [][]string{nil, {"2.5"}, {" 4 "}, {"0"}, {"1e308"}, {""}, {"fast"}, {"-1"}, {"NaN"}, {"+Inf"}, {"2", "3"}} {
		switch l := citronupstream.ParseRateLimit(values).(type) {
		case citronupstream.NoRateLimit:
			fmt.Println("none")
		case citronupstream.PerSecond:
			fmt.Printf("%g a second\n", float64(l))
		case citronupstream.InvalidRateLimit:
			fmt.Printf("invalid: %q\n", string(l))
		}
	}
	// Output:
	// none
	// 2.5 a second
	// 4 a second
	// 0 a second
	// 1e+308 a second
	// invalid: ""
	// invalid: "fast"
	// invalid: "-1"
	// invalid: "NaN"
	// invalid: "+Inf"
	// invalid: "2, 3"
}

// FuzzParseRateLimit checks that no header value is parsed as a negative or infinite rate
// limit, or as one that is not a number.
func FuzzParseRateLimit(f *testing.F) {
	for _, text := range []string{"", "2.5", "-0", "0x1p-2", "1e400", "Infinity", "1_0"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := citronupstream.ParseRateLimit([]string{text}).(citronupstream.PerSecond); ok {
			if n := float64(l); n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
				t.Fatalf("%q was parsed as %g, want an invalid rate limit", text, n)
			}
		}
	})
}
