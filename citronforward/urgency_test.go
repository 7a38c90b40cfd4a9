package citronforward

import (
	"testing"

	"citrondeck.dev/citrondeck/citronupstream"
	"github.com/matryer/is"
)

// Guards against less urgent streams that engines admit first, against an urgency above
// the range, and against a header for services whose streams are all equally urgent.
func TestUrgencyFollowsPriorityLevel(t *testing.T) {
	is := is.New(t)
	urgency := func(begun bool, after string, level, levels int) int {
		j := &job{Request: &citronupstream.Request{ResumeAfter: after}, priorityLevel: level, priorityLevels: levels}
		return (&streamJob{job: j, begun: begun}).urgency()
	}
	is.Equal(urgency(false, "", 0, 1), 0)
	is.Equal(urgency(false, "7", 0, 1), 0)
	is.Equal(urgency(true, "", 0, 1), 1)
	is.Equal(urgency(true, "", 2, 3), 1)
	is.Equal(urgency(false, "7", 2, 3), 1)
	is.Equal(urgency(false, "", 0, 3), 3)
	is.Equal(urgency(false, "", 2, 3), 5)
	is.Equal(urgency(false, "", 40, 41), 9)
}
