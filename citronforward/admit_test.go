package citronforward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusedAgain simulates callers that are refused during a surge and returns how many
// of them retry before it ends.
func refusedAgain(surge time.Duration, after func(drawn float64) time.Duration) int {
	const callers = 100_000
	rng := rand.New(rand.NewPCG(3, 4))
	n := 0
	for range callers {
		if at := time.Duration(rng.Int64N(int64(surge))); at+after(rng.Float64()) < surge {
			n++
		}
	}
	return n
}

// Guards against a retry delay that brings refused callers back while the surge still
// fills the caches: they are refused a second time and give up. With spreadRetryAfter,
// less than half as many callers may return during the surge as with delays of 1.5 to
// 6 s.
func TestFewRefusedCallersRetryDuringSurge(t *testing.T) {
	is := is.New(t)
	const surge, left = 5 * time.Second, 20 * time.Second
	early := refusedAgain(surge, func(drawn float64) time.Duration {
		return 1500*time.Millisecond + time.Duration(drawn*float64(4500*time.Millisecond))
	})
	late := refusedAgain(surge, func(drawn float64) time.Duration { return spreadRetryAfter(left, drawn) })
	t.Logf("refused again: %d of 100,000 with retry delays of 1.5 to 6 s, %d with spreadRetryAfter", early, late)
	is.True(late < early/2)
}

// Guards against a retry delay that is longer than callers wait, and against callers
// that all retry at the same moment.
func TestRetryDelayIsSpreadAndShorterThanCallersWait(t *testing.T) {
	is := is.New(t)
	for _, left := range []time.Duration{0, time.Second, 20 * time.Second} {
		first, last := spreadRetryAfter(left, 0), spreadRetryAfter(left, 1)
		is.True(3*last <= left)
		is.True(last-first >= left/8)
	}
}
