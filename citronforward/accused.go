package citronforward

// Streams through an accused engine. An engine is accused if another engine named it as
// the cause of a refused request.
//
// When an engine dies at peak load and stops responding, the engine before it refuses
// new requests at once and names it. Streams that already run through the dead engine
// just stall. Neither sign alone proves that the engine is dead: it may be full or be
// unloading layers, and a stream pauses now and then. So an accused engine through which
// streams of this node run is probed at once. By the time that its streams have stalled
// for stallCheckDelay, the answer or its absence is known. If there is none, the streams
// are moved, long before their stall alone would cause a move. If no other engine in the
// zone holds the layers, a stream that has begun or is late still waits before it moves
// to another zone (mayWaitForZone).
//
// Adjacent engines may fail together. No engine is left that could accuse any but the
// first of them, so the engines that follow an accused one on the paths of this node's
// streams are probed too if it does not answer promptly.

import (
	"context"
	"sync"
	"time"

	"citrondeck.dev/citrondeck/citronpath"
	"citrondeck.dev/citrondeck/citronpool"
	"citrondeck.dev/citrondeck/citronprobe"
)

const (
	// accusedProbeTimeout is how long an accused engine may take to answer a probe
	// before the stalled streams through it are moved. It is also the maximum age of
	// another stream's probe whose result is used instead.
	accusedProbeTimeout = 60 * time.Millisecond
	// nextProbeDelay is how long an engine may take to answer before the next engines
	// on the paths of this node's streams are probed. Healthy engines answer within a few
	// milliseconds, so few probes are sent in vain.
	nextProbeDelay = 10 * time.Millisecond
	// maxChainDepth bounds how many engines in a row are probed because the one before does
	// not answer promptly. On a busy node answers are read late, and each accusation would
	// have whole paths probed.
	maxChainDepth = 2
	// answeredTTL is how long an answer counts for an engine that is accused again and
	// again. A full engine is accused with each refusal, by all nodes, and is not probed
	// each time. If it fails meanwhile, it is probed once its streams stall.
	answeredTTL = 2 * time.Second
	// maxCheckDelay is how much later than planned a check may take place to draw a
	// conclusion from a missing answer. A later check means that this node was paused,
	// and answers may not have been read yet.
	maxCheckDelay = 20 * time.Millisecond
)

// ProbeAccused probes an engine that has been accused, unless none of this node's requests
// runs through it. It does not block. The result is shared: further accusations within
// citronprobe.MaxReportAge, or answeredTTL if the engine has answered, cause no further
// probe if wasAccused is true. It is false for an
// engine that was not accused before; an earlier probe says nothing about it.
func (f *Forwarder) ProbeAccused(e *citronpool.Engine, wasAccused bool) {
	if e.Inflight() == 0 || f.isProbed(e, wasAccused) || !f.mayCheck() {
		return
	}
	maxAge := accusedProbeTimeout
	if wasAccused {
		maxAge = citronprobe.MaxReportAge
	}
	go f.probeChain(e, maxAge, 0)
}

// isProbed reports whether a probe of an accused engine is in progress or recent enough. In
// an overload each node hears of many accusations a second, and one goroutine for each would
// exceed the memory of small nodes.
func (f *Forwarder) isProbed(e *citronpool.Engine, wasAccused bool) bool {
	o, ok := f.prober().Last(e.Addr)
	if !ok {
		return false
	}
	age := f.Clock.Now().Sub(o.StartedAt)
	switch {
	case o.DoneAt.IsZero():
		return true
	case o.Err != nil:
		return age < citronprobe.MaxReportAge
	case wasAccused:
		return age < answeredTTL
	default:
		return age < accusedProbeTimeout
	}
}

// probeChain probes an engine. If it does not answer within nextProbeDelay, the engines
// that follow it on the paths of this node's streams are probed as well, maxChainDepth
// engines further at most.
func (f *Forwarder) probeChain(e *citronpool.Engine, maxAge time.Duration, depth int) {
	if o, ok := f.prober().Last(e.Addr); ok && o.DoneAt.IsZero() {
		maxAge = citronprobe.MaxReportAge // share the unanswered probe
	}
	answer := make(chan error, 1)
	go func() { answer <- f.probe(context.Background(), e, maxAge) }()
	timer := time.NewTimer(nextProbeDelay)
	defer timer.Stop()
	select {
	case err := <-answer:
		if err == nil {
			return
		}
	case <-timer.C:
	}
	if depth == maxChainDepth {
		return
	}
	for _, next := range f.links.after(e.ID) {
		if !f.mayCheck() {
			return
		}
		go f.probeChain(next, citronprobe.MaxReportAge, depth+1)
	}
}

