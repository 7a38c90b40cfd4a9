package citronrelay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronplace"
	"citrondeck.dev/citrondeck/citronrelay"
	"citrondeck.dev/citrondeck/citronupstream"
	"citrondeck.dev/citrondeck/citronusage"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fakeHelper answers calls with the functions that the test sets.
type fakeHelper struct {
	send   func(ctx context.Context, c citronrelay.Call) (*citronupstream.Reply, error)
	report func(addr string) (citronupstream.Report, error)
	state  func(addr string) (citronplace.EngineState, error)
	place  func(citronrelay.Order) error
	repath func(citronrelay.Repath) error
}

func (h *fakeHelper) Send(ctx context.Context, c citronrelay.Call) (*citronupstream.Reply, error) {
	return h.send(ctx, c)
}

func (h *fakeHelper) Report(_ context.Context, addr string) (citronupstream.Report, error) {
	return h.report(addr)
}

func (h *fakeHelper) State(_ context.Context, addr string) (citronplace.EngineState, error) {
	return h.state(addr)
}
func (h *fakeHelper) Place(_ context.Context, o citronrelay.Order) error   { return h.place(o) }
func (h *fakeHelper) Repath(_ context.Context, r citronrelay.Repath) error { return h.repath(r) }

// start serves h and returns a client and the address.
func (h *fakeHelper) start(t testing.TB) (*citronrelay.Client, string) {
	t.Helper()
	mux := http.NewServeMux()
	citronrelay.Handle(mux, h)
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	return &citronrelay.Client{HC: hs.Client()}, strings.TrimPrefix(hs.URL, "http://")
}

func newCall() citronrelay.Call {
	return citronrelay.Call{
		From: "n1", Engine: "i-1", Path: []citronrelay.Hop{{Engine: "i-1", Span: citronmodel.Span{To: 4}}, {Engine: "i-2", Span: citronmodel.Span{From: 4, To: 8}}},
		Request:  &citronupstream.Request{ID: "r1", Method: "POST", Host: "h", Path: "/x", Target: "/x?y", Header: http.Header{"A": {"b", "c"}}, Body: []byte("body")},
		Customer: "c", TimeLeft: 1500 * time.Millisecond, AfterEvent: "3", NoRetry: true, Urgency: 4,
	}
}

// Guards against a relayed call that differs from the one that the node would have sent, and
// against a response that differs from the engine's.
func TestCallAndResponseArriveUnchanged(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply citronupstream.Reply
		body  string
	}{
		{"plain", citronupstream.Reply{Status: 200, Header: http.Header{"X": {"1", "2"}}, FromEngine: true, RateLimit: citronupstream.NoRateLimit{}, Cooldown: citronupstream.NoCooldown{}}, "the body"},
		{"empty body", citronupstream.Reply{Status: 204, Header: http.Header{}, RateLimit: citronupstream.NoRateLimit{}, Cooldown: citronupstream.NoCooldown{}}, ""},
		{"long body", citronupstream.Reply{Status: 200, Header: http.Header{}, RateLimit: citronupstream.NoRateLimit{}, Cooldown: citronupstream.NoCooldown{}}, strings.Repeat("0123456789", 50_000)},
		{"body that ends with the connection", citronupstream.Reply{Status: 200, Header: http.Header{}, FromEngine: true, UntilClose: true, RateLimit: citronupstream.NoRateLimit{}, Cooldown: citronupstream.NoCooldown{}}, "the body"},
		{"refusal", citronupstream.Reply{Status: 503, Header: http.Header{}, NotExecuted: true, AccusedAddr: "10.0.0.1:1", Leaving: true, RateLimit: citronupstream.PerSecond(2.5), Cooldown: citronupstream.CooldownFor(3 * time.Second)}, "no"},
		{"invalid notices", citronupstream.Reply{Status: 429, Header: http.Header{}, RateLimit: citronupstream.InvalidRateLimit("fast"), Cooldown: citronupstream.InvalidCooldown("soon")}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got citronrelay.Call
			h := &fakeHelper{send: func(_ context.Context, call citronrelay.Call) (*citronupstream.Reply, error) {
				got = call
				r := c.reply
				r.Body = io.NopCloser(strings.NewReader(c.body))
				return &r, nil
			}}
			client, addr := h.start(t)
			reply, err := client.Send(context.Background(), addr, newCall())
			is.NoErr(err)
			body, err := io.ReadAll(reply.Body)
			is.NoErr(err)
			is.NoErr(reply.Body.Close())
			is.Equal(got, newCall())
			is.Equal(string(body), c.body)
			reply.Body = nil
			is.Equal(*reply, c.reply)
		})
	}
}

