package citronentry

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a priority of this API, of which higher values go first, that is handed to
// the queue, of which lower values do, in the wrong order.
func TestRankReversesPriorities(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := rapid.Int().Draw(rt, "a"), rapid.Int().Draw(rt, "b")
		is.New(t).Equal(a > b, rank(a) < rank(b))
	})
}
