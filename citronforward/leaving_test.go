package citronforward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// movedStreams are the streams of a leaving engine that are still running when their
// turn to move comes. They run for up to five seconds, and are anywhere in that.
func movedStreams(spread time.Duration) int {
	const streams, lasts = 1000, 5 * time.Second
	drawn := rand.New(rand.NewPCG(1, 2))
	moved := 0
	for range streams {
		left := time.Duration(drawn.Int64N(int64(lasts)))
		if turn := leaveWait + time.Duration(drawn.Int64N(int64(spread))); left > turn {
			moved++
		}
	}
	return moved
}

// Guards against streams that are moved, and read again, although they would have ended
// while the leaving engine still served.
func TestStreamsStayWhileALeavingEngineServes(t *testing.T) {
	is := is.New(t)
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second} {
		last := leaveWait + leaveSpread(drain)
		is.True(last < drain) // moved before it may exit
		is.True(leaveLatest(drain) < drain)
		is.True(last > drain*3/4)
	}
	fixed, fitted := movedStreams(leaveSpread(usualDrain)), movedStreams(leaveSpread(3*time.Second))
	t.Logf("of 1000 streams %d are moved, %d if an engine serves on for 3 s", fixed, fitted)
	is.True(fitted < fixed*9/10)
	is.Equal(leaveSpread(time.Second), leastLeaveSpread)
}