// Guards against errors that lose their meaning on the way: a request that was not sent may
// be sent elsewhere, and one that may have run must not be.
func TestErrorsKeepTheirMeaning(t *testing.T) {
	for _, known := range []error{citronrelay.ErrDeclined, citronrelay.ErrUnreached, citronrelay.ErrRefused} {
		is := is.New(t)
		h := &fakeHelper{
			send: func(context.Context, citronrelay.Call) (*citronupstream.Reply, error) {
				return nil, errors.Wrap(known, "dial")
			},
			report: func(string) (citronupstream.Report, error) {
				return citronupstream.Report{}, errors.Wrap(known, "dial")
			},
		}
		client, addr := h.start(t)
		_, err := client.Send(context.Background(), addr, newCall())
		is.True(errors.Is(err, known))
		_, err = client.Report(context.Background(), addr, "10.0.0.1:1")
		is.True(errors.Is(err, known))
	}
	is := is.New(t)
	h := &fakeHelper{
		send: func(context.Context, citronrelay.Call) (*citronupstream.Reply, error) {
			return nil, errors.New("connection reset")
		},
		place:  func(citronrelay.Order) error { return errors.Wrap(citronplace.ErrRefused, "busy") },
		repath: func(citronrelay.Repath) error { return &citronupstream.HopError{Addr: "10.0.0.2:1"} },
	}
	client, addr := h.start(t)
	_, err := client.Send(context.Background(), addr, newCall())
	is.True(err != nil)
	is.True(!errors.IsAny(err, citronrelay.ErrDeclined, citronrelay.ErrUnreached, citronrelay.ErrRefused)) // it may have run
	is.True(errors.Is(client.Place(context.Background(), addr, citronrelay.Order{Engine: "i-1"}), citronplace.ErrRefused))
	var hop *citronupstream.HopError
	is.True(errors.As(client.Repath(context.Background(), addr, citronrelay.Repath{ID: "r1"}), &hop))
	is.Equal(hop.Addr, "10.0.0.2:1")
	_, err = client.Send(context.Background(), "127.0.0.1:1", newCall())
	is.True(errors.Is(err, citronrelay.ErrDeclined)) // the helper did not get it
}

// Guards against a response with an invalid head that a node of an older version passes on, and
// that counts as an answer or as a promise that the request has not run.
func TestRelayedInvalidHeadIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		status int
		name   string
	}{{0, "X"}, {20, "X"}, {101, "X"}, {600, "X"}, {200, "X Odd"}, {200, "X\x01"}, {503, ""}} {
		is := is.New(t)
		h := &fakeHelper{send: func(context.Context, citronrelay.Call) (*citronupstream.Reply, error) {
			return &citronupstream.Reply{Status: c.status, Header: http.Header{c.name: {"1"}}, NotExecuted: true, Body: io.NopCloser(strings.NewReader("ok"))}, nil
		}}
		client, addr := h.start(t)
		_, err := client.Send(context.Background(), addr, newCall())
		is.True(errors.Is(err, citronbody.ErrInvalidHead))
		is.True(!errors.IsAny(err, citronrelay.ErrDeclined, citronrelay.ErrUnreached, citronrelay.ErrRefused))
	}
}

// brokenBody ends with an error after its text.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errors.New("connection reset")
	}
	return n, err
}

// Guards against a response that was cut between helper and engine and looks complete.
func TestCutBodyIsNotComplete(t *testing.T) {
	is := is.New(t)
	h := &fakeHelper{send: func(context.Context, citronrelay.Call) (*citronupstream.Reply, error) {
		return &citronupstream.Reply{Status: 200, Body: io.NopCloser(brokenBody{strings.NewReader("half of it")})}, nil
	}}
	client, addr := h.start(t)
	reply, err := client.Send(context.Background(), addr, newCall())
	is.NoErr(err)
	body, err := io.ReadAll(reply.Body)
	is.True(err != nil)
	is.Equal(string(body), "half of it")
}

// Guards against a helper that dies in the middle of a response that then looks complete.
func TestLostHelperIsNotCompleteBody(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	h := &fakeHelper{send: func(ctx context.Context, _ citronrelay.Call) (*citronupstream.Reply, error) {
		r, w := io.Pipe()
		context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
		go func() {
			_, _ = w.Write([]byte("half"))
			time.Sleep(50 * time.Millisecond)
			hs.CloseClientConnections()
		}()
		return &citronupstream.Reply{Status: 200, Body: r}, nil
	}}
	citronrelay.Handle(mux, h)
	client := &citronrelay.Client{HC: hs.Client()}
	reply, err := client.Send(context.Background(), strings.TrimPrefix(hs.URL, "http://"), newCall())
	is.NoErr(err)
	_, err = io.ReadAll(reply.Body)
	is.True(err != nil)
}

