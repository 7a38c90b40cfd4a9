package citronforward

import "citrondeck.dev/citrondeck/citronupstream"

const (
	// urgencyBegun is the urgency of streams that have begun: their callers already have
	// part of the response.
	urgencyBegun = 1
	// urgencyNew is the urgency of new streams of the most urgent level. Engines treat
	// calls without an urgency as 5.
	urgencyNew = 3
)

// urgency returns the urgency of a call for the stream. If all streams of the service are
// equally urgent, new ones have none, so that engines treat them as those of other nodes.
func (s *streamJob) urgency() int {
	switch {
	case s.begun || s.ResumeAfter != "" && s.priorityLevels > 1:
		return urgencyBegun
	case s.priorityLevels > 1:
		return min(citronupstream.MaxUrgency, urgencyNew+s.priorityLevel)
	default:
		return 0
	}
}
