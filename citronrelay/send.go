package citronrelay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronmodel"
	"citrondeck.dev/citrondeck/citronupstream"
	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

const (
	// ProcedureSend is the path of calls, which hold whole requests.
	ProcedureSend = "/citron.relay/Send"
	// maxCallBytes bounds a call. It holds the longest body that a node accepts.
	maxCallBytes = 80 << 20
	// encodedFactor is how much memory a byte of a body takes while a call is encoded and sent.
	encodedFactor = 2
	// maxPartBytes bounds one message of the answer: a head or a chunk of the body.
	maxPartBytes = 1 << 20
	// chunkBytes is the most that is read of a body before it is passed on.
	chunkBytes = 8 << 10
)

// hopMessage is a Hop as it is sent.
type hopMessage struct {
	Engine string `json:"engine"`
	From   int    `json:"from"`
	To     int    `json:"to"`
}

// callMessage is a Call as it is sent.
type callMessage struct {
	From       string       `json:"from"`
	Engine     string       `json:"engine"`
	Path       []hopMessage `json:"path,omitempty"`
	ID         string       `json:"id"`
	Method     string       `json:"method"`
	Host       string       `json:"host"`
	URLPath    string       `json:"urlPath"`
	Target     string       `json:"target"`
	Header     http.Header  `json:"header,omitempty"`
	Body       []byte       `json:"body,omitempty"`
	Customer   string       `json:"customer,omitempty"`
	TimeLeftMS int64        `json:"timeLeftMs"`
	AfterEvent string       `json:"afterEvent,omitempty"`
	NoRetry    bool         `json:"noRetry,omitempty"`
	Urgency    int          `json:"urgency,omitempty"`
}

func newHopMessages(path []Hop) []hopMessage {
	out := make([]hopMessage, len(path))
	for i, h := range path {
		out[i] = hopMessage{h.Engine, h.Span.From, h.Span.To}
	}
	return out
}

func hops(path []hopMessage) []Hop {
	out := make([]Hop, len(path))
	for i, h := range path {
		out[i] = Hop{h.Engine, citronmodel.Span{From: h.From, To: h.To}}
	}
	return out
}

func newCallMessage(c Call) *callMessage {
	r := c.Request
	return &callMessage{
		From: c.From, Engine: c.Engine, Path: newHopMessages(c.Path), ID: r.ID, Method: r.Method, Host: r.Host, URLPath: r.Path, Target: r.Target, Header: r.Header, Body: r.Body,
		Customer: c.Customer, TimeLeftMS: c.TimeLeft.Milliseconds(), AfterEvent: c.AfterEvent, NoRetry: c.NoRetry, Urgency: c.Urgency,
	}
}

func (m *callMessage) call() Call {
	return Call{
		From: m.From, Engine: m.Engine, Path: hops(m.Path), Customer: m.Customer, TimeLeft: time.Duration(m.TimeLeftMS) * time.Millisecond, AfterEvent: m.AfterEvent, NoRetry: m.NoRetry, Urgency: m.Urgency,
		Request: &citronupstream.Request{ID: m.ID, Method: m.Method, Host: m.Host, Path: m.URLPath, Target: m.Target, Header: m.Header, Body: m.Body},
	}
}

// headMessage is a Reply without its body.
type headMessage struct {
	Status      int         `json:"status"`
	Header      http.Header `json:"header,omitempty"`
	NotExecuted bool        `json:"notExecuted,omitempty"`
	AccusedAddr string      `json:"accusedAddr,omitempty"`
	FromEngine  bool        `json:"fromEngine,omitempty"`
	Leaving     bool        `json:"leaving,omitempty"`
	UntilClose  bool        `json:"untilClose,omitempty"`
	Length      int64       `json:"length,omitempty"`
	// Limited tells whether PerSecond is the rate limit that the response declares,
	// HasCooldown whether CooldownMS is the cool-down that it asks for. InvalidLimit and
	// InvalidCooldown are the texts of those that cannot be parsed.
	Limited         bool    `json:"limited,omitempty"`
	PerSecond       float64 `json:"perSecond,omitempty"`
	InvalidLimit    *string `json:"invalidLimit,omitempty"`
	HasCooldown     bool    `json:"hasCooldown,omitempty"`
	CooldownMS      int64   `json:"cooldownMs,omitempty"`
	InvalidCooldown *string `json:"invalidCooldown,omitempty"`
}

func newHeadMessage(r *citronupstream.Reply) *headMessage {
	m := &headMessage{Status: r.Status, Header: r.Header, NotExecuted: r.NotExecuted, AccusedAddr: r.AccusedAddr, FromEngine: r.FromEngine, Leaving: r.Leaving, UntilClose: r.UntilClose, Length: r.Length}
	switch l := r.RateLimit.(type) {
	case citronupstream.PerSecond:
		m.Limited, m.PerSecond = true, float64(l)
	case citronupstream.InvalidRateLimit:
		text := string(l)
		m.InvalidLimit = &text
	}
	switch d := r.Cooldown.(type) {
	case citronupstream.CooldownFor:
		m.HasCooldown, m.CooldownMS = true, time.Duration(d).Milliseconds()
	case citronupstream.InvalidCooldown:
		text := string(d)
		m.InvalidCooldown = &text
	}
	return m
}

