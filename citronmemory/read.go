package citronmemory

import (
	"context"
	"io"

	"citrondeck.dev/citrondeck/citronbody"
	"github.com/cockroachdb/errors"
)

const (
	// firstBytes is the size of the first buffer of a body.
	firstBytes = 16 << 10
	// growthOfKnown and growthOfUnknown are the factors by which the buffer of a body grows,
	// if its length is announced and if not. A larger factor copies less, and holds more that is
	// not filled yet.
	growthOfKnown   = 4
	growthOfUnknown = 2
)

// ReadAll reads a body and charges the memory for it as it arrives. length is the announced
// length, or negative without one. A body of more than limit bytes fails with
// citronbody.ErrTooLarge.
func (c *Charge) ReadAll(ctx context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	body, err := c.resize(ctx, nil, nextSize(0, length, limit))
	if err != nil {
		return nil, err
	}
	var next [1]byte
	for {
		if len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, nil
			}
			if err != nil {
				return nil, err
			}
			continue
		}
		// The buffer is full. It grows only if there is another byte.
		n, err := r.Read(next[:])
		switch {
		case n == 1 && int64(len(body)) >= limit:
			return nil, errors.Wrapf(citronbody.ErrTooLarge, "limit of %d bytes", limit)
		case n == 1:
			if body, err = c.resize(ctx, body, nextSize(int64(len(body)), length, limit)); err != nil {
				return nil, err
			}
			body = append(body, next[0])
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer that follows one of the given size.
func nextSize(size, length, limit int64) int64 {
	switch {
	case size == 0 && length >= 0:
		return min(firstBytes, length)
	case size == 0:
		return min(firstBytes, limit)
	case size < length:
		return min(growthOfKnown*size, length)
	}
	return max(size+1, min(growthOfUnknown*size, limit))
}

// resize moves a body to a larger buffer.
func (c *Charge) resize(ctx context.Context, body []byte, size int64) ([]byte, error) {
	if err := c.Grow(ctx, size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	c.Shrink(int64(cap(body)))
	return larger, nil
}
