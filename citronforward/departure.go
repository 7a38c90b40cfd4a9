package citronforward

import (
	"context"
	"time"

	"citrondeck.dev/citrondeck/citronevent"
)

// departureLagWindow is how far back the scheduling delay is looked up when a caller has left.
const departureLagWindow = time.Second

// noteDeparture records that the caller has left while engines had its request, once the call to
// the first of them has ended, which closes its connection. seen is when the node saw that the
// caller has left. ended is closed when the call has returned.
func (s *streamJob) noteDeparture(seen time.Time, ended <-chan struct{}) {
	engines := make([]string, len(s.path))
	for i, h := range s.path {
		engines[i] = h.Engine.ID
	}
	args := []any{"request", s.ID, "held", seen.Sub(s.Received), "sent", seen.Sub(s.run.sent), "engines", engines, "events", s.events, "late", s.f.Lag.Since(seen.Add(-departureLagWindow))}
	go func() {
		<-ended
		closed := s.f.Clock.Now().Sub(seen)
		s.f.Metrics.CancelTime.Observe(closed.Seconds())
		citronevent.Log(context.Background(), s.f.Log, citronevent.CallerLeft, append(args, "closed", closed)...)
	}()
}
