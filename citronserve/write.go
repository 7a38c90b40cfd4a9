package citronserve

import (
	"net/http"
	"time"
)

const (
	// minWriteTime is how long a client may keep a write waiting, and minWriteRate how fast it
	// has to read a long one, in bytes a second.
	minWriteTime = 10 * time.Second
	minWriteRate = 64 << 10
)

// boundedWriter bounds the time of each write, so that a client that does not read cannot keep
// a handler and its response.
type boundedWriter struct {
	http.ResponseWriter
	ctl      *http.ResponseController
	deadline time.Time
}

func newBoundedWriter(w http.ResponseWriter) *boundedWriter {
	return &boundedWriter{ResponseWriter: w, ctl: http.NewResponseController(w)}
}

// Unwrap is used by http.ResponseController.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *boundedWriter) Write(p []byte) (int, error) {
	w.extend(len(p))
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *boundedWriter) Flush() { _ = w.FlushError() }

// FlushError is used by http.ResponseController.
func (w *boundedWriter) FlushError() error {
	w.extend(0)
	return w.ctl.Flush()
}

// extend makes sure that there is enough time to write n bytes.
func (w *boundedWriter) extend(n int) {
	now, needed := time.Now(), minWriteTime+time.Duration(n)*time.Second/minWriteRate
	if w.deadline.Sub(now) < needed/2 {
		w.deadline = now.Add(needed)
		_ = w.ctl.SetWriteDeadline(w.deadline) // an error means that the connection is closed
	}
}
