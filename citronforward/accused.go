package citronforward

// Streams through an engine that was named in a refusal.
//
// The load it answers: an engine dies at the peak and goes dark. Requests that
// are sent through it are refused at once by the engine before it, which names
// it; the streams that run through it only fall silent. Neither sign alone says
// that it is dead: it may be full or give up layers, and a stream pauses now and
// then. Both together, and no answer to a question of its own, are enough to
// move a stream, long before its silence alone would be. Where nobody else in the
// zone holds the layers the stream still waits.

import "time"

// accusedSilence is how long an engine may take to answer that was named in a
// refusal and through which a stream is silent.
const accusedSilence = 60 * time.Millisecond

// accusation is a question to an engine that was named in a refusal.
type accusation struct {
	engine string
	asked  time.Time
	answer chan error
	// cleared: it answered, so it is full, or gives up layers.
	cleared bool
}

// accusedPart returns the first hop of a silent stream whose engine was named in
// a refusal and does not answer a probe either, or -1.
func (w *watch) accusedPart(now time.Time, silence time.Duration) int {
	if silence < quietAfter {
		w.accused = nil // it went on; the next silence is another question
		return -1
	}
	if w.accused == nil {
		w.askAccused(now)
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
		if now.Sub(w.accused.asked) <= accusedSilence {
			return -1
		}
	}
	return w.hop(w.accused.engine)
}

// hop is the part of the path that an engine has, or -1.
func (w *watch) hop(id string) int {
	for i, h := range w.s.path {
		if h.Engine.ID == id {
			return i
		}
	}
	return -1
}

// askAccused asks the first engine of the path that was named, if there is one.
func (w *watch) askAccused(now time.Time) {
	for _, h := range w.s.path {
		if h.Engine.Accused(now) {
			answer := make(chan error, 1)
			w.accused = &accusation{engine: h.Engine.ID, asked: now, answer: answer}
			go func() { answer <- w.s.f.probe(w.ctx, h.Engine, accusedSilence) }()
			return
		}
	}
}
