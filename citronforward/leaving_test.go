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
	drawn := rand.New(rand.NewPCG(1, 2))
	moved := 0
	for range streams {
		left := time.Duration(drawn.Int64N(int64(maxDuration)))
		if turn := replacementWait + time.Duration(drawn.Int64N(int64(window))); left > turn {
			moved++
		}
	}
	return moved
}

// Guards against moving streams, which makes engines read their tokens again, although
// they would have ended while the leaving engine still serves.
func TestStreamsStayWhileALeavingEngineServes(t *testing.T) {
	is := is.New(t)
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second} {
		last := replacementWait + moveWindow(drain)
		is.True(last < drain) // moved before the engine may exit
		is.True(maxZoneWait(drain) < drain)
		is.True(last > drain*3/4)
	}
	fixed, fitted := movedStreams(moveWindow(defaultDrain)), movedStreams(moveWindow(3*time.Second))
	t.Logf("of 1000 streams %d are moved, %d if an engine serves on for 3 s", fixed, fitted)
	is.True(fitted < fixed*9/10)
	is.Equal(moveWindow(time.Second), minMoveWindow)
}
