package citronupstream_test

import (
	"fmt"

	"citrondeck.dev/citrondeck/citronupstream"
)

func ExampleParsePromptParts() {
	for _, text := range []string{"5c1e07a2:800,91bd3f06:410,e4402b7d:250", " a:1 , b:2", "", "a", ":3,b:4,"} {
		fmt.Printf("%q\n", citronupstream.ParsePromptParts(text))
	}
	// Output:
	// ["5c1e07a2" "91bd3f06" "e4402b7d"]
	// ["a" "b"]
	// []
	// []
	// ["b"]
}
