// Package citronbody reads heads and bodies of messages that other processes send, within bounds of
// bytes and time. A faulty process may send bytes without end, or one byte now and then.
package citronbody

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

var (
	// ErrTooLarge means that a body is longer than its reader accepts.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoRoom means that other bodies take up a Budget.
	ErrNoRoom = errors.New("no room for the body")
)

// ReadAll reads a whole body. A body of more than limit bytes is an error: a part of it must not
// be taken for the whole.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "limit of %d bytes", limit)
	}
	return body, err
}

const (
	// maxDrained and maxDrainTime bound what is read of a body that nobody needs.
	maxDrained   = 64 << 10
	maxDrainTime = 50 * time.Millisecond
)

// Drain reads the rest of a body, so that its connection can be reused, and closes it. It closes
// the connection instead if the rest is long or late.
func Drain(body io.ReadCloser) {
	late := time.AfterFunc(maxDrainTime, func() { _ = body.Close() })
	defer late.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrained))
	_ = body.Close()
}

const (
	// uncountedBytes is the size up to which a body does not count against a Budget.
	uncountedBytes = 16 << 10
	// budgetStep is how much of a Budget a body takes at a time.
	budgetStep = 16 << 10
)

// Budget bounds the bytes of the large bodies that a process holds at the same time. It is safe
// for concurrent use.
type Budget struct{ free *semaphore.Weighted }

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget { return &Budget{semaphore.NewWeighted(bytes)} }

// ReadAll is the function ReadAll within the budget. It returns ErrNoRoom if the budget has no room
// for the body. The caller calls release once it does not hold the body any more.
func (b *Budget) ReadAll(r io.Reader, limit int64) (body []byte, release func(), err error) {
	hold := b.Hold()
	body, err = ReadAll(holdingReader{r, hold}, limit)
	return body, hold.Release, err
}

// Hold returns a hold without bytes.
func (b *Budget) Hold() *Hold { return &Hold{free: b.free} }

// Hold is what one body, or a part of one, takes of a Budget while it grows. It is used by one
// goroutine at a time.
type Hold struct {
	free         *semaphore.Weighted
	bytes, taken int64
}

// Grow adds n bytes. It returns ErrNoRoom if the budget has no room for them.
func (h *Hold) Grow(n int) error {
	h.bytes += int64(n)
	for h.bytes > uncountedBytes+h.taken {
		if !h.free.TryAcquire(budgetStep) {
			return ErrNoRoom
		}
		h.taken += budgetStep
	}
	return nil
}

// Release gives all bytes back. A nil hold has none.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.free.Release(h.taken)
	h.bytes, h.taken = 0, 0
}

// holdingReader adds what it has read to a hold.
type holdingReader struct {
	r    io.Reader
	hold *Hold
}

func (h holdingReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if full := h.hold.Grow(n); full != nil {
		return n, full
	}
	return n, err
}
