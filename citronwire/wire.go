// Package citronwire provides what citrondeck processes share to call each other
// with connect-go: codecs for JSON and CBOR, typed unary clients and handlers,
// and errors that name the procedure and the peer. The codecs allow wire types
// to be plain Go structs next to their handlers, without generated protobuf
// code.
//
// A procedure is mounted with Handle and called through a Unary client:
//
//	mux := http.NewServeMux()
//	citronwire.Handle(mux, "/citron.kv.v1/Get", s.get)
//	get := citronwire.NewUnary[getRequest, getResponse](
//		hc, "http://127.0.0.1:7000", "/citron.kv.v1/Get")
//	res, err := get.Call(ctx, &getRequest{Key: "deck/config/fleet"})
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

// jsonCodec encodes wire types with encoding/json. It is named "json" to replace
// connect's codec of this name, which encodes only protobuf messages.
type jsonCodec struct{}

func (jsonCodec) Name() string                  { return "json" }
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }
func (jsonCodec) Unmarshal(b []byte, v any) error {
	return json.Unmarshal(b, v)
}

// JSON returns the connect option that makes a handler or client use JSON.
func JSON() connect.Option { return connect.WithCodec(jsonCodec{}) }

// cborCodec encodes wire types as CBOR. It is meant for messages with many
// numbers, which are long and slow to decode as JSON.
type cborCodec struct{}

func (cborCodec) Name() string                    { return "cbor" }
func (cborCodec) Marshal(v any) ([]byte, error)   { return cbor.Marshal(v) }
func (cborCodec) Unmarshal(b []byte, v any) error { return cbor.Unmarshal(b, v) }

// CBOR returns the connect option that makes a handler or client use CBOR.
func CBOR() connect.Option { return connect.WithCodec(cborCodec{}) }

// FastGzipClient and FastGzipHandler are options for small, frequent messages.
// They use gzip at its fastest level because a writer of the default level
// occupies most of a megabyte.
var (
	FastGzipClient  = connect.WithAcceptCompression("gzip", newDecompressor, newCompressor)
	FastGzipHandler = connect.WithCompression("gzip", newDecompressor, newCompressor)
)

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the level is a valid constant
	}
	return w
}

// Handle mounts fn on mux as the unary procedure.
func Handle[Req, Res any](mux *http.ServeMux, procedure string, fn func(context.Context, *Req) (*Res, error), opts ...connect.HandlerOption) {
	h := connect.NewUnaryHandler(procedure, func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := fn(ctx, r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(res), nil
	}, append([]connect.HandlerOption{JSON()}, opts...)...)
	mux.Handle(procedure, h)
}

// Unary is a typed client for one procedure at one peer.
type Unary[Req, Res any] struct {
	client    *connect.Client[Req, Res]
	peer      string
	procedure string
}

// maxResponseBytes bounds a response of another process.
const maxResponseBytes = 64 << 20

// NewUnary returns a client for procedure at the base URL, such as
// http://127.0.0.1:7000.
func NewUnary[Req, Res any](hc connect.HTTPClient, base, procedure string, opts ...connect.ClientOption) *Unary[Req, Res] {
	return &Unary[Req, Res]{
		client:    connect.NewClient[Req, Res](hc, base+procedure, append([]connect.ClientOption{JSON(), connect.WithReadMaxBytes(maxResponseBytes)}, opts...)...),
		peer:      base,
		procedure: procedure,
	}
}

// Call sends req and returns the response. Its errors name the procedure and the
// peer and keep their connect code (see connect.CodeOf).
func (u *Unary[Req, Res]) Call(ctx context.Context, req *Req) (*Res, error) {
	res, err := u.client.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, wrap(err, u.procedure, u.peer)
	}
	return res.Msg, nil
}

// wrap adds the procedure and the peer to the message of err. connect.CodeOf still
// returns the code of err.
func wrap(err error, procedure, peer string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "%s at %s", procedure, peer)
}

// Code returns the connect code of err, or connect.CodeUnknown if it has none.
func Code(err error) connect.Code {
	var ce *connect.Error
	if errors.As(err, &ce) {
		return ce.Code()
	}
	return connect.CodeUnknown
}

// Errorf returns a connect error with code c and a formatted message.
func Errorf(c connect.Code, format string, args ...any) error {
	return connect.NewError(c, errors.Newf(format, args...))
}

// LeavingHeader is the metadata key that marks an Unavailable error from a back
// end that is leaving. Such a back end accepts no new work, so the request did
// not run there.
const LeavingHeader = "Citron-Leaving"

// LeavingError returns the error with which a back end that is leaving rejects new
// work. name is the name of the back end.
func LeavingError(name string) error {
	err := connect.NewError(connect.CodeUnavailable, errors.Newf("%s is leaving", name))
	err.Meta().Set(LeavingHeader, name)
	return err
}

// Traffic counts the bytes that a client's connections read and write.
type Traffic struct {
	Read, Written expvar.Int
}

// Dial wraps dial so that the bytes of its connections are counted.
func (t *Traffic) Dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, traffic: t}, nil
	}
}

// countedConn is a connection whose bytes are counted in traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Written.Add(int64(n))
	return n, err
}