func (m *headMessage) reply() *citronupstream.Reply {
	r := &citronupstream.Reply{
		Status: m.Status, Header: m.Header, NotExecuted: m.NotExecuted, AccusedAddr: m.AccusedAddr, FromEngine: m.FromEngine, Leaving: m.Leaving, UntilClose: m.UntilClose, Length: m.Length,
		RateLimit: citronupstream.NoRateLimit{}, Cooldown: citronupstream.NoCooldown{},
	}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	switch {
	case m.InvalidLimit != nil:
		r.RateLimit = citronupstream.InvalidRateLimit(*m.InvalidLimit)
	case m.Limited:
		r.RateLimit = citronupstream.PerSecond(m.PerSecond)
	}
	switch {
	case m.InvalidCooldown != nil:
		r.Cooldown = citronupstream.InvalidCooldown(*m.InvalidCooldown)
	case m.HasCooldown:
		r.Cooldown = citronupstream.CooldownFor(min(time.Duration(m.CooldownMS)*time.Millisecond, citronupstream.MaxCooldown))
	}
	return r
}

// sendMessage is one message of the answer to a call: the failure of the call, or the head
// of the response, followed by the chunks of its body.
type sendMessage struct {
	Failure *failure     `json:"failure,omitempty"`
	Head    *headMessage `json:"head,omitempty"`
	Chunk   []byte       `json:"chunk,omitempty"`
}

// Send asks the node at addr to make a call, and returns the engine's response up to its
// body.
func (c *Client) Send(ctx context.Context, addr string, call Call) (*citronupstream.Reply, error) {
	charge := c.Memory.Charge()
	defer charge.Close()
	if err := charge.Grow(ctx, encodedFactor*int64(len(call.Request.Body))); err != nil {
		return nil, errors.Mark(err, ErrDeclined)
	}
	ctx, cancel := context.WithCancel(ctx)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	client := connect.NewClient[callMessage, sendMessage](c.HC, "http://"+addr+ProcedureSend, citronwire.CBOR(), uncompressed, connect.WithReadMaxBytes(maxPartBytes))
	stream, err := client.CallServerStream(traced, connect.NewRequest(newCallMessage(call)))
	if err != nil {
		cancel()
		return nil, sendError(err, addr, connected.Load())
	}
	body := &relayedBody{stream: stream, cancel: cancel, helper: addr}
	if !stream.Receive() {
		err := stream.Err()
		_ = body.Close()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return nil, sendError(err, addr, connected.Load())
	}
	switch m := stream.Msg(); {
	case m.Failure != nil:
		err := m.Failure.asError(addr)
		_ = body.Close()
		return nil, err
	case m.Head != nil:
		if err := citronbody.CheckHead(m.Head.Status, m.Head.Header); err != nil {
			_ = body.Close()
			return nil, errors.Wrapf(err, "relay through %s", addr)
		}
		r := m.Head.reply()
		r.Body = body
		return r, nil
	}
	_ = body.Close()
	return nil, errors.Newf("relay through %s: the answer begins without a head", addr)
}

// sendError returns the error of a call whose answer did not begin. Without a connection
// the helper certainly did not get the call.
func sendError(err error, addr string, connected bool) error {
	if !connected {
		return errors.Mark(errors.Wrapf(err, "connect to %s", addr), ErrDeclined)
	}
	return errors.Wrapf(err, "relay through %s", addr)
}

// relayedBody is the body of a relayed response. It may be closed while it is read.
type relayedBody struct {
	stream *connect.ServerStreamForClient[sendMessage]
	cancel context.CancelFunc
	helper string
	// rest and ended belong to the reader.
	rest  []byte
	ended error
	// complete is set once the body has been read to its end.
	complete atomic.Bool
	once     sync.Once
}

// Read returns io.EOF only if the helper has confirmed that the body is complete.
func (b *relayedBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended != nil {
			return 0, b.ended
		}
		if !b.stream.Receive() {
			if err := b.stream.Err(); err != nil {
				b.ended = errors.Wrapf(err, "relay through %s", b.helper)
				continue
			}
			b.ended = io.EOF
			b.complete.Store(true)
			continue
		}
		b.rest = b.stream.Msg().Chunk
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the call. A call whose body has not been read to its end is canceled, so that
// the engine stops working on it.
func (b *relayedBody) Close() error {
	var err error
	b.once.Do(func() {
		if !b.complete.Load() {
			b.cancel()
		}
		err = b.stream.Close()
		b.cancel()
	})
	return err
}

// handleSend mounts the procedure Send.
func handleSend(mux *http.ServeMux, h Helper) {
	mux.Handle(ProcedureSend, connect.NewServerStreamHandler(ProcedureSend, func(ctx context.Context, r *connect.Request[callMessage], out *connect.ServerStream[sendMessage]) error {
		reply, err := h.Send(ctx, r.Msg.call())
		if err != nil {
			return out.Send(&sendMessage{Failure: newFailure(err)})
		}
		defer reply.Body.Close()
		if err := out.Send(&sendMessage{Head: newHeadMessage(reply)}); err != nil {
			return err
		}
		return copyBody(out, reply.Body)
	}, citronwire.CBOR(), connect.WithReadMaxBytes(maxCallBytes)))
}

// copyBody passes a body on as it arrives. An error tells the other node that the body is
// not complete.
func copyBody(out *connect.ServerStream[sendMessage], body io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := out.Send(&sendMessage{Chunk: buffer[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return connect.NewError(connect.CodeDataLoss, errors.Wrap(err, "read response"))
		}
	}
}
