package citronbody

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxHeadTime bounds the time from the first byte of a head to its last.
	maxHeadTime = time.Second
	// maxInterim is how many interim responses (1xx) may come before a response.
	maxInterim = 8
)

// errHeadTooLong means that the head of a response does not end.
var errHeadTooLong = errors.New("response head does not end")

// Transport sends requests and reads the heads of the responses. It fails with ErrInvalidHead if a
// head is not valid, and with another error if one does not end in time. NewTransport creates it.
type Transport struct {
	*http.Transport
	// Bodies, if set, bounds the bytes of all response bodies that have been read and not closed.
	// It is meant for clients that read a body as a whole.
	Bodies *Budget
}

// NewTransport returns a transport that sends over t. It changes the dialer of t, which has to be set.
func NewTransport(t *http.Transport) Transport {
	t.DialContext, t.MaxResponseHeaderBytes = wrapConns(t.DialContext), maxHeadBytes
	return Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, _, err := t.Send(req)
	return res, err
}

// Send is RoundTrip. Besides, connected reports whether there was a connection, so that a part of
// the request may have been sent.
func (t Transport) Send(req *http.Request) (res *http.Response, connected bool, err error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	head := headWatch{cancel: cancel}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected = true
			if c, ok := info.Conn.(*conn); ok {
				c.expectHead()
			}
		},
		GotFirstResponseByte: head.begin,
		Got1xxResponse:       head.interim,
	}
	res, err = t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	head.end()
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errHeadTooLong) {
			err = cause // not the cancellation that it takes
		}
		cancel(nil)
		return nil, connected, err
	}
	res.Body = cancelingBody{res.Body, cancel}
	if t.Bodies != nil {
		hold := t.Bodies.Hold()
		res.Body = heldBody{holdingReader{res.Body, hold}, res.Body, hold}
	}
	return res, connected, nil
}

// headWatch cancels a request if the head of its response has begun and does not end.
type headWatch struct {
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	timer  *time.Timer
	ended  bool
	count  int
}

// begin is called at the first byte of the response.
func (w *headWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.timer = time.AfterFunc(maxHeadTime, func() { w.cancel(errHeadTooLong) })
	}
}

// interim is called after each interim response.
func (w *headWatch) interim(int, textproto.MIMEHeader) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop() // the response may take long after it
	}
	if w.count++; w.count > maxInterim {
		return errHeadTooLong
	}
	return nil
}

// end is called once the head has been read or the request has failed.
func (w *headWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// cancelingBody is a body that ends the context of its request when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b cancelingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// heldBody is a body whose bytes are held until it is closed.
type heldBody struct {
	io.Reader
	body io.Closer
	hold *Hold
}

func (b heldBody) Close() error {
	b.hold.Release()
	return b.body.Close()
}

// Once returns a request body that net/http cannot read again. Otherwise net/http resends some
// requests by itself when a pooled connection breaks, and a request could run twice.
func Once(body []byte) io.ReadCloser { return io.NopCloser(onceReader{bytes.NewReader(body)}) }

type onceReader struct{ r io.Reader }

func (o onceReader) Read(p []byte) (int, error) { return o.r.Read(p) }
