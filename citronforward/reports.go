package citronforward

import (
	"context"
	"sync"
	"time"
)

// reportFresh is how long an engine's report serves all streams that ask
// for it. When an engine in the middle of a zone's path dies, all streams
// of the zone fall silent at once and would each ask the same engines.
const reportFresh = 500 * time.Millisecond

// ownStall is how much longer than its time limit a question may take: if
// more, this node itself stood still, and that an engine did not answer in
// the meantime says nothing about the engine.
const ownStall = 100 * time.Millisecond

// reports shares engines' reports between streams.
type reports struct {
	mu   sync.Mutex
	byID map[string]*sharedReport
}

type sharedReport struct {
	done   chan struct{}
	at     time.Time
	report Report
	err    error
}

// ask returns the engine's report, which may be as old as maxAge if another
// stream has asked for it.
func (r *reports) ask(ctx context.Context, up Upstream, addr string, maxAge time.Duration) (Report, error) {
	r.mu.Lock()
	if r.byID == nil {
		r.byID = map[string]*sharedReport{}
	}
	q := r.byID[addr]
	if q == nil || time.Since(q.at) > maxAge {
		q = &sharedReport{done: make(chan struct{}), at: time.Now()}
		r.byID[addr] = q
		go func() {
			defer close(q.done)
			// The question outlives the stream that asked first.
			ask, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
			defer cancel()
			q.report, q.err = up.Report(ask, addr)
			if time.Since(q.at) > reportTimeout+ownStall {
				q.report, q.err = Report{}, nil
			}
		}()
	}
	r.mu.Unlock()
	select {
	case <-q.done:
		return q.report, q.err
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
}
