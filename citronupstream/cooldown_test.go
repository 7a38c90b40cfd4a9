package citronupstream_test

import (
	"fmt"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronupstream"
)

func ExampleParseCooldown() {
	for _, values := range [][]string{nil, {"3"}, {" 0.5 "}, {"0"}, {"3600"}, {"1e308"}, {"1", "4"}, {"2, 1"}, {"soon", "2"}, {""}, {"-1"}, {"NaN"}, {"+Inf"}, {"1e400"}, {"Fri, 04 Dec 2026 10:00:00 GMT"}} {
		switch c := citronupstream.ParseCooldown(values).(type) {
		case citronupstream.NoCooldown:
			fmt.Println("none")
		case citronupstream.CooldownFor:
			fmt.Println(time.Duration(c))
		case citronupstream.InvalidCooldown:
			fmt.Printf("invalid: %q\n", string(c))
		}
	}
	// Output:
	// none
	// 3s
	// 500ms
	// 0s
	// 1h0m0s
	// 24h0m0s
	// 4s
	// 2s
	// 2s
	// invalid: ""
	// invalid: "-1"
	// invalid: "NaN"
	// invalid: "+Inf"
	// invalid: "1e400"
	// invalid: "Fri, 04 Dec 2026 10:00:00 GMT"
}

// FuzzParseCooldown checks that no header value is parsed as a negative cool-down or as
// one that is longer than MaxCooldown.
func FuzzParseCooldown(f *testing.F) {
	for _, text := range []string{"", "3", "-0", "0x1p-2", "1e400", "1e308,1", "Infinity", "1_0", ",", "9223372036854775807"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if c, ok := citronupstream.ParseCooldown([]string{text}).(citronupstream.CooldownFor); ok && (c < 0 || time.Duration(c) > citronupstream.MaxCooldown) {
			t.Fatalf("%q was parsed as %v, want 0 to %v", text, time.Duration(c), citronupstream.MaxCooldown)
		}
	})
}