// Guards against an engine that goes on working for a caller that has left, because the
// helper does not learn of it.
func TestCallerThatLeavesCancelsCallAtHelper(t *testing.T) {
	is := is.New(t)
	canceled := make(chan time.Time, 1)
	h := &fakeHelper{send: func(ctx context.Context, _ citronrelay.Call) (*citronupstream.Reply, error) {
		r, w := io.Pipe()
		context.AfterFunc(ctx, func() { canceled <- time.Now(); _ = w.CloseWithError(ctx.Err()) })
		go func() { _, _ = w.Write([]byte("first event")) }()
		return &citronupstream.Reply{Status: 200, Body: r}, nil
	}}
	client, addr := h.start(t)
	ctx, cancel := context.WithCancel(context.Background())
	reply, err := client.Send(ctx, addr, newCall())
	is.NoErr(err)
	first := make([]byte, 64)
	n, err := reply.Body.Read(first)
	is.NoErr(err)
	is.Equal(string(first[:n]), "first event")
	left := time.Now()
	cancel()
	_ = reply.Body.Close()
	select {
	case at := <-canceled:
		is.True(at.Sub(left) < 500*time.Millisecond)
	case <-time.After(5 * time.Second):
		t.Fatal("the call at the helper was not canceled")
	}
}

// Guards against a data race, and a response that is not canceled, if a stream's body is closed
// while it is read.
func TestBodyMayBeClosedWhileItIsRead(t *testing.T) {
	h := &fakeHelper{send: func(ctx context.Context, _ citronrelay.Call) (*citronupstream.Reply, error) {
		r, w := io.Pipe()
		context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
		go func() {
			for {
				if _, err := w.Write([]byte("event")); err != nil {
					return
				}
			}
		}()
		return &citronupstream.Reply{Status: 200, Body: r}, nil
	}}
	client, addr := h.start(t)
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		reply, err := client.Send(ctx, addr, newCall())
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, reply.Body) // an error is expected
		}()
		time.Sleep(2 * time.Millisecond)
		cancel() // the reader ends at the same time
		_ = reply.Body.Close()
		<-ended
	}
}

// Guards against reports and states that change on the way.
func TestReportAndStateArriveUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		figures := rapid.Int64()
		usage := &citronusage.Figures{Running: figures.Draw(t, "running"), Waiting: figures.Draw(t, "waiting"), Used: figures.Draw(t, "used"), Total: figures.Draw(t, "total")}
		report := citronupstream.Report{Usage: usage, Slowdown: rapid.Float64Range(0, 100).Draw(t, "slowdown"), StartMS: rapid.Int64().Draw(t, "start"), AcceptedOrders: rapid.Int64().Draw(t, "orders"), Leaving: rapid.Bool().Draw(t, "leaving")}
		if rapid.Bool().Draw(t, "hasLayers") {
			report.Layers = &citronmodel.Span{From: rapid.Int().Draw(t, "from"), To: rapid.Int().Draw(t, "to")}
		}
		if rapid.Bool().Draw(t, "stalled") {
			report.Stalled = map[string]string{"r": "10.0.0.1:1"}
		}
		state := citronplace.EngineState{Layers: citronmodel.Span{From: rapid.Int().Draw(t, "stateFrom"), To: rapid.Int().Draw(t, "stateTo")}, Busy: rapid.Bool().Draw(t, "busy"), AcceptedOrders: report.AcceptedOrders, Slowdown: report.Slowdown, StartMS: report.StartMS, Leaving: report.Leaving}
		h := &fakeHelper{
			report: func(string) (citronupstream.Report, error) { return report, nil },
			state:  func(string) (citronplace.EngineState, error) { return state, nil },
		}
		mux := http.NewServeMux()
		citronrelay.Handle(mux, h)
		client := &citronrelay.Client{HC: &http.Client{Transport: handlerTransport{mux}}}
		gotReport, err := client.Report(context.Background(), "helper", "10.0.0.1:1")
		is.NoErr(err)
		want := report
		want.Relayed = true
		is.Equal(gotReport, want)
		gotState, err := client.State(context.Background(), "helper", "10.0.0.1:1")
		is.NoErr(err)
		is.Equal(gotState, state)
	})
}

// handlerTransport passes requests to a handler without a network.
type handlerTransport struct{ h http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.h.ServeHTTP(w, r)
	return w.Result(), nil
}

// FuzzSend checks that no message of another node, however malformed, ends the process or is
// taken for a call without an engine's ID being passed to the helper as it was sent.
func FuzzSend(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 0xa0})
	f.Add([]byte{0, 0, 0, 0, 0})
	f.Add([]byte{2, 0, 0, 0, 2, '{', '}'})
	h := &fakeHelper{send: func(_ context.Context, c citronrelay.Call) (*citronupstream.Reply, error) {
		return &citronupstream.Reply{Status: 200, Body: io.NopCloser(strings.NewReader(c.Engine))}, nil
	}}
	mux := http.NewServeMux()
	citronrelay.Handle(mux, h)
	f.Fuzz(func(t *testing.T, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/citron.relay/Send", bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/connect+cbor")
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, r)
		if w.Code >= 500 {
			t.Fatalf("status %d for %x", w.Code, body)
		}
	})
}
