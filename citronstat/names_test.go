package citronstat_test

import (
	"fmt"
	"testing"

	"citrondeck.dev/citrondeck/citronstat"
	"github.com/matryer/is"
)

// Guards against a log line for every response with an unknown header, and against a set that
// grows with invented names.
func TestNameSetIsBounded(t *testing.T) {
	is := is.New(t)
	var s citronstat.NameSet
	is.True(s.Add("a"))
	is.True(!s.Add("a"))
	added := 0
	for i := range 200 {
		if s.Add(fmt.Sprint(i)) {
			added++
		}
	}
	is.Equal(added, 63)
}