// accuseUnanswered accuses the engines of a path that do not answer the probes that have
// just been sent within accusedProbeTimeout, so that all streams through them are moved: an
// engine that stops responding is named by no other if no new request is sent through it. It
// accuses none if the first engine does not answer, since this node may be cut off.
func (f *Forwarder) accuseUnanswered(ctx context.Context, path citronpath.Path) {
	if f.Clock.Sleep(ctx, accusedProbeTimeout) != nil {
		return
	}
	if o, ok := f.prober().Last(path[0].Engine.Addr); !ok || o.DoneAt.IsZero() || o.Err != nil {
		return
	}
	now := f.Clock.Now()
	for _, h := range path[1:] {
		o, ok := f.prober().Last(h.Engine.Addr)
		if ok && o.DoneAt.IsZero() && now.Sub(o.StartedAt) >= f.answerTimeout(o.StartedAt) && h.Engine.Accuse(now) && f.Accuse != nil {
			f.Accuse(h.Engine)
		}
	}
}

// pathLinks counts, for each two adjacent engines, the streams of this node whose paths
// contain them. Its zero value is ready to use.
type pathLinks struct {
	mu    sync.Mutex
	count map[pathLink]int
}

// pathLink is a pair of adjacent engines of a path.
type pathLink struct {
	from string
	to   *citronpool.Engine
}

// add adds n to the number of streams on path p.
func (l *pathLinks) add(p citronpath.Path, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == nil {
		l.count = map[pathLink]int{}
	}
	for i := 1; i < len(p); i++ {
		k := pathLink{p[i-1].Engine.ID, p[i].Engine}
		l.count[k] += n
		if l.count[k] == 0 {
			delete(l.count, k)
		}
	}
}

// after returns the engines that follow the engine with the given ID on some path.
func (l *pathLinks) after(id string) []*citronpool.Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*citronpool.Engine
	for k := range l.count {
		if k.from == id {
			out = append(out, k.to)
		}
	}
	return out
}

// answerState is what the newest probe of an engine says about it.
type answerState int

const (
	// alive: the engine has answered since the stream stalled, or was not probed.
	alive answerState = iota
	// undecided: the engine has not answered yet.
	undecided
	// silent: the engine has not answered within accusedProbeTimeout or the probe failed.
	silent
)

// accusedHops returns the indices of the hops of a stalled stream whose engines are
// accused, or follow an accused engine, and do not answer. It returns none while it is
// undecided whether one of them answers. since is when the stream last made progress.
func (w *watch) accusedHops(now, since time.Time) []int {
	if now.Sub(since) < stallCheckDelay {
		clear(w.accused) // the stream resumed; a later stall is judged anew
		return nil
	}
	var bad []int
	path := w.s.path
	for i := 0; i < len(path); i++ {
		e := path[i].Engine
		if !w.accused[e.ID] && !e.Accused(now) {
			continue
		}
		w.accused[e.ID] = true
		state := w.answerOf(e, now, since, true)
		for state == silent {
			bad = append(bad, i)
			if i++; i == len(path) {
				break
			}
			state = w.answerOf(path[i].Engine, now, since, w.accused[path[i].Engine.ID])
		}
		if state == undecided {
			return nil
		}
	}
	if w.late {
		return nil // this node was paused, so answers may not have been read yet
	}
	return bad
}

// answerOf returns what the newest probe of an engine says about it. If the engine is
// accused and no probe tells whether it answers during this stall, it is probed.
func (w *watch) answerOf(e *citronpool.Engine, now, since time.Time, accused bool) answerState {
	o, ok := w.s.f.prober().Last(e.Addr)
	switch {
	case ok && o.DoneAt.IsZero():
		left := w.s.f.answerTimeout(o.StartedAt) - now.Sub(o.StartedAt)
		if left < 0 {
			return silent
		}
		if left < stalledCheckInterval {
			w.setTimer(left + time.Millisecond)
		}
		return undecided
	case ok && o.Err != nil && o.DoneAt.After(since.Add(-checkInterval)):
		return silent // events may have been on their way when the probe failed
	case ok && o.Err == nil && o.StartedAt.After(since):
		return alive
	case accused:
		w.s.f.ProbeAccused(e, false)
		return undecided
	default:
		return alive
	}
}
