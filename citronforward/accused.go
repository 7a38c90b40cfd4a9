package citronforward

// Streams through an accused engine. An engine is accused if another engine named it as
// the cause of a refused request.
//
// When an engine dies at peak load and stops responding, the engine before it refuses
// new requests at once and names it. Streams that already run through the dead engine
// just stall. Neither sign alone proves that the engine is dead: it may be full or be
// unloading layers, and a stream pauses now and then. If an accused engine does not
// answer a probe while the stream stalls, the stream is moved, long before its stall
// alone would cause a move. If no other engine in the zone holds the layers, a stream
// that has begun or is late still waits before it moves to another zone
// (mayWaitForZone).

import "time"

// accusedProbeTimeout is how long an accused engine may take to answer a probe while a
// stream through it is stalled. It is also the maximum age of another stream's probe
// whose result is used instead.
const accusedProbeTimeout = 60 * time.Millisecond

// accusedProbe is a probe of an accused engine.
type accusedProbe struct {
	engine  string
	askedAt time.Time
	answer  chan error
	// cleared reports that the engine answered: it is full or is unloading layers, but
	// not dead.
	cleared bool
}

// accusedHop probes the first accused engine on the path of a stalled stream. It returns
// the index of that engine's hop if the probe fails or is not answered in time, and -1
// otherwise.
func (w *watch) accusedHop(now time.Time, silence time.Duration) int {
	if silence < stallCheckDelay {
		w.accused = nil // the stream resumed; a later stall needs a new probe
		return -1
	}
	if w.accused == nil {
		w.probeAccused(now)
		return -1
	}
	if w.accused.cleared {
		return -1
	}
	select {
	case err := <-w.accused.answer:
		w.accused.cleared = err == nil
		if err == nil {
			return -1
		}
	default:
		if now.Sub(w.accused.askedAt) <= accusedProbeTimeout {
			return -1
		}
	}
	return w.hopIndex(w.accused.engine)
}

// hopIndex returns the index of the hop that the engine runs, or -1.
func (w *watch) hopIndex(id string) int {
	for i, h := range w.s.path {
		if h.Engine.ID == id {
			return i
		}
	}
	return -1
}

// probeAccused probes the first accused engine of the path, if there is one.
func (w *watch) probeAccused(now time.Time) {
	for _, h := range w.s.path {
		if h.Engine.Accused(now) {
			answer := make(chan error, 1)
			w.accused = &accusedProbe{engine: h.Engine.ID, askedAt: now, answer: answer}
			go func() { answer <- w.s.f.probe(w.ctx, h.Engine, accusedProbeTimeout) }()
			return
		}
	}
}
