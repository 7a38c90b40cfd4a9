package citronplace

import (
	"context"

	"citrondeck.dev/citrondeck/citronmodel"
	"github.com/cockroachdb/errors"
)

// EngineState is what an engine says of itself.
type EngineState struct {
	Layers citronmodel.Span
	// Busy: an order is being carried out.
	Busy bool
	// Accepted is how many orders the engine has accepted since it started.
	Accepted int64
	// Slowdown is over 1 when the engine is slower than declared.
	Slowdown float64
	// Born is when the engine started, in milliseconds since 1970; zero if
	// it does not tell.
	Born int64
}

// ErrRefused means that the engine did not accept an order.
var ErrRefused = errors.New("engine refused the order")

// Orders speaks to engines about what they hold.
type Orders interface {
	State(ctx context.Context, addr string) (EngineState, error)
	// Place orders an engine that has accepted so many orders to hold a
	// span. An order that was meant for an earlier state is refused, so an
	// order that arrives late, or twice, changes nothing.
	Place(ctx context.Context, e citronmodel.Engine, o Order, accepted int64) error
}
