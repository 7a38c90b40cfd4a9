// Package citroncli implements the command line. Every subcommand is a plug-in
// in its own file with its usage text, flags and implementation. Each plug-in
// registers itself in one lookup table, from which Main builds the kong parser.
package citroncli

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"citrondeck.dev/citrondeck/citronbody"
	"citrondeck.dev/citrondeck/citronserve"
	"citrondeck.dev/citrondeck/citronwire"
	"citrondeck.dev/citrondeck/citronyaml"
	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Plugin is one subcommand.
type Plugin struct {
	Name string
	Help string
	// New returns a fresh kong command value with a Run(*Globals) error
	// method.
	New func() any
}

// plugins holds the registered subcommands by name.
var plugins = map[string]Plugin{}

// Register adds a subcommand to the lookup table.
func Register(p Plugin) { plugins[p.Name] = p }

// Globals holds the flags that every subcommand accepts and the output streams.
type Globals struct {
	LogLevel  string    `help:"Log level: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	LogFormat string    `help:"Log format: text or json." default:"text" enum:"text,json"`
	Out       io.Writer `kong:"-"`
	Err       io.Writer `kong:"-"`
}

// Level returns the minimum level of logged records.
func (g *Globals) Level() slog.Level {
	var lvl slog.Level
	_ = lvl.UnmarshalText([]byte(g.LogLevel)) // kong has validated the name
	return lvl
}

// Logger returns a logger that writes to Err in the selected format.
func (g *Globals) Logger() *slog.Logger {
	opts := &slog.HandlerOptions{Level: g.Level()}
	if g.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(g.Err, opts))
	}
	return slog.New(slog.NewTextHandler(g.Err, opts))
}

const description = `citrondeck routes requests from callers to model engines, each holding a
range of a model's layers, and to plain services. Each role runs as its own
process; the fleet is described by one YAML text applied to the platform's
key-value service.

A whole path on one machine (scripts/demo does this for you):

  citrondeck kv     --listen 127.0.0.1:7000
  citrondeck engine --name e1 --listen 127.0.0.1:7101 --layers 0:16 --kv http://127.0.0.1:7000
  citrondeck engine --name e2 --listen 127.0.0.1:7102 --layers 16:32 --kv http://127.0.0.1:7000
  citrondeck apply  -f examples/fabrication.yaml --kv http://127.0.0.1:7000
  citrondeck entry  --name entry-1 --listen 127.0.0.1:8081 --zone karratha --kv http://127.0.0.1:7000
  citrondeck load   --entry 127.0.0.1:8081 -f examples/fabrication.yaml --count 200`

// Main runs the command line and returns the exit code.
func Main(args []string, out, errw io.Writer) int {
	if len(args) == 0 {
		args = []string{"--help"}
	}
	g := Globals{Out: out, Err: errw}
	exited := -1 // exit code that kong asks for after printing help
	opts := []kong.Option{
		kong.Name("citrondeck"),
		kong.Description(description),
		kong.Writers(out, errw),
		kong.Exit(func(code int) { exited = max(exited, code) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	for _, n := range slices.Sorted(maps.Keys(plugins)) {
		opts = append(opts, kong.DynamicCommand(n, plugins[n].Help, "", plugins[n].New()))
	}
	parser, err := kong.New(&g, opts...)
	if err != nil {
		fmt.Fprintln(errw, err)
		return exitUsage
	}
	kctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(errw, "citrondeck: %v\ncitrondeck: see citrondeck --help, or citrondeck COMMAND --help\n", err)
		return exitUsage
	}
	if err := kctx.Run(&g); err != nil {
		fmt.Fprintf(errw, "citrondeck %s: %v\n", kctx.Command(), err)
		return exitFailed
	}
	return 0
}

// Exit codes.
const (
	exitFailed = 1 // the command failed
	exitUsage  = 2 // the command line is invalid
)

// signalContext returns a context that is canceled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// loadSettings decodes the YAML settings file at path into v; an empty path leaves
// v unchanged. Decoding is strict: an unknown field or a wrong type is an error
// that names the line and column.
func loadSettings(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return citronyaml.Decode(path, text, v)
}

const (
	// headerTimeout bounds the time in which the head of a request arrives, and idleTimeout the
	// time between two requests of a connection.
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
)

// serve serves mux and /debug/vars on addr within limits until ctx is canceled.
func serve(ctx context.Context, addr string, mux *http.ServeMux, limits limitFlags) error {
	mux.Handle("/debug/vars", expvar.Handler())
	hs := &http.Server{Addr: addr, Handler: citronserve.LimitBodies(mux, maxMessage), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return citronserve.Serve(ctx, hs, limits.newLimits().listener("requests", programShare))
}

// responseBytes bounds what a program holds of all responses at the same time.
const responseBytes = maxMessage

// httpClient returns a client whose byte counts are discarded.
func httpClient() *http.Client { return countedClient(new(citronwire.Traffic)) }

// countedClient returns a client that counts the bytes it reads and writes in t, and reads each
// response as a whole.
func countedClient(t *citronwire.Traffic) *http.Client {
	transport := newTransport(t)
	transport.Bodies = citronbody.NewBudget(responseBytes)
	return &http.Client{Transport: transport}
}

// peerClient returns a client for other nodes, some of whose responses are streams. It keeps at most
// maxIdle idle connections.
func peerClient(maxIdle int) *http.Client {
	transport := newTransport(new(citronwire.Traffic))
	transport.MaxIdleConns = maxIdle
	return &http.Client{Transport: transport}
}

func newTransport(t *citronwire.Traffic) citronbody.Transport {
	return citronbody.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         t.Dial((&net.Dialer{Timeout: time.Second}).DialContext),
	})
}
