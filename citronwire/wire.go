// Package citronwire holds what every citrondeck process needs to speak
// connect-go to another: a JSON codec (so that wire types are plain Go
// structs kept beside their handlers, with no generated protobuf code),
// typed unary clients and handlers, and the error wrapping that names the
// step and the peer at which an error arose.
//
// A procedure is mounted with Handle and called through a Unary client:
//
//	mux := http.NewServeMux()
//	citronwire.Handle(mux, "/citron.kv/Get", s.get)
//	get := citronwire.NewUnary[getRequest, getResponse](hc, "http://127.0.0.1:7000", "/citron.kv/Get")
//	res, err := get.Call(ctx, &getRequest{Key: "config/fleet"})
package citronwire

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// codec encodes wire types as JSON with encoding/json. It takes the name
// "json" so that it replaces connect's protobuf-JSON codec.
type codec struct{}

func (codec) Name() string                  { return "json" }
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }
func (codec) Unmarshal(b []byte, v any) error {
	return json.Unmarshal(b, v)
}

// Option is the connect option that every handler and client takes.
func Option() connect.Option { return connect.WithCodec(codec{}) }

// compact encodes wire types as CBOR, for messages of many numbers, which JSON
// makes long and slow to read.
type compact struct{}

func (compact) Name() string                    { return "cbor" }
func (compact) Marshal(v any) ([]byte, error)   { return cbor.Marshal(v) }
func (compact) Unmarshal(b []byte, v any) error { return cbor.Unmarshal(b, v) }

// Compact is the connect option of handlers and clients that speak CBOR.
func Compact() connect.Option { return connect.WithCodec(compact{}) }

// Client and handler options for small messages that are sent often: gzip
// at its fastest level. The default level keeps most of a megabyte a writer.
var (
	FastGzipClient  = connect.WithAcceptCompression("gzip", newDecompressor, newCompressor)
	FastGzipHandler = connect.WithCompression("gzip", newDecompressor, newCompressor)
)

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return w
}

// Handle mounts one unary procedure on mux.
func Handle[Req, Res any](mux *http.ServeMux, procedure string, fn func(context.Context, *Req) (*Res, error), more ...connect.HandlerOption) {
	h := connect.NewUnaryHandler(procedure, func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := fn(ctx, r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(res), nil
	}, append([]connect.HandlerOption{Option()}, more...)...)
	mux.Handle(procedure, h)
}

// Unary is a typed client for one procedure at one peer.
type Unary[Req, Res any] struct {
	client *connect.Client[Req, Res]
	peer   string
	step   string
}

// NewUnary returns a client for procedure at base (a URL such as
// http://127.0.0.1:7000).
func NewUnary[Req, Res any](hc connect.HTTPClient, base, procedure string, more ...connect.ClientOption) *Unary[Req, Res] {
	return &Unary[Req, Res]{
		client: connect.NewClient[Req, Res](hc, base+procedure, append([]connect.ClientOption{Option()}, more...)...),
		peer:   base,
		step:   procedure,
	}
}

// Call sends req and returns the answer. Errors keep their connect code
// (see connect.CodeOf) and carry the step and the peer.
func (u *Unary[Req, Res]) Call(ctx context.Context, req *Req) (*Res, error) {
	res, err := u.client.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, Wrap(err, u.step, u.peer)
	}
	return res.Msg, nil
}

// Wrap adds the step and the peer to err; the connect code survives, as
// connect.CodeOf unwraps.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "%s at %s", step, peer)
}

// Code returns the connect code of err, or CodeUnknown.
func Code(err error) connect.Code {
	var ce *connect.Error
	if errors.As(err, &ce) {
		return ce.Code()
	}
	return connect.CodeUnknown
}

// Errorf returns a connect error with code c.
func Errorf(c connect.Code, format string, args ...any) error {
	return connect.NewError(c, errors.Newf(format, args...))
}

// LeavingHeader marks an Unavailable answer from a back end that is
// leaving: it took no new work, so the request did not run there.
const LeavingHeader = "Citron-Leaving"

// Leaving returns the error a leaving back end answers new work with.
func Leaving(name string) error {
	err := connect.NewError(connect.CodeUnavailable, errors.Newf("%s is leaving", name))
	err.Meta().Set(LeavingHeader, name)
	return err
}

// Traffic counts the bytes of a client's connections.
type Traffic struct {
	Read, Written expvar.Int
}

// Dial wraps dial so that what its connections carry is counted.
func (t *Traffic) Dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, t: t}, nil
	}
}

type countedConn struct {
	net.Conn
	t *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.Read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.Written.Add(int64(n))
	return n, err
}
