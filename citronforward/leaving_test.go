package citronforward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// movedStreams simulates 1000 streams on an engine that begins to leave. Each has a
// random remaining time of up to five seconds. It returns how many of them are still
// running when they are due to move.
func movedStreams(window time.Duration) int {
	const streams, maxDuration = 1000, 5 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	moved := 0
	for range streams {
		left := time.Duration(rng.Int64N(int64(maxDuration)))
		if moveAfter := replacementWait + time.Duration(rng.Int64N(int64(window))); left > moveAfter {
			moved++
		}
	}
	return moved
}

// Guards against moving streams away from a leaving engine too early or too late. Other
// engines have to read the tokens of a moved stream again, although many streams would
// end while the leaving engine still serves. A stream that moves later than that is cut
// off.
func TestStreamsStayWhileALeavingEngineServes(t *testing.T) {
	is := is.New(t)
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second} {
		last := replacementWait + moveWindow(drain)
		is.True(last < drain) // moved before the engine may exit
		is.True(maxZoneWait(drain) < drain)
		is.True(last > drain*3/4)
	}
	byDefault, in3s := movedStreams(moveWindow(defaultDrain)), movedStreams(moveWindow(3*time.Second))
	t.Logf("of 1000 streams %d are moved with the default drain period, %d with one of 3 s", byDefault, in3s)
	is.True(in3s < byDefault*9/10)
	is.Equal(moveWindow(time.Second), minMoveWindow)
}
