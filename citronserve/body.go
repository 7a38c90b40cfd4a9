package citronserve

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"os"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronmemory"
	"github.com/cockroachdb/errors"
)

const (
	// discardTime bounds what is read of a body that was given up before the response is sent.
	discardTime = 200 * time.Millisecond
	// decodedBytes is how much memory a byte of a message takes once it is decoded, besides the
	// message itself.
	decodedBytes = 2
	// decompressorBytes is the memory of a gzip.Reader.
	decompressorBytes = 48 << 10
)

// ErrClosed means that the connection was closed before the body had arrived.
var ErrClosed = errors.New("connection was closed in favor of another one")

// ReadBody reads the body of a request into memory that is charged to the listener's account
// until release is called. The body has to arrive within the given time. ReadBody fails with
// citronbody.ErrTooLarge, citronmemory.ErrNoRoom, citronmemory.ErrInterrupted, ErrClosed,
// os.ErrDeadlineExceeded, or the error of the connection. After an error the body is skipped
// (SkipBody), and FailureStatus returns the status of the response.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) (body []byte, release func(), err error) {
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	c, ctl := connOf(r.Context()), http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(within))
	charge := c.memory().Arriving(c.interrupt)
	c.awaitBody()
	body, err = readAll(r, charge, limit)
	if finished := charge.Finish(); finished != nil {
		err = finished
	}
	if err == nil && !c.begin() {
		err = ErrClosed
	}
	if err != nil {
		charge.Close()
		SkipBody(w, r)
		return nil, nil, err
	}
	return body, charge.Close, nil
}

// SkipBody gives up the body of a request, if it has one, before the response begins. The
// connection is closed with the response, which a client gets also if it is still sending.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	connOf(r.Context()).markUnread()
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
}

func readAll(r *http.Request, charge *citronmemory.Charge, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errors.Wrapf(citronbody.ErrTooLarge, "limit of %d bytes", limit)
	}
	return charge.ReadAll(r.Context(), r.Body, r.ContentLength, limit)
}

// FailureStatus returns the status of the response to a request whose body could not be read. All
// of them mean that the request has not run.
func FailureStatus(err error) int {
	switch {
	case errors.Is(err, citronbody.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.IsAny(err, citronmemory.ErrNoRoom, citronmemory.ErrInterrupted, ErrClosed):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// LimitBodies reads the body of each request before h is called, up to limit bytes. The body, and
// what is decoded from it, are charged to the listener's account until h returns. Bodies that are
// compressed as a whole are decompressed here, so that the limit is for what h gets; others must
// not contain compressed messages.
func LimitBodies(h http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		if hasCompressedMessages(r.Header) {
			SkipBody(w, r)
			w.WriteHeader(http.StatusUnsupportedMediaType)
			return
		}
		decoded := connOf(r.Context()).memory().Charge()
		defer decoded.Close()
		r, err := decompressed(r, decoded)
		if err != nil {
			SkipBody(w, r)
			refuse(w, FailureStatus(err))
			return
		}
		body, release, err := ReadBody(w, r, limit, maxBodyTime)
		if err != nil {
			refuse(w, FailureStatus(err))
			return
		}
		defer release()
		if decoded.Grow(r.Context(), decodedBytes*int64(len(body))) != nil {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		h.ServeHTTP(w, r)
	})
}

// refuse responds to a request that has not run.
func refuse(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1") // requests that do not arrive whole have given way by then
	}
	w.WriteHeader(status)
}

// hasCompressedMessages reports whether the messages within a body are compressed one by one.
func hasCompressedMessages(h http.Header) bool {
	for _, name := range []string{"Connect-Content-Encoding", "Grpc-Encoding"} {
		if e := h.Get(name); e != "" && e != "identity" {
			return true
		}
	}
	return false
}

// decompressed returns a copy of a request whose body is not compressed. It charges the memory
// for decompressing it.
func decompressed(r *http.Request, charge *citronmemory.Charge) (*http.Request, error) {
	out := r.WithContext(r.Context())
	if r.Header.Get("Content-Encoding") != "gzip" {
		return out, nil
	}
	out.Header, out.ContentLength = r.Header.Clone(), -1
	out.Header.Del("Content-Encoding")
	out.Body = &gzipBody{ReadCloser: r.Body}
	return out, charge.Grow(r.Context(), decompressorBytes)
}

// gzipBody decompresses a body. The decompressor is made at the first read.
type gzipBody struct {
	io.ReadCloser
	out *gzip.Reader
}

// Read implements io.Reader.
func (b *gzipBody) Read(p []byte) (int, error) {
	if b.out == nil {
		out, err := gzip.NewReader(b.ReadCloser)
		if err != nil {
			return 0, errors.Wrap(err, "decompress body")
		}
		b.out = out
	}
	return b.out.Read(p)
}
